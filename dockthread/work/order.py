"""The order of work, free of I/O: commands from the agreed log in, who is out now.

Theory of operation. Every member applies the same commands in the same order, and so comes to the same order of work;
nothing here looks at a clock, a file or the network. A request names a machine; it waits until its hall has room.

| state | ask | room in its hall | withdraw | done |
| --- | --- | --- | --- | --- |
| - | waiting | - | - | - |
| waiting | the same | granted | withdrawn | - |
| granted | the same | - | withdrawn: comes back | done: comes back |
| withdrawn, done | waiting, as a new one | - | - | - |

A hall has room while fewer machines of it are granted than the least `most` that any request of it names: where
files differ, the careful one holds. Among those that wait, the more urgent goes first, then the older. A machine's
name is the key: asked twice, it is one request, so that staff who saw no answer may ask again. A command that a
member hands on again, as its leader died before it answered, carries the same `once` and is carried out once.
"""

from __future__ import annotations

from typing import Literal

import msgspec

KEPT, SEEN = 64, 256  # requests that are over, for whoever looks; commands known again


class Command(msgspec.Struct, frozen=True, array_like=True):
    """What is agreed on. `hall`: where the machine stands, as the ingress that was asked knew it."""

    do: Literal["ask", "withdraw", "done"]
    target: str
    hall: str = ""
    why: str = ""
    by: str = ""
    urgency: int = 0
    most: int = 1
    once: str = ""  # the same where a command comes again because its first way was not answered


class Request(msgspec.Struct, array_like=True):
    """`since`: the log's index at which it was asked; `epoch`: at which it was granted, 0 before."""

    target: str
    hall: str
    why: str
    by: str
    urgency: int
    most: int
    since: int
    state: str = "waiting"
    epoch: int = 0


class Order:
    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        self.over: list[Request] = []
        self.seen: list[str] = []  # the latest commands, which are not carried out twice

    @staticmethod
    def read(data: bytes) -> Command:
        """Raises ValueError for what is no command."""
        try:
            return msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError as error:
            raise ValueError(f"no command of the order of work: {error}") from error

    def apply(self, index: int, data: bytes) -> None:
        """One command; what is none changes nothing, at every member alike."""
        try:
            command = self.read(data)
        except ValueError:
            return
        if command.once and command.once in self.seen:
            return
        self.seen = [*self.seen, command.once][-SEEN:] if command.once else self.seen
        request = self.requests.get(command.target)
        if command.do == "ask":
            if request is None:
                c = command
                self.requests[c.target] = Request(
                    c.target, c.hall, c.why[:200], c.by, c.urgency, max(1, c.most), index
                )
        elif request is not None and (command.do == "withdraw" or request.state == "granted"):
            request.state = "withdrawn" if command.do == "withdraw" else "done"
            self.over = [*self.over, self.requests.pop(command.target)][-KEPT:]
        self._grant(index)

    def _grant(self, index: int) -> None:
        for request in sorted(self.requests.values(), key=lambda r: (-r.urgency, r.since)):
            if request.state == "waiting" and self.out(request.hall) < self.most(request.hall):
                request.state, request.epoch = "granted", index

    def out(self, hall: str) -> int:
        return sum(r.state == "granted" and r.hall == hall for r in self.requests.values())

    def most(self, hall: str) -> int:
        return min((r.most for r in self.requests.values() if r.hall == hall), default=1)

    def granted(self) -> set[str]:
        return {r.target for r in self.requests.values() if r.state == "granted"}

    def reason(self, request: Request) -> str:
        """Why it waits, in words."""
        if request.state != "waiting":
            return ""
        out = sorted(r.target for r in self.requests.values() if r.state == "granted" and r.hall == request.hall)
        if out:
            where = f"of {request.hall}" if request.hall else "of no known hall"
            return f"{', '.join(out)} {where} {'is' if len(out) == 1 else 'are'} out, and {len(out)} may be"
        return "its turn comes with the next entry"

    def packed(self) -> bytes:
        return msgspec.msgpack.encode((list(self.requests.values()), self.over, self.seen))

    def restore(self, state: bytes) -> None:
        if not state:
            self.requests, self.over, self.seen = {}, [], []
            return
        kind = tuple[list[Request], list[Request], list[str]]
        requests, self.over, self.seen = msgspec.msgpack.decode(state, type=kind)
        self.requests = {r.target: r for r in requests}
