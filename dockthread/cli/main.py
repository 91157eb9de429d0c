"""The command `dockthread`: its own options, the table of subcommands, and its exit code."""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass
from importlib import import_module, metadata
from typing import Final

import click

from dockthread.cli.options import config_option
from dockthread.errors import SettingsError


@dataclass(frozen=True, slots=True)
class CommandLocation:
    """Where a subcommand is defined.

    Attributes:
        module: Full name of the module.
        attribute: Name of the click command in it.
    """

    module: str
    attribute: str


COMMAND_LOCATIONS: Final = {
    "serve": CommandLocation("dockthread.cli.daemon", "serve"),
    "check": CommandLocation("dockthread.cli.files", "check"),
    "config": CommandLocation("dockthread.cli.files", "config"),
    "metrics": CommandLocation("dockthread.cli.metrics", "metrics"),
    "work": CommandLocation("dockthread.cli.work", "work"),
    "fleet": CommandLocation("dockthread.cli.fleet", "fleet"),
    "control": CommandLocation("dockthread.cli.control", "control"),
    "lab": CommandLocation("dockthread.cli.lab", "lab"),
    "completion": CommandLocation("dockthread.cli.completion", "completion"),
}
"""The subcommands, in the order in which the help lists them."""
EXIT_ABORTED: Final = 1
"""Exit code if the user interrupts a command."""
EXIT_INVALID_INPUT: Final = 2
"""Exit code if the arguments or a configuration file are invalid."""


class LazyGroup(click.Group):
    """A group that imports a subcommand only when it is used, so that `serve` starts fast."""

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002  set by click
        """Return the names of the subcommands."""
        return list(COMMAND_LOCATIONS)

    def get_command(
        self,
        ctx: click.Context,  # noqa: ARG002  set by click
        cmd_name: str,
    ) -> click.Command | None:
        """Import and return a subcommand; None if no subcommand has this name."""
        location = COMMAND_LOCATIONS.get(cmd_name)
        if location is None:
            return None
        command = getattr(import_module(location.module), location.attribute)
        assert isinstance(command, click.Command)
        return command


def installed_version() -> str:
    """Return the version of the installed package, or the text "not installed"."""
    try:
        return metadata.version("dockthread")
    except metadata.PackageNotFoundError:
        return "not installed"


def print_version(context: click.Context, _parameter: click.Parameter, is_given: bool) -> None:
    """Print the version and exit, if `--version` is given."""
    if is_given:
        click.echo(f"dockthread {installed_version()}")
        context.exit()


@click.group(
    cls=LazyGroup,
    invoke_without_command=True,
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
    epilog="Exit codes: 0 success, 1 cannot listen or a run failed, 2 invalid arguments or file.",
)
@config_option
@click.option(
    "--version",
    is_flag=True,
    expose_value=False,
    is_eager=True,
    callback=print_version,
    help="Print the version and exit.",
)
@click.pass_context
def cli(ctx: click.Context, file: str | None) -> None:
    """Run the ingress of a licence pool, or one of its tools.

    Without a command, the ingress runs. NODE_CONFIG names the platform's JSON file;
    DOCKTHREAD_CONFIG or --config names the operator's INI file.

    \b
    First steps:
      dockthread check my.ini              list all problems of a file
      dockthread config show --config my.ini   show the settings in effect and their sources
      dockthread metrics receive           run a stand-in Graphite and collectd on loopback
      NODE_CONFIG=node.json dockthread serve --config my.ini
    """  # noqa: D301  click needs the backspace character itself
    ctx.obj = file
    if ctx.invoked_subcommand is None:
        from dockthread.daemon import serve

        ctx.exit(serve(file))


def run(arguments: list[str]) -> int:
    """Run the command line and return its exit code.

    A user error, such as an invalid file, is printed as one line on standard error.
    """
    try:
        code = cli.main(args=arguments, prog_name="dockthread", standalone_mode=False)
        return code if isinstance(code, int) else 0
    except click.exceptions.Exit as requested_exit:
        return requested_exit.exit_code
    except click.exceptions.Abort:
        return EXIT_ABORTED
    except click.ClickException as error:
        error.show()
        return EXIT_INVALID_INPUT
    except SettingsError as error:
        print(f"dockthread: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    except BrokenPipeError:
        # The reader of the output has exited; without this, Python's flush at exit would fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
