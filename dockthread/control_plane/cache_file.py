"""The file of a snapshot cache: its records, and how it is read.

The file holds records, each with its length and a BLAKE2 checksum: a header, resources, and behind
each batch a commit with epoch, revision and digest of the table. Resources stand in the order of
their revisions, tombstones included. Where resources were rejected, a commit also holds the
versions that are applied in their place. Bytes behind the last commit are ignored; any other fault
makes the file corrupt.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import BinaryIO, Final, NamedTuple

import msgspec

from dockthread.control_plane.messages import Resource
from dockthread.control_plane.resource_table import OutOfOrderError, ResourceTable
from dockthread.errors import DockthreadError

VERSION: Final = 1
"""Version of the file's format."""
CHECKSUM_BYTES: Final = 16
"""Bytes of a record's checksum."""
RECORD_HEAD: Final = struct.Struct(f"<I{CHECKSUM_BYTES}s")
"""Length of a record's body, and its checksum."""
MAX_RECORD_BYTES: Final = 16 << 20
"""Bytes of one record; longer ones are taken for damage."""
_COMMIT_PREFIX: Final = b"\x96\xa1c"
"""First bytes of an encoded commit: an array of six, and its tag."""


class CacheHeader(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """First record of a file: the version of the format, and whose cache it is."""

    version: int
    name: str


class CacheChunk(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Resources in the order of their revisions."""

    resources: tuple[Resource, ...]


class CacheCommit(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Marks that all records before it are a complete table.

    Attributes:
        epoch: History of the table.
        revision: Revision of the table.
        horizon: Revision of the newest tombstone that was dropped.
        digest: Digest of the table.
        last_good: What is applied in place of rejected resources.
    """

    epoch: str
    revision: int
    horizon: int
    digest: bytes
    last_good: tuple[Resource, ...] = ()


CacheRecord = CacheHeader | CacheChunk | CacheCommit
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[CacheRecord] = msgspec.msgpack.Decoder(CacheRecord)


class CorruptCacheError(DockthreadError):
    """A file holds no table of this format; the text says why."""


@dataclass(slots=True)
class CachedSnapshot:
    """A table as it was read.

    Attributes:
        table: The table.
        last_good: What was applied in place of rejected resources.
        size: Bytes of the file up to its last commit.
    """

    table: ResourceTable
    last_good: tuple[Resource, ...]
    size: int


class _LocatedBody(NamedTuple):
    """Encoded record, and the offset at which it ends."""

    body: bytes
    end: int


class _LocatedCommit(NamedTuple):
    """Commit, and the offset at which it ends."""

    commit: CacheCommit
    end: int


def read_snapshot(path: Path, name: str) -> CachedSnapshot | None:
    """Return the last table in a file; None where there is no file.

    The file is read twice, a record at a time: to check it and find its last commit, then to fill
    a table.

    Raises:
        CorruptCacheError: The file cannot be read, is damaged or is the cache of another name.
    """
    try:
        with path.open("rb") as file:
            commit, size = _find_last_commit(file, name)
            file.seek(0)
            return CachedSnapshot(_read_table(file, commit, size), commit.last_good, size)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise CorruptCacheError(f"cannot be read: {error.strerror}") from error


def _find_last_commit(file: BinaryIO, name: str) -> _LocatedCommit:
    last = None
    for number, (body, end) in enumerate(_read_bodies(file)):
        if number == 0 and _decode(body) != CacheHeader(VERSION, name):
            raise CorruptCacheError(f"is not that of {name} in version {VERSION}")
        if not body.startswith(_COMMIT_PREFIX):
            continue
        record = _decode(body)
        if isinstance(record, CacheCommit):
            last = _LocatedCommit(record, end)
    if last is None:
        raise CorruptCacheError("holds no whole state")
    return last


def _read_bodies(file: BinaryIO) -> Iterator[_LocatedBody]:
    """Yield the records; one that is cut short at the end of the file is left out."""
    offset = 0
    while len(head := file.read(RECORD_HEAD.size)) == RECORD_HEAD.size:
        size, checksum = RECORD_HEAD.unpack(head)
        if size > MAX_RECORD_BYTES:
            raise CorruptCacheError(f"has a record of {size} bytes at byte {offset}")
        body = file.read(size)
        if len(body) < size:
            return
        if _checksum(body) != checksum:
            raise CorruptCacheError(f"has a wrong sum at byte {offset}")
        offset += RECORD_HEAD.size + size
        yield _LocatedBody(body, offset)


def _decode(body: bytes) -> CacheRecord:
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise CorruptCacheError(f"holds no record: {error}") from error


def _read_resources(file: BinaryIO, size: int) -> Iterator[Resource]:
    """Yield all resources before the offset `size`."""
    for body, end in _read_bodies(file):
        record = _decode(body)
        if isinstance(record, CacheChunk):
            yield from record.resources
        if end == size:
            return


def _read_table(file: BinaryIO, commit: CacheCommit, size: int) -> ResourceTable:
    """Return the table of a commit that ends at the offset `size`."""
    table = ResourceTable()
    resources = _read_resources(file, size)
    try:
        table.load(commit.epoch, commit.revision, commit.horizon, resources)
    except OutOfOrderError as error:
        raise CorruptCacheError(f"is out of order: {error}") from error
    if table.digest != commit.digest:
        raise CorruptCacheError(f"has another digest than it tells at revision {commit.revision}")
    return table


def encode_record(record: CacheRecord) -> bytes:
    """Return a record with its head."""
    body = _encoder.encode(record)
    return RECORD_HEAD.pack(len(body), _checksum(body)) + body


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).digest()
