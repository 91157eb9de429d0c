"""Writes the last applied table to a file, so that a process can start while every server is down.

Theory of operation. Changes are appended to the file, whose format is defined in `cache_file`, so
the cost of a write depends on the size of the changes. The complete table is written to a new file,
which is then renamed into place, if the epoch is new, if a snapshot changed resources out of order,
or if the file has grown to a multiple of its initial size.

Records are written in slices, one after another. Writes start at most once per `interval`. The file
is not synced to disk, as checksums and the digest detect any damage after a machine crash. When the
file is loaded, bytes after the last commit are truncated; a file with any other damage is deleted.
"""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Final
from urllib.parse import quote

from loguru import logger

from dockthread.control_plane.cache_file import (
    VERSION,
    CacheChunk,
    CacheCommit,
    CachedSnapshot,
    CacheHeader,
    CacheRecord,
    CorruptCacheError,
    encode_record,
    read_snapshot,
)
from dockthread.control_plane.frozen_table import FrozenTable
from dockthread.control_plane.messages import Resource
from dockthread.control_plane.resource_table import ResourceTable

SLICE_BYTES: Final = 256 << 10
"""Approximate maximum size in bytes of the resources in one record."""
URGENT_QUEUE_BYTES: Final = 1 << 20
"""Queued bytes above which a write does not wait for the interval."""
MIN_REWRITE_BYTES: Final = 4 << 20
"""Minimum number of appended bytes before the file is rewritten."""
MAX_GROWTH_FACTOR: Final = 2
"""Size of the appended data at which a file is rewritten, as a multiple of its initial size."""
FILE_MODE: Final = 0o600
"""Mode of a cache file: only its owner may read the configuration."""
MS_PER_S: Final = 1_000.0


@dataclass(frozen=True, slots=True)
class WriteJob:
    """A write of bytes to the file.

    Attributes:
        data: The bytes.
        starts_file: Whether the bytes begin a new file.
        ends_with_commit: Whether the bytes end with a commit.
    """

    data: bytes
    starts_file: bool
    ends_with_commit: bool


