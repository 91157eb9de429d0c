"""The client of the quota counter, a service whose counts all ingresses share.

Additions are pipelined on one connection, and the counter replies to them in the same order.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

import hiredis
from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.net import resp
from dockthread.observer import Observer
from dockthread.policy import CounterReplied, Outcome

RECEIVE_BUFFER_BYTES = 4 * 1024
# Maximum number of additions on a connection without a reply. With more, the last ones would not be
# answered in time.
MAX_IN_FLIGHT = 64
# Time without a reply, with additions in flight, after which a connection is closed and replaced.
SILENCE_TIMEOUT_MS = 100.0
# Time before a new connection after one that could not be established.
RECONNECT_DELAY_MS = 250.0


class CounterAddition:
    """One addition to a count; times in ms on the ingress's clock."""

    __slots__ = ("amount", "is_ended", "lifetime_ms", "name", "started_ms")

    def __init__(self, name: int, amount: float, lifetime_ms: float, started_ms: float) -> None:
        self.name = name
        self.amount = amount
        self.lifetime_ms = lifetime_ms
        self.started_ms = started_ms
        self.is_ended = False  # its outcome has been reported

    def encode(self) -> bytes:
        """Return the command to send to the counter."""
        return resp.encode_counter_addition(self.name, self.amount, self.lifetime_ms)


class CounterConnection:
    """One connection to the counter, with its unsent and unanswered additions in order."""

    def __init__(self, address: Address) -> None:
        self.sock = address.new_socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address = address
        self.unsent: deque[CounterAddition] = deque()
        self.in_flight: deque[CounterAddition] = deque()
        self.is_established = False
        self.last_received_ms = 0.0
        self.reader_task: asyncio.Task[None] | None = None
        self.writer_task: asyncio.Task[None] | None = None

    def is_unresponsive(self, now_ms: float) -> bool:
        """Return whether additions have waited for longer than `SILENCE_TIMEOUT_MS`."""
        if not self.in_flight:
            return False
        waiting_since_ms = max(self.last_received_ms, self.in_flight[0].started_ms)
        return now_ms - waiting_since_ms > SILENCE_TIMEOUT_MS


