"""The log as one member has it: a state up to entry `base`, and the entries behind. Decides
nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

from dockthread.raft.actions import PersistentState
from dockthread.raft.messages import Entry, EntryKind


class RaftLog:
    """Entries are numbered from 1; `base` is the last that the state holds, 0 where there is
    none.
    """

    def __init__(self, stored: PersistentState, voters: Iterable[str]) -> None:
        self.snapshot_index, self.snapshot_term, self.snapshot = (
            stored.snapshot_index,
            stored.snapshot_term,
            stored.snapshot,
        )
        self.snapshot_voters = stored.snapshot_voters or tuple(sorted(voters))
        self.entries = list(stored.entries)

    @property
    def last_index(self) -> int:
        return self.snapshot_index + len(self.entries)

    def term_at(self, index: int) -> int:
        return self.snapshot_term if index == self.snapshot_index else self.entry_at(index).term

    def entry_at(self, index: int) -> Entry:
        return self.entries[index - self.snapshot_index - 1]

    def entries_after(self, index: int, most: int | None = None) -> tuple[Entry, ...]:
        """Entries behind `index`, `most` of them."""
        start = index - self.snapshot_index
        return tuple(self.entries[start : None if most is None else start + most])

    def voters_at(self, index: int) -> tuple[str, ...]:
        """By the last change that stands up to there; a change counts from when it is appended."""
        for entry in reversed(self.entries[: index - self.snapshot_index]):
            if entry.kind == EntryKind.VOTERS:
                return tuple(entry.data.decode().split())
        return self.snapshot_voters

    def truncate_and_append(self, start: int, entries: Iterable[Entry]) -> None:
        """From `start` on these stand, whatever stood there."""
        self.entries[start - self.snapshot_index - 1 :] = entries

    def install_snapshot(
        self, index: int, term: int, voters: tuple[str, ...], state: bytes, whole: bool
    ) -> None:
        """The state after `index` takes the place of what is before; `whole`: and of what is
        behind.
        """
        self.entries = [] if whole else self.entries[index - self.snapshot_index :]
        self.snapshot_index, self.snapshot_term, self.snapshot_voters, self.snapshot = (
            index,
            term,
            voters,
            state,
        )
