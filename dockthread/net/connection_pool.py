"""Outbound calls: the connections to backends, one call at a time on each, kept by backend for
reuse.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from math import inf

from loguru import logger

from dockthread.clock import Clock
from dockthread.net import resp
from dockthread.net.endpoint_list import BackendRecord, EndpointList
from dockthread.observer import Observer, Traffic
from dockthread.policy import IDLE_CLOSE_FRACTION, NEVER_RAN, Outcome

BUFFER = 16 * 1024
WHOLE = 200.0  # for the rest of an answer that has begun: backends write one at once
# for a second answer to show: it comes some milliseconds late, and would be taken for the next
# call's
REUSE_DELAY_MS = 20.0


class Attempt:
    """One attempt of one request, from the module's word to start it until its outcome is told."""

    __slots__ = (
        "backend",
        "command",
        "connection",
        "deadline_ms",
        "has_started",
        "is_written",
        "number",
        "outcome",
        "request_number",
        "start_deadline_ms",
        "started_ms",
    )

    def __init__(
        self,
        request: int,
        number: int,
        worker: int,
        ask: resp.RequestCommand,
        started: float,
        due: float,
        begin_by: float = inf,
    ) -> None:
        self.request_number, self.number, self.backend, self.command = request, number, worker, ask
        self.started_ms, self.deadline_ms = started, due
        # the latest for its first byte, where it repeats what may have run
        self.start_deadline_ms = begin_by
        self.has_started = False  # its first byte may have gone out: it counts as sent on
        self.is_written = False  # its last byte has gone out: from here on it may run
        self.outcome: Outcome | None = None
        self.connection: BackendConnection | None = None


