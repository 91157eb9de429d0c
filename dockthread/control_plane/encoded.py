"""Encodes chunks of snapshots and deltas once, as frames sent to many subscribers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

from dockthread.control_plane.frozen_table import FrozenTable
from dockthread.control_plane.messages import NO_DIGEST, codec
from dockthread.control_plane.resource_table import ResourceTable

MAX_DELTA_FRAMES: Final = 64
"""Maximum number of delta frames cached for one state of the table."""
MIN_SNAPSHOT_LAG: Final = 64
"""Number of changes that a cached snapshot may lack, even if the table is small."""
MAX_SNAPSHOT_LAG_FRACTION: Final = 0.1
"""Number of changes that a cached snapshot may lack, as a fraction of the resources."""


@dataclass(frozen=True, slots=True)
class DeltaFrame:
    """An encoded delta.

    Attributes:
        frame: Bytes to be written.
        revision: Revision of the receiver after the delta.
        digest: Digest of the table; `NO_DIGEST` if the delta is not complete.
    """

    frame: bytes
    revision: int
    digest: bytes


class EncodedSnapshot:
    """A snapshot of a table as frames, each of which is encoded when first needed.

    `chunk_bytes` limits the size of the resources in one frame; `key` authenticates the frames.
    """

    def __init__(self, table: ResourceTable, chunk_bytes: int, key: bytes) -> None:
        self.epoch = table.epoch
        self.revision = table.revision
        self.digest = table.digest
        self._frozen: FrozenTable | None = table.freeze()  # None once all frames are encoded
        self._chunk_bytes = chunk_bytes
        self._key = key
        self._frames: list[bytes] = []

    def frame(self, number: int) -> bytes | None:
        """Return frame `number`, counted from 0, or None after the last one."""
        while len(self._frames) <= number and self._frozen is not None:
            chunk = self._frozen.next_chunk(self._chunk_bytes)
            self._frames.append(codec.pack(chunk, self._key))
            if self._frozen.exhausted:
                self._frozen = None
        return self._frames[number] if number < len(self._frames) else None


class _TableState(NamedTuple):
    """State of the table from which delta frames were encoded."""

    epoch: str = ""
    revision: int = 0
    is_complete: bool = True
    digest: bytes = NO_DIGEST


class EncodedFrameCache:
    """Caches encoded frames of a table: one recent snapshot, and deltas to its current state."""

    def __init__(self, table: ResourceTable, chunk_bytes: int, key: bytes) -> None:
        self._table = table
        self._chunk_bytes = chunk_bytes
        self._key = key
        self._snapshot: EncodedSnapshot | None = None
        self._deltas: dict[int, DeltaFrame] = {}  # by the receiver's revision
        self._deltas_state = _TableState()

    def snapshot(self) -> EncodedSnapshot:
        """Return the cached snapshot if a short delta follows it, otherwise a new snapshot."""
        if self._snapshot is None or not self._is_recent(self._snapshot):
            self._snapshot = EncodedSnapshot(self._table, self._chunk_bytes, self._key)
        return self._snapshot

    def drop_snapshot(self) -> None:
        """Drop the cached snapshot; transfers in progress keep a reference to it."""
        self._snapshot = None

    def delta(self, revision: int) -> DeltaFrame:
        """Return the next delta for a receiver at `revision`."""
        table = self._table
        state = _TableState(table.epoch, table.revision, table.is_complete, table.digest)
        if state != self._deltas_state or len(self._deltas) >= MAX_DELTA_FRAMES:
            self._deltas = {}
            self._deltas_state = state
        if revision not in self._deltas:
            update = table.delta_since(revision, self._chunk_bytes)
            frame = codec.pack(update, self._key)
            self._deltas[revision] = DeltaFrame(frame, update.revision, update.digest)
        return self._deltas[revision]

    def _is_recent(self, snapshot: EncodedSnapshot) -> bool:
        table = self._table
        if snapshot.epoch != table.epoch or not table.can_resume_from(snapshot.revision):
            return False
        max_lag = max(MIN_SNAPSHOT_LAG, len(table) * MAX_SNAPSHOT_LAG_FRACTION)
        return table.revision - snapshot.revision <= max_lag
