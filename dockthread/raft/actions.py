"""What an agreement gives to be carried out, what it keeps on disk, and its times. Decides
nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from dockthread.raft.messages import Entry, EntryKind, Message


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """In ms. An election is due after `patience` to twice as much without a leader; a leader speaks
    each `beat`.
    """

    election_timeout_ms: float = 600.0
    heartbeat_interval_ms: float = 100.0


@dataclass(slots=True)
class PersistentState:
    """What outlives a process. `state`: of the owner's machine after entry `base`; `entries`: those
    behind it; `commit`: up to where the log was known to be agreed at the last write, or
    further.
    """

    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_voters: tuple[str, ...] = ()
    snapshot: bytes = b""
    entries: list[Entry] = field(default_factory=list)
    commit_index: int = 0

    def command_replay(self) -> tuple[list[tuple[int, bytes]], int, int, int]:
        """The commands behind the state, each with its place; up to where the log is known to be
        agreed; the place of the last entry, and its term.
        """
        places = enumerate(self.entries, self.snapshot_index + 1)
        commands = [
            (index, entry.data) for index, entry in places if entry.kind == EntryKind.COMMAND
        ]
        term = self.entries[-1].term if self.entries else self.snapshot_term
        return commands, self.commit_index, self.snapshot_index + len(self.entries), term

    def persist_entries(self, what: PersistEntries) -> None:
        self.term, self.voted_for, self.commit_index = (
            what.term,
            what.voted_for,
            max(self.commit_index, what.commit_index),
        )
        self.entries[what.first_index - self.snapshot_index - 1 :] = what.entries

    def persist_snapshot(self, what: PersistSnapshot) -> None:
        self.entries = [] if what.discards_log else self.entries[what.index - self.snapshot_index :]
        self.snapshot_index, self.snapshot_term, self.snapshot_voters, self.snapshot = (
            what.index,
            what.term,
            what.voters,
            what.snapshot,
        )


@dataclass(frozen=True, slots=True)
class PersistEntries:
    """Term and vote, and the log from entry `start` on, which replaces whatever stood there;
    `commit`: up to where it is known to be agreed.
    """

    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...]
    commit_index: int = 0


@dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """A state in place of all entries up to `base`. `whole`: none behind it counts either."""

    index: int
    term: int
    voters: tuple[str, ...]
    snapshot: bytes
    discards_log: bool


@dataclass(frozen=True, slots=True)
class SendMessage:
    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Committed: to be applied in this order, each index once a life."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    index: int
    snapshot: bytes


@dataclass(frozen=True, slots=True)
class ReadIndexReady:
    """A majority still followed after `token` was asked: the state after `index` is not older than
    the question.
    """

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class RoleChanged:
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
