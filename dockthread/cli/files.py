"""The commands `dockthread check` and `dockthread config show`, on the configuration files."""

from __future__ import annotations

import os
from collections.abc import Iterator
from typing import Final

import click

from dockthread.cli.effective_settings import operator_lines, platform_lines
from dockthread.cli.options import config_option
from dockthread.config.ini_reader import OperatorConfig
from dockthread.config.platform_settings import read_policy_settings_file
from dockthread.section_registry import (
    load_operator_file,
    operator_file_path,
    parse_operator_file,
    read_operator_file,
)

EXIT_INVALID_FILE: Final = 2
"""Exit code if the operator's file is invalid."""


@click.command()
@click.argument("file", metavar="FILE")
@click.option(
    "--settings",
    metavar="JSON",
    help="The platform's configuration or settings file; routes are then checked against it.",
)
@click.option(
    "--explain",
    metavar="REQUEST",
    help="Show the route of this request, for example c=seat-status,t=gross,units=2.",
)
@click.pass_context
def check(ctx: click.Context, file: str, settings: str | None, explain: str | None) -> None:
    """Check an operator's file, and print one line for each problem.

    Exit codes: 0 the file is valid, perhaps with warnings; 2 the file is invalid.
    """
    settings = settings or os.environ.get("NODE_CONFIG")
    if explain and not settings:
        raise click.UsageError("--explain needs --settings or NODE_CONFIG")
    policy_settings, names = read_policy_settings_file(settings) if settings else (None, None)
    operator_config = read_operator_file(file, policy_settings, names)
    for line in _problem_lines(operator_config):
        click.echo(line)
    if operator_config.errors:
        ctx.exit(EXIT_INVALID_FILE)
    click.echo(f"{file}: good")
    if explain and policy_settings is not None and names is not None:
        from dockthread.routes.explain import explain as explain_route
        from dockthread.routes.explain import parse_request

        routes = operator_config.named_sections("route")
        facts = parse_request(explain, policy_settings, names)
        for line in explain_route(routes, policy_settings, names, facts):
            click.echo(line)


def _problem_lines(operator_config: OperatorConfig) -> Iterator[str]:
    """Yield one line for each problem of an operator's file."""
    for problem in operator_config.problems:
        yield f"warning: {problem}" if problem.is_warning else str(problem)


@click.group()
def config() -> None:
    """Inspect the configuration."""


@config.command("show")
@config_option
@click.pass_context
def print_config(ctx: click.Context, file: str | None) -> None:
    """Show every setting in effect and its source. The output is itself a valid operator's
    file.
    """  # noqa: D205  shown as the help text
    path = operator_file_path(os.environ, file or ctx.find_root().obj)
    operator_config = load_operator_file(path) if path else parse_operator_file("", "no file")
    for line in operator_lines(operator_config, path):
        click.echo(line)
    for line in platform_lines():
        click.echo(line)
