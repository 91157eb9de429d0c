"""Requests from the command line to the management endpoint of one ingress."""

from __future__ import annotations

import http.client
import json
from collections.abc import Callable, Mapping
from functools import partial
from http import HTTPStatus
from typing import Any, Final

import click

from dockthread.cli.options import parse_address, parse_with
from dockthread.cli.output import exit_with_error
from dockthread.config.address import Address
from dockthread.errors import DockthreadError

REQUEST_TIMEOUT: Final = 10.0
"""Timeout in s for connecting and for each read of the response."""
UNKNOWN_COMMAND_TEXT: Final = "no such call"
"""Start of the response to an unknown path, such as that of an ingress without `[fleet]`."""

endpoint_option: Callable[[Callable[..., Any]], Callable[..., Any]] = click.option(
    "--at",
    "endpoint",
    required=True,
    callback=parse_with(partial(parse_address, expected="HOST:PORT of a management endpoint")),
    metavar="HOST:PORT",
    help="Management endpoint of an ingress.",
)


class AdminRequestError(DockthreadError):
    """An ingress rejected a request or cannot be reached; the message says which one and why."""


def send_admin_request(
    endpoint: Address, method: str, path: str, body: Mapping[str, object] | None = None
) -> Any:
    """Send a request to a management endpoint and return the decoded JSON of its response.

    Raises:
        AdminRequestError: The endpoint cannot be reached, or its status is not 200.
    """
    name = f"{endpoint.host}:{endpoint.port}"
    connection = http.client.HTTPConnection(endpoint.host, endpoint.port, timeout=REQUEST_TIMEOUT)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        response = connection.getresponse()
        text = response.read().decode(errors="replace")
    except (OSError, http.client.HTTPException) as error:
        raise AdminRequestError(f"{name}: {error}") from error
    finally:
        connection.close()
    if response.status != HTTPStatus.OK:
        raise AdminRequestError(f"{name}: {_rejection_reason(text)}")
    return json.loads(text)


def _rejection_reason(text: str) -> str:
    """Return why an ingress rejected a request, from the text of its response."""
    if text.startswith(UNKNOWN_COMMAND_TEXT):
        return "this ingress does not belong to a fleet"
    return text.strip()


def send_admin_request_or_exit(
    endpoint: Address, method: str, path: str, body: Mapping[str, object] | None = None
) -> Any:
    """Like `send_admin_request`, but print one line and exit if the request fails."""
    try:
        return send_admin_request(endpoint, method, path, body)
    except AdminRequestError as error:
        exit_with_error(str(error))
