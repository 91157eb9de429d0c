"""What a gateway remembers of requests, workers and customers. Decides nothing."""

from __future__ import annotations

import random
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from dockthread.policy.actions import Action, SetTimer
from dockthread.policy.backend_pool import BackendPool
from dockthread.policy.events import RequestArrived, TimerFired
from dockthread.policy.gossip_codec import CustomerReport, backend_code, encode_units
from dockthread.policy.latency_estimates import KindEstimates, RelativeLatency
from dockthread.policy.model import (
    IDLE_CLOSE_FRACTION,
    BackendState,
    Endpoint,
    Outcome,
    Plan,
    PolicySettings,
    RequestClass,
)
from dockthread.policy.token_bucket import QuotaBucket

NEVER = -1e9  # a time long ago
DOUBLE = 8  # bytes of a figure that is kept packed
# s in which a report's news halves; in which what was smoothed before does
REPORT_HALF, MEAN_HALF = 0.4, 8.0
TIDY, KEPT = 2.0, 30.0  # s between rounds of forgetting; for which a worker that is gone is kept
# of every worker that never turned a request away; never written to
NOT_FULL: dict[int, float] = {}
IDLE, MANY = 120.0, 4096  # s after which customers whom peers may name are forgotten, once so many


@dataclass(slots=True)
class Attempt:
    """One attempt of a request. `sent`: s on the module's clock."""

    worker: int
    sent: float
    crowd: float = 1.0  # how full its worker was held to be when it was sent
    out: bool = True
    late: bool = False
    may_have_run: bool = True
    outcome: Outcome | None = None


@dataclass(slots=True)
class Call:
    """One request that is not finished."""

    ask: RequestArrived
    rules: RequestClass
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    timed: bool = False  # its deadline has a timer

    def ran(self) -> Attempt | None:
        """The first attempt that may have run; None where there is none."""
        return next((a for a in self.attempts if a.may_have_run), None)


class Worker:
    """One listed worker. There may be tens of thousands: what most never have is made when it is
    first needed.
    """

    __slots__ = (
        "_failed", "_report", "_times", "answered", "entry", "fresh", "full_for", "full_until", "gone", "kind",
        "others", "others_mean", "out", "place", "pool", "ready", "report_at", "spare", "spare_at",
    )  # fmt: skip

    def __init__(self, entry: Endpoint, kind: KindEstimates, pool: BackendPool) -> None:
        self.kind = kind  # what is known of its kind
        self.pool, self.place = pool, -1
        self.entry, self.ready, self.out = entry, False, 0  # attempts out, late ones too
        self.gone = inf  # since when it is not listed
        self._report = b""
        self._clear()
        self.fresh = bool(
            entry.started_at
        )  # it started not long ago: empty, until it says otherwise

    def _clear(self) -> None:
        self._failed, self.answered, self.full_for = 0.0, NEVER, 0.0
        self.full_until = NOT_FULL  # by plan
        self._times: RelativeLatency | None = None
        # connections left idle by its answers, and when the last was
        self.spare, self.spare_at = 0, NEVER
        self.report_at = NEVER
        self.others, self.others_mean = 0.0, 0.0  # other gateways' requests, by it and smoothed

    @property
    def code(self) -> bytes:
        """In messages."""
        return backend_code(self.entry.backend)

    @property
    def failed(self) -> float:
        """Decayed part of its outcomes that were failures or missing, here or at a peer."""
        return self._failed

    @failed.setter
    def failed(self, part: float) -> None:
        self._failed = part
        if part and self.place >= 0:
            self.pool.failing[self.entry.backend] = self

    @property
    def report(self) -> tuple[float, ...]:
        """The last load report, known since `report_at`. It is kept packed: as floats it takes
        thrice as much.
        """
        return struct.unpack(f"{len(self._report) // DOUBLE}d", self._report)

    def fade(self, part: float, least: float) -> None:
        """This part is left of its failures; below `least` none."""
        self._failed *= part
        if self._failed < least:
            self._failed = 0.0

    @property
    def pace(self) -> float:
        """Answer time, in usual ones of its class."""
        return (
            self.kind.relative_latency if self._times is None else self._times.estimate(self.kind)
        )

    def took(self, pace: float) -> None:
        """An answer's time, in usual ones of its class."""
        if self._times is None:
            self._times = RelativeLatency(self.pool.decay_rounds)
        self._times.add_sample(pace)
        self.kind.add_latency(pace)

    def full(self, plan: int, until: float) -> None:
        """It has no room for a plan."""
        if self.full_until is NOT_FULL:
            self.full_until = {}
        self.full_until[plan] = until

    def hear(self, report: tuple[float, ...], others: float | None, now: float) -> None:
        """Take over a new load report, that tells of `others` here; None where it tells nothing."""
        if others is not None:
            gap, self.report_at = now - self.report_at, now
            self._report = struct.pack(f"{len(report)}d", *report)
            self.others = others
            # By time, not by report: where they are seldom, one says as much as many do.
            self.others_mean += (1 - 0.5 ** (gap / MEAN_HALF)) * (self.others - self.others_mean)
            self.kind.add_load(self.others)

    def load(self, now: float) -> float:
        """Requests there: the own ones out, and others by a report that says the less, the older it
        is.
        """
        if self.report_at == NEVER:  # else those not met yet would draw all
            return self.out + (0.0 if self.fresh else self.kind.remote_requests)
        weight: float = 0.5 ** ((now - self.report_at) / REPORT_HALF)
        return self.out + self.others_mean + weight * (self.others - self.others_mean)

    def linked(self, since: float) -> bool:
        """Whether a connection should stand idle there, left since then."""
        return self.spare > 0 and self.spare_at > since

    def take_link(self, since: float) -> None:
        """An attempt goes over an idle connection; those left before `since` are closed by now."""
        self.spare = self.spare - 1 if self.linked(since) else 0

    def renew(self) -> None:
        """A new process: what was known of the old one is void."""
        self._clear()
        self.fresh = True


