"""Serves subscribers, publishers and lookups over TCP: does the I/O of voters and distributors.

Theory of operation. A connection becomes a subscriber's when it sends `Subscribe`. Any connection
may publish changes and look up resources. The server asks `FanOut` for the next frame of a
connection only while the transport's write buffer is below its limit, so a slow subscriber buffers
few frames and needs no queue. The owner of the table calls `on_table_changed` after each change;
all changes within one iteration of the event loop are served by one pass over the connections. One
timer serves all connections.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, Protocol

import msgspec
from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.control_plane.fanout import FanOut, UnexpectedMessageError
from dockthread.control_plane.listing import lookup_resources
from dockthread.control_plane.messages import (
    MAX_MESSAGE_BYTES,
    Acknowledge,
    Heartbeat,
    LookupRequest,
    Message,
    PublishRequest,
    PublishResponse,
    StatusRequest,
    StatusResponse,
    Subscribe,
    codec,
)
from dockthread.control_plane.publish_state_machine import OUTCOME_UNKNOWN
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.server_settings import ServerSettings
from dockthread.control_plane.stream import FrameStream
from dockthread.framing import MessageCounts

MAX_REQUEST_BYTES: Final = 256 << 10
"""Maximum size in bytes of a message to a server, which may hold a body or 64 rejections."""
MAX_PENDING_PUBLISHES: Final = 64
"""Maximum number of changes that are waiting for the replicated log."""
MAX_IDLE_TIME: Final = 10_000.0
"""Time in ms without a message after which a connection without a subscriber is closed."""
MAX_FRAMES_PER_WRITE: Final = 4
"""Frames written to one connection before other connections are served."""
LISTEN_BACKLOG: Final = 1024
"""Connections that may wait to be accepted when many subscribers restart at once."""
MIN_TIMER_DELAY: Final = 0.005
"""Minimum time in s between two runs of the timer."""
MALFORMED_LOG_INTERVAL: Final = 60_000.0
"""Minimum time in ms between two log lines about malformed bytes."""
MS_PER_S: Final = 1_000.0


class Publisher(Protocol):
    """Accepts published changes; implemented by `Voter`."""

    async def publish(self, request: PublishRequest) -> PublishResponse:
        """Commit a change to the replicated log and return the outcome."""


@dataclass(frozen=True, slots=True)
class TableSource:
    """The table that a server serves.

    Attributes:
        table: The table.
        age: Returns the time in ms for which the table may have lacked a change, or `AGE_UNKNOWN`.
    """

    table: ResourceTable
    age: Callable[[], float]


@dataclass(slots=True)
class ServerCounts:
    """Events of a server since its start.

    Attributes:
        accepted: Connections accepted.
        rejected: Connections closed because the limit was reached.
        malformed: Connections closed because of malformed bytes.
        unexpected: Connections closed because of an unexpected message.
        overdue: Connections closed because they were silent, idle or replaced.
        unread: Connections closed because they sent requests without reading the responses.
    """

    accepted: int = 0
    rejected: int = 0
    malformed: int = 0
    unexpected: int = 0
    overdue: int = 0
    unread: int = 0


class ServerStream(FrameStream):
    """One accepted connection.

    Attributes:
        number: Number of the connection, counted from 1.
        is_subscribed: Whether the connection belongs to a subscriber.
        last_received_at: When its last message arrived, in ms.
    """

    def __init__(self, server: ControlPlaneServer, number: int, key: bytes) -> None:
        super().__init__(key, MAX_REQUEST_BYTES, server.messages)
        self._server = server
        self.number = number
        self.is_subscribed = False
        self.last_received_at = server.clock.now()

    def on_open(self) -> None:
        """Let the server accept or refuse the connection."""
        self._server.on_open(self)

    def on_message(self, message: Message) -> None:
        """Pass a message to the server."""
        self._server.on_message(self, message)

    def on_malformed(self, reason: str) -> None:
        """Let the server count malformed bytes."""
        self._server.on_malformed(self, reason)

    def on_closed(self, reason: str) -> None:  # noqa: ARG002  the reason is not used
        """Let the server remove the connection."""
        self._server.on_closed(self)

    def on_writable(self) -> None:
        """Let the server continue writing."""
        self._server.write_to(self)


class ControlPlaneServer:
    """Serves the table of `source`. `publisher` is None on a distributor.

    Attributes:
        table: The served table.
        clock: Clock of the process.
        counts: Counters of events since the start.
        messages: Counts of messages received and sent.
        fan_out: Cursors of the subscribers.
    """

    def __init__(
        self,
        settings: ServerSettings,
        source: TableSource,
        clock: Clock,
        rng: random.Random,
        publisher: Publisher | None = None,
    ) -> None:
        self.table = source.table
        self.clock = clock
        self.counts = ServerCounts()
        self.messages = MessageCounts()
        self.fan_out = FanOut(source.table, settings.fan_out, rng, settings.key, clock.now())
        self._settings = settings
        self._age = source.age
        self._publisher = publisher
        self._connections: dict[int, ServerStream] = {}  # by connection number
        self._last_number = 0
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_write_scheduled = False
        self._next_malformed_log_at = 0.0
        self._publish_tasks: set[asyncio.Task[Any]] = set()

    async def open(self, listen: Address) -> Address:
        """Start listening, and return the address with the assigned port.

        Raises:
            OSError: The server cannot listen on the address.
        """
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(
            self._make_stream, listen.host, listen.port, backlog=LISTEN_BACKLOG
        )
        self._schedule_timer()
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._publish_tasks):
            task.cancel()
        for connection in list(self._connections.values()):
            connection.abort()
        await asyncio.sleep(0)

    def on_table_changed(self) -> None:
        """Send a change of the table or its age in the next iteration of the event loop."""
        if not self._is_write_scheduled:
            self._is_write_scheduled = True
            self._loop.call_soon(self._write_all)

    # Connections

    def _make_stream(self) -> ServerStream:
        self._last_number += 1
        return ServerStream(self, self._last_number, self._settings.key)

    def on_open(self, connection: ServerStream) -> None:
        """Accept a connection, or close it if the limit is reached."""
        if len(self._connections) >= self._settings.connections:
            self.counts.rejected += 1
            connection.abort()
            return
        self.counts.accepted += 1
        assert connection.transport is not None
        connection.transport.set_write_buffer_limits(high=self._settings.write_buffer)
        self._connections[connection.number] = connection

    def on_closed(self, connection: ServerStream) -> None:
        """Remove a closed connection."""
        removed = self._connections.pop(connection.number, None)
        if removed is not None and connection.is_subscribed:
            self.fan_out.on_closed(self.clock.now(), connection.number)

    def on_malformed(self, connection: ServerStream, reason: str) -> None:
        """Count malformed bytes and log them at a limited rate; the key may be wrong."""
        self.counts.malformed += 1
        now = self.clock.now()
        if now < self._next_malformed_log_at:
            return
        self._next_malformed_log_at = now + MALFORMED_LOG_INTERVAL
        transport = connection.transport
        peer = transport.get_extra_info("peername") if transport is not None else None
        logger.warning(
            "control: {} connections sent malformed bytes so far, the last from {}: {}",
            self.counts.malformed,
            peer,
            reason,
        )

    def on_message(self, connection: ServerStream, message: Message) -> None:
        """Handle a message."""
        now = self.clock.now()
        connection.last_received_at = now
        if not connection.is_writable and not connection.is_subscribed:
            self.counts.unread += 1
            connection.abort()
            return
        try:
            self._dispatch(now, connection, message)
        except UnexpectedMessageError as error:
            self.counts.unexpected += 1
            logger.debug(
                "control: closing connection {} after an unexpected message: {}",
                connection.number,
                error,
            )
            connection.abort()

    def _dispatch(self, now: float, connection: ServerStream, message: Message) -> None:
        match message:
            case Subscribe():
                self._subscribe(now, connection, message)
            case Acknowledge() | Heartbeat():
                self.fan_out.on_message(now, connection.number, message)
                self.write_to(connection)
            case PublishRequest():
                self._publish(connection, message)
            case StatusRequest():
                connection.send(self.status())
            case LookupRequest():
                connection.send(lookup_resources(self.table, message))
            case _:
                raise UnexpectedMessageError(type(message).__name__)

    def _subscribe(self, now: float, connection: ServerStream, message: Subscribe) -> None:
        retry_later = self.fan_out.subscribe(now, connection.number, message)
        if retry_later is not None:
            connection.send(retry_later)
            connection.close()
            return
        connection.is_subscribed = True
        self.write_to(connection)
        self._schedule_timer()

    def _publish(self, connection: ServerStream, request: PublishRequest) -> None:
        if self._publisher is None:
            reason = f"{self._settings.name} is no voter and takes no changes"
            connection.send(PublishResponse(request.token, OUTCOME_UNKNOWN, reason))
        elif len(self._publish_tasks) >= MAX_PENDING_PUBLISHES:
            reason = f"{MAX_PENDING_PUBLISHES} changes wait already: ask again"
            connection.send(PublishResponse(request.token, OUTCOME_UNKNOWN, reason))
        else:
            coroutine = self._respond(self._publisher, connection, request)
            task = self._loop.create_task(coroutine)
            self._publish_tasks.add(task)
            task.add_done_callback(self._publish_tasks.discard)

    async def _respond(
        self, publisher: Publisher, connection: ServerStream, request: PublishRequest
    ) -> None:
        connection.send(await publisher.publish(request))

    def status(self) -> StatusResponse:
        """Return the status of the table and of the subscribers.

        The rejections are omitted if the response would otherwise be too large for a message.
        """
        subscribers = self.fan_out.status(self.clock.now())
        table = self.table
        response = StatusResponse(
            self._settings.name,
            self._settings.role,
            table.epoch,
            table.revision,
            table.digest,
            self._age(),
            subscribers,
        )
        if len(codec.pack(response)) <= MAX_MESSAGE_BYTES:
            return response
        without_rejections = tuple(
            msgspec.structs.replace(subscriber, rejected=()) for subscriber in subscribers
        )
        return msgspec.structs.replace(response, subscribers=without_rejections)

    # Writing

    def write_to(self, connection: ServerStream) -> None:
        """Write up to `MAX_FRAMES_PER_WRITE` frames while the transport has capacity, then yield."""
        for _ in range(MAX_FRAMES_PER_WRITE):
            if not connection.is_subscribed or not connection.is_writable:
                return
            if connection.number not in self._connections:
                return
            frame = self.fan_out.next_frame(self.clock.now(), connection.number)
            if frame is None:
                return
            connection.write(frame)
        self._loop.call_soon(self.write_to, connection)

    def _write_all(self) -> None:
        self._is_write_scheduled = False
        self.fan_out.set_table_age(self.clock.now(), self._age())
        for connection in list(self._connections.values()):
            self.write_to(connection)

    # Timer

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay = (self.fan_out.next_timer_at() - self.clock.now()) / MS_PER_S
        self._timer = self._loop.call_later(max(MIN_TIMER_DELAY, delay), self._on_timer)

    def _on_timer(self) -> None:
        now = self.clock.now()
        self.fan_out.set_table_age(now, self._age())
        for overdue in self.fan_out.on_timer(now):
            self._close_overdue(overdue.connection, overdue.reason)
        for connection in list(self._connections.values()):
            if not connection.is_subscribed and now - connection.last_received_at > MAX_IDLE_TIME:
                self._close_overdue(connection.number, "idle for too long")
        self._write_all()
        self._schedule_timer()

    def _close_overdue(self, number: int, reason: str) -> None:
        self.counts.overdue += 1
        logger.debug("control: closing connection {}: {}", number, reason)
        if connection := self._connections.get(number):
            connection.abort()
        else:
            self.fan_out.on_closed(self.clock.now(), number)
