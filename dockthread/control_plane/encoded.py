"""Frames that many subscribers are sent, encoded once: the parts of one snapshot, and what follows
a revision.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from dockthread.control_plane.messages import codec
from dockthread.control_plane.resource_table import FrozenTable, ResourceTable

MOST_DELTAS: Final = 64  # frames kept of one state of the table
LEAST_BEHIND: Final = 64  # changes that a cached snapshot may always lack
BEHIND_SHARE: Final = 0.1  # changes that it may lack, as a part of the resources


@dataclass(frozen=True, slots=True)
class DeltaFrame:
    """`revision`: what its receiver holds after it; `digest`: of all, empty where this is not
    all.
    """

    frame: bytes
    revision: int
    digest: bytes


class EncodedSnapshot:
    """One table as it stood, in frames; each is encoded when it is first asked for."""

    def __init__(self, table: ResourceTable, part: int, key: bytes) -> None:
        self.epoch, self.revision, self.size = table.epoch, table.revision, float(table.bytes)
        self.digest = table.digest
        self._frozen: FrozenTable | None = table.freeze()
        self._part, self._key = part, key
        self._frames: list[bytes] = []

    def frame(self, number: int) -> bytes | None:
        """Part `number`, from 0; None behind the last one."""
        while len(self._frames) <= number and self._frozen is not None:
            self._frames.append(codec.pack(self._frozen.next_chunk(self._part), self._key))
            if self._frozen.exhausted:
                self._frozen = None
        return self._frames[number] if number < len(self._frames) else None


class EncodedFrameCache:
    """Frames of `table` as it is now, or was lately."""

    def __init__(self, table: ResourceTable, part: int, key: bytes) -> None:
        self._table, self._part, self._key = table, part, key
        self._snapshot: EncodedSnapshot | None = None
        self._deltas: dict[int, DeltaFrame] = {}
        # epoch, revision, wholeness and digest of the table that they are of
        self._deltas_of = ("", 0, True, b"")

    def snapshot(self) -> EncodedSnapshot:
        """The cached one where deltas bring its receiver up to date soon, else a new one."""
        if self._snapshot is None or not self._near(self._snapshot):
            self._snapshot = EncodedSnapshot(self._table, self._part, self._key)
        return self._snapshot

    def drop_snapshot(self) -> None:
        """Nobody has asked for it for a while; who receives it keeps it."""
        self._snapshot = None

    def delta(self, revision: int) -> DeltaFrame:
        """What follows for a receiver that holds `revision`."""
        table = self._table
        state = (table.epoch, table.revision, table.is_complete, table.digest)
        if state != self._deltas_of or len(self._deltas) >= MOST_DELTAS:
            self._deltas, self._deltas_of = {}, state
        if revision not in self._deltas:
            update = table.delta_since(revision, self._part)
            self._deltas[revision] = DeltaFrame(
                codec.pack(update, self._key), update.revision, update.digest
            )
        return self._deltas[revision]

    def _near(self, snapshot: EncodedSnapshot) -> bool:
        table = self._table
        if snapshot.epoch != table.epoch or not table.can_resume_from(snapshot.revision):
            return False
        return table.revision - snapshot.revision <= max(LEAST_BEHIND, len(table) * BEHIND_SHARE)
