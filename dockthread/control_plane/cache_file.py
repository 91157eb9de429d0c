"""Defines the records of a snapshot cache's file, and reads the file.

The file consists of records, each with its length and a BLAKE2 checksum: a header, resources, and
after each batch a commit with the epoch, revision and digest of the table. Resources and tombstones
are sorted by revision. If resources were rejected, a commit also contains their last good versions,
which are applied instead. Bytes after the last commit are ignored; any other damage makes the file
corrupt.
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
"""Version of the file format."""
CHECKSUM_BYTES: Final = 16
"""Size of a record's checksum in bytes."""
RECORD_HEADER: Final = struct.Struct(f"<I{CHECKSUM_BYTES}s")
"""Header of each record: the length and the checksum of its body."""
MAX_RECORD_BYTES: Final = 16 << 20
"""Maximum length of a record's body in bytes; a longer one means that the file is corrupt."""
_COMMIT_PREFIX: Final = b"\x96\xa1c"
"""First bytes of an encoded commit: a msgpack array of six elements, and the tag."""


class CacheHeader(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """First record of a file: the version of the format, and the name of the subscriber."""

    version: int
    name: str


class CacheChunk(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Resources sorted by revision."""

    resources: tuple[Resource, ...]


class CacheCommit(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Marks that all records before it form a complete table.

    Attributes:
        epoch: Epoch of the table.
        revision: Revision of the table.
        horizon: Revision of the newest tombstone that was dropped.
        digest: Digest of the table.
        last_good: Versions that are applied instead of rejected resources.
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
    """A file contains no valid table; the text is a verb phrase that says why."""


@dataclass(slots=True)
class CachedSnapshot:
    """A table that was read from a cache file.

    Attributes:
        table: The table.
        last_good: Versions that were applied instead of rejected resources.
        size: Size of the file in bytes up to the end of its last commit.
    """

    table: ResourceTable
    last_good: tuple[Resource, ...]
    size: int


class _LocatedBody(NamedTuple):
    """An encoded record, and the offset at which it ends."""

    body: bytes
    end: int


class _LocatedCommit(NamedTuple):
    """A commit, and the offset at which it ends."""

    commit: CacheCommit
    end: int


def read_snapshot(path: Path, name: str) -> CachedSnapshot | None:
    """Return the last committed table in a file, or None if the file does not exist.

    The file is read twice, one record at a time: first to check it and find its last commit, then
    to fill a table.

    Raises:
        CorruptCacheError: The file cannot be read, is damaged or belongs to another subscriber.
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
            raise CorruptCacheError(f"is not a cache of {name} in format version {VERSION}")
        if not body.startswith(_COMMIT_PREFIX):
            continue
        record = _decode(body)
        if isinstance(record, CacheCommit):
            last = _LocatedCommit(record, end)
    if last is None:
        raise CorruptCacheError("contains no commit")
    return last


def _read_bodies(file: BinaryIO) -> Iterator[_LocatedBody]:
    """Yield the encoded records; a truncated record at the end of the file is omitted."""
    offset = 0
    while len(header := file.read(RECORD_HEADER.size)) == RECORD_HEADER.size:
        size, checksum = RECORD_HEADER.unpack(header)
        if size > MAX_RECORD_BYTES:
            raise CorruptCacheError(f"has a record of {size} bytes at byte {offset}")
        body = file.read(size)
        if len(body) < size:
            return
        if _checksum(body) != checksum:
            raise CorruptCacheError(f"has a wrong checksum at byte {offset}")
        offset += RECORD_HEADER.size + size
        yield _LocatedBody(body, offset)


def _decode(body: bytes) -> CacheRecord:
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise CorruptCacheError(f"contains an undecodable record: {error}") from error


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
        raise CorruptCacheError(f"contains resources out of order: {error}") from error
    if table.digest != commit.digest:
        raise CorruptCacheError(f"has a digest mismatch at revision {commit.revision}")
    return table


def encode_record(record: CacheRecord) -> bytes:
    """Return an encoded record with its header."""
    body = _encoder.encode(record)
    return RECORD_HEADER.pack(len(body), _checksum(body)) + body


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).digest()
