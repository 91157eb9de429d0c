"""The log of one member in memory: a snapshot, and the entries behind it."""

from __future__ import annotations

from collections.abc import Iterable

from dockthread.raft.actions import PersistentState
from dockthread.raft.messages import Entry, EntryKind


class RaftLog:
    """Entries are numbered from 1; those up to `snapshot_index` are held by the snapshot.

    Attributes:
        snapshot_index: of the last entry that the snapshot holds; 0 for no snapshot.
        snapshot_term: of that entry.
        snapshot_voters: as of that entry.
        snapshot: the state machine after that entry.
        entries: those behind the snapshot.
    """

    def __init__(self, stored: PersistentState, voters: Iterable[str]) -> None:
        """Take over the stored log; `voters` counts only where no voters are stored."""
        self.snapshot_index = stored.snapshot_index
        self.snapshot_term = stored.snapshot_term
        self.snapshot = stored.snapshot
        self.snapshot_voters = stored.snapshot_voters or tuple(sorted(voters))
        self.entries = list(stored.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot_index + len(self.entries)

    def term_at(self, index: int) -> int:
        """Return the term of an entry, or of the last one that the snapshot holds."""
        return self.snapshot_term if index == self.snapshot_index else self.entry_at(index).term

    def entry_at(self, index: int) -> Entry:
        """Return an entry behind the snapshot."""
        return self.entries[index - self.snapshot_index - 1]

    def entries_after(self, index: int, limit: int | None = None) -> tuple[Entry, ...]:
        """Return the entries behind `index`, at most `limit` of them."""
        start = index - self.snapshot_index
        return tuple(self.entries[start : None if limit is None else start + limit])

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Return the voters by the last change up to `index`.

        A change counts from when it is appended, not from when it is committed (Raft paper,
        section 6).
        """
        for entry in reversed(self.entries[: index - self.snapshot_index]):
            if entry.kind == EntryKind.VOTERS:
                return tuple(entry.data.decode().split())
        return self.snapshot_voters

    def truncate_and_append(self, first_index: int, entries: Iterable[Entry]) -> None:
        """Replace the log from `first_index` on by these entries."""
        self.entries[first_index - self.snapshot_index - 1 :] = entries

    def install_snapshot(
        self, index: int, term: int, voters: tuple[str, ...], snapshot: bytes, discards_log: bool
    ) -> None:
        """Replace the entries up to `index` by a snapshot; with `discards_log`, all entries."""
        self.entries = [] if discards_log else self.entries[index - self.snapshot_index :]
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_voters = voters
        self.snapshot = snapshot
