"""What an agreement gives to be carried out, what it keeps on disk, and its times. Decides
nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from dockthread.raft.messages import COMMAND, Entry, Message


class Role(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Times:
    """In ms. An election is due after `patience` to twice as much without a leader; a leader speaks
    each `beat`.
    """

    patience: float = 600.0
    beat: float = 100.0


@dataclass(slots=True)
class Stored:
    """What outlives a process. `state`: of the owner's machine after entry `base`; `entries`: those
    behind it; `commit`: up to where the log was known to be agreed at the last write, or
    further.
    """

    term: int = 0
    vote: str = ""
    base: int = 0
    base_term: int = 0
    base_voters: tuple[str, ...] = ()
    state: bytes = b""
    entries: list[Entry] = field(default_factory=list)
    commit: int = 0

    def told(self) -> tuple[list[tuple[int, bytes]], int, int, int]:
        """The commands behind the state, each with its place; up to where the log is known to be
        agreed; the place of the last entry, and its term.
        """
        places = enumerate(self.entries, self.base + 1)
        commands = [(index, entry.data) for index, entry in places if entry.kind == COMMAND]
        term = self.entries[-1].term if self.entries else self.base_term
        return commands, self.commit, self.base + len(self.entries), term

    def keep(self, what: Keep) -> None:
        self.term, self.vote, self.commit = what.term, what.vote, max(self.commit, what.commit)
        self.entries[what.start - self.base - 1 :] = what.entries

    def keep_state(self, what: KeepState) -> None:
        self.entries = [] if what.whole else self.entries[what.base - self.base :]
        self.base, self.base_term, self.base_voters, self.state = (
            what.base,
            what.base_term,
            what.voters,
            what.state,
        )


@dataclass(frozen=True, slots=True)
class Keep:
    """Term and vote, and the log from entry `start` on, which replaces whatever stood there;
    `commit`: up to where it is known to be agreed.
    """

    term: int
    vote: str
    start: int
    entries: tuple[Entry, ...]
    commit: int = 0


@dataclass(frozen=True, slots=True)
class KeepState:
    """A state in place of all entries up to `base`. `whole`: none behind it counts either."""

    base: int
    base_term: int
    voters: tuple[str, ...]
    state: bytes
    whole: bool


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Apply:
    """Committed: to be applied in this order, each index once a life."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Restore:
    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class ReadAt:
    """A majority still followed after `token` was asked: the state after `index` is not older than
    the question.
    """

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class Became:
    role: Role
    term: int
    leader: str


Action = Keep | KeepState | Send | Apply | Restore | ReadAt | Became
