"""The log of one member in memory: a snapshot and the entries after it."""

from __future__ import annotations

from collections.abc import Iterable

from dockthread.raft.actions import PersistentState
from dockthread.raft.messages import Entry, EntryKind


class RaftLog:
    """A log whose entries are numbered from 1; the snapshot replaces the first `snapshot_index`.

    Attributes:
        snapshot_index: index of the last entry that the snapshot includes; 0 without a snapshot.
        snapshot_term: term of that entry.
        snapshot_voters: the voters as of that entry.
        snapshot: the encoded state machine after that entry.
        entries: the entries after the snapshot.
    """

    def __init__(self, stored: PersistentState, voters: Iterable[str]) -> None:
        """Load the stored log; `voters` is used only if no voters are stored."""
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
        """Return the term of an entry after the snapshot, or of the snapshot's last entry."""
        return self.snapshot_term if index == self.snapshot_index else self.entry_at(index).term

    def entry_at(self, index: int) -> Entry:
        """Return an entry after the snapshot."""
        return self.entries[index - self.snapshot_index - 1]

    def entries_after(self, index: int, limit: int | None = None) -> tuple[Entry, ...]:
        """Return the entries after `index`, at most `limit` of them."""
        start = index - self.snapshot_index
        return tuple(self.entries[start : None if limit is None else start + limit])

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Return the voters after the last membership change up to `index`.

        A change takes effect when it is appended, not when it is committed (Raft paper, section 6).
        """
        for entry in reversed(self.entries[: index - self.snapshot_index]):
            if entry.kind == EntryKind.VOTERS:
                return tuple(entry.data.decode().split())
        return self.snapshot_voters

    def truncate_and_append(self, first_index: int, entries: Iterable[Entry]) -> None:
        """Replace the log from `first_index` on with these entries."""
        self.entries[first_index - self.snapshot_index - 1 :] = entries

    def install_snapshot(
        self, index: int, term: int, voters: tuple[str, ...], snapshot: bytes, discards_log: bool
    ) -> None:
        """Replace the entries up to `index`, or all with `discards_log`, with a snapshot."""
        self.entries = [] if discards_log else self.entries[index - self.snapshot_index :]
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_voters = voters
        self.snapshot = snapshot
