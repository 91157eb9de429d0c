"""`dockthread check` and `dockthread config show`."""

from __future__ import annotations

import os
from typing import Any

import click
import msgspec

from dockthread.config.ini_reader import OperatorConfig
from dockthread.config.platform_settings import read_config, read_policy_settings_file
from dockthread.errors import SettingsError
from dockthread.section_registry import (
    SECTION_KINDS,
    load_operator_file,
    operator_file_path,
    parse_operator_file,
    read_operator_file,
)


@click.command()
@click.argument("file", metavar="FILE")
@click.option(
    "--settings",
    metavar="JSON",
    help="The platform's configuration, or its settings: proves routes too.",
)
@click.option(
    "--explain",
    metavar="REQUEST",
    help="Show a request's route, such as c=seat-status,t=gross,units=2.",
)
@click.pass_context
def check(ctx: click.Context, file: str, settings: str | None, explain: str | None) -> None:
    """Check an operator's file: every fault, one line each.

    Exit codes: 0 the file is good (warnings aside), 2 it would be refused.
    """
    settings = settings or os.environ.get("NODE_CONFIG")
    if explain and not settings:
        raise click.UsageError("--explain needs --settings, or NODE_CONFIG")
    told, names = read_policy_settings_file(settings) if settings else (None, None)
    found = read_operator_file(file, told, names)
    for problem in found.problems:
        click.echo(f"{'warning: ' * problem.is_warning}{problem}")
    if found.errors:
        ctx.exit(2)
    click.echo(f"{file}: good")
    if explain and told is not None and names is not None:
        from dockthread.routes.explain import explain as explained
        from dockthread.routes.explain import parse_request

        for line in explained(
            found.named_sections("route"), told, names, parse_request(explain, told, names)
        ):
            click.echo(line)


@click.group()
def config() -> None:
    """What holds."""


@config.command()
@click.option(
    "--config", "file", metavar="FILE", help="The operator's file, before DOCKTHREAD_CONFIG."
)
@click.pass_context
def show(ctx: click.Context, file: str | None) -> None:
    """Show every key that holds, and where it comes from. The text is itself a good operator's
    file.
    """
    path = operator_file_path(os.environ, file or ctx.find_root().obj)
    found = load_operator_file(path) if path else parse_operator_file("", "no file")
    for line in lines(found, path):
        click.echo(line)
    for line in platform():
        click.echo(line)


def lines(found: OperatorConfig, path: str | None) -> list[str]:
    out = []
    for kind in SECTION_KINDS:
        for name, section in found.named_sections(kind).items():
            out.append(f"[{kind}{' ' * bool(name)}{name}]")
            given = found.explicit_keys.get((kind, name), set())
            for field in msgspec.structs.fields(section):
                value = getattr(section, field.name)
                source = path if field.encode_name in given else "default"
                if value is None:
                    out.append(f"# {field.encode_name} is not set  # {source}")
                else:
                    out.append(f"{field.encode_name} = {worded(value)}  # {source}")
            out.append("")
    return out


def worded(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(map(worded, value))
    return str(value)


def platform() -> list[str]:
    """What the platform's JSON says of the ingress itself, as comments."""
    if not os.environ.get("NODE_CONFIG"):
        return ["# NODE_CONFIG is not set: the platform's part is not known here"]
    try:
        told = read_config(os.environ)
    except SettingsError as error:
        return [f"# the platform's part cannot be read: {error}"]
    rows = {
        "name": (told.name, "NODE_NAME"),
        "listen": (told.listen, "NODE_LISTEN"),
        "discovery": (told.discovery, "NODE_DISCOVERY"),
        "counter": (told.counter or "none", ""),
        "memory_mb": (f"{told.memory_mb:g}", ""),
        "sockets": (told.max_sockets, ""),
    }
    out = ["# the platform's part"]
    for key, (value, variable) in rows.items():
        source = variable if variable and os.environ.get(variable) else os.environ["NODE_CONFIG"]
        out.append(f"# {key} = {value}  # {source}")
    return out
