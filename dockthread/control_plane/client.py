"""Receives configuration and has an owner put it in force: the rim round `Subscriber`.

Theory of operation. The core says where to connect, what to say and what has changed. Changes go to
the owner in their order and in slices, one a turn of the loop, so that requests are answered
between them; what it refused is tried once more at the end of the batch, as one change may need
another of the same batch. Then the batch is acknowledged and handed to the cache. While
`MOST_BATCHES` wait, nothing more is read from the server. One timer serves a client, set for when
the core wants to be told of the time; there is no thread and nothing shared, so many clients can
have one loop.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from math import isfinite
from pathlib import Path
from typing import Final, Protocol

from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.control_plane.messages import (
    MAX_MESSAGE_BYTES,
    Heartbeat,
    Message,
    Rejection,
    Resource,
    RetryLater,
    Update,
)
from dockthread.control_plane.options import ControlOptions
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.snapshot_cache import SnapshotCache
from dockthread.control_plane.stream import FrameStream
from dockthread.control_plane.subscriber import (
    Action,
    CandidateServer,
    Connect,
    Disconnect,
    ResourcesChanged,
    Send,
    Subscriber,
    SubscriberTimes,
)
from dockthread.framing import MessageCounts

SLICE: Final = 16  # resources that an owner is handed at once
RESTORED: Final = 1024  # at once from the cache, when nothing else has to go on yet
MOST_BATCHES: Final = 4  # that wait for the owner before reading stops
LEAST_WAIT: Final = 0.01  # s: no timer is finer
MOST_REASON: Final = 500  # characters of a rejection's reason

Key = tuple[str, str]  # kind and name


class ResourceApplier(Protocol):
    """Puts resources in force."""

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        """In their order, each as far as it is good; what is refused changes nothing. Must not
        block for long.
        """

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        """What holds now under that name, whatever was refused since; None for nothing, or where it
        is not known.
        """

    def on_batch_applied(self) -> None:
        """All that came up to now was handed over."""


class Connection(FrameStream):
    """The one that the client has, by the core's number."""

    def __init__(self, client: ControlPlaneClient, number: int, key: bytes) -> None:
        super().__init__(key, MAX_MESSAGE_BYTES, client.messages)
        self._client, self.number = client, number

    def on_message(self, message: Message) -> None:
        """A whole message came."""
        self._client.on_message(self.number, message)

    def on_bytes(self) -> None:
        """Some bytes came."""
        self._client.on_bytes(self.number)

    def on_malformed(self, reason: str) -> None:
        """What came is no message."""
        self._client.on_malformed(self.number, reason)

    def on_closed(self, reason: str) -> None:
        """The connection is gone."""
        self._client.on_closed(self.number, reason)


