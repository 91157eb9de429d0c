"""A hollow ingress: puts in force what it receives, refuses what is bad, and may keep a copy on its
disk.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.subscriber_actions import ResourcesChanged
from dockthread.lab.control_plane.network import Connection
from dockthread.lab.control_plane.nodes import Process, ReceivingSide

SAVE_EVERY: Final = 1_500.0  # ms
APPLY_MOST: Final = 60.0  # ms that the owner may take to put something in force
BAD: Final = b"bad"  # a body that the owner refuses begins with it

Key = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Cache:
    """What is on its disk."""

    epoch: str
    revision: int
    horizon: int
    entries: tuple[Resource, ...]
    in_force: dict[Key, Resource]
    rejections: tuple[Rejection, ...]


class Ingress(Process):
    """`cached`: it keeps a copy on its disk."""

    cached = False
    cache: Cache | None = None
    in_force: dict[Key, Resource]

    def begin(self) -> None:
        table = ResourceTable(max_tombstones=self.world.settings.max_tombstones)
        self.in_force, rejections = {}, tuple[Rejection, ...]()
        self.revision = 0 if self.cache is None else self.cache.revision
        self._queue: deque[ResourcesChanged] = deque()
        if self.cache is not None:
            table.load(
                self.cache.epoch, self.cache.revision, self.cache.horizon, self.cache.entries
            )
            self.in_force, rejections = dict(self.cache.in_force), self.cache.rejections
        # kept of before, maybe of another history
        refused = {(one.kind, one.name) for one in rejections}
        revisions = {
            key: held.revision for key, held in self.in_force.items() if key not in refused
        }
        self.world.checker.started(self.name, table.epoch, table.revision, revisions)
        subscriber = self.world.make_subscriber(
            self, self.world.distributor_servers(self), table, rejections
        )
        self.receiver = ReceivingSide(self, subscriber)
        if self.cached:
            self.world.clock.after(SAVE_EVERY, self._save, self.life)

    def next_timer_at(self) -> float:
        return self.receiver.subscriber.next_timer_at()

    def on_timer(self) -> None:
        self._took(self.receiver.on_timer())

    def opened(self, connection: Connection) -> None:
        self._took(self.receiver.opened(connection))
        self.settle()

    def frame(self, connection: Connection, data: bytes) -> None:
        if self.receiver.has(connection):
            self._took(self.receiver.frame(connection, data))
        self.settle()

    def broken(self, connection: Connection) -> None:
        if self.receiver.has(connection):
            self._took(self.receiver.broken(connection))
        self.settle()

    def bodies(self) -> dict[Key, bytes]:
        """What is in force."""
        return {key: resource.body or b"" for key, resource in self.in_force.items()}

    def _took(self, batches: Sequence[ResourcesChanged]) -> None:
        for batch in batches:
            self._queue.append(batch)
            self.world.clock.after(self.world.rng.uniform(0.0, APPLY_MOST), self._apply, self.life)

    def _apply(self, life: int) -> None:
        """The oldest batch that waits."""
        if not self.up or self.life != life:
            return
        if self.stalled:
            self.world.clock.after(APPLY_MOST, self._apply, life)
            return
        batch, now, rejected = self._queue.popleft(), self.world.clock.now, []
        self.revision = batch.revision
        self.world.checker.table(now, self.name, batch.epoch, batch.revision)
        for resource in batch.resources:
            if resource.body is not None and resource.body.startswith(BAD):
                rejected.append(
                    Rejection(resource.kind, resource.name, resource.revision, "its body is bad")
                )
                continue
            self._put(now, resource)
        self.receiver.do(self.receiver.subscriber.on_applied(now, batch.batch, rejected))
        self.settle()

    def _put(self, now: float, resource: Resource) -> None:
        key = (resource.kind, resource.name)
        self.world.checker.in_force(now, self.name, resource)
        if resource.body is None:
            self.in_force.pop(key, None)
        else:
            self.in_force[key] = resource

    def _save(self, life: int) -> None:
        if self.life != life or not self.up:
            return
        self.world.clock.after(SAVE_EVERY, self._save, life)
        subscriber = self.receiver.subscriber
        table = subscriber.table
        if self.stalled or self._queue or not table.is_complete or not table.epoch:
            return
        entries = tuple(table.entries())
        rejections = subscriber.rejections
        held = dict(self.in_force)
        self.cache = Cache(table.epoch, table.revision, table.horizon, entries, held, rejections)
