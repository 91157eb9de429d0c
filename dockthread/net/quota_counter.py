"""The counter: numbers that all ingresses share. Calls are written one behind another on one
connection.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.net import resp
from dockthread.observer import Observer
from dockthread.policy import CounterReplied, Outcome

RECEIVE_BUFFER_BYTES = 4 * 1024
MAX_IN_FLIGHT = 64  # calls without an answer; a line that long would not be answered in time
# of a connection with a call out, after which it is given up; the next may be heard
SILENCE_TIMEOUT_MS = 100.0
RECONNECT_DELAY_MS = 250.0  # after a connection that never came up, before the next


class CounterAddition:
    """One call that is out or not yet sent. `started`: ms, when it was asked for."""

    __slots__ = ("amount", "life", "name", "started", "told")

    def __init__(self, name: int, amount: float, life: float, started: float) -> None:
        self.name, self.amount, self.life, self.started = name, amount, life, started
        self.told = False


class CounterConnection:
    """One connection to the counter, and the calls on it in the order of their answers."""

    def __init__(self, address: Address) -> None:
        self.sock = address.new_socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address = address
        self.unsent: deque[CounterAddition] = deque()
        self.out: deque[CounterAddition] = deque()
        self.up = False
        self.heard = 0.0  # when it last said something
        self.writing: asyncio.Task[None] | None = None
        self.task: asyncio.Task[None] | None = None


class QuotaCounterClient:
    """`told` gets each call's end, exactly once."""

    def __init__(
        self,
        address: Address | None,
        clock: Clock,
        told: Callable[[CounterReplied], None],
        at: Callable[..., None],
        *,
        timeout: float,
    ) -> None:
        self.observer = Observer()
        self._address, self._clock, self._told, self._at = address, clock, told, at
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._line: CounterConnection | None = None
        self._lines: set[CounterConnection] = set()
        self._not_before = 0.0

    def change_address(self, address: Address | None) -> None:
        """Call the counter at another address; what is out at the old one is still answered
        there.
        """
        if address != self._address:
            self._address, self._line, self._not_before = address, None, 0.0

    def add(self, name: int, amount: float, life: float) -> None:
        """Add to a number; `told` gets the end."""
        now = self._clock.now()
        call = CounterAddition(name, amount, life, now)
        line = self._line
        if line is None:
            if self._address is None or now < self._not_before:
                self._end(call, Outcome.UNREACHABLE)
                return
            try:
                line = self._line = CounterConnection(self._address)
            except OSError as error:
                logger.debug("no socket for the counter: {}", error)
                self._end(call, Outcome.UNREACHABLE)
                return
            self._lines.add(line)
            line.task = self._loop.create_task(self._run(line))
        elif len(line.out) + len(line.unsent) >= MAX_IN_FLIGHT:
            self._end(call, Outcome.NOT_SENT)
            return
        line.unsent.append(call)
        if line.up and line.writing is None:
            line.writing = self._loop.create_task(self._write(line))
        self._at(now + self._timeout, self._overdue, line, call)

    def close(self) -> None:
        """End all connections; what is out ends as not heard of."""
        for line in list(self._lines):
            self._drop(line)

    def enforce_timeouts(self) -> None:
        """Give up a connection whose counter has gone silent, and one to an old address once it is
        done.
        """
        now = self._clock.now()
        for line in list(self._lines):
            done = not (line.out or line.unsent) and line is not self._line
            if done or self._silent(line, now):
                self._drop(line)

    def _silent(self, line: CounterConnection, now: float) -> bool:
        return bool(line.out) and now - max(line.heard, line.out[0].started) > SILENCE_TIMEOUT_MS

    def _overdue(self, line: CounterConnection, call: CounterAddition) -> None:
        if call.told:
            return
        if call in line.unsent:
            line.unsent.remove(call)
            self._end(call, Outcome.UNREACHABLE)
            if not line.up:
                self._drop(line)
        else:
            # it keeps its place: the answer still comes, in its turn
            self._end(call, Outcome.TIMEOUT)
            if self._silent(line, self._clock.now()):
                self._drop(line)

    def _end(self, call: CounterAddition, outcome: Outcome, total: float = 0.0) -> None:
        if not call.told:
            call.told = True
            self.observer.counter_call_ended(outcome, self._clock.now() - call.started)
            self._told(CounterReplied(call.name, outcome, total))

    def _drop(self, line: CounterConnection) -> None:
        if line not in self._lines:
            return
        self._lines.discard(line)
        if self._line is line:
            self._line = None
            if not line.up:
                self._not_before = self._clock.now() + RECONNECT_DELAY_MS
        for task in (line.task, line.writing):
            if task is not None:
                task.cancel()
        line.task = line.writing = None
        line.sock.close()
        for call in line.out:  # written, and so perhaps added
            self._end(call, Outcome.RESET)
        for call in line.unsent:
            self._end(call, Outcome.UNREACHABLE)

    async def _write(self, line: CounterConnection) -> None:
        try:
            while line.unsent:
                calls = list(line.unsent)
                line.unsent.clear()
                line.out.extend(calls)
                await self._loop.sock_sendall(
                    line.sock,
                    b"".join(resp.encode_counter_addition(c.name, c.amount, c.life) for c in calls),
                )
            line.writing = None
        except OSError:
            line.writing = None
            self._drop(line)

    async def _run(self, line: CounterConnection) -> None:
        reader, bounds, buffer = (
            resp.new_parser(),
            resp.counter_reply_guard(),
            bytearray(RECEIVE_BUFFER_BYTES),
        )
        try:
            await self._loop.sock_connect(line.sock, (line.address.host, line.address.port))
            line.up = True
            if line.unsent:
                line.writing = self._loop.create_task(self._write(line))
            while size := await self._loop.sock_recv_into(line.sock, buffer):
                data, line.heard = bytes(buffer[:size]), self._clock.now()
                reader.feed(data[: bounds.count_safe_bytes(data)])
                while (message := reader.gets()) is not resp.INCOMPLETE:
                    if not line.out:
                        raise resp.ProtocolError("an answer to nothing")
                    outcome, total = resp.parse_counter_reply(message)
                    self._end(line.out.popleft(), outcome, total)
                    if outcome is Outcome.ERROR:
                        raise resp.ProtocolError("a total that cannot be read")
                if bounds.is_broken:
                    raise resp.ProtocolError("not a total")
        except (OSError, resp.ProtocolError, UnicodeDecodeError) as error:
            logger.debug("the connection to the counter ended: {!r}", error)
        self._drop(line)
