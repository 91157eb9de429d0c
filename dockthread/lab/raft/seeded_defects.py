"""Deliberate bugs in the Raft core and in the code that executes its actions.

Tests check that the checker finds each of these seeded defects, which shows that its rules are
effective. The program itself never loads this module. The names of the defects are values of a
command-line option.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from dockthread.raft.actions import Action, ReadIndexReady, Role
from dockthread.raft.core import RaftCore
from dockthread.raft.messages import AppendEntries, Message, VoteRequest, VoteResponse


class VoteTwice(RaftCore):
    """Votes for a second candidate in the same term."""

    def _handle_vote_request(self, request: VoteRequest) -> None:
        if not request.pre_vote and self.voted_for != self.member_id:
            self.voted_for = ""
        super()._handle_vote_request(request)


class VoteNotPersisted(RaftCore):
    """Sends a vote without writing it to disk first."""

    def _handle_vote_request(self, request: VoteRequest) -> None:
        may_vote = self.voted_for in ("", request.sender)
        if request.pre_vote or not may_vote or not self._is_log_up_to_date(request):
            super()._handle_vote_request(request)
            return
        self.voted_for = request.sender
        self._reset_election_timer()
        self._send(request.sender, VoteResponse(self.term, self.member_id, True))


class StaleLogAccepted(RaftCore):
    """Votes for candidates whose log is less up to date than its own."""

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:  # noqa: ARG002  the defect ignores it
        return True


class SmallMajority(RaftCore):
    """Accepts one member fewer than a majority as a quorum."""

    def has_quorum(self, members: Iterable[str]) -> bool:
        """Return whether these members plus one more would be a majority of the voters."""
        return 2 * len(set(members) & set(self.voters)) + 2 > len(self.voters)


class PreviousEntryUnchecked(RaftCore):
    """Appends entries without checking the term of the preceding entry."""

    def _accept_entries(self, message: AppendEntries) -> tuple[bool, int]:
        if self.log.snapshot_index <= message.previous_index <= self.log.last_index:
            own_term = self.log.term_at(message.previous_index)
            message = msgspec.structs.replace(message, previous_term=own_term)
        return super()._accept_entries(message)


class ConflictNotTruncated(RaftCore):
    """Keeps entries that conflict with the leader's log, and only appends later entries."""

    def _accept_entries(self, message: AppendEntries) -> tuple[bool, int]:
        log = self.log
        previous = message.previous_index
        if previous > log.last_index:
            return super()._accept_entries(message)
        if previous >= log.snapshot_index and log.term_at(previous) != message.previous_term:
            return super()._accept_entries(message)
        match_index = previous + len(message.entries)
        if match_index > log.last_index:
            self._append_entries(message.entries[max(0, log.last_index - previous) :])
        self._commit_up_to(min(message.commit_index, match_index))
        return True, match_index


class TermUnchecked(RaftCore):
    """Accepts entries from the leader of an older term as if it were the current leader."""

    def step(self, now: float, message: Message) -> list[Action]:
        """Handle a message from another member."""
        if isinstance(message, AppendEntries) and message.term < self.term:
            message = msgspec.structs.replace(message, term=self.term)
        return super().step(now, message)


class ReadWithoutQuorum(RaftCore):
    """Answers reads without confirming its leadership with a quorum."""

    def read_index(self, now: float, token: int) -> tuple[bool, list[Action]]:  # noqa: ARG002  the defect ignores it
        """Answer immediately with the current commit index."""
        if self.role is not Role.LEADER:
            return False, []
        return True, [ReadIndexReady(token, self.commit_index)]


class UnmatchedEntriesCommitted(RaftCore):
    """Commits entries that have not been matched against the leader's log."""

    def _accept_entries(self, message: AppendEntries) -> tuple[bool, int]:
        success, match_index = super()._accept_entries(message)
        self._commit_up_to(message.commit_index)
        return success, match_index


class UnrestrictedVoterChanges(RaftCore):
    """Allows any change of the voters at any time."""

    def _may_change_voters(self, voters: tuple[str, ...]) -> bool:  # noqa: ARG002  the defect ignores it
        return True


class CommandMissingInSnapshot(RaftCore):
    """Creates snapshots that lack the last command that they replace."""

    def compact(self, index: int, snapshot: bytes) -> list[Action]:
        """Replace the entries up to `index` with a snapshot without the last command."""
        return super().compact(index, snapshot.rpartition(b"\x00")[0])


DEFECTIVE_CORES: Final[dict[str, type[RaftCore]]] = {
    "vote-twice": VoteTwice,
    "vote-not-kept": VoteNotPersisted,
    "any-log-leads": StaleLogAccepted,
    "small-majority": SmallMajority,
    "before-unchecked": PreviousEntryUnchecked,
    "conflict-kept": ConflictNotTruncated,
    "epoch-unchecked": TermUnchecked,
    "read-at-once": ReadWithoutQuorum,
    "commit-too-far": UnmatchedEntriesCommitted,
    "many-changes-at-once": UnrestrictedVoterChanges,
    "snapshot-too-old": CommandMissingInSnapshot,
}
# Defects of the simulation, which executes the actions of a correct core wrongly.
SIMULATION_DEFECTS: Final = ("fsync-left-out", "sent-before-kept", "same-name-without-memory")
DEFECT_NAMES: Final = (*DEFECTIVE_CORES, *SIMULATION_DEFECTS)
