"""Sends arrivals when they are due, whatever came of those before: an open loop. RESP2, as clients
of the protocol.

A request goes out on a connection that waits for nothing, or on a new one, up to a bound; beyond
it, it waits for a connection, and its time runs on. A client gives up at its deadline and closes
the connection, as the protocol has it.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import hiredis

from dockthread.lab.arrivals import Arrival
from dockthread.lab.outcome import Outcome

INCOMPLETE = object()
AFTER = 0.5  # s after the last deadline in which what is on its way may still come
AHEAD = 0.0005  # s before a start in which waiting on the loop is no longer worth it


@dataclass(frozen=True, slots=True)
class Target:
    """`deadlines` by class, in seconds; classes in `writes` go by API.WRITE."""

    host: str
    port: int
    deadlines: dict[str, float]
    writes: frozenset[str]
    most_connections: int = 1000


class Client(asyncio.Protocol):
    """One connection: one request at a time on it, so that a deadline closes nothing but its
    own.
    """

    def __init__(self, lost: Callable[[Client], None]) -> None:
        self._lost = lost
        self.reader = hiredis.Reader(notEnoughData=INCOMPLETE)
        self.answered: Callable[[object], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """From asyncio: the connection is open."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]  # uvloop has a class of its own

    def data_received(self, data: bytes) -> None:
        """From asyncio: bytes came; one that cannot be parsed ends the connection."""
        self.reader.feed(data)
        try:
            answer = self.reader.gets()
        except hiredis.ProtocolError:
            self.transport.abort()
            return
        if answer is not INCOMPLETE and self.answered is not None:
            answered, self.answered = self.answered, None
            answered(answer)

    def connection_lost(self, error: Exception | None) -> None:
        """From asyncio: the connection is gone."""
        self._lost(self)


def word_of(answer: object) -> str:
    """Served, refused or failed, by the protocol's table."""
    if isinstance(answer, hiredis.ReplyError):
        return "refused" if str(answer).split(" ")[0] == "BUSY" else "failed"
    if isinstance(answer, list):
        answer = answer[0] if answer else None
    return "served" if isinstance(answer, bytes) else "failed"


def command(one: Arrival, target: Target, number: int) -> bytes:
    """A request as clients write it."""
    verb = b"API.WRITE" if one.request_class in target.writes else b"API.READ"
    left = target.deadlines[one.request_class] * 1000.0
    terms = f"c={one.request_class},t={one.plan},d={left:.0f},units={one.units},spread={one.spread},first={one.first}"
    args = (verb, b"%016x" % one.firm, b"%016x" % number, terms.encode())
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args)


class Load:
    """`first_id`: the number of the first request; each takes the next `step`, so that processes
    never share one.
    """

    def __init__(self, target: Target, first_id: int, step: int = 1) -> None:
        self._target, self._id, self._step = target, first_id, step
        self._loop = asyncio.get_running_loop()
        self.outcome = Outcome()
        self._free: list[Client] = []
        self._open: set[Client] = set()
        self._opening = 0
        self._waiting: deque[tuple[Arrival, float]] = deque()
        self._out = 0
        self._busy: dict[Client, Callable[[str], None]] = {}
        self.progress: Callable[[int], None] = lambda asked: None

    async def run(self, arrivals: Iterable[Arrival]) -> Outcome:
        """Send all in their time and wait for the last answers; what became of them."""
        begun, cpu = time.perf_counter(), time.process_time()
        last = 0.0
        for one in arrivals:
            due = begun + one.at
            while (wait := due - time.perf_counter()) > AHEAD:
                await asyncio.sleep(wait)
            self.outcome.started(time.perf_counter() - due)
            last = max(last, due + self._target.deadlines[one.request_class])
            self._start(one, due)
            if not self.outcome.asked % 64:
                self.progress(self.outcome.asked)
                await asyncio.sleep(0)
        while (self._out or self._waiting) and time.perf_counter() < last + AFTER:
            await asyncio.sleep(0.005)
        for client in list(self._open):
            client.transport.abort()
        await asyncio.sleep(0)
        for one, _ in self._waiting:
            self.outcome.note(one.request_class, "late", None)
        self.outcome.seconds, self.outcome.cpu = (
            time.perf_counter() - begun,
            time.process_time() - cpu,
        )
        self.progress(self.outcome.asked)
        return self.outcome

    def _start(self, one: Arrival, due: float) -> None:
        while self._free:
            client = self._free.pop()
            if not client.transport.is_closing():
                self._send(client, one, due)
                return
        self._waiting.append((one, due))
        if len(self._open) + self._opening < self._target.most_connections:
            self._opening += 1
            self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        target = self._target
        try:
            _, client = await self._loop.create_connection(
                lambda: Client(self._lost), target.host, target.port
            )
        except OSError:
            self._opening -= 1
            if self._waiting:
                one, _ = self._waiting.popleft()
                self.outcome.note(one.request_class, "unsent", None)
            return
        self._opening -= 1
        self._open.add(client)
        self.outcome.connections += 1
        self._next(client)

    def _next(self, client: Client) -> None:
        """A connection is free: the longest waiting goes, unless its client has given up by now."""
        now = time.perf_counter()
        while self._waiting:
            one, due = self._waiting.popleft()
            if now - due < self._target.deadlines[one.request_class]:
                self._send(client, one, due)
                return
            self.outcome.note(one.request_class, "late", None)
        self._free.append(client)

    def _send(self, client: Client, one: Arrival, due: float) -> None:
        self._id += self._step
        self._out += 1
        left = due + self._target.deadlines[one.request_class] - time.perf_counter()
        alarm = self._loop.call_later(max(0.0, left), self._gave_up, client)

        def ended(word: str, seconds: float | None = None) -> None:
            alarm.cancel()
            self._out -= 1
            self._busy.pop(client, None)
            self.outcome.note(one.request_class, word, seconds)

        def answered(answer: object) -> None:
            ended(word_of(answer), time.perf_counter() - due)
            self._next(client)

        client.answered = answered
        self._busy[client] = ended
        client.transport.write(command(one, self._target, self._id))

    def _gave_up(self, client: Client) -> None:
        if (ended := self._busy.get(client)) is not None:
            client.answered = None
            ended("late")
            client.transport.abort()

    def _lost(self, client: Client) -> None:
        self._open.discard(client)
        if (ended := self._busy.get(client)) is not None:
            ended("lost")
