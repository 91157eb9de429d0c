"""`dockthread`: serves, checks files, shows what holds, lists metrics, plays the receivers."""

from __future__ import annotations

import os
import sys
from importlib import import_module, metadata

import click

from dockthread.errors import SettingsError

LAZY = {
    "serve": ("dockthread.cli.daemon", "serve"),
    "check": ("dockthread.cli.files", "check"),
    "config": ("dockthread.cli.files", "config"),
    "metrics": ("dockthread.cli.metrics", "metrics"),
    "work": ("dockthread.cli.work", "work"),
    "fleet": ("dockthread.cli.work", "fleet"),
    "control": ("dockthread.cli.control", "control"),
    "lab": ("dockthread.cli.lab", "lab"),
    "completion": ("dockthread.cli.completion", "completion"),
}
BAD = 2


class Lazy(click.Group):
    """Imports a subcommand only when it is asked for: `serve` must not pay for the others."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(LAZY)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LAZY:
            return None
        module, name = LAZY[cmd_name]
        command = getattr(import_module(module), name)
        assert isinstance(command, click.Command)
        return command


def version() -> str:
    try:
        return metadata.version("dockthread")
    except metadata.PackageNotFoundError:
        return "not installed"


def show_version(ctx: click.Context, _: click.Parameter, wanted: bool) -> None:
    if wanted:
        click.echo(f"dockthread {version()}")
        ctx.exit()


@click.group(
    cls=Lazy,
    invoke_without_command=True,
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
    epilog="Exit codes: 0 done, 1 cannot listen or a run failed, 2 bad words or a bad file.",
)
@click.option(
    "--config", "file", metavar="FILE", help="The operator's file, before DOCKTHREAD_CONFIG."
)
@click.option(
    "--version",
    is_flag=True,
    expose_value=False,
    is_eager=True,
    callback=show_version,
    help="Show the version.",
)
@click.pass_context
def cli(ctx: click.Context, file: str | None) -> None:
    """The ingress of a licence pool, and the tools to run it.

    Without a command it serves. NODE_CONFIG names the platform's JSON, DOCKTHREAD_CONFIG or
    --config the operator's INI file.

    \b
    First steps:
      dockthread check my.ini              all that is wrong with a file
      dockthread config show --config my.ini   what would hold, and where it comes from
      dockthread metrics receive           a stand-in Graphite and collectd on loopback
      NODE_CONFIG=node.json dockthread serve --config my.ini
    """
    ctx.obj = file
    if ctx.invoked_subcommand is None:
        from dockthread.daemon import serve

        ctx.exit(serve(file))


def run(words: list[str]) -> int:
    """The exit code. Errors a person meets are one plain line on standard error."""
    try:
        code = cli.main(args=words, prog_name="dockthread", standalone_mode=False)
        return code if isinstance(code, int) else 0
    except click.exceptions.Exit as left:
        return left.exit_code
    except click.exceptions.Abort:
        return 1
    except click.ClickException as error:
        error.show()
        return BAD
    except SettingsError as error:
        print(f"dockthread: {error}", file=sys.stderr)
        return BAD
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
