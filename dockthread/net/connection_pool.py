"""The pool of connections to backends: runs attempts, and keeps idle connections for reuse."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from dockthread.net import resp
from dockthread.net.backend_connection import Attempt, BackendConnection, BackendConnectionState
from dockthread.net.backend_exchange import READ_BYTES, BackendExchange
from dockthread.net.context import IngressContext
from dockthread.net.endpoint_list import BackendRecord
from dockthread.observer import DropReason, Observer
from dockthread.policy import IDLE_CLOSE_FRACTION, NEVER_RAN, Outcome

# Time without a byte within a reply after which the attempt has failed.
REPLY_STALL_TIMEOUT_MS = 2_000.0
# The same within a long reply that is being passed on, which no other attempt can replace.
STREAM_STALL_TIMEOUT_MS = 10_000.0
# Time without a byte after the value of a long reply.
TAIL_TIMEOUT_MS = 500.0
# Age from which it is checked again before an attempt is sent whether its client has left.
MIN_CLOSE_CHECK_AGE_MS = 5.0
# Minimum idle time before a connection is reused. A faulty backend may send a second reply some
# milliseconds after the first, which would be mistaken for the reply to the next request.
REUSE_DELAY_MS = 20.0


@dataclass(frozen=True, slots=True)
class ConnectionPoolLimits:
    """The limits of a connection pool.

    `idle_timeout_ms` is the time after which backends close an idle connection. The pool closes
    idle connections earlier, after `IDLE_CLOSE_FRACTION` of that time.
    """

    max_connections: int
    idle_timeout_ms: float
    connect_timeout_ms: float


class ConnectionPool:
    """Runs all attempts of an ingress. `on_ended` is called exactly once for each attempt."""

    def __init__(
        self, context: IngressContext, exchange: BackendExchange, limits: ConnectionPoolLimits
    ) -> None:
        self.observer = Observer()
        self.exchange = exchange
        self.on_ended: Callable[[Attempt, resp.BackendReply], None] = lambda _attempt, _reply: None
        self._endpoints = context.endpoints
        self._clock = context.clock
        self._call_at = context.timers.call_at
        self._traffic = context.traffic
        self._max_connections = limits.max_connections
        self._max_idle_ms = limits.idle_timeout_ms * IDLE_CLOSE_FRACTION
        self._connect_timeout_ms = limits.connect_timeout_ms
        self._loop = asyncio.get_running_loop()
        self._connections: set[BackendConnection] = set()
        # Idle connections by backend number, longest idle first.
        self._idle: dict[int, deque[BackendConnection]] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def start(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection to its backend, or on a new connection.

        Among reusable idle connections, the most recently used one is chosen.
        """
        backend = self._endpoints.by_number[attempt.backend]
        connection = self._take_idle(attempt.backend)
        if connection is not None:
            connection.attempt = attempt
            connection.state = BackendConnectionState.IN_USE
            attempt.connection = connection
            if connection.reused is not None and not connection.reused.done():
                connection.reused.set_result(None)
            return
        # File descriptors are limited. At the limit, an idle connection to another backend is
        # closed; if there is none, the attempt ends unsent, which is not held against the backend.
        if len(self._connections) >= self._max_connections and not self.close_longest_idle():
            self._finish(attempt, resp.BackendReply(Outcome.NOT_SENT))
            return
        try:
            connection = BackendConnection(backend, attempt)
        except OSError as error:
            logger.warning("cannot create a socket for a backend connection: {}", error)
            self.close_longest_idle()
            self._finish(attempt, resp.BackendReply(Outcome.NOT_SENT))
            return
        self._open(connection, attempt)

    def _open(self, connection: BackendConnection, attempt: Attempt) -> None:
        attempt.connection = connection
        self._traffic.backend_connections_opened += 1
        if self.observer.tracing:
            uid = connection.backend.uid
            self.observer.event("open", node=uid, stand=len(self._connections))
        self._connections.add(connection)
        connection.task = self._loop.create_task(self._run(connection))
        connect_by_ms = attempt.started_ms + self._connect_timeout_ms
        self._call_at(connect_by_ms, self._on_connect_timeout, connection, attempt)

    def _take_idle(self, backend: int) -> BackendConnection | None:
        """Take the most recently used reusable connection; close broken ones found on the way."""
        idle = self._idle.get(backend)
        latest_idle_since_ms = self._clock.now() - REUSE_DELAY_MS
        position = len(idle) if idle else 0
        while idle and position:
            position -= 1
            connection = idle[position]
            if not connection.is_current or connection.is_broken():
                del idle[position]
                self._close_connection(connection)
            elif connection.idle_since_ms <= latest_idle_since_ms:
                del idle[position]
                return connection
        return None

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt that is in flight, and close its connection to notify the backend.

        An attempt whose last byte has not been sent cannot have run. If `outcome` does not say
        so, the attempt ends with `NOT_SENT` instead. A timeout does not end an attempt whose value
        is being passed on.
        """
        if attempt.outcome is not None:
            return
        if attempt.response_started_ms is not None and outcome is Outcome.TIMEOUT:
            return
        if attempt.connection is not None:
            self._close_connection(attempt.connection)
        is_possible = attempt.may_have_run or outcome in NEVER_RAN
        self._finish(attempt, resp.BackendReply(outcome if is_possible else Outcome.NOT_SENT))

    def close_idle_to(self, backend: BackendRecord) -> None:
        """Close the idle connections to a backend that was removed, restarted or moved."""
        for connection in self._idle.pop(backend.number, ()):
            self._close_connection(connection)

    def close_expired(self) -> None:
        """Close idle connections well before their backend does.

        An attempt that is sent while the backend closes the connection would end with a reset.
        """
        oldest_idle_since_ms = self._clock.now() - self._max_idle_ms
        for backend, idle in list(self._idle.items()):
            while idle and idle[0].idle_since_ms < oldest_idle_since_ms:
                self._close_connection(idle.popleft())
            # Otherwise every backend ever used would keep an entry of 600 bytes, visited each time.
            if not idle:
                del self._idle[backend]

    def end_stalled(self) -> None:
        """End the attempts whose backend stopped within its reply."""
        now = self._clock.now()
        for connection in list(self._connections):
            attempt, since_ms = connection.attempt, connection.stalled_since_ms
            if attempt is None or since_ms is None:
                continue
            if attempt.is_response_complete:
                timeout_ms, outcome = TAIL_TIMEOUT_MS, Outcome.OK
            elif attempt.response_started_ms is not None:
                timeout_ms, outcome = STREAM_STALL_TIMEOUT_MS, Outcome.RESET
            else:
                timeout_ms, outcome = REPLY_STALL_TIMEOUT_MS, Outcome.ERROR
            if now - since_ms > timeout_ms:
                self._traffic.drops[DropReason.BACKEND_STALLED] += 1
                logger.bind(worker=attempt.backend, uid=connection.backend.uid).debug(
                    "backend {} stalled within its reply to request {}; the attempt ends as {}",
                    connection.backend.uid,
                    attempt.command.wire_id.decode(),
                    outcome.value,
                )
                self.end(attempt, outcome)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        candidates = [idle for idle in self._idle.values() if idle]
        if not candidates:
            return False
        longest_idle = min(candidates, key=lambda idle: idle[0].idle_since_ms)
        self._close_connection(longest_idle.popleft())
        return True

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            self._close_connection(connection)

    def _close_connection(self, connection: BackendConnection) -> None:
        self._connections.discard(connection)
        if connection.task is not None:
            connection.task.cancel()
        # A cancelled task references the frames in which it ended, which reference this connection.
        # Dropping the references avoids a cycle.
        connection.task = None
        connection.reused = None
        connection.sock.close()

    def _finish(self, attempt: Attempt, reply: resp.BackendReply) -> None:
        if attempt.outcome is None:
            attempt.outcome = reply.outcome
            attempt.connection = None
            self.on_ended(attempt, reply)

    def _has_client_left(self, attempt: Attempt, now: float) -> bool:
        """Return whether the client closed its connection while the attempt waited for its own."""
        source = attempt.source
        if source is None or now - attempt.started_ms < MIN_CLOSE_CHECK_AGE_MS:
            return False  # it was checked when the attempt was started
        if not source.has_disconnected():
            return False
        source.close_soon()
        return True

    def _on_connect_timeout(self, connection: BackendConnection, attempt: Attempt) -> None:
        is_connecting = connection.state is BackendConnectionState.CONNECTING
        if is_connecting and attempt.outcome is None:
            if self.observer.tracing:
                self.observer.event("connect", node=connection.backend.uid, end="timeout")
            self.end(attempt, Outcome.UNREACHABLE)

    async def _run(self, connection: BackendConnection) -> None:
        """Connect, and run one attempt after another until the connection is no longer usable."""
        attempt = connection.attempt
        try:
            endpoint = connection.endpoint
            await self._loop.sock_connect(connection.sock, (endpoint.host, endpoint.port))
            connection.state = BackendConnectionState.IN_USE
            if self.observer.tracing:
                self.observer.event("connect", node=connection.backend.uid, end="up")
            buffer = bytearray(READ_BYTES)
            while attempt := connection.attempt:
                if not await self._exchange(connection, attempt, buffer):
                    break
        except Exception as error:  # noqa: BLE001 - any fault must end the attempt
            if not isinstance(error, OSError):
                logger.exception("unexpected error on a backend connection")
            is_connecting = connection.state is BackendConnectionState.CONNECTING
            if self.observer.tracing and is_connecting:
                uid = connection.backend.uid
                self.observer.event("connect", node=uid, end=type(error).__name__)
            # If the connection broke before the last byte was sent, the backend cannot have started
            # the request. Otherwise it may have started it.
            if attempt is not None:
                outcome = Outcome.RESET if attempt.is_written else Outcome.UNREACHABLE
                self._finish(attempt, resp.BackendReply(outcome))
        finally:
            self._connections.discard(connection)
            connection.sock.close()

    async def _exchange(
        self, connection: BackendConnection, attempt: Attempt, buffer: bytearray
    ) -> bool:
        """Run one attempt, then wait for the next one.

        Returns False if the connection can no longer be used.
        """
        now = self._clock.now()
        time_left_ms = attempt.deadline_ms - now
        # Checked immediately before sending: while the connection was being established, the
        # backend may have started draining or restarted, or the deadline for a retry may have
        # passed.
        if time_left_ms <= 0 or now > attempt.start_deadline_ms or not connection.is_current:
            self._finish(attempt, resp.BackendReply(Outcome.NOT_SENT))
            return False
        if self._has_client_left(attempt, now):
            self._traffic.drops[DropReason.CLIENT_LEFT] += 1
            self._finish(attempt, resp.BackendReply(Outcome.NOT_SENT))
            return False
        await self.exchange.send(connection, attempt, time_left_ms)
        result = await self.exchange.receive(connection, attempt, buffer)
        reply = result.reply
        connection.stalled_since_ms = None
        if not result.is_reusable:
            self._finish(attempt, reply)
            return False
        connection.attempt = None
        connection.idle_since_ms = self._clock.now()
        connection.state = BackendConnectionState.IDLE
        reused = connection.reused = self._loop.create_future()
        if not connection.is_current:
            self._finish(attempt, reply)
            return False
        self._idle.setdefault(attempt.backend, deque()).append(connection)
        self._finish(attempt, reply)
        await reused
        return True
