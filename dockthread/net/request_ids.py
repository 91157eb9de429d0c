"""Remembers the ids of requests that must not run twice, for some time after they may have run.

Every request has an id of its own, so a second request with the same id is a repetition. It may
arrive after the client of the first has left, when nothing else of the request is remembered, or at
the other process of an upgrade. The ids are therefore kept in a file in the folder that both
processes share; where there is none, each process keeps its own.

The table has a fixed size. An id hashes to a bucket of slots; each slot holds an id and when it
expires, on the monotonic clock of the machine. A full bucket gives up the id that expires first.
Slots are read and written by system calls and not mapped into memory, because a mapped file on a
full disk kills its process.
"""

from __future__ import annotations

import fcntl
import os
import struct
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from loguru import logger

from dockthread.clock import Clock

FILE_NAME = "dockthread-request-ids-{}"
LOCK_ATTEMPTS = 100  # A change of the other process takes some microseconds.
# Time after its deadline for which an id is remembered.
RETENTION_MS = 30_000.0
BUCKETS = 2048
SLOTS_PER_BUCKET = 8
SLOT = struct.Struct("<Qd")  # the id, and the time at which it expires in ms
BUCKET = struct.Struct("<" + "Qd" * SLOTS_PER_BUCKET)
# Spreads ids that differ only in some bits over the buckets (Fibonacci hashing).
HASH_FACTOR = 0x9E3779B97F4A7C15
HASH_BITS = 64
BUCKET_BITS = BUCKETS.bit_length() - 1


class MemoryStorage:
    """A table of this process alone."""

    def __init__(self) -> None:
        self._bytes = bytearray(BUCKETS * BUCKET.size)

    def read(self, offset: int) -> bytes:
        """Return a bucket."""
        return bytes(self._bytes[offset : offset + BUCKET.size])

    def write(self, offset: int, data: bytes) -> None:
        """Replace a slot."""
        self._bytes[offset : offset + len(data)] = data

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Do nothing: no other process has the table."""
        yield


class FileStorage:
    """A table that the processes of an upgrade share."""

    def __init__(self, path: Path) -> None:
        """Open the file, and create it if it does not exist.

        Raises:
            OSError: It cannot be opened, or there is no space for it.
        """
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(self._descriptor, 0, BUCKETS * BUCKET.size)
        except OSError:
            os.close(self._descriptor)
            raise

    def read(self, offset: int) -> bytes:
        """Return a bucket."""
        return os.pread(self._descriptor, BUCKET.size, offset)

    def write(self, offset: int, data: bytes) -> None:
        """Replace a slot."""
        os.pwrite(self._descriptor, data, offset)

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Keep the other process from changing the table, unless it stopped within a change."""
        for _ in range(LOCK_ATTEMPTS):
            with suppress(OSError):
                fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
        try:
            yield
        finally:
            with suppress(OSError):
                fcntl.flock(self._descriptor, fcntl.LOCK_UN)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class RequestIds:
    """The ids of requests that may have run or are in flight."""

    def __init__(self, clock: Clock, storage: FileStorage | MemoryStorage) -> None:
        self._clock = clock
        self._storage = storage

    @classmethod
    def shared(cls, clock: Clock, name: str) -> RequestIds:
        """Return the ids that all processes of the ingress `name` remember."""
        try:  # also if there is no folder for temporary files
            path = Path(tempfile.gettempdir()) / FILE_NAME.format(name.replace("/", "-"))
            return cls(clock, FileStorage(path))
        except OSError as error:
            logger.warning("request ids are not shared with another process: {}", error)
            return cls(clock, MemoryStorage())

    @classmethod
    def private(cls, clock: Clock) -> RequestIds:
        """Return a table of this process alone."""
        return cls(clock, MemoryStorage())

    def claim(self, wire_id: bytes, deadline_ms: float) -> bool:
        """Remember an id; return False if it is remembered already."""
        number = int(wire_id, 16)
        now = self._clock.now()
        offset = self._offset(number)
        try:
            with self._storage.locked():
                slots = BUCKET.unpack(self._storage.read(offset))
                ids, expiries = slots[::2], slots[1::2]
                for position, expires_ms in enumerate(expiries):
                    if ids[position] == number and expires_ms > now:
                        return False
                position = expiries.index(min(expiries))
                entry = SLOT.pack(number, deadline_ms + RETENTION_MS)
                self._storage.write(offset + position * SLOT.size, entry)
        except (OSError, struct.error) as error:
            self._fall_back(error)
            return self.claim(wire_id, deadline_ms)
        return True

    def release(self, wire_id: bytes) -> None:
        """Forget an id whose request has not run."""
        number = int(wire_id, 16)
        offset = self._offset(number)
        try:
            with self._storage.locked():
                slots = BUCKET.unpack(self._storage.read(offset))
                if number in slots[::2]:
                    position = slots[::2].index(number)
                    self._storage.write(offset + position * SLOT.size, SLOT.pack(0, 0.0))
        except (OSError, struct.error) as error:
            self._fall_back(error)

    @staticmethod
    def _offset(number: int) -> int:
        spread = number * HASH_FACTOR % (1 << HASH_BITS)
        return (spread >> (HASH_BITS - BUCKET_BITS)) * BUCKET.size

    def _fall_back(self, error: Exception) -> None:
        """Continue with a table of this process alone."""
        logger.warning("request ids are not shared with another process any more: {}", error)
        storage, self._storage = self._storage, MemoryStorage()
        if isinstance(storage, FileStorage):
            storage.close()

    def close(self) -> None:
        """Close the table."""
        if isinstance(self._storage, FileStorage):
            self._storage.close()
            self._storage = MemoryStorage()
