"""Serves subscribers, publishers and questions on TCP: the rim round `Fanout`, of voters and of
distributors.

Theory of operation. A connection is a subscriber's from its `Subscribe` on; before, and else, it
may publish and ask. The core is asked for a connection's next frame only while the transport's
write buffer is low, so a slow subscriber holds one frame and no queue. A change of the table is
told by `changed`; all that come within one turn of the loop are served by one round over the
connections. One timer serves all connections.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.control_plane.fanout import FanOut, FanOutLimits, UnexpectedMessageError
from dockthread.control_plane.listing import found
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
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.stream import FrameStream
from dockthread.framing import MessageCounts

MAX_REQUEST_BYTES = 256 << 10  # bytes of a message to a server: a resource's body, or 64 rejections
MOST_PUBLISHING = 64  # changes that wait for the agreed log at once
MOST_SILENCE = 10_000.0  # ms that a connection may stand without a subscription or a question
FRAMES_A_TURN = 4  # to one connection before others have their turn
BACKLOG = 1024  # connections that wait to be accepted: a wave of restarts
LEAST_WAIT = 0.005  # s
COMPLAINT = 60_000.0  # ms between two lines in the log about malformed bytes


class Publisher(Protocol):
    """Takes changes: a voter."""

    async def publish(self, change: PublishRequest) -> PublishResponse:
        """Have a change agreed on; how it ended."""


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """`connections` at once; `write_buffer`: bytes that wait in one transport before its next frame
    is made.
    """

    connections: int = 512
    write_buffer: int = 64 << 10


@dataclass(slots=True)
class ServerCounts:
    """Since the start."""

    accepted: int = 0
    refused: int = 0  # connections beyond the limit
    malformed: int = 0
    unexpected: int = 0  # messages out of place
    overdue: int = 0  # connections closed for their silence
    unread: int = 0  # connections closed since they asked and did not read


class Connection(FrameStream):
    """One accepted connection."""

    def __init__(self, server: ControlPlaneServer, number: int, key: bytes) -> None:
        super().__init__(key, MAX_REQUEST_BYTES, server.messages)
        self._server, self.number = server, number
        self.subscribed = False
        self.heard_at = server.clock.now()

    def on_open(self) -> None:
        """The connection is open."""
        self._server.on_accept(self)

    def on_message(self, message: Message) -> None:
        """A whole message came."""
        self._server.on_message(self, message)

    def on_malformed(self, reason: str) -> None:
        """What came is no message."""
        self._server.on_malformed(self, reason)

    def on_closed(self, reason: str) -> None:
        """The connection is gone."""
        self._server.on_closed(self)

    def on_writable(self) -> None:
        """Its socket has room again."""
        self._server.write_to(self)


class ControlPlaneServer:
    """Serves `table`. `age`: ms since the table was known to hold all that was agreed on, -1 for
    never. `publisher`: None on a distributor.
    """

    def __init__(
        self,
        name: str,
        role: str,
        table: ResourceTable,
        clock: Clock,
        rng: random.Random,
        age: Callable[[], float],
        limits: ServerLimits | None = None,
        fanout_limits: FanOutLimits | None = None,
        key: bytes = b"",
        publisher: Publisher | None = None,
    ) -> None:
        self.name, self.role, self.table, self.clock = name, role, table, clock
        self.counts, self.messages = ServerCounts(), MessageCounts()
        self._limits, self._key = limits or ServerLimits(), key
        self._age, self._publisher = age, publisher
        self.fanout = FanOut(table, fanout_limits or FanOutLimits(), rng, key, clock.now())
        self._connections: dict[int, Connection] = {}
        self._number = 0
        self._server: asyncio.Server | None = None
        self._alarm: asyncio.TimerHandle | None = None
        self._changed = False
        self._complain_at = 0.0
        self._publishing: set[asyncio.Task[Any]] = set()

    async def open(self, listen: Address) -> Address:
        """Serve here; the address with the port that was given. Raises OSError where it cannot
        listen.
        """
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(
            self._accept, listen.host, listen.port, backlog=BACKLOG
        )
        self._arm()
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """Take no more, and end all connections."""
        if self._server is not None:
            self._server.close()
        if self._alarm is not None:
            self._alarm.cancel()
        for task in list(self._publishing):
            task.cancel()
        for connection in list(self._connections.values()):
            connection.abort()
        await asyncio.sleep(0)

    def changed(self) -> None:
        """The table has changed, or its age."""
        if not self._changed:
            self._changed = True
            self._loop.call_soon(self._write_all)

    # Connections

    def _accept(self) -> Connection:
        self._number += 1
        return Connection(self, self._number, self._key)

    def on_accept(self, connection: Connection) -> None:
        """Take a connection in, or close it where there are too many."""
        if len(self._connections) >= self._limits.connections:
            self.counts.refused += 1
            connection.abort()
            return
        self.counts.accepted += 1
        assert connection.transport is not None
        connection.transport.set_write_buffer_limits(high=self._limits.write_buffer)
        self._connections[connection.number] = connection

    def on_closed(self, connection: Connection) -> None:
        """Forget a connection that is gone."""
        if self._connections.pop(connection.number, None) is not None and connection.subscribed:
            self.fanout.on_closed(self.clock.now(), connection.number)

    def on_malformed(self, connection: Connection, reason: str) -> None:
        """Counted, and told now and then: it may be a wrong key."""
        self.counts.malformed += 1
        if (now := self.clock.now()) >= self._complain_at:
            self._complain_at = now + COMPLAINT
            peer = (
                connection.transport.get_extra_info("peername")
                if connection.transport is not None
                else None
            )
            logger.warning(
                "control: {} malformed so far, the last from {}: {}",
                self.counts.malformed,
                peer,
                reason,
            )

    def on_message(self, connection: Connection, message: Message) -> None:
        """A whole message came on a connection."""
        now = connection.heard_at = self.clock.now()
        if not connection.writable and not connection.subscribed:
            self.counts.unread += 1
            connection.abort()
            return
        try:
            match message:
                case Subscribe():
                    self._subscribe(now, connection, message)
                case Acknowledge() | Heartbeat():
                    self.fanout.on_message(now, connection.number, message)
                    self.write_to(connection)
                case PublishRequest():
                    self._publish(connection, message)
                case StatusRequest():
                    connection.send(self.status())
                case LookupRequest():
                    connection.send(found(self.table, message))
                case _:
                    raise UnexpectedMessageError(type(message).__name__)
        except UnexpectedMessageError as error:
            self.counts.unexpected += 1
            logger.debug(
                "control: connection {} is closed, it said what it may not: {}",
                connection.number,
                error,
            )
            connection.abort()

    def _subscribe(self, now: float, connection: Connection, message: Subscribe) -> None:
        later = self.fanout.subscribe(now, connection.number, message)
        if later is not None:
            connection.send(later)
            connection.close()
            return
        connection.subscribed = True
        self.write_to(connection)
        self._arm()

    def _publish(self, connection: Connection, change: PublishRequest) -> None:
        if self._publisher is None:
            connection.send(
                PublishResponse(change.token, -1, f"{self.name} is no voter and takes no changes")
            )
        elif len(self._publishing) >= MOST_PUBLISHING:
            connection.send(
                PublishResponse(
                    change.token, -1, f"{MOST_PUBLISHING} changes wait already: ask again"
                )
            )
        else:
            task = self._loop.create_task(self._accept_change(self._publisher, connection, change))
            self._publishing.add(task)
            task.add_done_callback(self._publishing.discard)

    async def _accept_change(
        self, publisher: Publisher, connection: Connection, change: PublishRequest
    ) -> None:
        connection.send(await publisher.publish(change))

    def status(self) -> StatusResponse:
        """What is held here and who receives from it. Reasons are left out where they would not fit
        a frame.
        """
        subscribers = self.fanout.status(self.clock.now())
        table = self.table
        whole = StatusResponse(
            self.name,
            self.role,
            table.epoch,
            table.revision,
            table.digest,
            self._age(),
            subscribers,
        )
        if len(codec.pack(whole)) <= MAX_MESSAGE_BYTES:
            return whole
        bare = tuple(msgspec.structs.replace(one, rejected=()) for one in subscribers)
        return msgspec.structs.replace(whole, subscribers=bare)

    # Writing

    def write_to(self, connection: Connection) -> None:
        """Frames while the transport has room; after a few of them others have their turn."""
        for _ in range(FRAMES_A_TURN):
            if (
                not connection.subscribed
                or not connection.writable
                or connection.number not in self._connections
            ):
                return
            frame = self.fanout.next_frame(self.clock.now(), connection.number)
            if frame is None:
                return
            connection.write(frame)
        self._loop.call_soon(self.write_to, connection)

    def _write_all(self) -> None:
        self._changed = False
        self.fanout.set_table_age(self.clock.now(), self._age())
        for connection in list(self._connections.values()):
            self.write_to(connection)

    # Time

    def _arm(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        wait = max(LEAST_WAIT, (self.fanout.next_timer_at() - self.clock.now()) / 1000.0)
        self._alarm = self._loop.call_later(wait, self._on_timer)

    def _on_timer(self) -> None:
        now = self.clock.now()
        self.fanout.set_table_age(now, self._age())
        for overdue in self.fanout.on_timer(now):
            self._close_overdue(overdue.connection, overdue.reason)
        for connection in list(self._connections.values()):
            if not connection.subscribed and now - connection.heard_at > MOST_SILENCE:
                self._close_overdue(connection.number, "it says nothing")
        self._write_all()
        self._arm()

    def _close_overdue(self, number: int, reason: str) -> None:
        self.counts.overdue += 1
        logger.debug("control: connection {} is closed: {}", number, reason)
        if connection := self._connections.get(number):
            connection.abort()
        else:
            self.fanout.on_closed(self.clock.now(), number)
