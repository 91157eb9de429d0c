"""Judges what Raft members did, from a record of plain facts; shares no code with what it judges.

Rules, by name:

* `one-leader`: at most one member leads in a term.
* `one-vote`: a voter gives one vote in a term.
* `alike`: the entry at an index is the same, whichever member and incarnation applies it.
* `in-order`: each incarnation applies entries without gaps.
* `durable`: when an entry is first applied, a majority of the voters has it on disk; checked while
  the voters do not change.
* `fresh-read`: a read is not older than what any member had applied when it was requested.
* `once`: a command that is proposed once stands in the log once.
* `terms-rise`: the term on a disk never falls.
* `progress`: once all faults have ended, a new command is applied by all members in time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """Names of the rules, as they are reported."""

    ONE_LEADER = "one-leader"
    ONE_VOTE = "one-vote"
    ALIKE = "alike"
    IN_ORDER = "in-order"
    DURABLE = "durable"
    FRESH_READ = "fresh-read"
    ONCE = "once"
    TERMS_RISE = "terms-rise"
    PROGRESS = "progress"


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A rule that did not hold: its name, when (in ms of the run), and what happened."""

    rule: str
    at_ms: float
    detail: str


class RaftChecker:
    """Collects facts of one run and the rules that they violate.

    All times `at_ms` are in ms of the run.

    Attributes:
        voters_are_fixed: the voters do not change in this run.
        commands_are_unique: no command is proposed twice in this run.
        violations: in the order in which they were found.
        log: term and command of what was applied, by index; the command of other entries is empty.
    """

    def __init__(self, voters: tuple[str, ...]) -> None:
        self._voters = voters
        self.voters_are_fixed = True
        self.commands_are_unique = True
        self.violations: list[RuleViolation] = []
        self._leaders: dict[int, str] = {}  # by term
        self._votes: dict[tuple[str, int], str] = {}  # by voter and term
        self.log: dict[int, tuple[int, bytes]] = {}
        self._indices: dict[bytes, int] = {}  # by command
        self._applied: dict[tuple[str, int], int] = {}  # last index, by member and incarnation
        self._reads: dict[int, int] = {}  # index that a read has to reach, by token
        self._terms: dict[str, int] = {}  # on each member's disk
        self._highest_index = 0  # that any member has applied

    def became_leader(self, at_ms: float, member: str, term: int) -> None:
        """A member became leader of a term."""
        leader = self._leaders.setdefault(term, member)
        if leader != member:
            self._violated(Rule.ONE_LEADER, at_ms, f"{member} and {leader} lead in term {term}")

    def voted(self, at_ms: float, voter: str, term: int, candidate: str) -> None:
        """A voter sent its vote to a candidate."""
        first = self._votes.setdefault((voter, term), candidate)
        if first != candidate:
            detail = f"{voter} votes for {candidate} and {first} in term {term}"
            self._violated(Rule.ONE_VOTE, at_ms, detail)

    def persisted_term(self, at_ms: float, member: str, term: int) -> None:
        """A term reached a member's disk."""
        highest = self._terms.get(member, 0)
        if term < highest:
            detail = f"{member} persists term {term} after {highest}"
            self._violated(Rule.TERMS_RISE, at_ms, detail)
        self._terms[member] = max(term, highest)

    def restored(
        self,
        at_ms: float,
        member: str,
        incarnation: int,
        index: int,
        commands: tuple[bytes, ...],
    ) -> None:
        """A member took over a snapshot of entries up to `index`, which holds these commands."""
        expected = tuple(
            self.log[entry_index][1]
            for entry_index in sorted(self.log)
            if entry_index <= index and self.log[entry_index][1]
        )
        if commands != expected:
            detail = f"{member} restores another snapshot after {index}"
            self._violated(Rule.ALIKE, at_ms, detail)
        self._applied[member, incarnation] = index

    def restarted(self, member: str, incarnation: int, index: int) -> None:
        """A member took over a snapshot whose content another checker judges."""
        self._applied[member, incarnation] = index

    def applied(  # noqa: PLR0913  one fact and its circumstances, from one caller
        self,
        at_ms: float,
        member: str,
        incarnation: int,
        index: int,
        entry: tuple[int, bytes],
        disks: Mapping[str, Mapping[int, int]],
    ) -> None:
        """A member applied an entry.

        Args:
            at_ms: when, in ms of the run.
            member: its name.
            incarnation: which start of its process.
            index: of the entry.
            entry: term and command; the command is empty for other kinds of entries.
            disks: by member, the term of the entry at each index on its disk.
        """
        previous = self._applied.get((member, incarnation), 0)
        if index != previous + 1:
            self._violated(Rule.IN_ORDER, at_ms, f"{member} applies {index} after {previous}")
        self._applied[member, incarnation] = index
        if index not in self.log:
            self._applied_first(at_ms, member, index, entry, disks)
        elif self.log[index] != entry:
            detail = f"{member} applies {entry} at {index}, where {self.log[index]} was applied"
            self._violated(Rule.ALIKE, at_ms, detail)

    def _applied_first(
        self,
        at_ms: float,
        member: str,
        index: int,
        entry: tuple[int, bytes],
        disks: Mapping[str, Mapping[int, int]],
    ) -> None:
        """Check an entry that no member has applied before."""
        term, command = entry
        self.log[index] = entry
        self._highest_index = max(self._highest_index, index)
        if command:
            if self.commands_are_unique and command in self._indices:
                detail = f"{command!r} stands at {self._indices[command]} and {index}"
                self._violated(Rule.ONCE, at_ms, detail)
            self._indices[command] = index
        copies = sum(disks.get(voter, {}).get(index) == term for voter in self._voters)
        if self.voters_are_fixed and 2 * copies <= len(self._voters):
            detail = f"{member} applies {index}, which {copies} of {len(self._voters)} persisted"
            self._violated(Rule.DURABLE, at_ms, detail)

    def read_requested(self, token: int) -> None:
        """A client requested a read; it may not miss what was applied by now."""
        self._reads[token] = self._highest_index

    def read_answered(self, at_ms: float, member: str, token: int, index: int) -> None:
        """A member answered a read with its state after `index`."""
        expected = self._reads[token]
        if index < expected:
            detail = f"{member} reads at {index}, and {expected} was applied before"
            self._violated(Rule.FRESH_READ, at_ms, detail)

    def ended(self, at_ms: float, last_command: bytes, applied: Mapping[str, int]) -> None:
        """The run ended.

        Args:
            at_ms: when, in ms of the run.
            last_command: proposed after all faults had ended.
            applied: the last index that each running voter applied, by its name.
        """
        index = self._indices.get(last_command)
        if index is None:
            detail = f"{last_command!r}, proposed after all faults, was applied by nobody"
            self._violated(Rule.PROGRESS, at_ms, detail)
            return
        behind = [member for member, last_applied in applied.items() if last_applied < index]
        if behind:
            self._violated(Rule.PROGRESS, at_ms, f"{', '.join(behind)} did not reach {index}")

    def _violated(self, rule: Rule, at_ms: float, detail: str) -> None:
        self.violations.append(RuleViolation(rule.value, at_ms, detail))
