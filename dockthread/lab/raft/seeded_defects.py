"""Planted bugs of the agreement, each of which the checker has to find: proof that it sees. Never
in the program.
"""

from __future__ import annotations

from collections.abc import Iterable

from dockthread.raft.actions import Action, ReadIndexReady, Role
from dockthread.raft.core import RaftCore
from dockthread.raft.messages import AppendEntries, Message, VoteRequest, VoteResponse


class VoteTwice(RaftCore):
    def _asked(self, m: VoteRequest) -> None:
        if not m.pre_vote and self.voted_for != self.member_id:
            self.voted_for = ""
        super()._asked(m)


class VoteNotKept(RaftCore):
    def _asked(self, m: VoteRequest) -> None:
        if m.pre_vote or self.voted_for not in ("", m.sender) or not self._newer(m):
            return super()._asked(m)
        self.voted_for = m.sender
        self._wait()
        return self._send(m.sender, VoteResponse(self.term, self.member_id, True))


class AnyLogLeads(RaftCore):
    def _newer(self, m: VoteRequest) -> bool:
        return True


class SmallMajority(RaftCore):
    def has_quorum(self, who: Iterable[str]) -> bool:
        return 2 * len(set(who) & set(self.voters)) + 2 > len(self.voters)


class BeforeUnchecked(RaftCore):
    def _take_entries(self, m: AppendEntries) -> tuple[bool, int]:
        if m.previous_index <= self.log.last_index and m.previous_index >= self.log.snapshot_index:
            m = AppendEntries(
                m.term,
                m.sender,
                m.previous_index,
                self.log.term_at(m.previous_index),
                m.entries,
                m.commit_index,
                m.heartbeat_round,
            )
        return super()._take_entries(m)


class ConflictKept(RaftCore):
    def _take_entries(self, m: AppendEntries) -> tuple[bool, int]:
        if (
            m.previous_index > self.log.last_index
            or m.previous_index >= self.log.snapshot_index
            and self.log.term_at(m.previous_index) != m.previous_term
        ):
            return super()._take_entries(m)
        end = m.previous_index + len(m.entries)
        if end > self.log.last_index:
            self._append(m.entries[max(0, self.log.last_index - m.previous_index) :])
        self._commit_to(min(m.commit_index, end))
        return True, end


class EpochUnchecked(RaftCore):
    def step(self, now: float, m: Message) -> list[Action]:
        if isinstance(m, AppendEntries) and m.term < self.term:
            m = AppendEntries(
                self.term,
                m.sender,
                m.previous_index,
                m.previous_term,
                m.entries,
                m.commit_index,
                m.heartbeat_round,
            )
        return super().step(now, m)


class ReadAtOnce(RaftCore):
    def read_index(self, now: float, token: int) -> tuple[bool, list[Action]]:
        if self.role is not Role.LEADER:
            return False, []
        return True, [ReadIndexReady(token, self.commit_index)]


class CommitTooFar(RaftCore):
    def _take_entries(self, m: AppendEntries) -> tuple[bool, int]:
        ok, match = super()._take_entries(m)
        self._commit_to(m.commit_index)
        return ok, match


class ManyChangesAtOnce(RaftCore):
    def _may_change(self, voters: tuple[str, ...]) -> bool:
        return True


class SnapshotTooOld(RaftCore):
    """Lets go of one entry more than its state holds."""

    def compact(self, index: int, state: bytes) -> list[Action]:
        return super().compact(index, state.rpartition(b"\x00")[0])


DEFECTIVE_CORES: dict[str, type[RaftCore]] = {
    "vote-twice": VoteTwice,
    "vote-not-kept": VoteNotKept,
    "any-log-leads": AnyLogLeads,
    "small-majority": SmallMajority,
    "before-unchecked": BeforeUnchecked,
    "conflict-kept": ConflictKept,
    "epoch-unchecked": EpochUnchecked,
    "read-at-once": ReadAtOnce,
    "commit-too-far": CommitTooFar,
    "many-changes-at-once": ManyChangesAtOnce,
    "snapshot-too-old": SnapshotTooOld,
}
# Bugs of the rim: what is carried out wrongly round a core that is right.
ADAPTER_DEFECTS = ("fsync-left-out", "sent-before-kept", "same-name-without-memory")
NAMES = (*DEFECTIVE_CORES, *ADAPTER_DEFECTS)
