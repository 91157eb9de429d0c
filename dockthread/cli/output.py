"""How commands print results, as JSON for scripts or as text for people, and end with an error."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Final, NoReturn, TypeAlias

import click

EXIT_FAILED: Final = 1
"""Exit code where what was asked for was rejected, or cannot be done."""
JsonObject: TypeAlias = dict[str, object]
"""What a command prints as one JSON object."""


def print_result(as_json: bool, content: object, lines: Iterable[str]) -> None:
    """Print a result on standard output.

    Args:
        as_json: Whether the user asked for JSON.
        content: The result as `json.dumps` takes it, printed on one line.
        lines: The result as text. They are not made where JSON is printed, if they are a generator.
    """
    if as_json:
        click.echo(json.dumps(content))
        return
    for line in lines:
        click.echo(line)


def exit_with_error(text: str, exit_code: int = EXIT_FAILED) -> NoReturn:
    """Print a text on standard error and end the program."""
    click.echo(text, err=True)
    sys.exit(exit_code)
