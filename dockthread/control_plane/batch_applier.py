"""Applies batches of changed resources, and keeps the last good version of rejected resources.

Theory of operation. Batches are applied in order, in slices. One slice is applied per iteration of
the event loop, so that requests are answered between slices. Rejected resources are tried once more
at the end of their batch, because one change may depend on another change of the same batch. Then
the batch is written to the snapshot cache.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import islice
from typing import Final, NamedTuple, Protocol

from loguru import logger

from dockthread.control_plane.cache_file import CachedSnapshot
from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.snapshot_cache import SnapshotCache
from dockthread.control_plane.subscriber_actions import ResourcesChanged

RESTORE_SLICE_RESOURCES: Final = 1024
"""Cached resources applied per call; large because no requests are served during the restore."""
MAX_BATCHES: Final = 4
"""Number of queued batches at which reading from the server pauses."""
MAX_LOCAL_REASON_CHARACTERS: Final = 500
"""Maximum number of characters of a rejection's reason that are kept in memory."""


class ResourceApplier(Protocol):
    """Applies received resources in this process."""

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        """Apply the valid changes in order, and return the rejections of the others.

        A rejected resource changes nothing. The method must not block for long.
        """

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        """Return the applied version of a resource; None if there is none or it is unknown."""

    def on_batch_applied(self) -> None:
        """Handle the end of a batch: all of its resources have been passed to `apply`."""


class ResourceKey(NamedTuple):
    """Kind and name of a resource."""

    kind: str
    name: str


def key_of(resource: Resource | Rejection) -> ResourceKey:
    """Return the key of a resource or of its rejection."""
    return ResourceKey(resource.kind, resource.name)


class BatchApplier:
    """Passes batches to `applier`, and then to the cache if there is one.

    Calls `on_applied` with the number of each applied batch and its rejections.

    Attributes:
        applier: Applies the resources.
    """

    def __init__(
        self,
        applier: ResourceApplier,
        table: ResourceTable,
        cache: SnapshotCache | None,
        slice_size: int,
        on_applied: Callable[[int, Sequence[Rejection]], None],
    ) -> None:
        self.applier = applier
        self._table = table
        self._cache = cache
        self._slice_size = slice_size
        self._on_applied = on_applied
        self._last_good: dict[ResourceKey, Resource] = {}  # applied versions of rejected resources
        self._batches: deque[ResourcesChanged] = deque()
        self._slices: Iterator[list[Resource]] | None = None  # remaining slices of the first batch
        self._rejected: dict[ResourceKey, Rejection] = {}  # rejections of the first batch
        self._unsaved: list[Resource] = []
        self._is_closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no batch is queued or being applied."""
        return not self._batches

    @property
    def is_full(self) -> bool:
        """Whether `MAX_BATCHES` batches are queued."""
        return len(self._batches) >= MAX_BATCHES

    def restore(self, cached: CachedSnapshot) -> Sequence[Rejection]:
        """Apply the cached resources: last good versions first, previously rejected resources last.

        Returns:
            Rejections of the resources that are still invalid.
        """
        retried = {key_of(resource) for resource in cached.last_good}
        self.applier.apply(cached.last_good)
        other_resources = (
            resource for resource in cached.table.live() if key_of(resource) not in retried
        )
        for slice_resources in _slices(other_resources, RESTORE_SLICE_RESOURCES):
            retried.update(key_of(rejection) for rejection in self.applier.apply(slice_resources))
        resources = [
            resource for key in retried if (resource := cached.table.get(*key)) is not None
        ]
        resources.sort(key=lambda resource: resource.revision)
        rejections = [_truncated(rejection) for rejection in self.applier.apply(resources)]
        self._remember_last_good({key_of(rejection) for rejection in rejections})
        self.applier.on_batch_applied()
        return rejections

    def enqueue(self, batch: ResourcesChanged) -> None:
        """Add a batch to the end of the queue; the caller then calls `start`."""
        self._batches.append(batch)

    def start(self) -> None:
        """Start to apply the added batch, unless an earlier batch is still being applied."""
        if len(self._batches) == 1:
            self._apply_next_slice()

    def close(self) -> None:
        """Stop applying; queued batches are not applied."""
        self._is_closed = True

    def _apply_next_slice(self) -> None:
        """Apply the next slice of the first batch; after the last slice, finish the batch."""
        if self._is_closed or not self._batches:
            return
        batch = self._batches[0]
        if self._slices is None:
            self._slices = _slices(batch.resources, self._slice_size)
        slice_resources = next(self._slices, None)
        if slice_resources is not None:
            for rejection in self._apply(slice_resources):
                self._rejected[key_of(rejection)] = rejection
            if len(batch.resources) > self._slice_size:
                asyncio.get_running_loop().call_soon(self._apply_next_slice)
                return
        self._end_batch(batch)

    def _apply(self, resources: Sequence[Resource]) -> Sequence[Rejection]:
        try:
            return self.applier.apply(resources)
        except Exception as error:  # noqa: BLE001  an error in the applier must not stop the distribution
            logger.exception("control: changes could not be applied")
            reason = f"fault: {error!r}"
            return [
                Rejection(resource.kind, resource.name, resource.revision, reason)
                for resource in resources
            ]

    def _end_batch(self, batch: ResourcesChanged) -> None:
        if self._rejected and len(batch.resources) > len(self._rejected):
            retried_resources = [
                resource for resource in batch.resources if key_of(resource) in self._rejected
            ]
            rejections = self._apply(retried_resources)
            self._rejected = {key_of(rejection): rejection for rejection in rejections}
        truncated = [_truncated(rejection) for rejection in self._rejected.values()]
        for resource in batch.resources:
            self._last_good.pop(key_of(resource), None)
        self._remember_last_good(set(self._rejected))
        self._slices = None
        self._rejected = {}
        self._batches.popleft()
        self.applier.on_batch_applied()
        if self._cache is not None:
            self._save(self._cache, batch)
        if self._batches:
            asyncio.get_running_loop().call_soon(self._apply_next_slice)
        self._on_applied(batch.batch, truncated)

    def _save(self, cache: SnapshotCache, batch: ResourcesChanged) -> None:
        """Write the cache if no batch is queued and the table is complete.

        Only then does the table match the applied resources.
        """
        self._unsaved += batch.resources
        if not self._batches and self._table.is_complete:
            cache.save(self._table, self._unsaved, tuple(self._last_good.values()))
            self._unsaved = []

    def _remember_last_good(self, rejected: set[ResourceKey]) -> None:
        for key in rejected:
            applied = self.applier.applied_resource(key.kind, key.name)
            if applied is not None:
                self._last_good[key] = applied


def _slices(resources: Iterable[Resource], size: int) -> Iterator[list[Resource]]:
    remaining = iter(resources)
    while slice_resources := list(islice(remaining, size)):
        yield slice_resources


def _truncated(rejection: Rejection) -> Rejection:
    reason = rejection.reason[:MAX_LOCAL_REASON_CHARACTERS]
    return Rejection(rejection.kind, rejection.name, rejection.revision, reason)
