"""The last applied table in a file, for a start while every server is down.

Theory of operation. The file holds records, each with its length and a BLAKE2 checksum: resources,
and behind each batch a commit with epoch, revision and digest of the table. A change is appended,
at the cost of its own size. A new history, a snapshot that brought other resources, or a file that
has grown to a multiple of its first state is written to a new file, which is renamed into place.
Resources stand in the order of their revisions, tombstones included.

Records are written in slices, one after another, begun at most once in `interval`. Nothing is
synced to the disk: checksums and digest reveal whatever a crash of the machine leaves. At a start
the bytes behind the last commit are cut off; any other fault drops the file.

Where resources were rejected, a commit also holds the versions that are applied in their place.
"""

from __future__ import annotations

import asyncio
import os
import struct
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import BinaryIO, Final, NamedTuple
from urllib.parse import quote

import msgspec
from loguru import logger

from dockthread.control_plane.frozen_table import FrozenTable
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
SLICE_BYTES: Final = 256 << 10
"""Bytes of resources in one record."""
URGENT_BYTES: Final = 1 << 20
"""Waiting bytes from which on a write does not wait for the interval."""
MIN_REWRITE_BYTES: Final = 4 << 20
"""Bytes appended before a file is written anew."""
MAX_GROWTH: Final = 2
"""Times its first state to which a file may grow by appending."""
FILE_MODE: Final = 0o600
"""Only the owner may read configuration."""
MS_PER_SECOND: Final = 1_000.0
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


@dataclass(frozen=True, slots=True)
class WriteJob:
    """Bytes that are written at once.

    Attributes:
        data: The bytes.
        starts_file: Whether they begin a new file.
        ends_state: Whether they end with a commit.
    """

    data: bytes
    starts_file: bool
    ends_state: bool


