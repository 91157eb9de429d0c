"""Receives configuration over TCP and applies it: does the I/O for `Subscriber`.

Theory of operation. `Subscriber` decides which server to connect to, which messages to send and
which resources have changed. Changes go to the `BatchApplier`, and are acknowledged once they are
applied. Reading from the server pauses when `MAX_BATCHES` batches are queued, and resumes when all
of them are applied. Each client has one timer, which is set to the subscriber's next due time. A
client uses no threads and shares no state with other clients, so one event loop can run many.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass
from math import isfinite
from pathlib import Path
from typing import Final

from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.control_plane.batch_applier import BatchApplier, ResourceApplier
from dockthread.control_plane.messages import (
    MAX_MESSAGE_BYTES,
    Heartbeat,
    Message,
    Rejection,
    RetryLater,
    Update,
)
from dockthread.control_plane.options import ControlOptions
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.server_selection import CandidateServer
from dockthread.control_plane.snapshot_cache import SnapshotCache
from dockthread.control_plane.stream import FrameStream
from dockthread.control_plane.subscriber import Subscriber
from dockthread.control_plane.subscriber_actions import (
    Action,
    Connect,
    Disconnect,
    ResourcesChanged,
    Send,
)
from dockthread.control_plane.subscriber_settings import SubscriberSettings
from dockthread.framing import MessageCounts

SLICE_RESOURCES: Final = 16
"""Resources applied per iteration of the event loop."""
MIN_TIMER_DELAY: Final = 0.01
"""Minimum time in s until the timer runs."""
MS_PER_S: Final = 1_000.0
NEAR_DISTANCE: Final = 0
"""Distance of the servers in `servers`."""
FAR_DISTANCE: Final = 1
"""Distance of the servers in `far_servers`."""


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of a client.

    Attributes:
        subscriber: Name, location and timeouts of the subscriber.
        servers: Servers to receive from; their names are HOST:PORT.
        key: Shared key that authenticates all messages; empty if no key is used.
        slice_resources: Resources applied per iteration of the event loop.
    """

    subscriber: SubscriberSettings
    servers: Sequence[CandidateServer]
    key: bytes = b""
    slice_resources: int = SLICE_RESOURCES


def client_settings_from_options(
    options: ControlOptions, name: str, slice_resources: int = SLICE_RESOURCES
) -> ClientSettings:
    """Return the settings of the subscriber `name` according to the section `[control]`.

    Raises:
        KeyFileError: The file of the shared key cannot be read or has a wrong length.
    """
    servers = [CandidateServer(server, NEAR_DISTANCE) for server in options.servers]
    servers += [CandidateServer(server, FAR_DISTANCE) for server in options.far_servers]
    subscriber = SubscriberSettings(name, options.region, options.zone)
    return ClientSettings(subscriber, servers, options.key(), slice_resources)


def cache_from_options(options: ControlOptions, name: str) -> SnapshotCache | None:
    """Return the cache of the subscriber `name`, or None if no cache directory is configured."""
    if not options.cache:
        return None
    return SnapshotCache(Path(options.cache), name, options.cache_interval)


class ClientStream(FrameStream):
    """The connection of a client, identified by the number that the subscriber gave it."""

    def __init__(self, client: ControlPlaneClient, number: int, key: bytes) -> None:
        super().__init__(key, MAX_MESSAGE_BYTES, client.messages)
        self._client = client
        self.number = number

    def on_message(self, message: Message) -> None:
        """Pass a message to the client."""
        self._client.on_message(self.number, message)

    def on_bytes(self) -> None:
        """Report that bytes of an incomplete message arrived."""
        self._client.on_bytes(self.number)

    def on_malformed(self, reason: str) -> None:
        """Report malformed bytes."""
        self._client.on_malformed(self.number, reason)

    def on_closed(self, reason: str) -> None:  # noqa: ARG002  the reason is not used
        """Report that the connection has closed."""
        self._client.on_closed(self.number)


@dataclass(frozen=True, slots=True)
class _OpeningConnection:
    number: int
    task: asyncio.Task[None]


