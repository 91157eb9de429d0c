"""The resources of one history by kind and name, in the order of their last revision, with a digest of their set.

Theory of operation. A dict keeps its keys in the order in which they were put; a changed key is taken out and put
again, so the newest stand last and what a receiver lacks is read from the end backwards, at the cost of the answer.
A deleted resource stays as a tombstone, so that a receiver is told of the delete; the oldest of more than
`most_tombstones` are forgotten, and `horizon` is the revision of the last one forgotten: a receiver that holds an
older revision than that needs a snapshot. One resource is held as one string (kind and name) and one run of bytes
(revision and body), since an ingress holds 90,000 of them.

The digest is the sum modulo 2^128 of one BLAKE2b for each live resource: it does not depend on their order, and a
change costs one hash out and one in.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Iterable, Iterator
from hashlib import blake2b
from typing import Final

from dockthread.distribution.messages import Resource, Update

MOST_TOMBSTONES: Final = 8192
DIGEST_SIZE: Final = 16  # bytes
OVERHEAD: Final = 24  # bytes that a resource may take in a message besides its kind, name and body
_MODULUS: Final = 1 << (8 * DIGEST_SIZE)
_SEPARATOR: Final = "\x00"  # between kind and name; no kind holds it
_HEAD: Final = struct.Struct("<Q?")  # revision, whether it is live


class OutOfOrder(ValueError):
    """A change that is not newer than the table it was to go into."""


class ResourceTable:
    """Resources of the history `epoch` up to `revision`."""

    def __init__(self, epoch: str = "", most_tombstones: int = MOST_TOMBSTONES) -> None:
        self.epoch = epoch
        self.revision = 0
        self.horizon = 0
        self._most_tombstones = most_tombstones
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
        """Take a change that is newer than all before it. Raises `OutOfOrder`, and then nothing is changed."""
        if resource.revision <= self.revision:
            raise OutOfOrder(f"revision {resource.revision} after {self.revision}")
        key = _key(resource.kind, resource.name)
        self._remove(key)
        packed = self._packed[key] = _pack(resource)
        if resource.body is None:
            self._tombstones.append((resource.revision, key))
        else:
            self._count(key, packed, 1)
        self.revision = resource.revision
        self._forget_tombstones()

    def advance(self, revision: int) -> None:
        """All up to `revision` is held; what came last may be older, since a newer change moved a key on."""
        self.revision = max(self.revision, revision)

    def load(self, epoch: str, revision: int, horizon: int, entries: Iterable[Resource]) -> None:
        """Hold this in place of all before: `entries` in the order of their revisions, tombstones included. Raises
        `OutOfOrder` for another order, and then the table is of no use: load into a new one."""
        self.epoch, self.revision, self.horizon = epoch, 0, horizon
        self._packed, self._live, self._sum = {}, 0, 0
        self._tombstones.clear()
        for entry in entries:
            self.put(entry)
        if self.revision > revision:
            raise OutOfOrder(f"revision {self.revision} in a table of revision {revision}")
        self.revision = revision

    def adopt(self, other: ResourceTable) -> None:
        """Hold what `other` holds, in place of all before. `other` is of no use after it."""
        self.epoch, self.revision, self.horizon = other.epoch, other.revision, other.horizon
        self._packed, self._tombstones = other._packed, other._tombstones
        self._live, self._sum = other._live, other._sum

    def can_resume(self, revision: int) -> bool:
        """Whether a receiver that holds `revision` of this history can be brought up to date without a snapshot."""
        return max(self.horizon, 1) <= revision <= self.revision

    def since(self, revision: int, most_bytes: int) -> Update:
        """The next part for a receiver that holds `revision`, the latest of each key only, some resource at least.
        It is for one for which `can_resume` holds; and for one that holds nothing, without the deletes."""
        lacking = self._lacking(revision)
        part: list[Resource] = []
        room = most_bytes
        while lacking and (not part or room >= _size(lacking[-1])):
            room -= _size(lacking[-1])
            part.append(lacking.pop())
        if lacking:
            return Update(self.epoch, part[-1].revision, tuple(part), complete=False)
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
        if packed is not None and _HEAD.unpack_from(packed)[1]:
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
                del self._packed[key]
                self.horizon = max(self.horizon, revision)


def _key(kind: str, name: str) -> str:
    return f"{kind}{_SEPARATOR}{name}"


def _pack(resource: Resource) -> bytes:
    live = resource.body is not None
    return _HEAD.pack(resource.revision, live) + (resource.body or b"")


def _unpack(key: str, packed: bytes) -> Resource:
    kind, _, name = key.partition(_SEPARATOR)
    revision, live = _HEAD.unpack_from(packed)
    return Resource(kind, name, revision, packed[_HEAD.size :] if live else None)


def _hash(key: str, packed: bytes) -> int:
    named = key.encode()
    hashed = blake2b(len(named).to_bytes(4, "little"), digest_size=DIGEST_SIZE)
    hashed.update(named)
    hashed.update(packed)
    return int.from_bytes(hashed.digest(), "little")


def _size(resource: Resource) -> int:
    return OVERHEAD + len(resource.kind) + len(resource.name) + len(resource.body or b"")
