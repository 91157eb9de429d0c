"""A simulated ingress, which applies the resources that it receives and rejects invalid ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.subscriber_actions import ResourcesChanged
from dockthread.lab.control_plane.checker import ResourceKey
from dockthread.lab.control_plane.network import Connection
from dockthread.lab.control_plane.nodes import SimulatedProcess, SubscriberAdapter
from dockthread.lab.control_plane.settings import INVALID_PREFIX

CACHE_SAVE_INTERVAL: Final = 1_500.0
"""Interval between writes of the cache, in ms."""
MAX_APPLY_TIME: Final = 60.0
"""Maximum time to apply a batch, in ms."""


@dataclass(frozen=True, slots=True)
class DiskCache:
    """State of an ingress that survives a restart.

    Attributes:
        epoch: Identifier of the history of the table.
        revision: Revision of the table.
        horizon: Revision of the newest tombstone that was dropped.
        entries: Live resources and tombstones.
        applied: Resources that were applied.
        rejections: Resources that were rejected.
    """

    epoch: str
    revision: int
    horizon: int
    entries: tuple[Resource, ...]
    applied: dict[ResourceKey, Resource]
    rejections: tuple[Rejection, ...]


class Ingress(SimulatedProcess):
    """An ingress, with or without a cache on disk.

    Attributes:
        has_cache: Whether it writes a cache to disk.
        cache: Cache on its disk; None if it has not written one.
        applied: Resources that it has applied.
        revision: Revision that it has applied.
        subscriber_adapter: I/O adapter of its subscriber.
    """

    has_cache = False
    cache: DiskCache | None = None
    applied: dict[ResourceKey, Resource]
    revision: int
    subscriber_adapter: SubscriberAdapter

    def initialize(self) -> None:
        """Start with the cache on disk, or with an empty table if there is none."""
        environment = self.environment
        table = ResourceTable(max_tombstones=environment.settings.max_tombstones)
        self.applied = {}
        self.revision = 0
        self._waiting_batches: deque[ResourcesChanged] = deque()
        rejections: tuple[Rejection, ...] = ()
        if self.cache is not None:
            rejections = self._load_cache(self.cache, table)
        # For a rejected resource, the applied version may come from an earlier history, whose
        # revisions are not comparable.
        rejected = {ResourceKey(rejection.kind, rejection.name) for rejection in rejections}
        revisions = {
            key: resource.revision for key, resource in self.applied.items() if key not in rejected
        }
        environment.checker.on_process_started(self.name, table.epoch, table.revision, revisions)
        servers = environment.distributor_servers(self.region)
        subscriber = environment.make_subscriber(self, servers, table, rejections)
        self.subscriber_adapter = SubscriberAdapter(self, subscriber)
        if self.has_cache:
            environment.clock.call_later(CACHE_SAVE_INTERVAL, self._save_cache, self.incarnation)

    def _load_cache(self, cache: DiskCache, table: ResourceTable) -> tuple[Rejection, ...]:
        """Load a cache into the ingress and its table, and return the rejections in the cache."""
        self.revision = cache.revision
        self.applied = dict(cache.applied)
        table.load(cache.epoch, cache.revision, cache.horizon, cache.entries)
        return cache.rejections

    def next_timer_at(self) -> float:
        """Return the time at which `on_timer` is due."""
        return self.subscriber_adapter.subscriber.next_timer_at()

    def on_timer(self) -> None:
        """Run the due timers of the subscriber."""
        self._schedule_batches(self.subscriber_adapter.on_timer())

    def on_opened(self, connection: Connection) -> None:
        """Subscribe to a distributor."""
        self._schedule_batches(self.subscriber_adapter.on_opened(connection))
        self.after_event()

    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame from the distributor."""
        if self.subscriber_adapter.owns(connection):
            self._schedule_batches(self.subscriber_adapter.on_frame(connection, data))
        self.after_event()

    def on_broken(self, connection: Connection) -> None:
        """Handle a broken connection to the distributor."""
        if self.subscriber_adapter.owns(connection):
            self._schedule_batches(self.subscriber_adapter.on_broken(connection))
        self.after_event()

    def applied_bodies(self) -> dict[ResourceKey, bytes]:
        """Return the content of the applied resources."""
        return {key: resource.body or b"" for key, resource in self.applied.items()}

    def _schedule_batches(self, batches: Sequence[ResourcesChanged]) -> None:
        for batch in batches:
            self._waiting_batches.append(batch)
            delay = self.environment.rng.uniform(0.0, MAX_APPLY_TIME)
            self.environment.clock.call_later(delay, self._apply_next, self.incarnation)

    def _apply_next(self, incarnation: int) -> None:
        """Apply the oldest waiting batch; wait while the process is stalled."""
        if not self.is_up or self.incarnation != incarnation:
            return
        if self.is_stalled:
            self.environment.clock.call_later(MAX_APPLY_TIME, self._apply_next, incarnation)
            return
        batch = self._waiting_batches.popleft()
        now = self.environment.clock.now
        self.revision = batch.revision
        self.environment.checker.on_table_received(now, self.name, batch.epoch, batch.revision)
        rejections = []
        for resource in batch.resources:
            if resource.body is not None and resource.body.startswith(INVALID_PREFIX):
                rejections.append(
                    Rejection(resource.kind, resource.name, resource.revision, "body is invalid")
                )
            else:
                self._apply_resource(now, resource)
        actions = self.subscriber_adapter.subscriber.on_applied(now, batch.batch, rejections)
        self.subscriber_adapter.execute(actions)
        self.after_event()

    def _apply_resource(self, now: float, resource: Resource) -> None:
        key = ResourceKey(resource.kind, resource.name)
        self.environment.checker.on_resource_applied(now, self.name, resource)
        if resource.body is None:
            self.applied.pop(key, None)
        else:
            self.applied[key] = resource

    def _save_cache(self, incarnation: int) -> None:
        """Write the cache if the table is complete and applied, and schedule the next write."""
        if self.incarnation != incarnation or not self.is_up:
            return
        self.environment.clock.call_later(CACHE_SAVE_INTERVAL, self._save_cache, incarnation)
        subscriber = self.subscriber_adapter.subscriber
        table = subscriber.table
        if self.is_stalled or self._waiting_batches or not table.is_complete or not table.epoch:
            return
        self.cache = DiskCache(
            table.epoch,
            table.revision,
            table.horizon,
            tuple(table.entries()),
            dict(self.applied),
            subscriber.rejections,
        )
