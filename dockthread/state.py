"""What a gateway remembers of requests, workers and customers. Decides nothing."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from dockthread import api
from dockthread.message import Report, Word, whole, worker_code

NEVER = -1e9  # a time long ago


@dataclass(slots=True)
class Attempt:
    worker: int
    sent: float
    out: bool = True
    late: bool = False
    may_have_run: bool = True


@dataclass(slots=True)
class Call:
    ask: api.RequestArrived
    rules: api.RequestClass
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)

    def ran(self) -> Attempt | None:
        return next((a for a in self.attempts if a.may_have_run), None)


class Worker:
    def __init__(self, entry: api.WorkerEntry) -> None:
        self.entry, self.ready, self.out = entry, True, 0  # attempts out that are not late
        self.code = worker_code(entry.worker)  # in messages
        self.failed = 0.0  # decayed part of its outcomes that were failures or missing, here or at a peer
        self.answered = NEVER
        self.full_for = 0.0
        self.full_until: dict[int, float] = {}  # by plan


class Customer:
    def __init__(self, plan: int, level: float, now: float, born: float) -> None:
        self.plan, self.level, self.seen = plan, level, now  # units left in its store, as far as known here
        self.ceiling, self.ceiling_at = 0.0, born
        self.first, self.spread, self.keeper, self.out = 0, 1, -1, 0
        self.rate = 0.0  # of the arrivals known here: its own and, as keeper, those reported
        self.arrived = self.spent = 0.0  # units, ever: asked for and let in here
        self.reported, self.told_spent = NEVER, 0.0  # last report, and what it said was spent
        self.word, self.total, self.others = NEVER, 0.0, 0  # keeper's: rate of all, out elsewhere
        self.mood, self.mood_at = 1.0, NEVER  # as keeper: the chance last told to all
        self.told: dict[int, tuple[int, int, int]] = {}  # by peer: its life, arrived, spent
        self.outs: dict[int, tuple[float, int]] = {}  # by peer: when, attempts out

    def word_of(self, key: int) -> Word:
        return Word(key, self.plan, self.out + sum(n for _, n in self.outs.values()), self.rate, self.level)

    def report_of(self, key: int) -> Report:
        """Sums, not differences: what is lost is healed by the next report."""
        self.told_spent, sums = self.spent, (whole(self.arrived), whole(self.spent))
        return Report(key, self.plan, self.out, self.first, self.spread, *sums, self.level)


class Memory:
    """All that one gateway remembers, and its timers."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.s, self.me, self.now, self.born = settings, settings.number, now, now
        self.rng = random.Random(seed)
        self.started = False
        self.actions: list[api.Action] = []
        self.calls: dict[int, Call] = {}
        self.streaming: set[int] = set()  # requests whose answer has begun: the client's from then on
        self.held: dict[int, None] = {}  # requests for which there is no worker now
        self.owner: dict[tuple[int, int], int] = {}  # customers of the attempts out
        self.workers: dict[int, Worker] = {}
        self.codes: dict[bytes, Worker] = {}
        self.pool: tuple[list[Worker], list[float]] = ([], [])  # to draw from, with summed chances
        self.warm = False  # whether there is a warm worker
        self.slow, self.out, self.done = 0.0, 0, 0.0  # answer time of late, attempts out, answers of late
        self.customers: dict[int, Customer] = {}
        self.short: dict[int, None] = {}  # customers kept here that are not let in freely
        self.mail: dict[int, dict[int, bool]] = {}  # by peer: customers to tell of, and whether as keeper
        self.mailing, self.mailed, self.heard = False, now, now
        self.owed: dict[int, int] = {}  # by peer: messages to it since its last one
        self.silent: dict[int, float] = {}  # by peer: until when others keep its customers
        self.lives: dict[int, int] = {}  # a peer's mark of its present life
        self.life = self.rng.randrange(256)
        self.token = 0
        self.timers: dict[int, tuple[Callable[..., None], tuple[int, ...]]] = {}

    def carry(self, worker: Worker, more: int) -> None:
        worker.out, self.out = worker.out + more, self.out + more

    def timer(self, at: float, then: Callable[..., None], *about: int) -> None:
        self.token = self.token % 0xFFFFFFFF + 1
        self.timers[self.token] = (then, about)
        self.actions.append(api.SetTimer(at, self.token))

    def fired(self, event: api.TimerFired) -> None:
        if timer := self.timers.pop(event.token, None):
            timer[0](*timer[1])