class SnapshotCache:
    """The file of the subscriber `name` in `directory`.

    `interval` is the least time in ms between the starts of two writes.

    Attributes:
        path: The file.
    """

    def __init__(self, directory: Path, name: str, interval: float) -> None:
        self.path = directory / f"{quote(name, safe='')}.cache"
        self._name = name
        self._interval = interval / MS_PER_SECOND  # s
        self._queue: deque[CacheHeader | Resource | FrozenTable | CacheCommit] = deque()
        self._queued_bytes = 0
        self._epoch = ""  # of what was queued last
        self._revision = 0  # of what was queued last
        self._state_bytes = 0  # of the file's first state
        self._appended_bytes = 0  # since that
        self._can_append = False  # to the file as it will be once the queue is written
        self._has_failed = False
        self._timer: asyncio.TimerHandle | None = None
        self._writing: asyncio.Task[None] | None = None
        self._began_at = float("-inf")
        # The job that is being carried out, and nothing else, uses these:
        self._file: int | None = None
        self._new_path: Path | None = None  # of a new file, until its first commit

    def load(self) -> CachedSnapshot | None:
        """Return what the file holds; a corrupt file is dropped with one line in the log."""
        try:
            found = read_snapshot(self.path, self._name)
        except CorruptCacheError as error:
            logger.warning("control: {} is dropped: it {}", self.path, error)
            with suppress(OSError):
                self.path.unlink(missing_ok=True)
            return None
        if found is not None:
            try:
                self._open_to_append(found)
            except OSError as error:
                self._fail(error)
        return found

    def save(
        self,
        table: ResourceTable,
        changes: Sequence[Resource],
        last_good: tuple[Resource, ...],
    ) -> None:
        """Write `table`; `changes` are all since the last call. Needs a running loop."""
        if self._may_append(table, changes):
            self._queue += changes
            self._queued_bytes += sum(map(_approximate_size, changes))
        else:
            self._queue.clear()
            self._queue += (CacheHeader(VERSION, self._name), table.freeze())
            self._queued_bytes = table.bytes
            self._appended_bytes = 0
            self._can_append = True
        commit = CacheCommit(table.epoch, table.revision, table.horizon, table.digest, last_good)
        self._queue.append(commit)
        self._epoch = table.epoch
        self._revision = table.revision
        if self._timer is None and self._writing is None:
            self._plan_write()

    async def close(self) -> None:
        """Write everything that waits, and close the file."""
        if self._timer is not None:
            self._timer.cancel()
        if self._writing is not None:
            await self._writing
        await self._write_all()
        self._close_file()

    def _open_to_append(self, found: CachedSnapshot) -> None:
        os.truncate(self.path, found.size)
        self._file = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        self._can_append = True
        self._epoch = found.table.epoch
        self._revision = found.table.revision
        self._state_bytes = found.size

    def _may_append(self, table: ResourceTable, changes: Sequence[Resource]) -> bool:
        is_same_history = self._can_append and self._epoch == table.epoch
        if not is_same_history or not _are_newer(changes, self._revision):
            return False
        return self._appended_bytes <= max(MIN_REWRITE_BYTES, MAX_GROWTH * self._state_bytes)

    def _plan_write(self) -> None:
        loop = asyncio.get_running_loop()
        delay = 0.0
        if self._queued_bytes <= URGENT_BYTES:
            delay = max(0.0, self._began_at + self._interval - loop.time())
        self._timer = loop.call_later(delay, self._begin_write)

    def _begin_write(self) -> None:
        loop = asyncio.get_running_loop()
        self._began_at = loop.time()
        self._timer = None
        self._writing = loop.create_task(self._write_all())
        self._writing.add_done_callback(self._on_written)

    def _on_written(self, _: asyncio.Task[None]) -> None:
        self._writing = None
        if self._queue and self._timer is None:  # queued as the last job ended
            self._plan_write()

    async def _write_all(self) -> None:
        """Write the queue in a thread, as the disk may be slow, one job after another."""
        loop = asyncio.get_running_loop()
        while (job := self._next_job()) is not None:
            try:
                await loop.run_in_executor(None, self._write, job)
            except OSError as error:
                self._fail(error)
                return
            self._has_failed = False

    def _next_job(self) -> WriteJob | None:
        """Return the next slice of resources, with a header before or a commit behind it."""
        if not self._queue:
            return None
        records: list[CacheRecord] = []
        head = self._queue[0]
        starts_file = isinstance(head, CacheHeader)
        if isinstance(head, CacheHeader):
            records.append(head)
            self._queue.popleft()
        resources = self._take_slice()
        if resources:
            records.append(CacheChunk(resources))
            size = sum(map(_approximate_size, resources))
            self._queued_bytes = max(0, self._queued_bytes - size)
        ends_state = False
        if self._queue and isinstance(commit := self._queue[0], CacheCommit):
            records.append(commit)
            self._queue.popleft()
            ends_state = True
        return WriteJob(b"".join(map(_encode, records)), starts_file, ends_state)

    def _take_slice(self) -> tuple[Resource, ...]:
        """Remove and return the next resources, up to a commit."""
        if self._queue and isinstance(frozen := self._queue[0], FrozenTable):
            resources = frozen.next_chunk(SLICE_BYTES).resources
            if frozen.exhausted:
                self._queue.popleft()
            return resources
        taken: list[Resource] = []
        capacity = SLICE_BYTES
        while self._queue and capacity > 0 and isinstance(resource := self._queue[0], Resource):
            self._queue.popleft()
            taken.append(resource)
            capacity -= _approximate_size(resource)
        return tuple(taken)

    def _write(self, job: WriteJob) -> None:
        """Carry out a job, in a thread; never two at once."""
        if job.starts_file:
            self._close_file()
            self._new_path = self.path.with_suffix(".new")
            self._new_path.parent.mkdir(parents=True, exist_ok=True)
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
            self._file = os.open(self._new_path, flags, FILE_MODE)
        if self._file is None:
            raise OSError(0, "no file is open")
        data = job.data
        self._appended_bytes += len(data)
        while data:
            data = data[os.write(self._file, data) :]
        if job.ends_state and self._new_path is not None:
            os.replace(self._new_path, self.path)
            self._new_path = None
            self._state_bytes = self._appended_bytes
            self._appended_bytes = 0

    def _fail(self, error: OSError) -> None:
        """Drop the queue; the next change begins a new file.

        The old file, if any, is intact up to its last commit.
        """
        if not self._has_failed:
            logger.warning("control: {} cannot be written: {}", self.path, error.strerror)
        self._has_failed = True
        self._can_append = False
        self._queued_bytes = 0
        self._queue.clear()
        self._close_file()

    def _close_file(self) -> None:
        if self._file is not None:
            os.close(self._file)
        self._file = None


def _encode(record: CacheRecord) -> bytes:
    body = _encoder.encode(record)
    return RECORD_HEAD.pack(len(body), _checksum(body)) + body


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).digest()


def _are_newer(changes: Iterable[Resource], revision: int) -> bool:
    """Return whether changes follow `revision` in order; the difference of a snapshot does not."""
    for change in changes:
        if change.revision <= revision:
            return False
        revision = change.revision
    return True


def _approximate_size(resource: Resource) -> int:
    return len(resource.body or b"") + len(resource.name)
