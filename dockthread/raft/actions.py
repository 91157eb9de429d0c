"""Actions that a Raft core returns, the persistent state it starts from, and its timing.

The caller carries the actions out in order. A message that follows a `PersistEntries` or a
`PersistSnapshot` must not be sent before that write is on disk.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from dockthread.raft.messages import Entry, EntryKind, Message


class Role(Enum):
    """Roles of a member (Raft paper, section 5.1); operators see the values."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Timing of the protocol in ms.

    Attributes:
        election_timeout_ms: minimum time without a leader before a member campaigns; the maximum is
            twice this.
        heartbeat_interval_ms: time between two heartbeats of a leader.
    """

    election_timeout_ms: float = 600.0
    heartbeat_interval_ms: float = 100.0


class CommandReplay(NamedTuple):
    """The commands in a log after its snapshot, which a state machine replays at startup.

    Attributes:
        commands: pairs of index and command.
        commit_index: index of the last entry that was known to be committed at the last write.
        last_index: index of the last entry of the log.
        last_term: term of the last entry of the log.
    """

    commands: list[tuple[int, bytes]]
    commit_index: int
    last_index: int
    last_term: int


@dataclass(slots=True)
class PersistentState:
    """State that survives a restart: the hard state, a snapshot, and the entries after it.

    Attributes:
        term: the current term.
        voted_for: the candidate that received this member's vote in the term; empty for none.
        snapshot_index: index of the last entry that the snapshot includes; 0 without a snapshot.
        snapshot_term: term of that entry.
        snapshot_voters: the voters as of that entry.
        snapshot: the encoded state machine after that entry.
        entries: the entries after the snapshot.
        commit_index: index of the last entry that was known to be committed at the last write.
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
        """Return the commands after the snapshot, with the commit index and the end of the log."""
        commands = [
            (index, entry.data)
            for index, entry in enumerate(self.entries, self.snapshot_index + 1)
            if entry.kind == EntryKind.COMMAND
        ]
        last_term = self.entries[-1].term if self.entries else self.snapshot_term
        last_index = self.snapshot_index + len(self.entries)
        return CommandReplay(commands, self.commit_index, last_index, last_term)

    def persist_entries(self, action: PersistEntries) -> None:
        """Apply a `PersistEntries` action to this state."""
        self.term = action.term
        self.voted_for = action.voted_for
        self.commit_index = max(self.commit_index, action.commit_index)
        self.entries[action.first_index - self.snapshot_index - 1 :] = action.entries

    def persist_snapshot(self, action: PersistSnapshot) -> None:
        """Replace the entries up to the snapshot's index, or all entries, with the snapshot."""
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
    """Write the hard state, and replace the log from `first_index` on with `entries`.

    One record on disk holds both. If only the hard state changed, `first_index` is one past the
    last entry and `entries` is empty.

    Attributes:
        term: the current term.
        voted_for: the candidate that received this member's vote in the term; empty for none.
        first_index: index of the first of `entries`.
        entries: the entries to write.
        commit_index: index of the last entry that is known to be committed.
    """

    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...]
    commit_index: int = 0


@dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Replace all entries up to an index with a snapshot.

    Attributes:
        index: index of the last entry that the snapshot includes.
        term: term of that entry.
        voters: the voters as of that entry.
        snapshot: the encoded state machine after that entry.
        discards_log: whether the entries after the snapshot are dropped too.
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
    """Apply a committed entry to the state machine; indexes are in order and never repeated."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the state machine's state with a snapshot that includes all entries up to `index`."""

    index: int
    snapshot: bytes


@dataclass(frozen=True, slots=True)
class ReadIndexReady:
    """Complete a read from the state machine once `index` is applied.

    After the read was requested, a majority confirmed that this member is the leader, so the state
    is at least as recent as the request.
    """

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The role, the term or the leader has changed; `leader_id` is empty if no leader is known."""

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