class BackendConnection:
    """One connection to a backend, and the task that carries its calls one after another.

    One call at a time: behind another it would wait for that one's answer, and giving it up means
    closing the connection, which would take the other down with it.
    """

    __slots__ = (
        "born",
        "call",
        "destination",
        "endpoint",
        "idle_since",
        "sock",
        "task",
        "up",
        "wake",
    )

    def __init__(self, destination: BackendRecord, call: Attempt) -> None:
        self.destination, self.endpoint, self.born = (
            destination,
            destination.address,
            destination.started_ms,
        )
        self.sock = self.endpoint.new_socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.call: Attempt | None = call
        self.up = False
        self.idle_since = 0.0
        self.wake: asyncio.Future[None] | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def current(self) -> bool:
        """Whether it leads to the process that is listed now, and that may be sent to."""
        to = self.destination
        return to.is_ready and to.address == self.endpoint and to.started_ms == self.born

    def dead(self) -> bool:
        """Whether an idle connection was closed, or says something nobody asked for: either is
        readable.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True


class ConnectionPool:
    """All outbound calls of an ingress. `ended` is told every call's outcome, exactly once."""

    def __init__(
        self,
        destinations: EndpointList,
        clock: Clock,
        replies: resp.ReplyParser,
        ended: Callable[[Attempt, resp.BackendReply], None],
        at: Callable[..., None],
        *,
        most: int,
        conn_idle: float,
        connect_timeout: float,
        traffic: Traffic | None = None,
    ) -> None:
        self._traffic = traffic or Traffic()
        self.observer = Observer()
        self._destinations, self._clock, self._replies = destinations, clock, replies
        self._ended, self._at, self._most = ended, at, most
        self._keep, self._connect_timeout = conn_idle * IDLE_CLOSE_FRACTION, connect_timeout
        self._loop = asyncio.get_running_loop()
        self._connections: set[BackendConnection] = set()
        self._idle: dict[int, deque[BackendConnection]] = {}  # by worker, the longest idle first

    def __len__(self) -> int:
        return len(self._connections)

    def start(self, call: Attempt) -> None:
        """Put a call on the connection that was idle for the shortest time, but long enough, or on
        a new one.
        """
        destination = self._destinations.by_number[call.backend]
        if (connection := self._rested(call.backend)) is not None:
            connection.call, call.connection = call, connection
            if connection.wake is not None and not connection.wake.done():
                connection.wake.set_result(None)
            return
        # Descriptors are a hard limit of the machine: an idle connection elsewhere makes room, else
        # the call
        # ends unsent, which says nothing against the backend.
        if len(self._connections) >= self._most and not self.close_longest_idle():
            self._end(call, Outcome.NOT_SENT)
            return
        try:
            connection = BackendConnection(destination, call)
        except OSError as error:
            logger.warning("no socket for an outbound call: {}", error)
            self.close_longest_idle()
            self._end(call, Outcome.NOT_SENT)
            return
        call.connection = connection
        self._traffic.backend_connections_opened += 1
        if self.observer.tracing:
            self.observer.event("open", node=destination.uid, stand=len(self._connections))
        self._connections.add(connection)
        connection.task = self._loop.create_task(self._run(connection))
        self._at(call.started_ms + self._connect_timeout, self._connect_timed_out, connection, call)

    def _rested(self, worker: int) -> BackendConnection | None:
        idle, latest = self._idle.get(worker), self._clock.now() - REUSE_DELAY_MS
        place = len(idle) if idle else 0
        while idle and place:
            place -= 1
            connection = idle[place]
            if not connection.current or connection.dead():
                del idle[place]
                self._drop(connection)
            elif connection.idle_since <= latest:
                del idle[place]
                return connection
        return None

    def end(self, call: Attempt, outcome: Outcome) -> None:
        """Stop waiting for a call: its connection closes, which tells the backend. One that was not
        begun cannot run.
        """
        if call.outcome is None:
            if call.connection is not None:
                self._drop(call.connection)
            self._end(
                call, outcome if call.has_started or outcome in NEVER_RAN else Outcome.NOT_SENT
            )

    def close_idle_to(self, destination: BackendRecord) -> None:
        """Close the idle connections to a destination that left, moved or restarted."""
        for connection in self._idle.pop(destination.number, ()):
            self._drop(connection)

    def close_expired(self) -> None:
        """Close connections well before the backend does: a call that crosses its close ends as a
        reset.
        """
        oldest = self._clock.now() - self._keep
        for worker, idle in list(self._idle.items()):
            while idle and idle[0].idle_since < oldest:
                self._drop(idle.popleft())
            # else each backend ever sent to is looked at for ever, and takes 600 bytes
            if not idle:
                del self._idle[worker]

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; False where none is idle."""
        held = [idle for idle in self._idle.values() if idle]
        if not held:
            return False
        self._drop(min(held, key=lambda idle: idle[0].idle_since).popleft())
        return True

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            self._drop(connection)

    def _drop(self, connection: BackendConnection) -> None:
        self._connections.discard(connection)
        if connection.task is not None:
            connection.task.cancel()
        # a cancelled task holds on to the frames it ended in
        connection.task = connection.wake = None
        connection.sock.close()

    def _end(self, call: Attempt, outcome: Outcome) -> None:
        self._tell(call, resp.BackendReply(outcome))

    def _tell(self, call: Attempt, reply: resp.BackendReply) -> None:
        if call.outcome is None:
            call.outcome, call.connection = reply.outcome, None
            self._ended(call, reply)

    def _connect_timed_out(self, connection: BackendConnection, call: Attempt) -> None:
        if not connection.up and call.outcome is None:
            if self.observer.tracing:
                self.observer.event("connect", node=connection.destination.uid, end="timeout")
            self.end(call, Outcome.UNREACHABLE)

    async def _run(self, connection: BackendConnection) -> None:
        call = connection.call
        try:
            endpoint = connection.endpoint
            await self._loop.sock_connect(connection.sock, (endpoint.host, endpoint.port))
            connection.up = True
            if self.observer.tracing:
                self.observer.event("connect", node=connection.destination.uid, end="up")
            buffer = bytearray(BUFFER)
            while call := connection.call:
                if not await self._carry(connection, call, buffer):
                    break
        except Exception as error:
            if not isinstance(error, OSError):
                logger.exception("an outbound connection failed")
            if self.observer.tracing and not connection.up:
                self.observer.event(
                    "connect", node=connection.destination.uid, end=type(error).__name__
                )
            # Broken before the last byte was written: the backend cannot have begun it. After: it
            # may have.
            if call is not None:
                self._end(call, Outcome.RESET if call.is_written else Outcome.UNREACHABLE)
        finally:
            self._connections.discard(connection)
            connection.sock.close()

    async def _carry(self, connection: BackendConnection, call: Attempt, buffer: bytearray) -> bool:
        """One call, and the wait for the next; False where the connection is of no more use."""
        now = self._clock.now()
        left = call.deadline_ms - now
        # Just before the first byte: a drain may have been told while the connection came up,
        # another process may
        # stand in its place, and the time for a repeat may be over.
        if left <= 0 or now > call.start_deadline_ms or not connection.current:
            self._end(call, Outcome.NOT_SENT)
            return False
        command = call.command.encode_for_backend(left)
        self._traffic.backend_bytes_out += len(command)
        call.has_started = True
        await self._loop.sock_sendall(connection.sock, command)
        call.is_written = True
        self._traffic.attempts_sent += 1
        reply, last = await self._answer(connection, call, buffer)
        if last:
            self._tell(call, reply)
            return False
        connection.call, connection.idle_since = None, self._clock.now()
        wake = connection.wake = self._loop.create_future()
        if connection.current:
            self._idle.setdefault(call.backend, deque()).append(connection)
            self._tell(call, reply)
            await wake
            return True
        self._tell(call, reply)
        return False

    async def _answer(
        self, connection: BackendConnection, call: Attempt, buffer: bytearray
    ) -> tuple[resp.BackendReply, bool]:
        """What a backend says of a call, and whether the connection is of no more use after it.

        A spoilt answer is an error, never a refusal: the request has run. What came behind a good
        one answers nothing, and whose would the next answer on that connection be?
        """
        reader, bounds = resp.new_parser(), resp.reply_guard()
        begun = False
        while True:
            size = await self._loop.sock_recv_into(connection.sock, buffer)
            if not size:
                return resp.BackendReply(Outcome.RESET), True
            self._traffic.backend_bytes_in += size
            data = bytes(buffer[:size])
            reader.feed(data[: bounds.count_safe_bytes(data)])
            try:
                message = reader.gets()
            except (resp.ProtocolError, UnicodeDecodeError):
                return resp.BackendReply(Outcome.ERROR), True
            if message is not resp.INCOMPLETE:
                reply = self._replies.parse(message)
                return (
                    reply,
                    not reply.is_well_formed
                    or bounds.is_broken
                    or not bounds.is_between_messages
                    or reader.has_data(),
                )
            if bounds.is_broken:
                log = logger.bind(worker=call.backend, uid=connection.destination.uid)
                log.debug("{} says what cannot be read", connection.endpoint)
                return resp.BackendReply(Outcome.ERROR), True
            if not begun:
                begun = True
                self._at(self._clock.now() + WHOLE, self._half_answered, connection, call)

    def _half_answered(self, connection: BackendConnection, call: Attempt) -> None:
        if connection.call is call and call.connection is connection:
            self.end(call, Outcome.ERROR)
