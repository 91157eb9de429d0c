"""What a Raft core returns to be carried out, what it needs from the disk, and its timing.

The caller carries actions out in their order. A message behind a `PersistEntries` or a
`PersistSnapshot` may not leave before that write is on disk.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from dockthread.raft.messages import Entry, EntryKind, Message


class Role(Enum):
    """Roles of a member (Raft paper, section 5.1); the values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Times of the protocol in ms.

    Attributes:
        election_timeout_ms: a member campaigns after this to twice this long without a leader.
        heartbeat_interval_ms: between heartbeats of a leader.
    """

    election_timeout_ms: float = 600.0
    heartbeat_interval_ms: float = 100.0


class CommandReplay(NamedTuple):
    """The commands of a log behind its snapshot, as a state machine needs them at a start.

    Attributes:
        commands: each with its index.
        commit_index: up to which the log was known to be committed when it was last written.
        last_index: of the last entry of the log.
        last_term: of the last entry of the log.
    """

    commands: list[tuple[int, bytes]]
    commit_index: int
    last_index: int
    last_term: int


@dataclass(slots=True)
class PersistentState:
    """What outlives a process: the hard state, a snapshot, and the entries behind it.

    Attributes:
        term: the current term.
        voted_for: who received this member's vote in the term; empty for nobody.
        snapshot_index: of the last entry that the snapshot holds; 0 for no snapshot.
        snapshot_term: of that entry.
        snapshot_voters: as of that entry.
        snapshot: the state machine after that entry.
        entries: those behind the snapshot.
        commit_index: up to which the log was known to be committed at the last write.
    """

    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_voters: tuple[str, ...] = ()
    snapshot: bytes = b""
    entries: list[Entry] = field(default_factory=list)
    commit_index: int = 0

    def command_replay(self) -> CommandReplay:
        """Return the commands behind the snapshot, and how far the log reaches."""
        commands = [
            (index, entry.data)
            for index, entry in enumerate(self.entries, self.snapshot_index + 1)
            if entry.kind == EntryKind.COMMAND
        ]
        last_term = self.entries[-1].term if self.entries else self.snapshot_term
        last_index = self.snapshot_index + len(self.entries)
        return CommandReplay(commands, self.commit_index, last_index, last_term)

    def persist_entries(self, action: PersistEntries) -> None:
        """Take over what the action says."""
        self.term = action.term
        self.voted_for = action.voted_for
        self.commit_index = max(self.commit_index, action.commit_index)
        self.entries[action.first_index - self.snapshot_index - 1 :] = action.entries

    def persist_snapshot(self, action: PersistSnapshot) -> None:
        """Replace the entries up to the snapshot, or all, by it."""
        if action.discards_log:
            self.entries = []
        else:
            self.entries = self.entries[action.index - self.snapshot_index :]
        self.snapshot_index = action.index
        self.snapshot_term = action.term
        self.snapshot_voters = action.voters
        self.snapshot = action.snapshot


@dataclass(frozen=True, slots=True)
class PersistEntries:
    """Write the hard state, and replace the log from `first_index` on by `entries`.

    One record on disk holds both. Where only the hard state changed, `first_index` is behind the
    last entry and `entries` is empty.

    Attributes:
        term: the current term.
        voted_for: who received this member's vote in the term; empty for nobody.
        first_index: of `entries`.
        entries: to be written.
        commit_index: up to which the log is known to be committed.
    """

    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...]
    commit_index: int = 0


@dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Write a snapshot in place of all entries up to its index.

    Attributes:
        index: of the last entry that the snapshot holds.
        term: of that entry.
        voters: as of that entry.
        snapshot: the state machine after that entry.
        discards_log: the entries behind the snapshot are dropped too.
    """

    index: int
    term: int
    voters: tuple[str, ...]
    snapshot: bytes
    discards_log: bool


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member; it may be lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Apply a committed entry to the state machine; each index comes once, in order."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the state machine by a snapshot, which holds all entries up to `index`."""

    index: int
    snapshot: bytes


@dataclass(frozen=True, slots=True)
class ReadIndexReady:
    """Answer a read with the state machine after `index`.

    A majority confirmed, after the read was requested, that this member led; so the state is not
    older than the request.
    """

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The role, the term or the leader has changed; `leader_id` is empty for no known leader."""

    role: Role
    term: int
    leader_id: str


Action = (
    PersistEntries
    | PersistSnapshot
    | SendMessage
    | ApplyEntry
    | RestoreSnapshot
    | ReadIndexReady
    | RoleChanged
)
