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
    Apply,
    Became,
    Keep,
    KeepState,
    ReadAt,
    Restore,
    Role,
    Send,
    Stored,
    Times,
)  # fmt: skip
from dockthread.raft.log import Log
from dockthread.raft.messages import (
    COMMAND,
    NOTHING,
    VOTERS,
    Append,
    Appended,
    Entry,
    Install,
    Message,
    TakeOver,
    VoteAnswer,
    VoteAsk,
)

MOST_ENTRIES = 64  # in one message


class Agreement:
    """One member. `voters` counts only where nothing is stored; a member that is no voter follows
    and never asks.
    """

    def __init__(
        self,
        me: str,
        voters: Iterable[str],
        stored: Stored,
        times: Times,
        rng: random.Random,
        now: float,
    ) -> None:
        self.me, self._times, self._rng, self.now = me, times, rng, now
        self.term, self.vote = stored.term, stored.vote
        self.log = Log(stored, voters)
        self.commit = self.applied = self.log.base
        self.role, self.leader = Role.FOLLOWER, ""
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
        return self.log.voters_at(self.log.last)

    def due(self) -> float:
        """When it wants `tick` next."""
        return self._beat_due if self.role is Role.LEADER else self._election_due

    def majority(self, who: Iterable[str]) -> bool:
        voters = self.voters
        return 2 * len(set(who) & set(voters)) > len(voters)

    def heard_within(self, ms: float) -> set[str]:
        """Who answered this leader so lately; empty where it does not lead."""
        return {
            p for p, at in self._answered.items() if self.role is Role.LEADER and self.now - at < ms
        }

    # Events; each gives what is to be carried out, in order

    def tick(self, now: float) -> list[Action]:
        self.now = now
        if self.role is Role.LEADER:
            if now >= self._beat_due:
                if self.majority(self.heard_within(self._times.patience) | {self.me}):
                    self._beat()
                else:  # whoever is on the other side may have another leader by now
                    self._follow(self.term, "")
        elif now >= self._election_due:
            self._wait()
            if self.me in self.voters:
                self._ask(pre=True)
        return self._take()

    def propose(
        self, now: float, data: bytes, kind: int = COMMAND
    ) -> tuple[int | None, list[Action]]:
        """The entry's index; None where this member does not lead, hands over, or must not change
        voters yet.
        """
        self.now = now
        may = kind != VOTERS or self._may_change(tuple(data.decode().split()))
        if self.role is not Role.LEADER or now < self._handing or not may:
            return None, self._take()
        self._append((Entry(self.term, kind, data),))
        self._spread()
        self._settle()
        return self.log.last, self._take()

    def read(self, now: float, token: int) -> tuple[bool, list[Action]]:
        """Ask whether this member still leads; `ReadAt` answers. False where it does not lead."""
        self.now = now
        if self.role is not Role.LEADER or self.log.term_at(self.commit) != self.term:
            return False, self._take()
        self._beat()
        self._reads.append((token, self.commit, self._round))
        self._answer_reads()
        return True, self._take()

    def hand_over(self, now: float) -> list[Action]:
        """At the end of a life: the voter that is furthest and was heard last is to lead."""
        self.now = now
        peers = [p for p in self.voters if p != self.me]
        if self.role is Role.LEADER and peers:
            to = max(peers, key=lambda p: (self._match.get(p, 0), self._answered.get(p, 0.0)))
            self._handing = now + self._times.patience
            self._send_entries(to)
            self._send(to, TakeOver(self.term, self.me))
        return self._take()

    def compact(self, index: int, state: bytes) -> list[Action]:
        """The owner's state after `index`, which is applied: entries up to it are let go."""
        if self.log.base < index <= self.applied:
            term, voters = self.log.term_at(index), self.log.voters_at(index)
            self.log.let_go(index, term, voters, state, False)
            self._actions.append(KeepState(index, term, voters, state, False))
        return self._take()

    def heard(self, now: float, m: Message) -> list[Action]:
        self.now = now
        if m.term > self.term and not self._ignores(m):
            pre = (
                isinstance(m, VoteAsk)
                and m.pre
                or isinstance(m, VoteAnswer)
                and m.pre
                and m.granted
            )
            if not pre:
                self._follow(m.term, m.sender if isinstance(m, Append | Install) else "")
        elif m.term > self.term:
            return self._take()
        if m.term < self.term and not isinstance(m, Appended):
            self._old(m)
            return self._take()
        match m:
            case VoteAsk():
                self._asked(m)
            case VoteAnswer():
                self._voted(m)
            case Append() | Install() if m.term == self.term:
                self._led(m)
            case Appended() if m.term == self.term and self.role is Role.LEADER:
                self._matched(m)
            case TakeOver() if self.me in self.voters and self.role is not Role.LEADER:
                self._ask(pre=False, handed=True)
        return self._take()

    # Elections

    def _ignores(self, m: Message) -> bool:
        """A vote is not even weighed while a leader is heard, unless that leader asks for it."""
        led = self.role is Role.LEADER or self.now - self._heard < self._times.patience
        return isinstance(m, VoteAsk) and led and not m.handed

    def _old(self, m: Message) -> None:
        """Whoever speaks in an older term is told of this one."""
        if isinstance(m, VoteAsk):
            self._send(m.sender, VoteAnswer(self.term, self.me, False, m.pre))
        elif isinstance(m, Append | Install):
            self._send(m.sender, Appended(self.term, self.me, False, 0, m.round))

    def _ask(self, pre: bool, handed: bool = False) -> None:
        self.role, self.leader, self._votes = (
            (Role.ASKING if pre else Role.CANDIDATE),
            "",
            {self.me},
        )
        if not pre:
            self.term, self.vote = self.term + 1, self.me
            self._keep()
        self._wait()
        self._say()
        term = self.term + 1 if pre else self.term
        for peer in self.voters:
            if peer != self.me:
                last_term = self.log.term_at(self.log.last)
                self._send(peer, VoteAsk(term, self.me, self.log.last, last_term, pre, handed))
        self._count_votes()

    def _newer(self, m: VoteAsk) -> bool:
        """Whether the asker's log is at least as new as this one."""
        return (m.last_term, m.last) >= (self.log.term_at(self.log.last), self.log.last)

    def _asked(self, m: VoteAsk) -> None:
        if m.pre:
            granted = m.term > self.term and self._newer(m) and not self._ignores(m)
            self._send(
                m.sender, VoteAnswer(m.term if granted else self.term, self.me, granted, True)
            )
            return
        granted = self.vote in ("", m.sender) and self._newer(m)
        if granted:
            self.vote = m.sender
            self._keep()
            self._wait()
        self._send(m.sender, VoteAnswer(self.term, self.me, granted))

    def _voted(self, m: VoteAnswer) -> None:
        asked = Role.ASKING if m.pre else Role.CANDIDATE
        if self.role is asked and m.granted and m.term == self.term + m.pre:
            self._votes.add(m.sender)
            self._count_votes()

    def _count_votes(self) -> None:
        if not self.majority(self._votes):
            return
        if self.role is Role.ASKING:
            self._ask(pre=False)
        elif self.role is Role.CANDIDATE:
            self._lead()

    def _lead(self) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self._next, self._match, self._busy, self._reads = {}, {}, {}, []
        self._answered = dict.fromkeys(self.voters, self.now)
        self._say()
        self._append((Entry(self.term, NOTHING),))  # what is older is committed with it
        self._beat()
        self._settle()

    def _follow(self, term: int, leader: str) -> None:
        changed = term != self.term or self.role is not Role.FOLLOWER or leader != self.leader
        if term > self.term:
            self.term, self.vote = term, ""
            self._keep()
        self.role, self.leader, self._reads = Role.FOLLOWER, leader, []
        self._wait()
        if changed:
            self._say()

    def _wait(self) -> None:
        self._election_due = self.now + self._times.patience * self._rng.uniform(1.0, 2.0)
        self._beat_due = self.now

    # The log

    def _led(self, m: Append | Install) -> None:
        if self.role is not Role.FOLLOWER or self.leader != m.sender:
            self._follow(m.term, m.sender)
        self._heard = self.now
        self._wait()
        ok, match = self._install(m) if isinstance(m, Install) else self._take_entries(m)
        self._send(m.sender, Appended(self.term, self.me, ok, match, m.round))

    def _take_entries(self, m: Append) -> tuple[bool, int]:
        if m.before > self.log.last:
            return False, self.log.last
        if m.before >= self.log.base and self.log.term_at(m.before) != m.before_term:
            return False, max(self.log.base, m.before - 1)
        end = m.before + len(m.entries)
        for at, entry in enumerate(m.entries, m.before + 1):
            if at > self.log.base and (at > self.log.last or self.log.term_at(at) != entry.term):
                self._append(m.entries[at - m.before - 1 :], at)
                break
        self._commit_to(min(m.commit, end))
        return True, end

    def _install(self, m: Install) -> tuple[bool, int]:
        if m.last <= self.commit:
            return True, self.commit
        whole = not (
            self.log.base < m.last <= self.log.last and self.log.term_at(m.last) == m.last_term
        )
        self.log.let_go(m.last, m.last_term, m.voters, m.state, whole)
        self.commit = self.applied = m.last
        self._actions.append(KeepState(m.last, m.last_term, m.voters, m.state, whole))
        self._actions.append(Restore(m.last, m.state))
        return True, m.last

    def _matched(self, m: Appended) -> None:
        peer = m.sender
        self._answered[peer] = self.now
        self._rounds[peer] = max(self._rounds.get(peer, 0), m.round)
        if self._busy.get(peer, 0) <= m.round:
            self._busy.pop(peer, None)
        if m.ok:
            self._match[peer] = max(self._match.get(peer, 0), m.match)
            self._next[peer] = max(self._next.get(peer, 1), self._match[peer] + 1)
            self._settle()
        else:
            self._next[peer] = (
                max(self._match.get(peer, 0), min(m.match, self._next.get(peer, 1) - 1)) + 1
            )
        behind = self._next[peer] <= self.log.last or self._told.get(peer, 0) < self.commit
        if behind and peer not in self._busy:
            self._send_entries(peer)
        self._answer_reads()

    def _settle(self) -> None:
        """Commit what a majority holds, if it is of this term."""
        for index in range(self.log.last, self.commit, -1):
            if self.log.term_at(index) != self.term:
                break
            if self.majority([self.me, *(p for p, at in self._match.items() if at >= index)]):
                self._commit_to(index)
                self._spread()
                break

    def _commit_to(self, index: int) -> None:
        self.commit = max(self.commit, min(index, self.log.last))
        while self.applied < self.commit:
            self.applied += 1
            self._actions.append(Apply(self.applied, self.log.at(self.applied)))
        if self.role is Role.LEADER and self.me not in self.voters:
            self._follow(self.term, "")

    def _append(self, entries: tuple[Entry, ...], start: int = 0) -> None:
        start = start or self.log.last + 1
        self.log.put(start, entries)
        self._keep(start, entries)

    def _keep(self, start: int = 0, entries: tuple[Entry, ...] = ()) -> None:
        self._actions.append(
            Keep(self.term, self.vote, start or self.log.last + 1, entries, self.commit)
        )

    def _may_change(self, voters: tuple[str, ...]) -> bool:
        """One voter more or less than now, a new one ready, none of it under way, and this term has
        committed.
        """
        pending = any(e.kind == VOTERS for e in self.log.behind(self.commit))
        step = len(set(voters) ^ set(self.voters)) <= 1
        # one that is not there, or far behind, makes a majority harder to have
        near = self.commit - MOST_ENTRIES
        here = self.heard_within(self._times.patience)
        ready = all(
            p in here and self._match.get(p, 0) >= near for p in set(voters) - set(self.voters)
        )
        return (
            step
            and ready
            and bool(voters)
            and not pending
            and self.log.term_at(self.commit) == self.term
        )

    # Sending

    def _peers(self) -> list[str]:
        return [p for p in sorted({*self.voters, *self.learners}) if p != self.me]

    def _beat(self) -> None:
        self._round += 1
        self._beat_due = self.now + self._times.beat
        self._busy.clear()  # what was lost goes again
        for peer in self._peers():
            self._send_entries(peer)

    def _spread(self) -> None:
        for peer in self._peers():
            if peer not in self._busy:
                self._send_entries(peer)

    def _send_entries(self, peer: str) -> None:
        start, self._told[peer] = self._next.setdefault(peer, self.log.last + 1), self.commit
        if start <= self.log.base:
            log = self.log
            state = Install(
                self.term, self.me, log.base, log.base_term, log.base_voters, log.state, self._round
            )
            self._send(peer, state)
        else:
            entries = self.log.behind(start - 1, MOST_ENTRIES)
            before = self.log.term_at(start - 1)
            self._send(
                peer,
                Append(self.term, self.me, start - 1, before, entries, self.commit, self._round),
            )
            if not entries:
                return
        self._busy[peer] = self._round

    def _answer_reads(self) -> None:
        while self._reads:
            token, index, at = self._reads[0]
            if not self.majority([self.me, *(p for p, r in self._rounds.items() if r >= at)]):
                return
            self._reads.pop(0)
            self._actions.append(ReadAt(token, index))

    def _send(self, to: str, message: Message) -> None:
        self._actions.append(Send(to, message))

    def _say(self) -> None:
        self._actions.append(Became(self.role, self.term, self.leader))

    def _take(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
