"""How commands print a result: as JSON for scripts, or as lines of text for people."""

from __future__ import annotations

import json
from collections.abc import Iterable

import click


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
