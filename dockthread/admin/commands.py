"""The management door's decisions, free of I/O: a call in, what to do and what to answer out.

Theory of operation. One HTTP/1.1 call comes on each connection; the rim (ops/management.py) parses
it with httptools and hands method, path and body here. `decide` finds the call in one table of
paths: a path that is not there is 404, a method that the path does not take 405, a body that is not
JSON with a string `target` 400. What is left is a `Command`, which the rim has the ingress carry
out; whether an id is known is the ingress's to say, and an id that nobody has is owed a no (404).
Nothing here blocks or waits, so each answer is due at once.

| path                 | method | body                 | command     |
| -------------------- | ------ | -------------------- | ----------- |
| /_ready              | GET    | -                    | READY       |
| /_vars               | GET    | -                    | VARS        |
| /_backends/detach    | POST   | {"target": "ID"}     | DETACH ID   |
| /_backends/attach    | POST   | {"target": "ID"}     | ATTACH ID   |
| /_fleet, /_work      | GET    | -                    | FLEET, WORK |
| /_work/ask           | POST   | {"target": "ID", "why": "...", "urgency": 0} | WORK_ASK |
| /_work/done, /_work/withdraw | POST | {"target": "ID"} | WORK_DONE, WORK_WITHDRAW |

The last two rows are there only where the operator's file has a fleet; else they are 404 as any
other path.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Operation(Enum):
    READY = "ready"
    METRICS = "vars"
    DETACH = "detach"
    ATTACH = "attach"
    FLEET_STATUS = "fleet"
    MAINTENANCE_STATUS = "work"
    REQUEST_MAINTENANCE = "ask"
    FINISH_MAINTENANCE = "done"
    WITHDRAW_MAINTENANCE = "withdraw"


TARGETED = (
    Operation.DETACH,
    Operation.ATTACH,
    Operation.REQUEST_MAINTENANCE,
    Operation.FINISH_MAINTENANCE,
    Operation.WITHDRAW_MAINTENANCE,
)
FLEET_OPERATIONS = (
    Operation.FLEET_STATUS,
    Operation.MAINTENANCE_STATUS,
    Operation.REQUEST_MAINTENANCE,
    Operation.FINISH_MAINTENANCE,
    Operation.WITHDRAW_MAINTENANCE,
)


@dataclass(frozen=True, slots=True)
class Command:
    operation: Operation
    target: str = ""
    body_fields: dict[str, Any] = field(
        default_factory=dict, compare=False
    )  # whatever else the body said


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    body: bytes
    content_type: bytes = b"text/plain; charset=utf-8"


ROUTES: dict[bytes, tuple[bytes, Operation]] = {
    b"/_ready": (b"GET", Operation.READY),
    b"/_vars": (b"GET", Operation.METRICS),
    b"/_backends/detach": (b"POST", Operation.DETACH),
    b"/_backends/attach": (b"POST", Operation.ATTACH),
    b"/_fleet": (b"GET", Operation.FLEET_STATUS),
    b"/_work": (b"GET", Operation.MAINTENANCE_STATUS),
    b"/_work/ask": (b"POST", Operation.REQUEST_MAINTENANCE),
    b"/_work/done": (b"POST", Operation.FINISH_MAINTENANCE),
    b"/_work/withdraw": (b"POST", Operation.WITHDRAW_MAINTENANCE),
}
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    503: b"Unavailable",
}


def parse_request(method: bytes, path: bytes, body: bytes) -> Command | Response:
    """A call's command, or the answer that refuses it. `path` may carry a query, which is not
    looked at.
    """
    found = ROUTES.get(path.split(b"?", 1)[0])
    if found is None:
        return Response(404, b"no such call\n")
    wanted, operation = found
    if method != wanted and not (wanted == b"GET" and method == b"HEAD"):
        return Response(405, b"this call goes by " + wanted + b"\n")
    if operation not in TARGETED:
        return Command(operation)
    try:
        said = json.loads(body)
    except ValueError:
        return Response(400, b'the body is not JSON; {"target":"ID"} would do\n')
    target = said.get("target") if isinstance(said, dict) else None
    if not isinstance(target, str) or not target:
        return Response(400, b'no target in the body; {"target":"ID"} would do\n')
    return Command(operation, target, said)


def outcome_response(command: Command, done: bool) -> Response:
    """The answer once the ingress has tried: `done` is False where it knows no such id, or is not
    ready.
    """
    if command.operation is Operation.READY:
        return Response(200, b"ready\n") if done else Response(503, b"not ready\n")
    if done:
        return Response(200, b"ok\n")
    return Response(404, b"no backend " + command.target.encode() + b" here\n")


def encode_response(answer: Response, head_only: bool = False) -> bytes:
    """The answer on the wire; the connection closes behind it."""
    reason = REASONS.get(answer.status, b"")
    head = (
        b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
        % (
            answer.status,
            reason,
            answer.content_type,
            len(answer.body),
        )
    )
    return head if head_only else head + answer.body