class SnapshotCache:
    """The cache file of the subscriber `name` in `directory`.

    `interval` is the minimum time in ms between the starts of two writes.

    Attributes:
        path: Path of the file.
    """

    def __init__(self, directory: Path, name: str, interval: float) -> None:
        self.path = directory / f"{quote(name, safe='')}.cache"
        self._name = name
        self._interval = interval / MS_PER_S  # in s
        self._queue: deque[CacheHeader | Resource | FrozenTable | CacheCommit] = deque()
        self._queued_bytes = 0
        self._epoch = ""  # of the last queued commit
        self._revision = 0  # of the last queued commit
        self._initial_bytes = 0  # size of the file when loaded or after its first commit
        self._appended_bytes = 0  # size of the data written since then
        self._can_append = False  # whether the next changes can follow the queue
        self._has_failed = False
        self._timer: asyncio.TimerHandle | None = None
        self._write_task: asyncio.Task[None] | None = None
        self._write_started_at = float("-inf")
        # Only the running job uses the following attributes:
        self._file: int | None = None
        self._new_path: Path | None = None  # path of a new file until its first commit

    def load(self) -> CachedSnapshot | None:
        """Return the content of the file; log and delete a corrupt file."""
        try:
            cached = read_snapshot(self.path, self._name)
        except CorruptCacheError as error:
            logger.warning("control: deleting {}: the file {}", self.path, error)
            with suppress(OSError):
                self.path.unlink(missing_ok=True)
            return None
        if cached is not None:
            try:
                self._open_to_append(cached)
            except OSError as error:
                self._fail(error)
        return cached

    def save(
        self,
        table: ResourceTable,
        changes: Sequence[Resource],
        last_good: tuple[Resource, ...],
    ) -> None:
        """Queue `table` to be written; `changes` lists the changes since the last call.

        Requires a running event loop.
        """
        if self._can_append_changes(table, changes):
            self._queue += changes
            self._queued_bytes += sum(map(_approximate_size, changes))
        else:
            self._queue.clear()
            self._queue += (CacheHeader(VERSION, self._name), table.freeze())
            self._queued_bytes = table.size_bytes
            self._appended_bytes = 0
            self._can_append = True
        commit = CacheCommit(table.epoch, table.revision, table.horizon, table.digest, last_good)
        self._queue.append(commit)
        self._epoch = table.epoch
        self._revision = table.revision
        if self._timer is None and self._write_task is None:
            self._schedule_write()

    async def close(self) -> None:
        """Write the queue and close the file."""
        if self._timer is not None:
            self._timer.cancel()
        if self._write_task is not None:
            await self._write_task
        await self._write_all()
        self._close_file()

    def _open_to_append(self, cached: CachedSnapshot) -> None:
        os.truncate(self.path, cached.size)
        self._file = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        self._can_append = True
        self._epoch = cached.table.epoch
        self._revision = cached.table.revision
        self._initial_bytes = cached.size

    def _can_append_changes(self, table: ResourceTable, changes: Sequence[Resource]) -> bool:
        is_same_history = self._can_append and self._epoch == table.epoch
        if not is_same_history or not _are_newer(changes, self._revision):
            return False
        return self._appended_bytes <= max(
            MIN_REWRITE_BYTES, MAX_GROWTH_FACTOR * self._initial_bytes
        )

    def _schedule_write(self) -> None:
        loop = asyncio.get_running_loop()
        delay = 0.0
        if self._queued_bytes <= URGENT_QUEUE_BYTES:
            delay = max(0.0, self._write_started_at + self._interval - loop.time())
        self._timer = loop.call_later(delay, self._start_write)

    def _start_write(self) -> None:
        loop = asyncio.get_running_loop()
        self._write_started_at = loop.time()
        self._timer = None
        self._write_task = loop.create_task(self._write_all())
        self._write_task.add_done_callback(self._on_written)

    def _on_written(self, _: asyncio.Task[None]) -> None:
        self._write_task = None
        if self._queue and self._timer is None:  # queued while the last job ended
            self._schedule_write()

    async def _write_all(self) -> None:
        """Write the queue, one job after another, in a thread because the disk may be slow."""
        loop = asyncio.get_running_loop()
        while (job := self._next_job()) is not None:
            try:
                await loop.run_in_executor(None, self._write, job)
            except OSError as error:
                self._fail(error)
                return
            self._has_failed = False

    def _next_job(self) -> WriteJob | None:
        """Return a job for the next slice of resources, with a header before or a commit after it."""
        if not self._queue:
            return None
        records: list[CacheRecord] = []
        first_item = self._queue[0]
        starts_file = isinstance(first_item, CacheHeader)
        if isinstance(first_item, CacheHeader):
            records.append(first_item)
            self._queue.popleft()
        resources = self._take_slice()
        if resources:
            records.append(CacheChunk(resources))
            size = sum(map(_approximate_size, resources))
            self._queued_bytes = max(0, self._queued_bytes - size)
        ends_with_commit = False
        if self._queue and isinstance(commit := self._queue[0], CacheCommit):
            records.append(commit)
            self._queue.popleft()
            ends_with_commit = True
        return WriteJob(b"".join(map(encode_record, records)), starts_file, ends_with_commit)

    def _take_slice(self) -> tuple[Resource, ...]:
        """Remove the next resources from the queue, at most up to a commit, and return them."""
        if self._queue and isinstance(frozen := self._queue[0], FrozenTable):
            resources = frozen.next_chunk(SLICE_BYTES).resources
            if frozen.exhausted:
                self._queue.popleft()
            return resources
        slice_resources: list[Resource] = []
        remaining_bytes = SLICE_BYTES
        while (
            self._queue and remaining_bytes > 0 and isinstance(resource := self._queue[0], Resource)
        ):
            self._queue.popleft()
            slice_resources.append(resource)
            remaining_bytes -= _approximate_size(resource)
        return tuple(slice_resources)

    def _write(self, job: WriteJob) -> None:
        """Carry out a job in a thread; jobs never run concurrently."""
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
        if job.ends_with_commit and self._new_path is not None:
            os.replace(self._new_path, self.path)
            self._new_path = None
            self._initial_bytes = self._appended_bytes
            self._appended_bytes = 0

    def _fail(self, error: OSError) -> None:
        """Drop the queue, so that the next change starts a new file.

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


def _are_newer(changes: Iterable[Resource], revision: int) -> bool:
    """Return whether the revisions of `changes` increase from `revision`.

    This does not hold for changes that result from a snapshot.
    """
    for change in changes:
        if change.revision <= revision:
            return False
        revision = change.revision
    return True


def _approximate_size(resource: Resource) -> int:
    return len(resource.body or b"") + len(resource.name)
