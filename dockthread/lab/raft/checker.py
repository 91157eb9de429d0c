"""Checks the behavior of Raft members against rules, based on the events that they report.

The checker shares no code with the Raft implementation, so that one bug cannot affect both.

The rules, by the names that violations report:

* `one-leader`: at most one member is the leader of a term.
* `one-vote`: a voter grants at most one vote per term.
* `alike`: all members and incarnations apply the same entry at an index.
* `in-order`: each incarnation applies entries in order and without gaps.
* `durable`: when an entry is first applied, a majority of the voters has it on disk. This is
  checked only in runs in which the set of voters does not change.
* `fresh-read`: a read reflects every entry that any member had applied when the read was requested.
* `once`: a command that was proposed once is applied at only one index.
* `terms-rise`: the term on a member's disk never decreases.
* `progress`: after all faults have ended, all voters apply a new command before the run ends.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """Rules, by the names that violations report."""

    ONE_LEADER = "one-leader"
    ONE_VOTE = "one-vote"
    LOG_MATCHING = "alike"
    IN_ORDER = "in-order"
    DURABLE = "durable"
    FRESH_READ = "fresh-read"
    SINGLE_APPLICATION = "once"
    MONOTONIC_TERM = "terms-rise"
    PROGRESS = "progress"


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violation of a rule.

    Attributes:
        rule: Name of the rule.
        at_ms: Time of the violation, in ms of the run.
        detail: Description of the violation.
    """

    rule: str
    at_ms: float
    detail: str