class Customer:
    """What is known of one customer here."""

    def __init__(self, number: int, plan: Plan, now: float, born: float) -> None:
        self.plan = number
        self.store = QuotaBucket(plan.rate, plan.burst, now)  # of its quota, as far as known here
        self.ceiling, self.ceiling_at = 0.0, born
        self.first, self.spread, self.out = 0, 1, 0
        self.rate = 0.0  # of the arrivals here
        self.arrived = self.spent = 0.0  # units, ever: asked for and let in here
        self.told: dict[int, tuple[int, int, int]] = {}  # by peer: its life, arrived, spent
        self.outs: dict[int, tuple[float, int]] = {}  # by peer: when, attempts out
        self.told_at = NEVER  # the last message of a peer that spoke of it
        # then: decayed rates of what the others were asked for, and let in
        self.asked = self.spending = 0.0
        self.own, self.own_at = 0.0, NEVER  # decayed rate of what was let in here, at the last time
        self.unsaid = 0.0  # units let in that the counter was not told
        # the call out: its epoch's start, units, lift
        self.calling: tuple[float, float, float] | None = None
        # what the counter's number lacks in this moment, if no call took it along yet
        self.due = 0.0
        self.lift = 0.0  # what is to be added to it for that, or taken back
        self.heard = NEVER  # when its number was last told
        self.rest = 0.0  # decayed rate of what the others let in, by the counter
        # the meter's last word: use by all, as a part of the quota
        self.used, self.used_at = 0.0, NEVER
        self.waiting: list[int] = []  # requests held for the counter's answer

    def spent_none(self, plan: Plan, now: float) -> bool:
        """Whether a new one in its place would be known as much."""
        idle, gap = now - self.store.updated_at, now - self.ceiling_at
        if self.out or self.waiting or self.calling or idle * plan.rate < plan.burst:
            return False
        return plan.ceiling_rate * gap >= plan.ceiling_burst

    def report_of(self, key: int, now: float) -> CustomerReport:
        """Sums, not differences: what is lost is healed by the next report."""
        return CustomerReport(
            key,
            self.plan,
            self.out,
            encode_units(self.arrived),
            encode_units(self.spent),
            self.store.level_at(now),
        )


