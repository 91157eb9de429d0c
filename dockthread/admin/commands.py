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


class Verb(Enum):
    READY = "ready"
    VARS = "vars"
    DETACH = "detach"
    ATTACH = "attach"
    FLEET = "fleet"
    WORK = "work"
    WORK_ASK = "ask"
    WORK_DONE = "done"
    WORK_WITHDRAW = "withdraw"


TARGETED = (Verb.DETACH, Verb.ATTACH, Verb.WORK_ASK, Verb.WORK_DONE, Verb.WORK_WITHDRAW)
FLEET = (Verb.FLEET, Verb.WORK, Verb.WORK_ASK, Verb.WORK_DONE, Verb.WORK_WITHDRAW)


@dataclass(frozen=True, slots=True)
class Command:
    verb: Verb
    target: str = ""
    more: dict[str, Any] = field(default_factory=dict, compare=False)  # whatever else the body said


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    body: bytes
    kind: bytes = b"text/plain; charset=utf-8"


TABLE: dict[bytes, tuple[bytes, Verb]] = {
    b"/_ready": (b"GET", Verb.READY),
    b"/_vars": (b"GET", Verb.VARS),
    b"/_backends/detach": (b"POST", Verb.DETACH),
    b"/_backends/attach": (b"POST", Verb.ATTACH),
    b"/_fleet": (b"GET", Verb.FLEET),
    b"/_work": (b"GET", Verb.WORK),
    b"/_work/ask": (b"POST", Verb.WORK_ASK),
    b"/_work/done": (b"POST", Verb.WORK_DONE),
    b"/_work/withdraw": (b"POST", Verb.WORK_WITHDRAW),
}
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    503: b"Unavailable",
}


def decide(method: bytes, path: bytes, body: bytes) -> Command | Answer:
    """A call's command, or the answer that refuses it. `path` may carry a query, which is not
    looked at.
    """
    found = TABLE.get(path.split(b"?", 1)[0])
    if found is None:
        return Answer(404, b"no such call\n")
    wanted, verb = found
    if method != wanted and not (wanted == b"GET" and method == b"HEAD"):
        return Answer(405, b"this call goes by " + wanted + b"\n")
    if verb not in TARGETED:
        return Command(verb)
    try:
        said = json.loads(body)
    except ValueError:
        return Answer(400, b'the body is not JSON; {"target":"ID"} would do\n')
    target = said.get("target") if isinstance(said, dict) else None
    if not isinstance(target, str) or not target:
        return Answer(400, b'no target in the body; {"target":"ID"} would do\n')
    return Command(verb, target, said)


def carried(command: Command, done: bool) -> Answer:
    """The answer once the ingress has tried: `done` is False where it knows no such id, or is not
    ready.
    """
    if command.verb is Verb.READY:
        return Answer(200, b"ready\n") if done else Answer(503, b"not ready\n")
    if done:
        return Answer(200, b"ok\n")
    return Answer(404, b"no backend " + command.target.encode() + b" here\n")


def wording(answer: Answer, head_only: bool = False) -> bytes:
    """The answer on the wire; the connection closes behind it."""
    reason = REASONS.get(answer.status, b"")
    head = (
        b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
        % (
            answer.status,
            reason,
            answer.kind,
            len(answer.body),
        )
    )
    return head if head_only else head + answer.body
