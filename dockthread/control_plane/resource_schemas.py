"""The kinds of resources that an ingress knows, as they are published: their form, without the
site's settings.

`route`: a JSON object of the keys of a section `[route NAME]`, each a text as the operator's file
has it, or a number, a truth value or a list of such. `address`: one named `discovery` or `counter`,
a JSON object with `address`.
"""

from __future__ import annotations

import json
from typing import Any, Final

import msgspec

from dockthread.config.address import Address
from dockthread.config.ini_reader import Problem, convert
from dockthread.control_plane.publish_state_machine import Validator
from dockthread.routes.options import RouteOptions
from dockthread.telemetry.options import host_port

ROUTE: Final = "route"
ADDRESS: Final = "address"
ADDRESSES: Final = ("discovery", "counter")
MOST_ROUTE_NAME: Final = 100  # characters

_FIELDS = {field.encode_name: field for field in msgspec.structs.fields(RouteOptions)}


class InvalidResourceError(ValueError):
    """A body that is not of its kind's form; the text is the reason."""


def parse_route(name: str, body: bytes) -> RouteOptions:
    """Raises `BadResource` with key, fault and what would do."""
    if not name.strip() or len(name) > MOST_ROUTE_NAME or any(c in name for c in "[]\r\n"):
        raise InvalidResourceError(f"{name[:40]!r} is no name of a route")
    values: dict[str, Any] = {}
    for key, value in _object(body).items():
        if key not in _FIELDS:
            raise InvalidResourceError(
                f"{key}: is no key of a route; known: {', '.join(sorted(_FIELDS))}"
            )
        try:
            values[_FIELDS[key].name] = convert(_text(value), _FIELDS[key].type)
        except (ValueError, msgspec.ValidationError) as error:
            raise InvalidResourceError(f"{key}: {_text(value)[:80]!r} {error}") from error
    options = RouteOptions(**values)
    for key, wrong, would_do in options.faults():
        raise InvalidResourceError(str(Problem("", "", key, wrong, would_do)).removeprefix(": "))
    return options


def parse_address(name: str, body: bytes) -> Address:
    """Raises `BadResource` with the fault and what would do."""
    if name not in ADDRESSES:
        raise InvalidResourceError(
            f"{name[:40]!r} is no address of an ingress; known: {', '.join(ADDRESSES)}"
        )
    value = _object(body).get("address")
    found = host_port(value) if isinstance(value, str) else None
    if found is None:
        raise InvalidResourceError(
            f'address: {value!r} is no address; write {{"address": "HOST:PORT"}}'
        )
    return Address(*found)


def _validate_route(name: str, body: bytes) -> str:
    try:
        parse_route(name, body)
    except InvalidResourceError as error:
        return str(error)
    return ""


def _validate_address(name: str, body: bytes) -> str:
    try:
        parse_address(name, body)
    except InvalidResourceError as error:
        return str(error)
    return ""


VALIDATORS: Final[dict[str, Validator]] = {ROUTE: _validate_route, ADDRESS: _validate_address}


def _object(body: bytes) -> dict[str, Any]:
    try:
        found = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidResourceError(f"is not JSON: {error}") from error
    if not isinstance(found, dict):
        raise InvalidResourceError('is no JSON object, such as {"attempts": 2}')
    return found


def _text(value: Any) -> str:
    """As the operator's file would have it."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(_text(one) for one in value)
    return value if isinstance(value, str) else json.dumps(value)
