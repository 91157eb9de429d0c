"""Defines the kinds of resources that an ingress supports, and parses their bodies.

* `route`: a JSON object with the keys of a section `[route NAME]`. Each value is a string as in the
  operator's file, a number, a boolean, or a list of these.
* `address`: a JSON object with the key `address`; the resource name is `discovery` or `counter`.

Only the ingress checks whether a resource is compatible with its settings.
"""

from __future__ import annotations

import json
from typing import Any, Final

import msgspec

from dockthread.config.address import Address, host_port
from dockthread.config.ini_reader import ConfigProblem, parse_value
from dockthread.control_plane.publish_state_machine import Validator
from dockthread.errors import DockthreadError
from dockthread.routes.options import RouteOptions

ROUTE: Final = "route"
"""Kind of a resource that holds a route."""
ADDRESS: Final = "address"
"""Kind of a resource that holds the address of a service used by ingresses."""
DISCOVERY: Final = "discovery"
"""Name of the resource that holds the address of service discovery."""
COUNTER: Final = "counter"
"""Name of the resource that holds the address of the quota counter."""
ADDRESSES: Final = (DISCOVERY, COUNTER)
"""Names of all resources of kind `ADDRESS`."""
MAX_ROUTE_NAME_CHARACTERS: Final = 100
MAX_QUOTED_NAME_CHARACTERS: Final = 40
"""Maximum number of characters of an invalid name that an error message quotes."""
MAX_QUOTED_VALUE_CHARACTERS: Final = 80
"""Maximum number of characters of an invalid value that an error message quotes."""
_FORBIDDEN_IN_ROUTE_NAMES: Final = "[]\r\n"
"""Characters that a section header in the operator's file cannot contain."""

_ROUTE_FIELDS: Final = {field.encode_name: field for field in msgspec.structs.fields(RouteOptions)}


class InvalidResourceError(DockthreadError, ValueError):
    """A name or body is invalid for its kind; the text is the reason of the rejection."""


def parse_route(name: str, body: bytes) -> RouteOptions:
    """Return the route that a resource describes.

    Raises:
        InvalidResourceError: The name or body is not valid; the text gives the key, the problem and
            a remedy.
    """
    is_valid_name = bool(name.strip()) and len(name) <= MAX_ROUTE_NAME_CHARACTERS
    if not is_valid_name or any(character in name for character in _FORBIDDEN_IN_ROUTE_NAMES):
        raise InvalidResourceError(f"{name[:MAX_QUOTED_NAME_CHARACTERS]!r} is no name of a route")
    values = {}
    for key, value in _parse_object(body).items():
        if key not in _ROUTE_FIELDS:
            known = ", ".join(sorted(_ROUTE_FIELDS))
            raise InvalidResourceError(f"{key}: is no key of a route; known: {known}")
        field = _ROUTE_FIELDS[key]
        text = _ini_text(value)
        try:
            values[field.name] = parse_value(text, field.type)
        except (ValueError, msgspec.ValidationError) as error:
            quoted = text[:MAX_QUOTED_VALUE_CHARACTERS]
            raise InvalidResourceError(f"{key}: {quoted!r} {error}") from error
    route = RouteOptions(**values)
    for key_problem in route.problems():
        problem = ConfigProblem("", "", key_problem.key, key_problem.reason, key_problem.remedy)
        raise InvalidResourceError(str(problem).removeprefix(": "))
    return route


def parse_address(name: str, body: bytes) -> Address:
    """Return the address that a resource describes.

    Raises:
        InvalidResourceError: The name or body is not valid; the text gives the problem and a remedy.
    """
    if name not in ADDRESSES:
        quoted = name[:MAX_QUOTED_NAME_CHARACTERS]
        raise InvalidResourceError(
            f"{quoted!r} is no address of an ingress; known: {', '.join(ADDRESSES)}"
        )
    value = _parse_object(body).get("address")
    host_and_port = host_port(value) if isinstance(value, str) else None
    if host_and_port is None:
        raise InvalidResourceError(
            f'address: {value!r} is no address; write {{"address": "HOST:PORT"}}'
        )
    return Address(*host_and_port)


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
"""Validators by kind, which voters apply before they propose a change."""


def _parse_object(body: bytes) -> dict[str, object]:
    try:
        parsed: Any = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidResourceError(f"is not JSON: {error}") from error
    if not isinstance(parsed, dict):
        raise InvalidResourceError('is no JSON object, such as {"attempts": 2}')
    return parsed


def _ini_text(value: object) -> str:
    """Return a JSON value in the syntax of the operator's file."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(_ini_text(item) for item in value)
    return value if isinstance(value, str) else json.dumps(value)
