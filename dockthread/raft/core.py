"""A log that a majority of voters agrees on: Raft, free of I/O, with a clock that is told.

Theory of operation. Time is cut into terms; in a term at most one voter leads, as each voter gives
one vote a term and a majority is needed. The leader appends entries and sends them; an entry of its
own term that a majority holds is committed, and all before it with it, never an entry of an older
term by count alone. A voter gives its vote only to one whose log is at least as new as its own, so
that whoever leads holds all that was committed. The term is the epoch with which everything granted
is fenced.

| role | a leader is heard | silence for its patience | a majority answers | a higher term is heard |
| --- | --- | --- | --- | --- |
| follower | follows, patience anew | asks whether it would be voted for | - | follows in it |
| asking (pre-vote) | follows | asks again | candidate in the next term | follows in it |
| candidate | follows | asks again, pre-vote first | leads, appends an entry of nothing | follows in it |
| leader | cannot be, in its term | of a majority: follows | goes on | follows in it |

Who was cut off raises no term while it asks, and a voter that hears a leader gives no vote
(pre-vote and check-quorum): so one that comes back unseats nobody, and a leader that reaches no
majority stops leading within its patience. Voters change one at a time by an entry that counts from
when it is appended, and only after the leader committed one of its own term.

What must be on disk before anything else is carried out comes as `Keep`; actions are carried out in
their order, and a `Send` behind a `Keep` may not leave before it is kept. Who forgot its log must
not come back under its old identity.

What can't be had: nothing is committed in a minority; an entry whose proposer saw no answer may or
may not be.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from dockthread.raft.actions import (
    Action,
    ApplyEntry,
    PersistEntries,
    PersistentState,
    PersistSnapshot,
    RaftTiming,
    ReadIndexReady,
    RestoreSnapshot,
    Role,
    RoleChanged,
    SendMessage,
)  # fmt: skip
from dockthread.raft.log import RaftLog
from dockthread.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    Message,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)

MOST_ENTRIES = 64  # in one message


class RaftCore:
    """One member. `voters` counts only where nothing is stored; a member that is no voter follows
    and never asks.
    """

    def __init__(
        self,
        me: str,
        voters: Iterable[str],
        stored: PersistentState,
        times: RaftTiming,
        rng: random.Random,
        now: float,
    ) -> None:
        self.member_id, self._times, self._rng, self.now = me, times, rng, now
        self.term, self.voted_for = stored.term, stored.voted_for
        self.log = RaftLog(stored, voters)
        self.commit_index = self.applied_index = self.log.snapshot_index
        self.role, self.leader_id = Role.FOLLOWER, ""
        self.learners: set[str] = set()  # who is sent the log without a vote
        self._actions: list[Action] = []
        self._votes: set[str] = set()
        self._next: dict[str, int] = {}
        self._match: dict[str, int] = {}
        self._busy: dict[str, int] = {}  # round of the entries under way to a peer
        self._told: dict[str, int] = {}  # how far each was told that it is committed
        self._round, self._rounds = 0, dict[str, int]()  # of beats; the last that each answered
        self._answered: dict[str, float] = {}  # when each spoke last, to a leader
        self._reads: list[tuple[int, int, int]] = []  # token, index, round
        self._heard = -1e18  # a leader, last
        self._handing = -1e18  # until when nothing is proposed, as another takes over
        self._wait()

    # What it knows

    @property
    def voters(self) -> tuple[str, ...]:
        return self.log.voters_at(self.log.last_index)

    def next_deadline(self) -> float:
        """When it wants `tick` next."""
        return self._beat_due if self.role is Role.LEADER else self._election_due

    def has_quorum(self, who: Iterable[str]) -> bool:
        voters = self.voters
        return 2 * len(set(who) & set(voters)) > len(voters)

    def responded_within(self, ms: float) -> set[str]:
        """Who answered this leader so lately; empty where it does not lead."""
        return {
            p for p, at in self._answered.items() if self.role is Role.LEADER and self.now - at < ms
        }

    # Events; each gives what is to be carried out, in order

    def tick(self, now: float) -> list[Action]:
        self.now = now
        if self.role is Role.LEADER:
            if now >= self._beat_due:
                if self.has_quorum(
                    self.responded_within(self._times.election_timeout_ms) | {self.member_id}
                ):
                    self._beat()
                else:  # whoever is on the other side may have another leader by now
                    self._follow(self.term, "")
        elif now >= self._election_due:
            self._wait()
            if self.member_id in self.voters:
                self._ask(pre=True)
        return self._take()

    def propose(
        self, now: float, data: bytes, kind: int = EntryKind.COMMAND
    ) -> tuple[int | None, list[Action]]:
        """The entry's index; None where this member does not lead, hands over, or must not change
        voters yet.
        """
        self.now = now
        may = kind != EntryKind.VOTERS or self._may_change(tuple(data.decode().split()))
        if self.role is not Role.LEADER or now < self._handing or not may:
            return None, self._take()
        self._append((Entry(self.term, kind, data),))
        self._spread()
        self._settle()
        return self.log.last_index, self._take()

    def read_index(self, now: float, token: int) -> tuple[bool, list[Action]]:
        """Ask whether this member still leads; `ReadAt` answers. False where it does not lead."""
        self.now = now
        if self.role is not Role.LEADER or self.log.term_at(self.commit_index) != self.term:
            return False, self._take()
        self._beat()
        self._reads.append((token, self.commit_index, self._round))
        self._answer_reads()
        return True, self._take()

    def transfer_leadership(self, now: float) -> list[Action]:
        """At the end of a life: the voter that is furthest and was heard last is to lead."""
        self.now = now
        peers = [p for p in self.voters if p != self.member_id]
        if self.role is Role.LEADER and peers:
            to = max(peers, key=lambda p: (self._match.get(p, 0), self._answered.get(p, 0.0)))
            self._handing = now + self._times.election_timeout_ms
            self._send_entries(to)
            self._send(to, TimeoutNow(self.term, self.member_id))
        return self._take()

    def compact(self, index: int, state: bytes) -> list[Action]:
        """The owner's state after `index`, which is applied: entries up to it are let go."""
        if self.log.snapshot_index < index <= self.applied_index:
            term, voters = self.log.term_at(index), self.log.voters_at(index)
            self.log.install_snapshot(index, term, voters, state, False)
            self._actions.append(PersistSnapshot(index, term, voters, state, False))
        return self._take()

    def step(self, now: float, m: Message) -> list[Action]:
        self.now = now
        if m.term > self.term and not self._ignores(m):
            pre = (
                isinstance(m, VoteRequest)
                and m.pre_vote
                or isinstance(m, VoteResponse)
                and m.pre_vote
                and m.granted
            )
            if not pre:
                self._follow(
                    m.term, m.sender if isinstance(m, AppendEntries | InstallSnapshot) else ""
                )
        elif m.term > self.term:
            return self._take()
        if m.term < self.term and not isinstance(m, AppendEntriesResponse):
            self._old(m)
            return self._take()
        match m:
            case VoteRequest():
                self._asked(m)
            case VoteResponse():
                self._voted(m)
            case AppendEntries() | InstallSnapshot() if m.term == self.term:
                self._led(m)
            case AppendEntriesResponse() if m.term == self.term and self.role is Role.LEADER:
                self._matched(m)
            case TimeoutNow() if self.member_id in self.voters and self.role is not Role.LEADER:
                self._ask(pre=False, handed=True)
        return self._take()

    # Elections

    def _ignores(self, m: Message) -> bool:
        """A vote is not even weighed while a leader is heard, unless that leader asks for it."""
        led = self.role is Role.LEADER or self.now - self._heard < self._times.election_timeout_ms
        return isinstance(m, VoteRequest) and led and not m.leadership_transfer

    def _old(self, m: Message) -> None:
        """Whoever speaks in an older term is told of this one."""
        if isinstance(m, VoteRequest):
            self._send(m.sender, VoteResponse(self.term, self.member_id, False, m.pre_vote))
        elif isinstance(m, AppendEntries | InstallSnapshot):
            self._send(
                m.sender,
                AppendEntriesResponse(self.term, self.member_id, False, 0, m.heartbeat_round),
            )

    def _ask(self, pre: bool, handed: bool = False) -> None:
        self.role, self.leader_id, self._votes = (
            (Role.PRE_CANDIDATE if pre else Role.CANDIDATE),
            "",
            {self.member_id},
        )
        if not pre:
            self.term, self.voted_for = self.term + 1, self.member_id
            self._keep()
        self._wait()
        self._say()
        term = self.term + 1 if pre else self.term
        for peer in self.voters:
            if peer != self.member_id:
                last_term = self.log.term_at(self.log.last_index)
                self._send(
                    peer,
                    VoteRequest(term, self.member_id, self.log.last_index, last_term, pre, handed),
                )
        self._count_votes()

    def _newer(self, m: VoteRequest) -> bool:
        """Whether the asker's log is at least as new as this one."""
        return (m.last_term, m.last_index) >= (
            self.log.term_at(self.log.last_index),
            self.log.last_index,
        )

    def _asked(self, m: VoteRequest) -> None:
        if m.pre_vote:
            granted = m.term > self.term and self._newer(m) and not self._ignores(m)
            self._send(
                m.sender,
                VoteResponse(m.term if granted else self.term, self.member_id, granted, True),
            )
            return
        granted = self.voted_for in ("", m.sender) and self._newer(m)
        if granted:
            self.voted_for = m.sender
            self._keep()
            self._wait()
        self._send(m.sender, VoteResponse(self.term, self.member_id, granted))

    def _voted(self, m: VoteResponse) -> None:
        asked = Role.PRE_CANDIDATE if m.pre_vote else Role.CANDIDATE
        if self.role is asked and m.granted and m.term == self.term + m.pre_vote:
            self._votes.add(m.sender)
            self._count_votes()

    def _count_votes(self) -> None:
        if not self.has_quorum(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._ask(pre=False)
        elif self.role is Role.CANDIDATE:
            self._lead()

    def _lead(self) -> None:
        self.role, self.leader_id = Role.LEADER, self.member_id
        self._next, self._match, self._busy, self._reads = {}, {}, {}, []
        self._answered = dict.fromkeys(self.voters, self.now)
        self._say()
        self._append((Entry(self.term, EntryKind.NO_OP),))  # what is older is committed with it
        self._beat()
        self._settle()

    def _follow(self, term: int, leader: str) -> None:
        changed = term != self.term or self.role is not Role.FOLLOWER or leader != self.leader_id
        if term > self.term:
            self.term, self.voted_for = term, ""
            self._keep()
        self.role, self.leader_id, self._reads = Role.FOLLOWER, leader, []
        self._wait()
        if changed:
            self._say()

    def _wait(self) -> None:
        self._election_due = self.now + self._times.election_timeout_ms * self._rng.uniform(
            1.0, 2.0
        )
        self._beat_due = self.now

    # The log

    def _led(self, m: AppendEntries | InstallSnapshot) -> None:
        if self.role is not Role.FOLLOWER or self.leader_id != m.sender:
            self._follow(m.term, m.sender)
        self._heard = self.now
        self._wait()
        ok, match = self._install(m) if isinstance(m, InstallSnapshot) else self._take_entries(m)
        self._send(
            m.sender, AppendEntriesResponse(self.term, self.member_id, ok, match, m.heartbeat_round)
        )

    def _take_entries(self, m: AppendEntries) -> tuple[bool, int]:
        if m.previous_index > self.log.last_index:
            return False, self.log.last_index
        if (
            m.previous_index >= self.log.snapshot_index
            and self.log.term_at(m.previous_index) != m.previous_term
        ):
            return False, max(self.log.snapshot_index, m.previous_index - 1)
        end = m.previous_index + len(m.entries)
        for at, entry in enumerate(m.entries, m.previous_index + 1):
            if at > self.log.snapshot_index and (
                at > self.log.last_index or self.log.term_at(at) != entry.term
            ):
                self._append(m.entries[at - m.previous_index - 1 :], at)
                break
        self._commit_to(min(m.commit_index, end))
        return True, end

    def _install(self, m: InstallSnapshot) -> tuple[bool, int]:
        if m.last_index <= self.commit_index:
            return True, self.commit_index
        whole = not (
            self.log.snapshot_index < m.last_index <= self.log.last_index
            and self.log.term_at(m.last_index) == m.last_term
        )
        self.log.install_snapshot(m.last_index, m.last_term, m.voters, m.snapshot, whole)
        self.commit_index = self.applied_index = m.last_index
        self._actions.append(
            PersistSnapshot(m.last_index, m.last_term, m.voters, m.snapshot, whole)
        )
        self._actions.append(RestoreSnapshot(m.last_index, m.snapshot))
        return True, m.last_index

    def _matched(self, m: AppendEntriesResponse) -> None:
        peer = m.sender
        self._answered[peer] = self.now
        self._rounds[peer] = max(self._rounds.get(peer, 0), m.heartbeat_round)
        if self._busy.get(peer, 0) <= m.heartbeat_round:
            self._busy.pop(peer, None)
        if m.success:
            self._match[peer] = max(self._match.get(peer, 0), m.match_index)
            self._next[peer] = max(self._next.get(peer, 1), self._match[peer] + 1)
            self._settle()
        else:
            self._next[peer] = (
                max(self._match.get(peer, 0), min(m.match_index, self._next.get(peer, 1) - 1)) + 1
            )
        behind = (
            self._next[peer] <= self.log.last_index or self._told.get(peer, 0) < self.commit_index
        )
        if behind and peer not in self._busy:
            self._send_entries(peer)
        self._answer_reads()

    def _settle(self) -> None:
        """Commit what a majority holds, if it is of this term."""
        for index in range(self.log.last_index, self.commit_index, -1):
            if self.log.term_at(index) != self.term:
                break
            if self.has_quorum(
                [self.member_id, *(p for p, at in self._match.items() if at >= index)]
            ):
                self._commit_to(index)
                self._spread()
                break

    def _commit_to(self, index: int) -> None:
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            self._actions.append(
                ApplyEntry(self.applied_index, self.log.entry_at(self.applied_index))
            )
        if self.role is Role.LEADER and self.member_id not in self.voters:
            self._follow(self.term, "")

    def _append(self, entries: tuple[Entry, ...], start: int = 0) -> None:
        start = start or self.log.last_index + 1
        self.log.truncate_and_append(start, entries)
        self._keep(start, entries)

    def _keep(self, start: int = 0, entries: tuple[Entry, ...] = ()) -> None:
        self._actions.append(
            PersistEntries(
                self.term,
                self.voted_for,
                start or self.log.last_index + 1,
                entries,
                self.commit_index,
            )
        )

    def _may_change(self, voters: tuple[str, ...]) -> bool:
        """One voter more or less than now, a new one ready, none of it under way, and this term has
        committed.
        """
        pending = any(e.kind == EntryKind.VOTERS for e in self.log.entries_after(self.commit_index))
        step = len(set(voters) ^ set(self.voters)) <= 1
        # one that is not there, or far behind, makes a majority harder to have
        near = self.commit_index - MOST_ENTRIES
        here = self.responded_within(self._times.election_timeout_ms)
        ready = all(
            p in here and self._match.get(p, 0) >= near for p in set(voters) - set(self.voters)
        )
        return (
            step
            and ready
            and bool(voters)
            and not pending
            and self.log.term_at(self.commit_index) == self.term
        )

    # Sending

    def _peers(self) -> list[str]:
        return [p for p in sorted({*self.voters, *self.learners}) if p != self.member_id]

    def _beat(self) -> None:
        self._round += 1
        self._beat_due = self.now + self._times.heartbeat_interval_ms
        self._busy.clear()  # what was lost goes again
        for peer in self._peers():
            self._send_entries(peer)

    def _spread(self) -> None:
        for peer in self._peers():
            if peer not in self._busy:
                self._send_entries(peer)

    def _send_entries(self, peer: str) -> None:
        start, self._told[peer] = (
            self._next.setdefault(peer, self.log.last_index + 1),
            self.commit_index,
        )
        if start <= self.log.snapshot_index:
            log = self.log
            state = InstallSnapshot(
                self.term,
                self.member_id,
                log.snapshot_index,
                log.snapshot_term,
                log.snapshot_voters,
                log.snapshot,
                self._round,
            )
            self._send(peer, state)
        else:
            entries = self.log.entries_after(start - 1, MOST_ENTRIES)
            before = self.log.term_at(start - 1)
            self._send(
                peer,
                AppendEntries(
                    self.term,
                    self.member_id,
                    start - 1,
                    before,
                    entries,
                    self.commit_index,
                    self._round,
                ),
            )
            if not entries:
                return
        self._busy[peer] = self._round

    def _answer_reads(self) -> None:
        while self._reads:
            token, index, at = self._reads[0]
            if not self.has_quorum(
                [self.member_id, *(p for p, r in self._rounds.items() if r >= at)]
            ):
                return
            self._reads.pop(0)
            self._actions.append(ReadIndexReady(token, index))

    def _send(self, to: str, message: Message) -> None:
        self._actions.append(SendMessage(to, message))

    def _say(self) -> None:
        self._actions.append(RoleChanged(self.role, self.term, self.leader_id))

    def _take(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
