"""The resources of one epoch by kind and name, in the order of their last revision.

Theory of operation. A dict keeps its keys in the order of insertion. A changed key is removed and
inserted again, so the newest entries are last. The entries that a receiver lacks are read backwards
from the end, at a cost proportional to their number. A deleted resource is kept as a tombstone, so
that receivers learn of the deletion. Only the newest `max_tombstones` are kept; `horizon` is the
revision of the newest dropped tombstone, and a receiver at an older revision needs a snapshot.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from dockthread.control_plane.frozen_table import FrozenTable
from dockthread.control_plane.messages import Resource, Update
from dockthread.control_plane.packed_resource import (
    LiveSetDigest,
    is_live,
    make_key,
    pack,
    packed_size,
    resource_size,
    revision_of,
    split_key,
    unpack,
)
from dockthread.errors import DockthreadError

MAX_TOMBSTONES: Final = 8192
"""Maximum number of tombstones in a table: most of a day of changes."""


class OutOfOrderError(DockthreadError, ValueError):
    """A resource is not newer than the table that it should be put into."""


class _Tombstone(NamedTuple):
    revision: int
    key: str


class ResourceTable:
    """Resources of the history identified by `epoch`, up to `revision`.

    Attributes:
        epoch: Identifier of the history; empty if the table has never held a change.
        revision: Latest revision that the table includes.
        horizon: Revision of the newest tombstone that was dropped.
        is_complete: Whether the table holds the latest version of each resource at `revision`.
            False between the chunks of an update.
        size_bytes: Approximate size of all entries in messages, in bytes.
    """

    def __init__(self, epoch: str = "", max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.epoch = epoch
        self.revision = 0
        self.horizon = 0
        self.is_complete = True
        self.size_bytes = 0
        self._max_tombstones = max_tombstones
        self._packed: dict[str, bytes] = {}  # by key, newest last
        # Oldest first. A later entry with the same key may have replaced some of them.
        self._tombstones: deque[_Tombstone] = deque()
        self._live_digest = LiveSetDigest()

    def __len__(self) -> int:
        """Return the number of live resources."""
        return self._live_digest.count

    @property
    def digest(self) -> bytes:
        """Digest of the live resources, independent of their order."""
        return self._live_digest.value()

    def get(self, kind: str, name: str) -> Resource | None:
        """Return a live resource, or None if there is none."""
        entry = self.entry(kind, name)
        return entry if entry is not None and entry.body is not None else None

    def entry(self, kind: str, name: str) -> Resource | None:
        """Return a live resource or a tombstone, or None if there is neither."""
        key = make_key(kind, name)
        packed = self._packed.get(key)
        return None if packed is None else unpack(key, packed)

    def entries(self) -> Iterator[Resource]:
        """Iterate over live resources and tombstones, oldest revision first."""
        return (unpack(key, packed) for key, packed in self._packed.items())

    def live(self) -> Iterator[Resource]:
        """Iterate over live resources, oldest revision first."""
        return (resource for resource in self.entries() if resource.body is not None)

    def put(self, resource: Resource) -> None:
        """Insert a resource or a tombstone that is newer than everything in the table.

        Raises:
            OutOfOrderError: The resource is not newer; the table is unchanged.
        """
        if resource.revision <= self.revision:
            raise OutOfOrderError(
                f"revision {resource.revision} is not newer than the table at {self.revision}"
            )
        key = make_key(resource.kind, resource.name)
        self._remove(key)
        packed = pack(resource)
        self._packed[key] = packed
        self.size_bytes += packed_size(key, packed)
        if resource.body is None:
            self._tombstones.append(_Tombstone(resource.revision, key))
        else:
            self._live_digest.add(key, packed)
        self.revision = resource.revision
        self._drop_old_tombstones()

    def advance(self, revision: int) -> None:
        """Record that the table includes all changes up to `revision`.

        `revision` may be greater than that of the newest entry, because a sender omits
        superseded versions of resources.
        """
        self.revision = max(self.revision, revision)

    def load(self, epoch: str, revision: int, horizon: int, entries: Iterable[Resource]) -> None:
        """Replace the content.

        `entries` are sorted by revision and include tombstones.

        Raises:
            OutOfOrderError: The entries are not sorted, or one is newer than `revision`. The table
                is then in an undefined state and must not be used.
        """
        self.epoch = epoch
        self.revision = 0
        self.horizon = horizon
        self.is_complete = True
        self.size_bytes = 0
        self._packed = {}
        self._live_digest = LiveSetDigest()
        self._tombstones.clear()
        for entry in entries:
            self.put(entry)
        if self.revision > revision:
            raise OutOfOrderError(
                f"an entry of revision {self.revision} in a table of revision {revision}"
            )
        self.revision = revision

    def replace_with(self, other: ResourceTable) -> None:
        """Adopt the content of `other`, which must not be used afterwards."""
        self.epoch = other.epoch
        self.revision = other.revision
        self.horizon = other.horizon
        self.is_complete = other.is_complete
        self.size_bytes = other.size_bytes
        self._packed = other._packed
        self._tombstones = other._tombstones
        self._live_digest = other._live_digest
        self._drop_old_tombstones()

    def difference(self, newer: ResourceTable) -> tuple[Resource, ...]:
        """Return the changes that turn the live resources of this table into those of `newer`.

        Deletions are tombstones. The changes are sorted by revision.
        """
        deleted = [
            key
            for key, packed in self._packed.items()
            if is_live(packed) and not newer._has_live(key)
        ]
        changes = [
            Resource(*split_key(key), newer._deletion_revision(key), None) for key in deleted
        ]
        for key, packed in newer._packed.items():
            if is_live(packed) and self._packed.get(key) != packed:
                changes.append(unpack(key, packed))
        return tuple(sorted(changes, key=lambda resource: resource.revision))

    def _has_live(self, key: str) -> bool:
        packed = self._packed.get(key)
        return packed is not None and is_live(packed)

    def _deletion_revision(self, key: str) -> int:
        """Return the revision of a tombstone, or of the table if the tombstone was dropped."""
        packed = self._packed.get(key)
        return self.revision if packed is None else revision_of(packed)

    def freeze(self) -> FrozenTable:
        """Return the current content, which can be sent in chunks while the table changes."""
        return FrozenTable(
            self.epoch, self.revision, self.horizon, self.digest, self.size_bytes, self._packed
        )

    def can_resume_from(self, revision: int) -> bool:
        """Return whether deltas suffice for a receiver at `revision` of the same epoch."""
        return max(self.horizon, 1) <= revision <= self.revision

    def delta_since(self, revision: int, max_bytes: int) -> Update:
        """Return the next delta for a receiver at `revision`, for which `can_resume_from` holds.

        The delta contains only the latest version of each resource. It contains at least one
        resource if the receiver lacks any, and is complete only if the table is complete.
        """
        missing_entries = self._entries_after(revision)
        chunk: list[Resource] = []
        remaining_bytes = max_bytes
        while missing_entries and (
            not chunk or remaining_bytes >= resource_size(missing_entries[-1])
        ):
            remaining_bytes -= resource_size(missing_entries[-1])
            chunk.append(missing_entries.pop())
        if missing_entries:
            return Update(self.epoch, chunk[-1].revision, tuple(chunk), complete=False)
        if not self.is_complete:
            return Update(self.epoch, self.revision, tuple(chunk), complete=False)
        return Update(self.epoch, self.revision, tuple(chunk), digest=self.digest)

    def _entries_after(self, revision: int) -> list[Resource]:
        """Return the entries that are newer than `revision`, newest first."""
        entries: list[Resource] = []
        for key in reversed(self._packed):
            packed = self._packed[key]
            if revision_of(packed) <= revision:
                break
            entries.append(unpack(key, packed))
        return entries

    def _remove(self, key: str) -> None:
        packed = self._packed.pop(key, None)
        if packed is None:
            return
        self.size_bytes -= packed_size(key, packed)
        if is_live(packed):
            self._live_digest.remove(key, packed)

    def _drop_old_tombstones(self) -> None:
        while len(self._tombstones) > self._max_tombstones:
            revision, key = self._tombstones.popleft()
            packed = self._packed.get(key)
            if packed is None or is_live(packed) or revision_of(packed) != revision:
                continue  # a later entry has replaced this tombstone
            self._remove(key)
            self.horizon = max(self.horizon, revision)
