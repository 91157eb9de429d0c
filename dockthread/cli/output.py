"""Output of commands: results as JSON for scripts or as text for people, and errors."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Final, NoReturn, TypeAlias

import click

EXIT_FAILED: Final = 1
"""Exit code if the request was rejected or could not be carried out."""
JsonObject: TypeAlias = dict[str, object]
"""A JSON object that a command prints."""


def print_result(as_json: bool, content: object, lines: Iterable[str]) -> None:
    """Print a result on standard output.

    Args:
        as_json: Whether the user asked for JSON.
        content: The result as a value that `json.dumps` accepts; it is printed on one line.
        lines: The result as text. A generator is not evaluated if JSON is printed.
    """
    if as_json:
        click.echo(json.dumps(content))
        return
    for line in lines:
        click.echo(line)


def exit_with_error(text: str, exit_code: int = EXIT_FAILED) -> NoReturn:
    """Print a text on standard error and exit."""
    click.echo(text, err=True)
    sys.exit(exit_code)