class ControlPlaneClient:
    """One subscriber. `servers`: by their distance, the nearest first, each HOST:PORT."""

    def __init__(
        self,
        name: str,
        servers: Sequence[CandidateServer],
        applier: ResourceApplier,
        clock: Clock,
        rng: random.Random,
        key: bytes = b"",
        region: str = "",
        zone: str = "",
        cache: SnapshotCache | None = None,
        times: SubscriberTimes | None = None,
        slice_size: int = SLICE,
    ) -> None:
        self._applier, self._clock, self._key = applier, clock, key
        self.messages = MessageCounts()
        self._cache, self._slice_size = cache, slice_size
        self._kept: dict[Key, Resource] = {}  # in force in place of what was refused
        self._batches: deque[ResourcesChanged] = deque()
        self._applying: Iterator[list[Resource]] | None = None
        self._refused: dict[Key, Rejection] = {}  # of the batch under way
        self._connection: Connection | None = None
        self._opening: tuple[int, asyncio.Task[None]] | None = None
        self._told = ""  # the server from which the log says that it receives
        self._alarm: asyncio.TimerHandle | None = None
        self._unsaved: list[Resource] = []
        self._closed = False
        cached = cache.load() if cache is not None else None
        rejections: Sequence[Rejection] = ()
        if cached is not None:
            rejections = self._restore(cached.table, cached.last_good)
            logger.info(
                "control: {} resources of revision {} from the cache",
                len(cached.table),
                cached.table.revision,
            )
        self.subscriber = Subscriber(
            name,
            servers,
            times or SubscriberTimes(),
            rng,
            clock.now(),
            cached.table if cached is not None else None,
            rejections,
            region,
            zone,
        )

    def _restore(self, table: ResourceTable, kept: Sequence[Resource]) -> Sequence[Rejection]:
        """What was in force when the cache was written, then what was refused then: it may be good
        by now.
        """
        later = {(one.kind, one.name) for one in kept}
        self._applier.apply(kept)
        good = (one for one in table.live() if (one.kind, one.name) not in later)
        refused = [r for part in _slices(good, RESTORED) for r in self._applier.apply(part)]
        later.update((r.kind, r.name) for r in refused)
        again = [one for key in later if (one := table.get(*key)) is not None]
        again.sort(key=lambda one: one.revision)
        rejections = [_short(r) for r in self._applier.apply(again)]
        self._remember_kept({(r.kind, r.name) for r in rejections})
        self._applier.on_batch_applied()
        return rejections

    def open(self) -> None:
        """Begin to receive. It needs a running loop."""
        self._loop = asyncio.get_running_loop()
        self._do(self.subscriber.on_timer(self._clock.now()))

    async def close(self) -> None:
        """End the connection and write what the cache lacks."""
        self._closed = True
        if self._alarm is not None:
            self._alarm.cancel()
        if self._opening is not None:
            self._opening[1].cancel()
        if self._connection is not None:
            self._connection.close()
        if self._cache is not None:
            await self._cache.close()
        await asyncio.sleep(0)

    def reapply(self) -> None:
        """Hand the owner all that is held once more, as it judges by other settings now."""
        self._do(self.subscriber.reapply())

    @property
    def idle(self) -> bool:
        """Nothing waits for the owner."""
        return not self._batches

    # What the core decides

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Connect():
                    self._opening = action.connection, self._loop.create_task(self._open(action))
                case Send():
                    if (
                        self._connection is not None
                        and self._connection.number == action.connection
                    ):
                        self._connection.send(action.message)
                case Disconnect():
                    self._disconnect(action)
                case ResourcesChanged():
                    self._take(action)
        if self._told and self._connection is None:
            logger.info("control: receives no more from {}", self._told)
            self._told = ""
        self._arm()

    async def _open(self, action: Connect) -> None:
        try:
            at = Address.parse(action.server)
            made = Connection(self, action.connection, self._key)
            await self._loop.create_connection(lambda: made, at.host, at.port)
        except OSError as error:
            if not self._closed:
                self._do(
                    self.subscriber.on_disconnected(
                        self._clock.now(), action.connection, str(error)
                    )
                )
            return
        self._opening = None
        if self._closed:
            made.abort()
            return
        if made.is_closing:
            self._do(
                self.subscriber.on_disconnected(
                    self._clock.now(), action.connection, "closed at once"
                )
            )
            return
        self._connection = made
        self._do(self.subscriber.on_connected(self._clock.now(), action.connection))

    def _disconnect(self, action: Disconnect) -> None:
        if self._opening is not None and self._opening[0] == action.connection:
            self._opening[1].cancel()
            self._opening = None
        if self._connection is not None and self._connection.number == action.connection:
            gone, self._connection = self._connection, None
            gone.abort()
        logger.debug("control: leaves connection {}: {}", action.connection, action.reason)

    # What its connection tells

    def on_message(self, number: int, message: Message) -> None:
        """A whole message came on a connection."""
        if not self._closed:
            if not _finite(message):
                self.on_malformed(number, "a time that is no number")
                return
            if not self._told and isinstance(message, Update | Heartbeat):
                self._told = self.subscriber.server
                logger.info("control: receives from {}", self._told)
            self._do(self.subscriber.on_message(self._clock.now(), number, message))

    def on_bytes(self, number: int) -> None:
        """Some bytes, if no whole message yet."""
        self.subscriber.on_bytes(self._clock.now(), number)

    def on_malformed(self, number: int, reason: str) -> None:
        """What came on a connection is no message: it ends, and the last good table stays."""
        if not self._closed:
            logger.debug("control: connection {} is malformed: {}", number, reason)
            self._do(self.subscriber.on_malformed(self._clock.now(), number, reason))

    def on_closed(self, number: int, reason: str) -> None:
        """A connection is gone, whoever ended it."""
        if self._connection is not None and self._connection.number == number:
            self._connection = None
            if not self._closed:
                self._do(self.subscriber.on_disconnected(self._clock.now(), number, reason))

    # Putting in force

    def _take(self, changed: ResourcesChanged) -> None:
        self._batches.append(changed)
        if len(self._batches) >= MOST_BATCHES and self._connection is not None:
            self._connection.pause_reading()
        if len(self._batches) == 1:
            self._turn()

    def _turn(self) -> None:
        """One slice of the first batch; the end of it once there is none."""
        if self._closed or not self._batches:
            return
        batch = self._batches[0]
        if self._applying is None:
            self._applying = _slices(batch.resources, self._slice_size)
        part = next(self._applying, None)
        if part is not None:
            for rejection in self._apply(part):
                self._refused[rejection.kind, rejection.name] = rejection
            if len(batch.resources) > self._slice_size:
                self._loop.call_soon(self._turn)
                return
        self._finish(batch)

    def _apply(self, part: Sequence[Resource]) -> Sequence[Rejection]:
        try:
            return self._applier.apply(part)
        except Exception as error:  # a fault of the owner must not end the distribution to it
            logger.exception("control: changes could not be applied")
            return [
                Rejection(one.kind, one.name, one.revision, f"fault: {error!r}") for one in part
            ]

    def _finish(self, batch: ResourcesChanged) -> None:
        if self._refused and len(batch.resources) > len(self._refused):
            again = [one for one in batch.resources if (one.kind, one.name) in self._refused]
            self._refused = {(r.kind, r.name): r for r in self._apply(again)}
        refused = [_short(one) for one in self._refused.values()]
        for one in batch.resources:
            self._kept.pop((one.kind, one.name), None)
        self._remember_kept(set(self._refused))
        self._applying, self._refused = None, {}
        self._batches.popleft()
        self._applier.on_batch_applied()
        if self._cache is not None:
            self._save(batch)
        if self._batches:
            self._loop.call_soon(self._turn)
        elif self._connection is not None:
            self._connection.resume_reading()
        self._do(self.subscriber.on_applied(self._clock.now(), batch.batch, refused))

    def _save(self, batch: ResourcesChanged) -> None:
        """Only with nothing under way and a whole table: then what it holds is what was handed
        over.
        """
        assert self._cache is not None
        self._unsaved += batch.resources
        if not self._batches and self.subscriber.table.is_complete:
            self._cache.save(self.subscriber.table, self._unsaved, tuple(self._kept.values()))
            self._unsaved = []

    def _remember_kept(self, refused: set[Key]) -> None:
        for kind, name in refused:
            if (good := self._applier.applied_resource(kind, name)) is not None:
                self._kept[kind, name] = good

    # Time

    def _arm(self) -> None:
        """A timer that is too early only asks again, so an old one stands unless it is too late."""
        now = self._clock.now()
        due = self._loop.time() + max(LEAST_WAIT, (self.subscriber.next_timer_at() - now) / 1000.0)
        if self._alarm is not None:
            if self._alarm.when() <= due:
                return
            self._alarm.cancel()
        self._alarm = self._loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._alarm = None
        if self._closed:
            return
        now = self._clock.now()
        self._do(self.subscriber.on_timer(now) if now >= self.subscriber.next_timer_at() else [])


def _slices(resources: Iterable[Resource], size: int) -> Iterator[list[Resource]]:
    rest = iter(resources)
    while part := list(islice(rest, size)):
        yield part


def _finite(message: Message) -> bool:
    """Whether its times are numbers; no timer could be set by another."""
    if isinstance(message, Heartbeat):
        return isfinite(message.age)
    return not isinstance(message, RetryLater) or isfinite(message.after)


def _short(one: Rejection) -> Rejection:
    return Rejection(one.kind, one.name, one.revision, one.reason[:MOST_REASON])


def servers_from_options(options: ControlOptions) -> list[CandidateServer]:
    """The servers that the section names, near ones first."""
    near = [CandidateServer(server, 0) for server in options.servers]
    return near + [CandidateServer(server, 1) for server in options.far_servers]


def cache_from_options(options: ControlOptions, name: str) -> SnapshotCache | None:
    """Where the section keeps what was received; None for nowhere."""
    return (
        SnapshotCache(Path(options.cache), name, options.cache_interval) if options.cache else None
    )
