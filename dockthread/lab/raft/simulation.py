"""Members of an agreement on a simulated network, with simulated disks and clocks: one seed, one
course of events.

Swarm style: each seed turns on a random subset of the faults, so that rare combinations come up.
Whatever is random comes of the seed, and time is the heap's; two runs of one seed write the same
record. A write to disk takes effect whole or not at all; a member may be killed at each, before or
after it. Times in ms. Faults stay within what an agreement can bear: a disk is lost only where a
majority of every set of voters that stands in any log is left.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from typing import Any

from dockthread.lab.raft.checker import Broken, Checker
from dockthread.lab.raft.seeded_defects import CORES
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
from dockthread.raft.core import Agreement
from dockthread.raft.log import Log
from dockthread.raft.messages import COMMAND, VOTERS, Entry, Message, VoteAnswer

FAULTS = (
    "cut", "one-way", "loss", "delay", "double", "crash", "crash-all", "stall", "torn", "forget", "compact", "voters",
    "hand",
)  # fmt: skip
FAULTY, CALM = 20_000.0, 6_000.0  # for which faults happen; in which all has to be well again
ASK_EVERY, FAULT_EVERY = 40.0, 400.0
# chance of a kill at each write, and right after a vote, where `torn` is on
TORN, VOTE_TORN = 0.006, 0.15
SEP = b"\x00"


@dataclass(slots=True)
class Member:
    """One identity: what its disk holds outlives its lives."""

    name: str
    core: Agreement | None = None
    disk: Stored = field(default_factory=Stored)
    unsynced: list[Keep | KeepState] = field(default_factory=list)
    life: int = 0
    seen: list[bytes] = field(default_factory=list)  # commands applied, as its machine knows them
    applied: int = 0
    stalled: bool = False
    gone: bool = False  # for good
    inbox: list[Message] = field(default_factory=list)
    due: float = -1.0


class World:
    def __init__(
        self, seed: int, size: int, plant: str = "", faults: tuple[str, ...] | None = None
    ) -> None:
        self.rng, self.now, self._count = random.Random(seed), 0.0, 0
        self.plant, self._due = (
            plant,
            list[tuple[float, int, Callable[..., None], tuple[Any, ...]]](),
        )
        self.voters = tuple(f"n{i}" for i in range(size))
        self.members = {name: Member(name) for name in self.voters}
        self.checker = Checker(self.voters)
        drawn = tuple(f for f in FAULTS if self.rng.random() < 0.4)
        self.faults = drawn if faults is None else faults
        self.checker.fixed = not {"voters", "forget"} & set(self.faults)
        self.cuts: set[tuple[str, str]] = set()
        self.loss, self.delay, self.double = 0.0, 5.0, 0.0
        self.record: list[str] = []
        self._commands = self._tokens = 0
        self._proposed: list[tuple[int, float, bytes]] = []  # number, when, what

    # Its clock

    def at(self, after: float, then: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heappush(self._due, (self.now + after, self._count, then, args))

    def play(self) -> list[Broken]:
        """The seed's course, to its end or to the first rule that broke."""
        try:
            return self.run()
        except (IndexError, ValueError, KeyError, AssertionError) as error:
            self.checker.broken.append(Broken("crash", self.now, f"the core ends with {error!r}"))
            return self.checker.broken

    def run(self) -> list[Broken]:
        for name in self.voters:
            self._start(self.members[name])
        self.at(ASK_EVERY, self._client)
        self.at(FAULT_EVERY, self._fault)
        self._until(FAULTY)
        self._heal()
        self._until(FAULTY + CALM / 2)
        last = self._commands  # from here on all is well: what is proposed now has to come to all
        self._until(FAULTY + CALM)
        voters = self._newest_voters()
        up = {m.name: m.applied for m in self.members.values() if m.core and m.name in voters}
        done = [c for c in self._proposed if c[0] > last and c[1] <= self.now - CALM / 4]
        self.checker.ended(self.now, done[0][2] if done else b"nothing at all", up)
        return self.checker.broken

    def _until(self, end: float) -> None:
        while self._due and self._due[0][0] <= end and not self.checker.broken:
            self.now, _, then, args = heappop(self._due)
            then(*args)
        self.now = max(self.now, end)

    def _note(self, text: str) -> None:
        self.record.append(f"{self.now:10.3f} {text}")

    # Members

    def _start(self, m: Member) -> None:
        if m.gone or m.core is not None:
            return
        m.life, m.stalled, m.inbox, m.due = m.life + 1, False, [], -1.0
        stored = replace(m.disk, entries=list(m.disk.entries))
        core = CORES.get(self.plant, Agreement)
        rng = random.Random(self.rng.random())
        m.core = core(
            m.name, self.voters if m.name in self.voters else (), stored, Times(), rng, self.now
        )
        self._restored(m, stored.base, stored.state)
        self._note(f"{m.name} starts, term {stored.term}, {m.core.log.last} entries")
        self._tick(m, m.life)

    def _kill(self, m: Member) -> None:
        if m.core is not None:
            self._note(f"{m.name} dies")
            m.core, m.unsynced = None, []

    def _tick(self, m: Member, life: int) -> None:
        if m.core is None or m.life != life or m.stalled:
            return
        if m.core.due() <= self.now:
            self._do(m, m.core.tick(self.now))
        if m.core is not None and m.life == life and m.due <= self.now:
            m.due = max(m.core.due(), self.now + 1.0)
            self.at(m.due - self.now, self._tick, m, life)

    def _do(self, m: Member, actions: list[Action]) -> None:
        life = m.life
        if self.plant == "sent-before-kept":
            actions = sorted(actions, key=lambda a: not isinstance(a, Send))
        for action in actions:
            if m.core is None or m.life != life:
                return
            match action:
                case Keep() | KeepState():
                    self._write(m, action)
                case Send(to, message):
                    if isinstance(message, VoteAnswer) and message.granted and not message.pre:
                        self.checker.voted(self.now, m.name, message.term, to)
                    self._send(m.name, to, message)
                    if (
                        isinstance(message, VoteAnswer)
                        and not message.pre
                        and self._torn_now(VOTE_TORN)
                    ):
                        self._die_at_a_write(m)
                case Apply(index, entry):
                    self._applied(m, index, entry)
                case Restore(index, state):
                    self._restored(m, index, state)
                case ReadAt(token, index):
                    self.checker.answered(self.now, m.name, token, index)
                case Became(role, term, _):
                    self._note(f"{m.name} is {role.value} in term {term}")
                    if role is Role.LEADER:
                        self.checker.led(self.now, m.name, term)
        if m.core is not None and m.core.due() < m.due:
            m.due = max(m.core.due(), self.now)
            self.at(m.due - self.now, self._tick, m, m.life)

    def _applied(self, m: Member, index: int, entry: Entry) -> None:
        told = (entry.term, entry.data if entry.kind == COMMAND else b"")
        disks = {
            o.name: {o.disk.base + 1 + i: e.term for i, e in enumerate(o.disk.entries)}
            for o in self.members.values()
        } if index not in self.checker.log and self.checker.fixed else {}  # fmt: skip
        self.checker.applied(self.now, m.name, m.life, index, told, disks)
        m.applied, m.seen = index, [*m.seen, told[1]] if told[1] else m.seen
        self._note(f"{m.name} applies {index} {told}")

    def _restored(self, m: Member, index: int, state: bytes) -> None:
        m.applied, m.seen = index, [c for c in state.split(SEP) if c]
        self.checker.restored(self.now, m.name, m.life, index, tuple(m.seen))

    def _state(self, m: Member) -> bytes:
        return SEP.join(m.seen)

    def _write(self, m: Member, what: Keep | KeepState) -> None:
        torn = self._torn_now(TORN)
        if torn and self.rng.random() < 0.5:  # killed before it took effect
            self._die_at_a_write(m)
            return
        m.unsynced.append(what)
        if self.plant != "fsync-left-out" or self.rng.random() < 0.3:
            for one in m.unsynced:
                self._sync(m, one)
            m.unsynced = []
        if torn:
            self._die_at_a_write(m)

    def _torn_now(self, chance: float) -> bool:
        return "torn" in self.faults and self.now < FAULTY and self.rng.random() < chance

    def _die_at_a_write(self, m: Member) -> None:
        self._kill(m)
        self.at(self.rng.choice((2.0, 20.0, 2000.0)) * self.rng.random(), self._start, m)

    def _sync(self, m: Member, what: Keep | KeepState) -> None:
        if isinstance(what, Keep):
            self.checker.kept(self.now, m.name, what.term)
            m.disk.keep(what)
        else:
            m.disk.keep_state(what)

    # The network

    def _send(self, sender: str, to: str, message: Message) -> None:
        if to not in self.members or (sender, to) in self.cuts or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.double)):
            self.at(
                self.rng.uniform(0.2, 1.0) + self.rng.expovariate(1 / self.delay),
                self._arrive,
                to,
                message,
            )

    def _arrive(self, to: str, message: Message) -> None:
        m = self.members[to]
        if m.core is None:
            return
        if m.stalled:
            m.inbox.append(message)
        else:
            self._do(m, m.core.heard(self.now, message))

    # Who asks

    def _client(self) -> None:
        self.at(self.rng.uniform(0.5, 1.5) * ASK_EVERY, self._client)
        leaders = self._leaders()
        if not leaders:
            return
        m, core = self.rng.choice(leaders)
        if self.rng.random() < 0.3:
            self._tokens += 1
            self.checker.asked(self._tokens)
            _, actions = core.read(self.now, self._tokens)
        else:
            self._commands += 1
            data = b"c%d" % self._commands
            self._proposed.append((self._commands, self.now, data))
            _, actions = core.propose(self.now, data)
        self._do(m, actions)

    def _leaders(self) -> list[tuple[Member, Agreement]]:
        """All that believe they lead and are not held still."""
        up = [(m, m.core) for m in self.members.values() if m.core is not None and not m.stalled]
        return [(m, core) for m, core in up if core.role is Role.LEADER]

    def _newest_voters(self) -> tuple[str, ...]:
        up = [m for m in self.members.values() if m.core is not None]
        best = max(up, key=lambda m: m.applied, default=None)
        return (
            best.core.log.voters_at(best.applied)
            if best is not None and best.core is not None
            else ()
        )

    # Faults

    def _fault(self) -> None:
        if self.now >= FAULTY:
            return
        self.at(self.rng.expovariate(1 / FAULT_EVERY), self._fault)
        if self.faults:
            kind = self.rng.choice(self.faults)
            self._note(f"fault {kind}")
            if kind != "torn":  # those kills come at writes
                getattr(self, "_" + kind.replace("-", "_"))()

    def _some(self) -> Member | None:
        up = [m for m in self.members.values() if m.core is not None]
        return self.rng.choice(up) if up else None

    def _cut(self) -> None:
        names = list(self.members)
        side = (
            set(self.rng.sample(names, self.rng.randrange(1, len(names))))
            if len(names) > 1
            else set()
        )
        self.cuts = {(a, b) for a in names for b in names if (a in side) != (b in side)}
        self.at(self.rng.uniform(200, 4000), self.cuts.clear)

    def _one_way(self) -> None:
        names = list(self.members)
        cut = {(a, b) for a in names for b in names if a != b and self.rng.random() < 0.3}
        self.cuts |= cut
        self.at(self.rng.uniform(200, 4000), self.cuts.difference_update, cut)

    def _loss(self) -> None:
        self.loss = self.rng.choice((0.0, 0.1, 0.3, 0.6))

    def _delay(self) -> None:
        self.delay = self.rng.choice((1.0, 5.0, 50.0, 200.0))

    def _double(self) -> None:
        self.double = self.rng.choice((0.0, 0.3))

    def _crash(self) -> None:
        if m := self._some():
            self._kill(m)
            self.at(self.rng.uniform(10, 3000), self._start, m)

    def _crash_all(self) -> None:
        for m in list(self.members.values()):
            self._kill(m)
            self.at(self.rng.uniform(10, 1500), self._start, m)

    def _stall(self) -> None:
        if (m := self._some()) and not m.stalled:
            m.stalled = True
            self.at(self.rng.uniform(100, 5000), self._go_on, m, m.life)

    def _go_on(self, m: Member, life: int) -> None:
        if m.life != life or not m.stalled or m.core is None:
            return
        m.stalled, inbox, m.inbox = False, m.inbox, []
        for message in inbox:
            self._arrive(m.name, message)
        m.due = self.now
        self._tick(m, life)

    def _forget(self) -> None:
        """One loses its disk. It comes back as another, without a vote until the majority took it
        in.
        """
        m = self._some()
        if m is None or not self._spare(m.name):
            return
        self._kill(m)
        if self.plant == "same-name-without-memory":
            m.disk = Stored()
            self.at(self.rng.uniform(10, 500), self._start, m)
            return
        m.gone = True
        new = Member(f"{m.name.split('.')[0]}.{len(self.members)}")
        self.members[new.name] = new
        self.at(self.rng.uniform(10, 500), self._start, new)
        self.at(600.0, self._replace, m.name, new.name)

    def _spare(self, name: str) -> bool:
        """Whether every set of voters in any log keeps a majority without this one and has lost
        none before.
        """
        logs = [
            m.core.log if m.core else Log(m.disk, ()) for m in self.members.values() if not m.gone
        ]
        sets = {log.voters_at(log.last) for log in logs}
        left = {m.name for m in self.members.values() if not m.gone} - {name}
        lost = {m.name for m in self.members.values() if m.gone}
        return all(2 * len(left & set(v)) > len(v) and not lost & set(v) for v in sets if v)

    def _replace(self, old: str, new: str) -> None:
        """Staff ask whoever leads to take the new one in and the old one out, one change at a
        time.
        """
        voters = self._newest_voters()
        if new in voters and old not in voters:
            return
        self.at(400.0, self._replace, old, new)
        for m, core in self._leaders():
            core.learners.add(new)
            now = set(core.voters)
            self._change(m, core, now - {old} if new in now else now | {new})

    def _change(self, m: Member, core: Agreement, wanted: set[str]) -> None:
        _, actions = core.propose(self.now, " ".join(sorted(wanted)).encode(), VOTERS)
        self._do(m, actions)

    def _voters(self) -> None:
        """One voter less, or one of those that are up more."""
        for m, core in self._leaders():
            now = set(core.voters)
            if any(self.members[name].gone for name in now):
                continue  # first what is lost is replaced
            out = [
                x.name for x in self.members.values() if x.core is not None and x.name not in now
            ]
            less = len(now) > 3 or (len(now) > 2 and not out)
            change = {self.rng.choice(sorted(now))} if less else set(out[:1])
            if self.plant == "many-changes-at-once":
                change = set(self.rng.sample(sorted(self.members), 2))
            if now ^ change:
                self._change(m, core, now ^ change)

    def _compact(self) -> None:
        for m in list(self.members.values()):
            if m.core is not None and not m.stalled and self.rng.random() < 0.5:
                self._do(m, m.core.compact(m.applied, self._state(m)))

    def _hand(self) -> None:
        for m, core in self._leaders():
            self._do(m, core.hand_over(self.now))

    def _heal(self) -> None:
        self._note("all faults end")
        self.cuts.clear()
        self.loss, self.delay, self.double = 0.0, 5.0, 0.0
        for m in list(self.members.values()):
            if m.stalled:
                self._go_on(m, m.life)
            self._start(m)
