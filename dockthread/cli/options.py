"""Command-line options that several command groups share, and parsers for their values."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import click

from dockthread.config.address import Address, host_port
from dockthread.errors import SettingsError

Value = TypeVar("Value")
OptionCallback = Callable[[click.Context, click.Parameter, Any], Any]
"""A callback that click calls with an option's text, or with None if the option is not given."""

config_option = click.option(
    "--config", "file", metavar="FILE", help="The operator's file; overrides DOCKTHREAD_CONFIG."
)


def json_option(help_text: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return the option `--json` with its help text."""
    return click.option("--json", "as_json", is_flag=True, help=help_text)


def parse_with(parse: Callable[[str], Value]) -> OptionCallback:
    """Return a click callback that parses an option's text and returns None for an absent option.

    The parser raises ValueError or SettingsError for invalid text; click then ends the command with
    that error's message.
    """

    def parse_option(
        _context: click.Context, _parameter: click.Parameter, text: str | None
    ) -> Value | None:
        """Return the parsed value, or raise click.BadParameter."""
        try:
            return None if text is None else parse(text)
        except (ValueError, SettingsError) as error:
            raise click.BadParameter(str(error)) from error

    return parse_option


def parse_address(text: str, expected: str = "HOST:PORT") -> Address:
    """Return the address that a text names.

    Args:
        text: The address, such as `127.0.0.1:8080`.
        expected: The expected format, for the error message.

    Raises:
        ValueError: The text is not an address.
    """
    host_and_port = host_port(text)
    if host_and_port is None:
        raise ValueError(f"{text!r} is not an address: write {expected}")
    return Address(*host_and_port)
