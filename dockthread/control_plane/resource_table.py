"""The resources of one history by kind and name, in the order of their last revision, with a digest
of their set.

Theory of operation. A dict keeps its keys in the order in which they were put; a changed key is
taken out and put again, so the newest stand last and what a receiver lacks is read from the end
backwards, at the cost of the answer. A deleted resource stays as a tombstone, so that a receiver is
told of the delete; the oldest of more than `most_tombstones` are forgotten, and `horizon` is the
revision of the last one forgotten: a receiver that holds an older revision than that needs a
snapshot. One resource is held as one string (kind and name) and one run of bytes (revision and
body), since an ingress holds 90,000 of them.

The digest is the sum modulo 2^128 of one BLAKE2b for each live resource: it does not depend on
their order, and a change costs one hash out and one in.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Iterable, Iterator
from hashlib import blake2b
from typing import Final

from dockthread.control_plane.messages import Resource, Update

MAX_TOMBSTONES: Final = 8192
DIGEST_SIZE: Final = 16  # bytes
OVERHEAD: Final = 8  # bytes that a resource may take in a message besides what is held of it
_MODULUS: Final = 1 << (8 * DIGEST_SIZE)
_SEPARATOR: Final = "\x00"  # between kind and name; no kind holds it
_HEAD: Final = struct.Struct("<Q?")  # revision, whether it is live


class OutOfOrderError(ValueError):
    """A change that is not newer than the table it was to go into."""


class ResourceTable:
    """Resources of the history `epoch` up to `revision`."""

    def __init__(self, epoch: str = "", max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.epoch = epoch
        self.revision = 0
        self.horizon = 0
        # holds the latest of each key at `revision`; not between the parts of an update
        self.is_complete = True
        self.bytes = 0  # of all entries in messages, about
        self._most_tombstones = max_tombstones
        self._packed: dict[str, bytes] = {}  # by kind and name, the newest last
        self._tombstones: deque[tuple[int, str]] = deque()  # some may have been replaced since
        self._live = 0
        self._sum = 0

    def __len__(self) -> int:
        """Live resources."""
        return self._live

    @property
    def digest(self) -> bytes:
        """Of the live resources, whatever their order."""
        return self._sum.to_bytes(DIGEST_SIZE, "little")

    def get(self, kind: str, name: str) -> Resource | None:
        """A live resource, or None."""
        found = self.entry(kind, name)
        return found if found is not None and found.body is not None else None

    def entry(self, kind: str, name: str) -> Resource | None:
        """A live resource or its tombstone; None where neither is held."""
        key = _key(kind, name)
        packed = self._packed.get(key)
        return None if packed is None else _unpack(key, packed)

    def entries(self) -> Iterator[Resource]:
        """Live resources and tombstones, the oldest revision first."""
        return (_unpack(key, packed) for key, packed in self._packed.items())

    def live(self) -> Iterator[Resource]:
        """Live resources, the oldest revision first."""
        return (resource for resource in self.entries() if resource.body is not None)

    def put(self, resource: Resource) -> None:
        """Take a change that is newer than all before it. Raises `OutOfOrder`, and then nothing is
        changed.
        """
        if resource.revision <= self.revision:
            raise OutOfOrderError(f"revision {resource.revision} after {self.revision}")
        key = _key(resource.kind, resource.name)
        self._remove(key)
        packed = self._packed[key] = _pack(resource)
        self.bytes += _held_size(key, packed)
        if resource.body is None:
            self._tombstones.append((resource.revision, key))
        else:
            self._count(key, packed, 1)
        self.revision = resource.revision
        self._forget_tombstones()

    def advance(self, revision: int) -> None:
        """All up to `revision` is held; what came last may be older, since a newer change moved a
        key on.
        """
        self.revision = max(self.revision, revision)

    def load(self, epoch: str, revision: int, horizon: int, entries: Iterable[Resource]) -> None:
        """Hold this in place of all before: `entries` in the order of their revisions, tombstones
        included. Raises `OutOfOrder` for another order, and then the table is of no use: load into
        a new one.
        """
        self.epoch, self.revision, self.horizon, self.is_complete = epoch, 0, horizon, True
        self._packed, self._live, self._sum, self.bytes = {}, 0, 0, 0
        self._tombstones.clear()
        for entry in entries:
            self.put(entry)
        if self.revision > revision:
            raise OutOfOrderError(f"revision {self.revision} in a table of revision {revision}")
        self.revision = revision

    def replace_with(self, other: ResourceTable) -> None:
        """Hold what `other` holds, in place of all before. `other` is of no use after it."""
        self.epoch, self.revision, self.horizon = other.epoch, other.revision, other.horizon
        self.is_complete, self.bytes = other.is_complete, other.bytes
        self._packed, self._tombstones = other._packed, other._tombstones
        self._live, self._sum = other._live, other._sum
        self._forget_tombstones()

    def difference(self, newer: ResourceTable) -> tuple[Resource, ...]:
        """What has to be put, and what deleted, for a holder of this table to hold the live
        resources of `newer`.
        """
        gone = [
            key
            for key, packed in self._packed.items()
            if _is_live(packed) and not newer._holds_live(key)
        ]
        found = [Resource(*_split(key), newer._revision_of(key), None) for key in gone]
        for key, packed in newer._packed.items():
            if _is_live(packed) and self._packed.get(key) != packed:
                found.append(_unpack(key, packed))
        return tuple(sorted(found, key=lambda resource: resource.revision))

    def _holds_live(self, key: str) -> bool:
        packed = self._packed.get(key)
        return packed is not None and _is_live(packed)

    def _revision_of(self, key: str) -> int:
        """Of the entry; where there is none, by when it must have been deleted."""
        packed = self._packed.get(key)
        return self.revision if packed is None else int(_HEAD.unpack_from(packed)[0])

    def freeze(self) -> FrozenTable:
        """What is held now, to be cut into the parts of a snapshot while the table goes on."""
        return FrozenTable(self)

    def can_resume_from(self, revision: int) -> bool:
        """Whether a receiver that holds `revision` of this history can be brought up to date
        without a snapshot.
        """
        return max(self.horizon, 1) <= revision <= self.revision

    def delta_since(self, revision: int, most_bytes: int) -> Update:
        """The next part for a receiver that holds `revision`, for which `can_resume` holds: the
        latest of each key only, and one resource at least where there is any. It is complete only
        where the table is whole.
        """
        lacking = self._lacking(revision)
        part: list[Resource] = []
        room = most_bytes
        while lacking and (not part or room >= _size(lacking[-1])):
            room -= _size(lacking[-1])
            part.append(lacking.pop())
        if lacking:
            return Update(self.epoch, part[-1].revision, tuple(part), complete=False)
        if not self.is_complete:
            return Update(self.epoch, self.revision, tuple(part), complete=False)
        return Update(self.epoch, self.revision, tuple(part), digest=self.digest)

    def _lacking(self, revision: int) -> list[Resource]:
        """What is newer than `revision`, the newest first."""
        found: list[Resource] = []
        for key in reversed(self._packed):
            packed = self._packed[key]
            if _HEAD.unpack_from(packed)[0] <= revision:
                break
            found.append(_unpack(key, packed))
        return found

    def _remove(self, key: str) -> None:
        packed = self._packed.pop(key, None)
        if packed is None:
            return
        self.bytes -= _held_size(key, packed)
        if _is_live(packed):
            self._count(key, packed, -1)

    def _count(self, key: str, packed: bytes, sign: int) -> None:
        """One live resource more, or less."""
        self._live += sign
        self._sum = (self._sum + sign * _hash(key, packed)) % _MODULUS

    def _forget_tombstones(self) -> None:
        while len(self._tombstones) > self._most_tombstones:
            revision, key = self._tombstones.popleft()
            packed = self._packed.get(key)
            if packed is not None and _HEAD.unpack_from(packed) == (revision, False):
                self._remove(key)
                self.horizon = max(self.horizon, revision)


class FrozenTable:
    """A table as it stood, tombstones included, the oldest revision first; without a copy of any
    resource.
    """

    def __init__(self, table: ResourceTable) -> None:
        self.epoch, self.revision, self.horizon = table.epoch, table.revision, table.horizon
        self.digest, self.bytes = table.digest, table.bytes
        self._keys, self._values = list(table._packed), list(table._packed.values())
        self._next = 0
        self._begun = False

    @property
    def exhausted(self) -> bool:
        """Whether all parts were given."""
        return self._begun and self._next == len(self._keys)

    def next_chunk(self, most_bytes: int) -> Update:
        """The part behind the last one given: the first opens a snapshot, the last is complete."""
        start, room = self._next, most_bytes
        while self._next < len(self._keys):
            room -= _held_size(self._keys[self._next], self._values[self._next])
            if room < 0 and self._next > start:
                break
            self._next += 1
        keys, values = self._keys[start : self._next], self._values[start : self._next]
        resources = tuple(_unpack(key, packed) for key, packed in zip(keys, values, strict=True))
        first, self._begun = not self._begun, True
        if not self.exhausted:
            return Update(
                self.epoch, resources[-1].revision, resources, snapshot=first, complete=False
            )
        return Update(self.epoch, self.revision, resources, first, True, self.digest, self.horizon)


def _key(kind: str, name: str) -> str:
    return f"{kind}{_SEPARATOR}{name}"


def _pack(resource: Resource) -> bytes:
    live = resource.body is not None
    return _HEAD.pack(resource.revision, live) + (resource.body or b"")


def _split(key: str) -> tuple[str, str]:
    kind, _, name = key.partition(_SEPARATOR)
    return kind, name


def _is_live(packed: bytes) -> bool:
    return bool(_HEAD.unpack_from(packed)[1])


def _unpack(key: str, packed: bytes) -> Resource:
    kind, name = _split(key)
    revision, live = _HEAD.unpack_from(packed)
    return Resource(kind, name, revision, packed[_HEAD.size :] if live else None)


def _hash(key: str, packed: bytes) -> int:
    named = key.encode()
    hashed = blake2b(len(named).to_bytes(4, "little"), digest_size=DIGEST_SIZE)
    hashed.update(named)
    hashed.update(packed)
    return int.from_bytes(hashed.digest(), "little")


def _held_size(key: str, packed: bytes) -> int:
    return OVERHEAD + len(key) + len(packed)


def _size(resource: Resource) -> int:
    return (
        OVERHEAD
        + _HEAD.size
        + 1
        + len(resource.kind)
        + len(resource.name)
        + len(resource.body or b"")
    )
