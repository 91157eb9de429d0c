"""Planted bugs of the agreement, each of which the checker has to find: proof that it sees. Never
in the program.
"""

from __future__ import annotations

from collections.abc import Iterable

from dockthread.raft.actions import Action, ReadAt, Role
from dockthread.raft.core import Agreement
from dockthread.raft.messages import Append, Message, VoteAnswer, VoteAsk


class VoteTwice(Agreement):
    def _asked(self, m: VoteAsk) -> None:
        if not m.pre and self.vote != self.me:
            self.vote = ""
        super()._asked(m)


class VoteNotKept(Agreement):
    def _asked(self, m: VoteAsk) -> None:
        if m.pre or self.vote not in ("", m.sender) or not self._newer(m):
            return super()._asked(m)
        self.vote = m.sender
        self._wait()
        return self._send(m.sender, VoteAnswer(self.term, self.me, True))


class AnyLogLeads(Agreement):
    def _newer(self, m: VoteAsk) -> bool:
        return True


class SmallMajority(Agreement):
    def majority(self, who: Iterable[str]) -> bool:
        return 2 * len(set(who) & set(self.voters)) + 2 > len(self.voters)


class BeforeUnchecked(Agreement):
    def _take_entries(self, m: Append) -> tuple[bool, int]:
        if m.before <= self.log.last and m.before >= self.log.base:
            m = Append(
                m.term, m.sender, m.before, self.log.term_at(m.before), m.entries, m.commit, m.round
            )
        return super()._take_entries(m)


class ConflictKept(Agreement):
    def _take_entries(self, m: Append) -> tuple[bool, int]:
        if (
            m.before > self.log.last
            or m.before >= self.log.base
            and self.log.term_at(m.before) != m.before_term
        ):
            return super()._take_entries(m)
        end = m.before + len(m.entries)
        if end > self.log.last:
            self._append(m.entries[max(0, self.log.last - m.before) :])
        self._commit_to(min(m.commit, end))
        return True, end


class EpochUnchecked(Agreement):
    def heard(self, now: float, m: Message) -> list[Action]:
        if isinstance(m, Append) and m.term < self.term:
            m = Append(self.term, m.sender, m.before, m.before_term, m.entries, m.commit, m.round)
        return super().heard(now, m)


class ReadAtOnce(Agreement):
    def read(self, now: float, token: int) -> tuple[bool, list[Action]]:
        if self.role is not Role.LEADER:
            return False, []
        return True, [ReadAt(token, self.commit)]


class CommitTooFar(Agreement):
    def _take_entries(self, m: Append) -> tuple[bool, int]:
        ok, match = super()._take_entries(m)
        self._commit_to(m.commit)
        return ok, match


class ManyChangesAtOnce(Agreement):
    def _may_change(self, voters: tuple[str, ...]) -> bool:
        return True


class SnapshotTooOld(Agreement):
    """Lets go of one entry more than its state holds."""

    def compact(self, index: int, state: bytes) -> list[Action]:
        return super().compact(index, state.rpartition(b"\x00")[0])


CORES: dict[str, type[Agreement]] = {
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
RIMS = ("fsync-left-out", "sent-before-kept", "same-name-without-memory")
NAMES = (*CORES, *RIMS)
