"""The last state in force, in a file: for a start with every server down.

Theory of operation. The file holds records, each with its length and a BLAKE2 sum: resources, and
after each batch a commit that tells epoch, revision and digest of the whole. A change is appended,
at the cost of its own size; a new history, or a file that has grown to a multiple of its state, is
written anew beside and renamed into place. Records are written in slices, one after another, and
begun at most once in `interval`; nothing is synced to the disk, as sums and digest tell whatever a
crash of the machine leaves. At a start what stands behind the last commit is cut off; any other
fault drops the file. Resources stand in the order of their revisions, deletes included; where a
snapshot brought others, the file is written anew too.

Where the owner refused a resource, a commit also names the one that it kept in its place.
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
from typing import BinaryIO, Final
from urllib.parse import quote

import msgspec
from loguru import logger

from dockthread.control_plane.messages import Resource
from dockthread.control_plane.resource_table import FrozenTable, OutOfOrderError, ResourceTable

VERSION: Final = 1
SUM: Final = 16  # bytes
RECORD: Final = struct.Struct(f"<I{SUM}s")
MOST_RECORD: Final = 16 << 20  # bytes
SLICE: Final = 256 << 10  # bytes of resources in one record
HURRY: Final = 1 << 20  # bytes that wait, from which on no interval is waited for
LEAST_REWRITE: Final = 4 << 20  # bytes appended before a file is written anew
GROWTH: Final = 2  # times its state to which a file may grow


class CacheHeader(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """First record of a cache: its version and whose it is."""

    version: int
    name: str


class CacheChunk(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Resources that were received, in the order in which they came."""

    resources: tuple[Resource, ...]