class QuotaCounterClient:
    """Adds to the shared counts; `on_ended` is called exactly once for each addition."""

    def __init__(
        self,
        address: Address | None,
        clock: Clock,
        on_ended: Callable[[CounterReplied], None],
        call_at: Callable[..., None],
        *,
        timeout: float,
    ) -> None:
        self.observer = Observer()
        self._address = address
        self._clock = clock
        self._on_ended = on_ended
        self._call_at = call_at
        self._timeout_ms = timeout
        self._loop = asyncio.get_running_loop()
        self._connection: CounterConnection | None = None  # used for new additions
        self._connections: set[CounterConnection] = set()
        self._reconnect_not_before_ms = 0.0

    def change_address(self, address: Address | None) -> None:
        """Switch to another address; the old connection still serves its additions in flight."""
        if address != self._address:
            self._address = address
            self._connection = None
            self._reconnect_not_before_ms = 0.0

    def add(self, name: int, amount: float, lifetime_ms: float) -> None:
        """Add `amount` to the count `name`; it expires `lifetime_ms` after its first addition."""
        now = self._clock.now()
        addition = CounterAddition(name, amount, lifetime_ms, now)
        connection = self._connection
        if connection is None:
            connection = self._connect(now)
            if connection is None:
                self._end(addition, Outcome.UNREACHABLE)
                return
        elif len(connection.in_flight) + len(connection.unsent) >= MAX_IN_FLIGHT:
            self._end(addition, Outcome.NOT_SENT)
            return
        connection.unsent.append(addition)
        if connection.is_established and connection.writer_task is None:
            connection.writer_task = self._loop.create_task(self._write(connection))
        self._call_at(now + self._timeout_ms, self._on_timeout, connection, addition)

    def close(self) -> None:
        """Close all connections; additions without a reply end as reset or unreachable."""
        for connection in list(self._connections):
            self._drop(connection)

    def enforce_timeouts(self) -> None:
        """Close unresponsive connections, and idle ones to an earlier address."""
        now = self._clock.now()
        for connection in list(self._connections):
            has_work = bool(connection.in_flight or connection.unsent)
            is_finished = not has_work and connection is not self._connection
            if is_finished or connection.is_unresponsive(now):
                self._drop(connection)

    def _connect(self, now_ms: float) -> CounterConnection | None:
        if self._address is None or now_ms < self._reconnect_not_before_ms:
            return None
        try:
            connection = CounterConnection(self._address)
        except OSError as error:
            logger.debug("cannot create a socket for the counter: {}", error)
            return None
        self._connection = connection
        self._connections.add(connection)
        connection.reader_task = self._loop.create_task(self._run(connection))
        return connection

    def _on_timeout(self, connection: CounterConnection, addition: CounterAddition) -> None:
        if addition.is_ended:
            return
        if addition in connection.unsent:
            connection.unsent.remove(addition)
            self._end(addition, Outcome.UNREACHABLE)
            if not connection.is_established:
                self._drop(connection)
        else:
            # It stays in the in-flight queue, because its reply may still arrive in order.
            self._end(addition, Outcome.TIMEOUT)
            if connection.is_unresponsive(self._clock.now()):
                self._drop(connection)

    def _end(self, addition: CounterAddition, outcome: Outcome, total: float = 0.0) -> None:
        if addition.is_ended:
            return
        addition.is_ended = True
        self.observer.counter_call_ended(outcome, self._clock.now() - addition.started_ms)
        self._on_ended(CounterReplied(addition.name, outcome, total))

    def _drop(self, connection: CounterConnection) -> None:
        if connection not in self._connections:
            return
        self._connections.discard(connection)
        if self._connection is connection:
            self._connection = None
            if not connection.is_established:
                self._reconnect_not_before_ms = self._clock.now() + RECONNECT_DELAY_MS
        for task in (connection.reader_task, connection.writer_task):
            if task is not None:
                task.cancel()
        connection.reader_task = None
        connection.writer_task = None
        connection.sock.close()
        for addition in connection.in_flight:  # sent, so the counter may have executed it
            self._end(addition, Outcome.RESET)
        for addition in connection.unsent:
            self._end(addition, Outcome.UNREACHABLE)

    async def _write(self, connection: CounterConnection) -> None:
        try:
            while connection.unsent:
                additions = list(connection.unsent)
                connection.unsent.clear()
                connection.in_flight.extend(additions)
                commands = b"".join(addition.encode() for addition in additions)
                await self._loop.sock_sendall(connection.sock, commands)
            connection.writer_task = None
        except OSError:
            connection.writer_task = None
            self._drop(connection)

    async def _run(self, connection: CounterConnection) -> None:
        address = connection.address
        try:
            await self._loop.sock_connect(connection.sock, (address.host, address.port))
            connection.is_established = True
            if connection.unsent:
                connection.writer_task = self._loop.create_task(self._write(connection))
            await self._receive(connection)
        except (OSError, resp.ProtocolError, UnicodeDecodeError) as error:
            logger.debug("connection to the counter ended: {!r}", error)
        self._drop(connection)

    async def _receive(self, connection: CounterConnection) -> None:
        parser = resp.new_parser()
        guard = resp.counter_reply_guard()
        buffer = bytearray(RECEIVE_BUFFER_BYTES)
        while size := await self._loop.sock_recv_into(connection.sock, buffer):
            data = bytes(buffer[:size])
            connection.last_received_ms = self._clock.now()
            parser.feed(data[: guard.count_safe_bytes(data)])
            self._process_replies(connection, parser)
            if guard.is_broken:
                raise resp.ProtocolError("malformed reply")

    def _process_replies(self, connection: CounterConnection, parser: hiredis.Reader) -> None:
        while (message := parser.gets()) is not resp.INCOMPLETE:
            if not connection.in_flight:
                raise resp.ProtocolError("reply without a command in flight")
            reply = resp.parse_counter_reply(message)
            self._end(connection.in_flight.popleft(), reply.outcome, reply.total)
            if reply.outcome is Outcome.ERROR:
                raise resp.ProtocolError("reply is not a valid total")