class RaftChecker:
    """Records the events of one run and the rule violations that they prove.

    All times `at_ms` are in ms of the run.

    Attributes:
        voters_are_fixed: Whether the set of voters stays the same in this run.
        commands_are_unique: Whether each command is proposed only once in this run.
        violations: Violations, in the order in which they were found.
        log: Term and command of each applied entry, by index; the command is empty for entries that
            are not commands.
    """

    def __init__(self, voters: tuple[str, ...]) -> None:
        self._voters = voters
        self.voters_are_fixed = True
        self.commands_are_unique = True
        self.violations: list[RuleViolation] = []
        self._leaders: dict[int, str] = {}  # by term
        self._granted_votes: dict[tuple[str, int], str] = {}  # by voter and term
        self.log: dict[int, tuple[int, bytes]] = {}
        self._command_indices: dict[bytes, int] = {}  # by command
        self._last_applied: dict[tuple[str, int], int] = {}  # index, by member and incarnation
        self._read_indices: dict[int, int] = {}  # index that a read must reflect, by token
        self._persisted_terms: dict[str, int] = {}  # term on disk, by member
        self._highest_applied_index = 0

    def leader_elected(self, at_ms: float, member: str, term: int) -> None:
        """Record that a member became the leader of a term."""
        leader = self._leaders.setdefault(term, member)
        if leader != member:
            self._add_violation(
                Rule.ONE_LEADER, at_ms, f"{member} and {leader} are leaders of term {term}"
            )

    def vote_granted(self, at_ms: float, voter: str, term: int, candidate: str) -> None:
        """Record that a voter granted its vote to a candidate."""
        first_candidate = self._granted_votes.setdefault((voter, term), candidate)
        if first_candidate != candidate:
            detail = f"{voter} voted for {first_candidate} and {candidate} in term {term}"
            self._add_violation(Rule.ONE_VOTE, at_ms, detail)

    def term_persisted(self, at_ms: float, member: str, term: int) -> None:
        """Record that a member wrote a term to its disk."""
        highest_term = self._persisted_terms.get(member, 0)
        if term < highest_term:
            detail = f"{member} persisted term {term} after term {highest_term}"
            self._add_violation(Rule.MONOTONIC_TERM, at_ms, detail)
        self._persisted_terms[member] = max(term, highest_term)

    def snapshot_restored(
        self,
        at_ms: float,
        member: str,
        incarnation: int,
        index: int,
        commands: tuple[bytes, ...],
    ) -> None:
        """Record that a member restored a snapshot of the entries up to `index`.

        Args:
            at_ms: Time of the event.
            member: Name of the member.
            incarnation: Number of the start of its process.
            index: Index of the last entry in the snapshot.
            commands: All commands in the snapshot, in order.
        """
        expected_commands = tuple(
            self.log[entry_index][1]
            for entry_index in sorted(self.log)
            if entry_index <= index and self.log[entry_index][1]
        )
        if commands != expected_commands:
            detail = f"{member} restored a snapshot up to {index} that differs from the applied log"
            self._add_violation(Rule.LOG_MATCHING, at_ms, detail)
        self._last_applied[member, incarnation] = index

    def snapshot_restored_unchecked(self, member: str, incarnation: int, index: int) -> None:
        """Record that a member restored a snapshot, without checking its content."""
        self._last_applied[member, incarnation] = index

    def entry_applied(  # noqa: PLR0913  all describe one event, which one caller reports
        self,
        at_ms: float,
        member: str,
        incarnation: int,
        index: int,
        entry: tuple[int, bytes],
        terms_on_disk: Mapping[str, Mapping[int, int]],
    ) -> None:
        """Record that a member applied an entry.

        Args:
            at_ms: Time of the event.
            member: Name of the member.
            incarnation: Number of the start of its process.
            index: Index of the entry.
            entry: Term and command; the command is empty for other kinds of entries.
            terms_on_disk: Term of each entry on disk, by member and index.
        """
        previous_index = self._last_applied.get((member, incarnation), 0)
        if index != previous_index + 1:
            self._add_violation(
                Rule.IN_ORDER, at_ms, f"{member} applied {index} after {previous_index}"
            )
        self._last_applied[member, incarnation] = index
        if index not in self.log:
            self._check_first_application(at_ms, member, index, entry, terms_on_disk)
        elif self.log[index] != entry:
            detail = f"{member} applied {entry} at {index}; another applied {self.log[index]} there"
            self._add_violation(Rule.LOG_MATCHING, at_ms, detail)

    def _check_first_application(
        self,
        at_ms: float,
        member: str,
        index: int,
        entry: tuple[int, bytes],
        terms_on_disk: Mapping[str, Mapping[int, int]],
    ) -> None:
        """Check an entry that no member has applied before, and add it to the log."""
        term, command = entry
        self.log[index] = entry
        self._highest_applied_index = max(self._highest_applied_index, index)
        if command:
            if self.commands_are_unique and command in self._command_indices:
                detail = (
                    f"{command!r} is in the log at {self._command_indices[command]} and {index}"
                )
                self._add_violation(Rule.SINGLE_APPLICATION, at_ms, detail)
            self._command_indices[command] = index
        persisted_count = sum(
            terms_on_disk.get(voter, {}).get(index) == term for voter in self._voters
        )
        if self.voters_are_fixed and 2 * persisted_count <= len(self._voters):
            detail = (
                f"{member} applied {index}, "
                f"which {persisted_count} of {len(self._voters)} voters persisted"
            )
            self._add_violation(Rule.DURABLE, at_ms, detail)

    def read_requested(self, token: int) -> None:
        """Record that a client requested a read, which must reflect all entries applied so far."""
        self._read_indices[token] = self._highest_applied_index

    def read_answered(self, at_ms: float, member: str, token: int, index: int) -> None:
        """Record that a member answered a read with its state after `index`."""
        required_index = self._read_indices[token]
        if index < required_index:
            detail = (
                f"{member} answered a read at {index}, but {required_index} was already applied"
            )
            self._add_violation(Rule.FRESH_READ, at_ms, detail)

    def check_progress(
        self, at_ms: float, last_command: bytes, applied_indices: Mapping[str, int]
    ) -> None:
        """Check the progress of the cluster at the end of the run.

        Args:
            at_ms: Time of the end.
            last_command: Command that was proposed after all faults had ended.
            applied_indices: Last applied index of each running voter, by name.
        """
        index = self._command_indices.get(last_command)
        if index is None:
            detail = f"no member applied {last_command!r}, which was proposed after all faults"
            self._add_violation(Rule.PROGRESS, at_ms, detail)
            return
        lagging_members = [
            member for member, last_applied in applied_indices.items() if last_applied < index
        ]
        if lagging_members:
            self._add_violation(
                Rule.PROGRESS, at_ms, f"{', '.join(lagging_members)} did not apply {index}"
            )

    def _add_violation(self, rule: Rule, at_ms: float, detail: str) -> None:
        self.violations.append(RuleViolation(rule.value, at_ms, detail))
