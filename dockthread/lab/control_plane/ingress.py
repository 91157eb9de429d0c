"""A simulated ingress: applies what it receives, rejects what is invalid, may have a cache."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.subscriber_actions import ResourcesChanged
from dockthread.lab.control_plane.checker import Key
from dockthread.lab.control_plane.network import Connection
from dockthread.lab.control_plane.nodes import SimulatedProcess, SubscriberAdapter
from dockthread.lab.control_plane.settings import INVALID_PREFIX

SAVE_INTERVAL: Final = 1_500.0
"""Time in ms between two writes of the cache."""
MAX_APPLY_TIME: Final = 60.0
"""Longest time in ms that applying a batch takes."""


@dataclass(frozen=True, slots=True)
class DiskCache:
    """What is on the disk of an ingress.

    Attributes:
        epoch: History of the table.
        revision: Revision of the table.
        horizon: Revision of the newest tombstone that was dropped.
        entries: Live resources and tombstones.
        applied: What was applied.
        rejections: What was rejected.
    """

    epoch: str
    revision: int
    horizon: int
    entries: tuple[Resource, ...]
    applied: dict[Key, Resource]
    rejections: tuple[Rejection, ...]


class Ingress(SimulatedProcess):
    """An ingress.

    Attributes:
        has_cache: Whether it writes a cache.
        cache: What is on its disk.
        applied: What it has applied.
        revision: Revision that it has applied.
        receiver: The I/O of its subscriber.
    """

    has_cache = False
    cache: DiskCache | None = None
    applied: dict[Key, Resource]
    revision: int
    receiver: SubscriberAdapter

    def initialize(self) -> None:
        """Begin with what is on the disk."""
        environment = self.environment
        table = ResourceTable(max_tombstones=environment.settings.max_tombstones)
        self.applied = {}
        self.revision = 0
        self._batches: deque[ResourcesChanged] = deque()
        rejections: tuple[Rejection, ...] = ()
        if self.cache is not None:
            rejections = self._load(self.cache, table)
        # A version that is applied in place of a rejected one may be of another history.
        rejected = {Key(rejection.kind, rejection.name) for rejection in rejections}
        revisions = {
            key: resource.revision for key, resource in self.applied.items() if key not in rejected
        }
        environment.checker.on_started(self.name, table.epoch, table.revision, revisions)
        servers = environment.distributor_servers(self.region)
        subscriber = environment.make_subscriber(self, servers, table, rejections)
        self.receiver = SubscriberAdapter(self, subscriber)
        if self.has_cache:
            environment.clock.call_later(SAVE_INTERVAL, self._save, self.incarnation)

    def _load(self, cache: DiskCache, table: ResourceTable) -> tuple[Rejection, ...]:
        """Load a cache and return its rejections."""
        self.revision = cache.revision
        self.applied = dict(cache.applied)
        table.load(cache.epoch, cache.revision, cache.horizon, cache.entries)
        return cache.rejections

    def next_timer_at(self) -> float:
        """Return when `on_timer` is due."""
        return self.receiver.subscriber.next_timer_at()

    def on_timer(self) -> None:
        """Do what is due."""
        self._enqueue(self.receiver.on_timer())

    def on_opened(self, connection: Connection) -> None:
        """Subscribe at a distributor."""
        self._enqueue(self.receiver.on_opened(connection))
        self.after_event()

    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame of the distributor."""
        if self.receiver.owns(connection):
            self._enqueue(self.receiver.on_frame(connection, data))
        self.after_event()

    def on_broken(self, connection: Connection) -> None:
        """Handle a broken connection."""
        if self.receiver.owns(connection):
            self._enqueue(self.receiver.on_broken(connection))
        self.after_event()

    def bodies(self) -> dict[Key, bytes]:
        """Return the content that is applied."""
        return {key: resource.body or b"" for key, resource in self.applied.items()}

    def _enqueue(self, batches: Sequence[ResourcesChanged]) -> None:
        for batch in batches:
            self._batches.append(batch)
            delay = self.environment.rng.uniform(0.0, MAX_APPLY_TIME)
            self.environment.clock.call_later(delay, self._apply_next, self.incarnation)

    def _apply_next(self, incarnation: int) -> None:
        """Apply the oldest batch that waits."""
        if not self.is_up or self.incarnation != incarnation:
            return
        if self.is_stalled:
            self.environment.clock.call_later(MAX_APPLY_TIME, self._apply_next, incarnation)
            return
        batch = self._batches.popleft()
        now = self.environment.clock.now
        self.revision = batch.revision
        self.environment.checker.on_table(now, self.name, batch.epoch, batch.revision)
        rejections = []
        for resource in batch.resources:
            if resource.body is not None and resource.body.startswith(INVALID_PREFIX):
                rejections.append(
                    Rejection(resource.kind, resource.name, resource.revision, "its body is bad")
                )
            else:
                self._apply(now, resource)
        actions = self.receiver.subscriber.on_applied(now, batch.batch, rejections)
        self.receiver.execute(actions)
        self.after_event()

    def _apply(self, now: float, resource: Resource) -> None:
        key = Key(resource.kind, resource.name)
        self.environment.checker.on_resource_applied(now, self.name, resource)
        if resource.body is None:
            self.applied.pop(key, None)
        else:
            self.applied[key] = resource

    def _save(self, incarnation: int) -> None:
        """Write the cache while the table is complete and applied."""
        if self.incarnation != incarnation or not self.is_up:
            return
        self.environment.clock.call_later(SAVE_INTERVAL, self._save, incarnation)
        subscriber = self.receiver.subscriber
        table = subscriber.table
        if self.is_stalled or self._batches or not table.is_complete or not table.epoch:
            return
        self.cache = DiskCache(
            table.epoch,
            table.revision,
            table.horizon,
            tuple(table.entries()),
            dict(self.applied),
            subscriber.rejections,
        )