class Memory:
    """All that one gateway remembers, and its timers."""

    def __init__(self, settings: PolicySettings, seed: int, now: float) -> None:
        self.s, self.me, self.now, self.born = settings, settings.ingress_number, now, now
        self.rng = random.Random(seed)
        self.started = False
        self.actions: list[Action] = []
        self.why = ""  # the last request was not let in, for whoever counts
        self.calls: dict[int, Call] = {}
        # requests whose answer has begun: the client's from then on
        self.streaming: set[int] = set()
        # requests that waited for their route's limit and are inside now
        self.entering: deque[int] = deque()
        self.held: dict[int, None] = {}  # requests for which there is no worker now
        self.owner: dict[tuple[int, int], int] = {}  # customers of the attempts out
        self.workers: dict[int, Worker] = {}
        self.kinds: dict[int, KindEstimates] = {}  # by the number of the kind
        self.codes: dict[bytes, Worker] = {}
        self.kept = (
            settings.conn_idle * IDLE_CLOSE_FRACTION
        )  # for which a connection may stand idle
        self.leaving: dict[int, Worker] = {}  # those that are not listed any more
        self.pool = BackendPool(self._share, self._warmth)
        # answer time of late; attempts out, not late; answers
        self.slow, self.out, self.done = 0.0, 0, 0.0
        self.tidied = now
        # failed calls to the counter in a row; until when none is made
        self.failures, self.mute = 0.0, NEVER
        self.customers: dict[int, Customer] = {}
        self.unsent: dict[int, dict[int, None]] = {}  # by peer: customers to tell of
        self.gossip_due, self.gossiped_at = False, now
        self.heard: dict[int, float] = {}  # by peer: its last message
        self.sent_at: dict[int, float] = {}  # by peer: the last message to it
        self.lives: dict[int, int] = {}  # a peer's mark of its present life
        self.life = self.rng.randrange(256)
        self.token = 0
        self.timers: dict[int, tuple[Callable[..., None], tuple[int, ...]]] = {}

    def _share(self, w: Worker) -> float:
        raise NotImplementedError

    def _warmth(self, w: Worker) -> float:
        raise NotImplementedError

    def known(self, entry: Endpoint) -> Worker:
        """The worker of an entry, a new one for a number never listed before."""
        if (w := self.workers.get(entry.backend)) is None:
            kind = self.kinds.setdefault(entry.kind, KindEstimates())
            w = self.workers[entry.backend] = Worker(entry, kind, self.pool)
            self.pool.add(w)
            if self.s.may_gossip:
                self.codes[w.code] = w
        return w

    def unlisted(self, entries: tuple[Endpoint, ...]) -> list[Worker]:
        """Workers that a whole list leaves out."""
        listed = {entry.backend for entry in entries}
        return [w for number, w in self.workers.items() if number not in listed]

    def relist(self, w: Worker, entry: Endpoint, state: BackendState) -> None:
        """What is listed of it, and whether it may be drawn from now on, and since when it is
        gone.
        """
        if state is BackendState.REMOVED:
            w.gone = min(w.gone, self.now)
            self.leaving[w.entry.backend] = w
        elif w.gone != inf:
            w.gone = inf
            del self.leaving[w.entry.backend]
        self.pool.update(w, entry, state is BackendState.READY)

    def no(self, why: str) -> bool:
        """Note why a request is not let in; False."""
        self.why = why
        return False

    def carry(self, worker: Worker, more: int) -> None:
        """A worker has as many attempts more out."""
        worker.out, self.out = worker.out + more, self.out + more

    def tidy(self) -> None:
        """Forget workers that are gone, with nothing out, and customers with full stores: else a
        long day of ever new ones fills the memory.
        """
        if self.now - self.tidied < TIDY:
            return
        self.tidied = self.now
        for number, w in list(self.leaving.items()):
            if self.now - w.gone > KEPT and not w.out:
                del self.workers[number], self.leaving[number]
                self.codes.pop(w.code, None)
                self.pool.remove(w)
        if not self.s.may_gossip:
            plans = self.s.plans
            self.customers = {
                k: c for k, c in self.customers.items() if not c.spent_none(plans[c.plan], self.now)
            }
        elif len(self.customers) > MANY:  # those long idle, with full stores, are as good as new
            kept = {
                k: c
                for k, c in self.customers.items()
                if c.store.updated_at > self.now - IDLE or c.out
            }
            self.customers, self.unsent = kept, {}

    def timer(self, at: float, then: Callable[..., None], *about: int) -> None:
        """Call `then` at a time."""
        self.token = self.token % 0xFFFFFFFF + 1
        self.timers[self.token] = (then, about)
        self.actions.append(SetTimer(at, self.token))

    def end_by(self, request: int, call: Call, then: Callable[..., None]) -> None:
        """A timer just before a call's deadline: one, however often it is asked for."""
        if not call.timed:
            call.timed = True
            self.timer(call.deadline - 2 * self.s.clock_tick, then, request)

    def fired(self, event: TimerFired) -> None:
        """A timer's time has come."""
        if timer := self.timers.pop(event.token, None):
            timer[0](*timer[1])
