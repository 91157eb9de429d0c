"""Applies batches of changed resources in slices, and keeps the last good version of the rejected.

Theory of operation. Batches are applied in their order, one slice a turn of the loop, so that
requests are answered between slices. What was rejected is tried once more at the end of its batch,
as one change may need another one of the same batch. Then the batch goes to the snapshot cache.
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

RESTORE_SLICE: Final = 1024
"""Resources of the cache applied at once; nothing else has to be answered yet."""
MAX_BATCHES: Final = 4
"""Batches that wait before nothing more is read from the server."""
MAX_LOCAL_REASON_CHARACTERS: Final = 500
"""Characters of a rejection's reason that are kept in memory."""


class ResourceApplier(Protocol):
    """Applies resources to the process that receives them."""

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        """Apply changes in their order, each as far as it is valid, and return the rejections.

        A rejected resource changes nothing. Must not block for long.
        """

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        """Return what is applied under a name; None for nothing, or where that is not known."""

    def on_batch_applied(self) -> None:
        """Handle that everything received so far was passed to `apply`."""


class ResourceKey(NamedTuple):
    """Kind and name of a resource."""

    kind: str
    name: str


def key_of(resource: Resource | Rejection) -> ResourceKey:
    """Return the key of a resource or of its rejection."""
    return ResourceKey(resource.kind, resource.name)


class BatchApplier:
    """Passes batches to `applier`, and then to the cache where there is one.

    `on_applied` is called with the number of each applied batch and its rejections.

    Attributes:
        applier: Where resources are applied.
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
        self._last_good: dict[ResourceKey, Resource] = {}  # applied in place of rejected ones
        self._batches: deque[ResourcesChanged] = deque()
        self._slices: Iterator[list[Resource]] | None = None  # of the first batch
        self._rejected: dict[ResourceKey, Rejection] = {}  # of the first batch
        self._unsaved: list[Resource] = []
        self._is_closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no batch waits."""
        return not self._batches

    @property
    def is_full(self) -> bool:
        """Whether as many batches wait as may."""
        return len(self._batches) >= MAX_BATCHES

    def restore(self, cached: CachedSnapshot) -> Sequence[Rejection]:
        """Apply what was applied when the cache was written, then what was rejected then.

        Returns:
            What is rejected again; the rest may have become valid.
        """
        retried = {key_of(resource) for resource in cached.last_good}
        self.applier.apply(cached.last_good)
        others = (one for one in cached.table.live() if key_of(one) not in retried)
        for part in _slices(others, RESTORE_SLICE):
            retried.update(key_of(rejection) for rejection in self.applier.apply(part))
        resources = [found for key in retried if (found := cached.table.get(*key)) is not None]
        resources.sort(key=lambda resource: resource.revision)
        rejections = [_shortened(rejection) for rejection in self.applier.apply(resources)]
        self._remember_last_good({key_of(rejection) for rejection in rejections})
        self.applier.on_batch_applied()
        return rejections

    def enqueue(self, batch: ResourcesChanged) -> None:
        """Add a batch behind those that wait; the caller then calls `start`."""
        self._batches.append(batch)

    def start(self) -> None:
        """Begin with the batch that was added, unless others are before it."""
        if len(self._batches) == 1:
            self._apply_next_slice()

    def close(self) -> None:
        """Apply nothing more."""
        self._is_closed = True

    def _apply_next_slice(self) -> None:
        """Apply one slice of the first batch, or end the batch behind its last one."""
        if self._is_closed or not self._batches:
            return
        batch = self._batches[0]
        if self._slices is None:
            self._slices = _slices(batch.resources, self._slice_size)
        part = next(self._slices, None)
        if part is not None:
            for rejection in self._apply(part):
                self._rejected[key_of(rejection)] = rejection
            if len(batch.resources) > self._slice_size:
                asyncio.get_running_loop().call_soon(self._apply_next_slice)
                return
        self._end_batch(batch)

    def _apply(self, resources: Sequence[Resource]) -> Sequence[Rejection]:
        try:
            return self.applier.apply(resources)
        except Exception as error:  # noqa: BLE001  a fault there must not end the distribution
            logger.exception("control: changes could not be applied")
            reason = f"fault: {error!r}"
            return [Rejection(one.kind, one.name, one.revision, reason) for one in resources]

    def _end_batch(self, batch: ResourcesChanged) -> None:
        if self._rejected and len(batch.resources) > len(self._rejected):
            again = [one for one in batch.resources if key_of(one) in self._rejected]
            rejections = self._apply(again)
            self._rejected = {key_of(rejection): rejection for rejection in rejections}
        shortened = [_shortened(rejection) for rejection in self._rejected.values()]
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
        self._on_applied(batch.batch, shortened)

    def _save(self, cache: SnapshotCache, batch: ResourcesChanged) -> None:
        """Write the cache once no batch waits and the table is complete.

        Only then the table is what was applied.
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
    rest = iter(resources)
    while part := list(islice(rest, size)):
        yield part


def _shortened(rejection: Rejection) -> Rejection:
    reason = rejection.reason[:MAX_LOCAL_REASON_CHARACTERS]
    return Rejection(rejection.kind, rejection.name, rejection.revision, reason)