class ControlPlaneClient:
    """One subscriber and its connection. The constructor applies the resources in `cache`.

    Attributes:
        subscriber: Subscriber that processes the messages.
        batch_applier: Applies changed resources.
        messages: Counts of messages received and sent.
    """

    def __init__(
        self,
        settings: ClientSettings,
        applier: ResourceApplier,
        clock: Clock,
        rng: random.Random,
        cache: SnapshotCache | None = None,
    ) -> None:
        self.messages = MessageCounts()
        self._clock = clock
        self._key = settings.key
        self._cache = cache
        self._connection: ClientStream | None = None
        self._opening_connection: _OpeningConnection | None = None
        self._logged_server = ""  # the server in the last log line "receiving from"; empty if none
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        cached = cache.load() if cache is not None else None
        table = ResourceTable() if cached is None else cached.table
        self.batch_applier = BatchApplier(
            applier, table, cache, settings.slice_resources, self._on_batch_applied
        )
        rejections: Sequence[Rejection] = ()
        if cached is not None:
            rejections = self.batch_applier.restore(cached)
            logger.info(
                "control: loaded {} resources of revision {} from the cache",
                len(table),
                table.revision,
            )
        self.subscriber = Subscriber(
            settings.subscriber, settings.servers, rng, clock.now(), table, rejections
        )

    def open(self) -> None:
        """Start receiving; requires a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._carry_out(self.subscriber.on_timer(self._clock.now()))

    async def close(self) -> None:
        """Close the connection and write unsaved changes to the cache."""
        self._is_closed = True
        self.batch_applier.close()
        if self._timer is not None:
            self._timer.cancel()
        if self._opening_connection is not None:
            self._opening_connection.task.cancel()
        if self._connection is not None:
            self._connection.close()
        if self._cache is not None:
            await self._cache.close()
        await asyncio.sleep(0)

    def reapply(self) -> None:
        """Apply all live resources again; new settings may accept or reject different ones."""
        self._carry_out(self.subscriber.reapply())

    # Carry out the subscriber's actions

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Connect():
                    task = self._loop.create_task(self._open(action))
                    self._opening_connection = _OpeningConnection(action.connection, task)
                case Send():
                    connection = self._connection
                    if connection is not None and connection.number == action.connection:
                        connection.send(action.message)
                case Disconnect():
                    self._disconnect(action)
                case ResourcesChanged():
                    self._apply(action)
        if self._logged_server and self._connection is None:
            logger.info("control: no longer receiving from {}", self._logged_server)
            self._logged_server = ""
        self._schedule_timer()

    async def _open(self, action: Connect) -> None:
        try:
            address = Address.parse(action.server)
            stream = ClientStream(self, action.connection, self._key)
            await self._loop.create_connection(lambda: stream, address.host, address.port)
        except OSError:
            if not self._is_closed:
                self._on_disconnected(action.connection)
            return
        self._opening_connection = None
        if self._is_closed:
            stream.abort()
            return
        if stream.is_closing:
            self._on_disconnected(action.connection)
            return
        self._connection = stream
        self._carry_out(self.subscriber.on_connected(self._clock.now(), action.connection))

    def _on_disconnected(self, number: int) -> None:
        self._carry_out(self.subscriber.on_disconnected(self._clock.now(), number))

    def _disconnect(self, action: Disconnect) -> None:
        if (
            self._opening_connection is not None
            and self._opening_connection.number == action.connection
        ):
            self._opening_connection.task.cancel()
            self._opening_connection = None
        connection = self._connection
        if connection is not None and connection.number == action.connection:
            self._connection = None
            connection.abort()
        logger.debug("control: closing connection {}: {}", action.connection, action.reason)

    def _apply(self, batch: ResourcesChanged) -> None:
        self.batch_applier.enqueue(batch)
        if self.batch_applier.is_full and self._connection is not None:
            self._connection.pause_reading()
        self.batch_applier.start()

    def _on_batch_applied(self, number: int, rejections: Sequence[Rejection]) -> None:
        if self.batch_applier.is_idle and self._connection is not None:
            self._connection.resume_reading()
        self._carry_out(self.subscriber.on_applied(self._clock.now(), number, rejections))

    # Handle events of the connection

    def on_message(self, number: int, message: Message) -> None:
        """Handle a message on a connection."""
        if self._is_closed:
            return
        if not _has_finite_times(message):
            self.on_malformed(number, "a time in a message is not finite")
            return
        if not self._logged_server and isinstance(message, Update | Heartbeat):
            self._logged_server = self.subscriber.server
            logger.info("control: receiving from {}", self._logged_server)
        self._carry_out(self.subscriber.on_message(self._clock.now(), number, message))

    def on_bytes(self, number: int) -> None:
        """Handle bytes that do not yet complete a message."""
        self.subscriber.on_bytes(self._clock.now(), number)

    def on_malformed(self, number: int, reason: str) -> None:
        """Handle malformed bytes: the connection is closed, and the last good table is kept."""
        if not self._is_closed:
            logger.debug("control: malformed bytes on connection {}: {}", number, reason)
            self._carry_out(self.subscriber.on_malformed(self._clock.now(), number, reason))

    def on_closed(self, number: int) -> None:
        """Handle the end of a connection, which either side may have closed."""
        if self._connection is not None and self._connection.number == number:
            self._connection = None
            if not self._is_closed:
                self._on_disconnected(number)

    # Timer

    def _schedule_timer(self) -> None:
        """Set the timer for the next due time, unless it is set for an earlier time.

        A timer that runs too early does nothing but set itself again.
        """
        delay = (self.subscriber.next_timer_at() - self._clock.now()) / MS_PER_S
        due_at = self._loop.time() + max(MIN_TIMER_DELAY, delay)
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._is_closed:
            return
        now = self._clock.now()
        is_due = now >= self.subscriber.next_timer_at()
        self._carry_out(self.subscriber.on_timer(now) if is_due else [])


def _has_finite_times(message: Message) -> bool:
    """Return whether the times in a message are finite, as timers cannot be set otherwise."""
    if isinstance(message, Heartbeat):
        return isfinite(message.age)
    return not isinstance(message, RetryLater) or isfinite(message.after)