class CacheCommit(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """All before it is a state. `kept`: what is in force in place of resources that were
    refused.
    """

    epoch: str
    revision: int
    horizon: int
    digest: bytes
    last_good: tuple[Resource, ...] = ()


CacheRecord = CacheHeader | CacheChunk | CacheCommit
_COMMIT: Final = b"\x96\xa1c"  # how a commit begins: six fields, the first its tag
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[CacheRecord] = msgspec.msgpack.Decoder(CacheRecord)


class CorruptCacheError(Exception):
    """A file that holds no state of this program; the text says why."""


@dataclass(slots=True)
class CachedSnapshot:
    """A state as it was read. `size`: bytes of the file up to its last commit."""

    table: ResourceTable
    last_good: tuple[Resource, ...]
    size: int


def read_snapshot(path: Path, name: str) -> CachedSnapshot | None:
    """The last state in a file; None where there is no file. Raises `BrokenCache`. It is read
    twice, a record at a time: first to check it and find its last commit, then into a table.
    """
    try:
        with path.open("rb") as file:
            last, size = _last_commit(file, name)
            file.seek(0)
            return CachedSnapshot(_table(file, last, size), last.last_good, size)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise CorruptCacheError(f"cannot be read: {error.strerror}") from error


def _last_commit(file: BinaryIO, name: str) -> tuple[CacheCommit, int]:
    """It, and where it ends."""
    last, size = None, 0
    for number, (body, end) in enumerate(_bodies(file)):
        if number == 0 and _decode(body) != CacheHeader(VERSION, name):
            raise CorruptCacheError(f"is not that of {name} in version {VERSION}")
        if body[:3] == _COMMIT and isinstance(record := _decode(body), CacheCommit):
            last, size = record, end
    if last is None:
        raise CorruptCacheError("holds no whole state")
    return last, size


def _bodies(file: BinaryIO) -> Iterator[tuple[bytes, int]]:
    """Of records, and where each ends. One cut short at the end is passed over."""
    at = 0
    while len(head := file.read(RECORD.size)) == RECORD.size:
        size, told = RECORD.unpack(head)
        if size > MOST_RECORD:
            raise CorruptCacheError(f"has a record of {size} bytes at byte {at}")
        if len(body := file.read(size)) < size:
            return
        if blake2b(body, digest_size=SUM).digest() != told:
            raise CorruptCacheError(f"has a wrong sum at byte {at}")
        at += RECORD.size + size
        yield body, at


def _decode(body: bytes) -> CacheRecord:
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise CorruptCacheError(f"holds no record: {error}") from error


def _table(file: BinaryIO, last: CacheCommit, size: int) -> ResourceTable:
    """All up to the commit that ends at `size`."""

    def resources() -> Iterator[Resource]:
        for body, end in _bodies(file):
            if isinstance(record := _decode(body), CacheChunk):
                yield from record.resources
            if end == size:
                return

    table = ResourceTable()
    try:
        table.load(last.epoch, last.revision, last.horizon, resources())
    except OutOfOrderError as error:
        raise CorruptCacheError(f"is out of order: {error}") from error
    if table.digest != last.digest:
        raise CorruptCacheError(f"has another digest than it tells at revision {last.revision}")
    return table


@dataclass(frozen=True, slots=True)
class WriteJob:
    """What is written at once. `anew`: to a new file beside; `commit`: a state ends with it."""

    data: bytes
    anew: bool
    commit: bool


class SnapshotCache:
    """One subscriber's file in `directory`. `interval`: least ms between the starts of two
    writes.
    """

    def __init__(self, directory: Path, name: str, interval: float) -> None:
        self.path = directory / f"{quote(name, safe='')}.cache"
        self._name, self._interval = name, interval / 1000.0
        self._queue: deque[CacheHeader | Resource | FrozenTable | CacheCommit] = deque()
        self._waiting = 0  # bytes in it
        self._epoch, self._revision = "", 0  # of what was queued last
        self._state = self._appended = 0  # bytes of the file's first state, and since
        self._usable = False  # the file can be appended to, or will be begun anew by what is queued
        self._failed = False
        self._alarm: asyncio.TimerHandle | None = None
        self._writing: asyncio.Task[None] | None = None
        self._began = float("-inf")
        # Of the job that is carried out, and of nothing else:
        self._file: int | None = None
        self._beside: Path | None = None  # the file that is being written, until its first commit

    def load(self) -> CachedSnapshot | None:
        """What stands there; a broken file is dropped with one line in the log."""
        try:
            found = read_snapshot(self.path, self._name)
        except CorruptCacheError as error:
            logger.warning("control: {} is dropped: it {}", self.path, error)
            with suppress(OSError):
                self.path.unlink(missing_ok=True)
            return None
        if found is not None:
            try:
                os.truncate(self.path, found.size)
                self._file = os.open(self.path, os.O_WRONLY | os.O_APPEND)
                self._usable = True
                self._epoch, self._revision, self._state = (
                    found.table.epoch,
                    found.table.revision,
                    found.size,
                )
            except OSError as error:
                self._fail(error)
        return found

    def save(
        self, table: ResourceTable, changes: Sequence[Resource], last_good: tuple[Resource, ...]
    ) -> None:
        """`table` after `changes`, which are all since the last call. It needs a running loop."""
        follows = self._usable and self._epoch == table.epoch and _follow(self._revision, changes)
        if not follows or self._appended > max(LEAST_REWRITE, GROWTH * self._state):
            self._queue.clear()
            self._queue += (CacheHeader(VERSION, self._name), table.freeze())
            self._waiting, self._appended, self._usable = table.bytes, 0, True
        else:
            self._queue += changes
            self._waiting += sum(map(_size, changes))
        self._queue.append(
            CacheCommit(table.epoch, table.revision, table.horizon, table.digest, last_good)
        )
        self._epoch, self._revision = table.epoch, table.revision
        if self._alarm is None and self._writing is None:
            self._arm()

    async def close(self) -> None:
        """Write all that waits."""
        if self._alarm is not None:
            self._alarm.cancel()
        if self._writing is not None:
            await self._writing
        await self._write_all()
        self._close_file()

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        due = 0.0 if self._waiting > HURRY else max(0.0, self._began + self._interval - loop.time())
        self._alarm = loop.call_later(due, self._begin)

    def _begin(self) -> None:
        loop = asyncio.get_running_loop()
        self._began, self._alarm = loop.time(), None
        self._writing = loop.create_task(self._write_all())
        self._writing.add_done_callback(self._end)

    def _end(self, _: asyncio.Task[None]) -> None:
        self._writing = None
        if self._queue and self._alarm is None:  # it came as the last job ended
            self._arm()

    async def _write_all(self) -> None:
        """The disk may be slow, so it is waited for in a thread of the loop's; one job after
        another.
        """
        loop = asyncio.get_running_loop()
        while (job := self._next()) is not None:
            try:
                await loop.run_in_executor(None, self._carry_out, job)
            except OSError as error:
                self._fail(error)
                return
            self._failed = False

    def _next(self) -> WriteJob | None:
        """The next slice of resources, with the head before and the commit behind it."""
        if not self._queue:
            return None
        records: list[CacheRecord] = []
        anew = isinstance(head := self._queue[0], CacheHeader)
        if isinstance(head, CacheHeader):
            records.append(head)
            self._queue.popleft()
        if part := self._take_slice():
            records.append(CacheChunk(part))
            self._waiting = max(0, self._waiting - sum(map(_size, part)))
        commit = (
            self._queue.popleft()
            if self._queue and isinstance(self._queue[0], CacheCommit)
            else None
        )
        if isinstance(commit, CacheCommit):
            records.append(commit)
        return WriteJob(b"".join(map(_framed, records)), anew, commit is not None)

    def _take_slice(self) -> tuple[Resource, ...]:
        """The next resources, up to a commit."""
        if self._queue and isinstance(frozen := self._queue[0], FrozenTable):
            part = frozen.next_chunk(SLICE).resources
            if frozen.exhausted:
                self._queue.popleft()
            return part
        taken: list[Resource] = []
        room = SLICE
        while self._queue and room > 0 and isinstance(one := self._queue[0], Resource):
            self._queue.popleft()
            taken.append(one)
            room -= _size(one)
        return tuple(taken)

    def _carry_out(self, job: WriteJob) -> None:
        """Never two at once."""
        if job.anew:
            self._close_file()
            self._beside = self.path.with_suffix(".new")
            self._beside.parent.mkdir(parents=True, exist_ok=True)
            self._file = os.open(self._beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        if self._file is None:
            raise OSError(0, "no file is open")
        data = job.data
        self._appended += len(data)
        while data:
            data = data[os.write(self._file, data) :]
        if job.commit and self._beside is not None:
            os.replace(self._beside, self.path)
            self._beside = None
            self._state, self._appended = self._appended, 0

    def _fail(self, error: OSError) -> None:
        """The next change begins a new file; the old one, if any, stays whole up to its last
        commit.
        """
        if not self._failed:
            logger.warning("control: {} cannot be written: {}", self.path, error.strerror)
        self._failed, self._usable, self._waiting = True, False, 0
        self._queue.clear()
        self._close_file()

    def _close_file(self) -> None:
        if self._file is not None:
            os.close(self._file)
        self._file = None


def _framed(record: CacheRecord) -> bytes:
    body = _encoder.encode(record)
    return RECORD.pack(len(body), blake2b(body, digest_size=SUM).digest()) + body


def _follow(revision: int, changes: Iterable[Resource]) -> bool:
    """Whether they come behind `revision` in their order; what differs in a snapshot does not."""
    for one in changes:
        if one.revision <= revision:
            return False
        revision = one.revision
    return True


def _size(one: Resource) -> int:
    return len(one.body or b"") + len(one.name)
