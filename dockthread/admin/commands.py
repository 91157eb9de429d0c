"""Requests and responses of the management server, without I/O.

Each connection carries one HTTP/1.1 request. The server (`server.py`) parses it and passes method,
path and body to `parse_request`, which looks up the path in a table. The response is 404 for an
unknown path, 405 for a wrong method, and 400 for a body that is not JSON with a string `target`.
Every other request becomes a `Command`, which the ingress executes. Only the ingress knows which
ids exist; the response for an unknown id is 404.

| path                         | method | body                                         |
| ---------------------------- | ------ | -------------------------------------------- |
| /_ready                      | GET    | -                                            |
| /_vars                       | GET    | -                                            |
| /_backends/detach            | POST   | {"target": "ID"}                             |
| /_backends/attach            | POST   | {"target": "ID"}                             |
| /_fleet, /_work              | GET    | -                                            |
| /_work/ask                   | POST   | {"target": "ID", "why": "...", "urgency": 0} |
| /_work/done, /_work/withdraw | POST   | {"target": "ID"}                             |

The last three rows are served only if the operator's file has a `[fleet]` section; otherwise the
response is 404.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Operation(Enum):
    """An operation of the management server."""

    READY = "ready"
    METRICS = "vars"
    DETACH = "detach"
    ATTACH = "attach"
    FLEET_STATUS = "fleet"
    MAINTENANCE_STATUS = "work"
    REQUEST_MAINTENANCE = "ask"
    FINISH_MAINTENANCE = "done"
    WITHDRAW_MAINTENANCE = "withdraw"


# Operations whose request body names a target.
TARGETED_OPERATIONS = (
    Operation.DETACH,
    Operation.ATTACH,
    Operation.REQUEST_MAINTENANCE,
    Operation.FINISH_MAINTENANCE,
    Operation.WITHDRAW_MAINTENANCE,
)

# Operations that show the state of the fleet, or that its ingresses have to agree on.
FLEET_OPERATIONS = (
    Operation.FLEET_STATUS,
    Operation.MAINTENANCE_STATUS,
    Operation.REQUEST_MAINTENANCE,
    Operation.FINISH_MAINTENANCE,
    Operation.WITHDRAW_MAINTENANCE,
)


@dataclass(frozen=True, slots=True)
class Command:
    """A well-formed request.

    Attributes:
        operation: The requested operation.
        target: The id named in the body; empty for operations without a target.
        body_fields: The decoded body. The operation checks the fields that it uses.
    """

    operation: Operation
    target: str = ""
    body_fields: Mapping[str, Any] = field(default_factory=dict, compare=False)


@dataclass(frozen=True, slots=True)
class Response:
    """A response, before it is encoded."""

    status: int
    body: bytes
    content_type: bytes = b"text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Route:
    """The HTTP method and the operation of a path."""

    method: bytes
    operation: Operation


ROUTES: dict[bytes, Route] = {
    b"/_ready": Route(b"GET", Operation.READY),
    b"/_vars": Route(b"GET", Operation.METRICS),
    b"/_backends/detach": Route(b"POST", Operation.DETACH),
    b"/_backends/attach": Route(b"POST", Operation.ATTACH),
    b"/_fleet": Route(b"GET", Operation.FLEET_STATUS),
    b"/_work": Route(b"GET", Operation.MAINTENANCE_STATUS),
    b"/_work/ask": Route(b"POST", Operation.REQUEST_MAINTENANCE),
    b"/_work/done": Route(b"POST", Operation.FINISH_MAINTENANCE),
    b"/_work/withdraw": Route(b"POST", Operation.WITHDRAW_MAINTENANCE),
}
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    503: b"Unavailable",
}
NOT_FOUND = Response(404, b"no such call\n")
MALFORMED_REQUEST = Response(400, b"not an HTTP call\n")


def parse_request(method: bytes, path: bytes, body: bytes) -> Command | Response:
    """Return the command of a request, or the response that rejects it.

    A query string is ignored.
    """
    route = ROUTES.get(path.split(b"?", 1)[0])
    if route is None:
        return NOT_FOUND
    if method != route.method and not (route.method == b"GET" and method == b"HEAD"):
        return Response(405, b"this call goes by " + route.method + b"\n")
    if route.operation not in TARGETED_OPERATIONS:
        return Command(route.operation)
    return _parse_targeted(route.operation, body)


def _parse_targeted(operation: Operation, body: bytes) -> Command | Response:
    try:
        body_fields = json.loads(body)
    except ValueError:
        return Response(400, b'the body is not JSON; {"target":"ID"} would do\n')
    target = body_fields.get("target") if isinstance(body_fields, dict) else None
    if not isinstance(target, str) or not target:
        return Response(400, b'no target in the body; {"target":"ID"} would do\n')
    return Command(operation, target, body_fields)


def outcome_response(command: Command, succeeded: bool) -> Response:
    """Return the response to a command that the ingress has executed.

    `succeeded` is False if the ingress is not ready, or does not know the backend.
    """
    if command.operation is Operation.READY:
        return Response(200, b"ready\n") if succeeded else Response(503, b"not ready\n")
    if succeeded:
        return Response(200, b"ok\n")
    return Response(404, b"no backend " + command.target.encode() + b" here\n")


def encode_response(response: Response, head_only: bool = False) -> bytes:
    """Encode a response for the wire; the connection is closed after it."""
    head = (
        b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
        % (
            response.status,
            REASON_PHRASES.get(response.status, b""),
            response.content_type,
            len(response.body),
        )
    )
    return head if head_only else head + response.body
