"""Drive policy engines by hand: settings, a manual clock, and helpers that the tests share."""

from __future__ import annotations

import random
from dataclasses import replace

from dockthread.policy import (
    Action,
    AddToCounter,
    AttemptEnded,
    BackendState,
    CancelAttempt,
    CounterReplied,
    DeduplicationScope,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    Fail,
    GossipReceived,
    Outcome,
    Plan,
    PolicySettings,
    Reject,
    RequestArrived,
    RequestClass,
    SafetyLimits,
    SendAttempt,
    SendGossip,
    SetTimer,
    TimerFired,
    engine,
    gossip_codec,
)

SAFE, KEYED, UNSAFE = 0, 1, 2
CLASSES = (
    RequestClass(1.0, 4.0, priority_weight=1, effect=Effect.SAFE),
    RequestClass(
        1.0,
        4.0,
        priority_weight=1,
        effect=Effect.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=3.0,
    ),
    RequestClass(1.0, 4.0, priority_weight=5, effect=Effect.UNSAFE),
)
OPEN, RATE, CEILING = 0, 1, 2
PLANS = (
    Plan(),
    Plan(rate=2.0, burst=8.0, over_quota_cost=1.0),
    Plan(rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=16.0, ceiling_slack=2.0),
    Plan(max_in_flight=2),
)
BASE = PolicySettings(
    ingress_number=0,
    ingress_count=2,
    classes=CLASSES,
    plans=PLANS,
    safety=SafetyLimits(0.01, 0.5, 0.3, 10.0, 2.5, 2.0),
    max_attempts=3,
    may_hedge=True,
    may_cancel=True,
    may_gossip=True,
)


class Drive:
    """One gateway under a clock; its timers fire, and what it does is noted."""

    def __init__(self, s: PolicySettings = BASE, workers: int = 3, seed: int = 1) -> None:
        self.now, self.next = 100.0, 0
        self.gateway = engine.PolicyEngine(s, seed, self.now)
        self.timers: list[tuple[float, int]] = []
        self.sent: dict[int, list[SendAttempt]] = {}
        self.final: dict[int, list[str]] = {}
        self.told: list[SendGossip] = []
        self.cancelled: list[tuple[int, int]] = []
        self.numbers: dict[int, float] = {}  # on a counter of its own
        self.listed(*(entry(n) for n in range(workers)), kind=EndpointListKind.CACHED)

    def give(self, event: Event) -> list[Action]:
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            match action:
                case SendAttempt():
                    self.sent.setdefault(action.request, []).append(action)
                case Reject():
                    self.final.setdefault(action.request, []).append("refused")
                case Fail():
                    self.final.setdefault(action.request, []).append("failed")
                case SetTimer():
                    self.timers.append((action.at, action.token))
                case SendGossip():
                    self.told.append(action)
                case CancelAttempt():
                    self.cancelled.append((action.request, action.attempt))
        return actions

    def listed(self, *entries: Endpoint, kind: EndpointListKind = EndpointListKind.CHANGES) -> None:
        self.give(EndpointsListed(kind, entries))

    def ask(self, cls: int = SAFE, plan: int = OPEN, customer: int = 7, **more: float) -> int:
        self.next += 1
        spread = int(more.pop("spread", 1))
        left, units, first = (
            more.get("left", 4.0),
            more.get("units", 1.0),
            int(more.get("first", 0)),
        )
        self.give(RequestArrived(self.next, cls, plan, customer, left, units, spread, first))
        return self.next

    def end(
        self,
        request: int,
        attempt: int,
        outcome: Outcome,
        true_units: float = 0.0,
        took: float = 0.1,
    ) -> None:
        send = self.sent[request][attempt]
        ok = outcome is Outcome.OK
        if ok:
            self.final.setdefault(request, []).append("served")
        done = bool(self.final.get(request))
        self.give(AttemptEnded(request, attempt, send.backend, outcome, done, took, true_units))

    def run(self, until: float) -> None:
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.give(TimerFired(due[0][1]))
        self.now = until

    def let_in(self, request: int) -> bool:
        return request in self.sent


def entry(
    n: int, state: BackendState = BackendState.READY, started: float = 0.0, cell: int = 0
) -> Endpoint:
    return Endpoint(1000 + n, state, 0, 0, cell, 1.0, started)


def heavy(drive: Drive, seconds: float, rate: float, spread: int = 1, told: object = None) -> float:
    """Units a second let in of a customer that asks for `rate` units a second."""
    passed, start = 0, drive.now
    while drive.now < start + seconds:
        drive.run(drive.now + 1 / rate)
        if callable(told):
            told()
        request = drive.ask(UNSAFE, RATE, spread=spread)
        if drive.let_in(request):
            passed += 1
            drive.end(request, 0, Outcome.OK)
    return passed / seconds


def exchange(drives: list[Drive], lost: random.Random | None = None) -> None:
    """Hand over what was told since the last time, but for one in five where some are lost."""
    for number, drive in enumerate(drives):
        told, drive.told = drive.told, []
        for tell in told:
            if lost is None or lost.random() > 0.2:
                assert tell.peer is not None
                drives[tell.peer].give(GossipReceived(number, tell.data))


def fleet(count: int, **more: object) -> list[Drive]:
    s = replace(BASE, ingress_count=count, **more)  # type: ignore[arg-type]
    return [Drive(replace(s, ingress_number=n), seed=n + 1) for n in range(count)]


def spread_out(
    drives: list[Drive], seconds: float, rate: float, lost: random.Random | None = None
) -> float:
    """Units a second let in of a customer whose requests come to all gateways in turn."""
    passed, rng, start = 0, random.Random(5), drives[0].now
    while drives[0].now < start + seconds:
        for drive in drives:
            drive.run(drive.now + 1 / rate)
        exchange(drives, lost)
        drive = rng.choice(drives)
        request = drive.ask(UNSAFE, RATE, spread=len(drives))
        if drive.let_in(request):
            passed += 1
            drive.end(request, 0, Outcome.OK)
    return passed / seconds


def silence(drive: Drive, worker: int, count: int) -> None:
    """All workers answer at once, but one never does."""
    for _ in range(count):
        request = drive.ask(SAFE)
        for number, send in enumerate(list(drive.sent[request])):
            if send.backend != worker:
                drive.end(request, number, Outcome.OK)
        drive.run(drive.now + 0.2)


def report(
    key: int, plan: int, arrived: float, spent: float, left: float, out: int = 0, life: int = 1
) -> bytes:
    sums = gossip_codec.whole(arrived), gossip_codec.whole(spent)
    return gossip_codec.pack(life, [], [gossip_codec.Report(key, plan, out, *sums, left)])


SHARED = replace(BASE, may_gossip=False, may_use_counter=True, usage_report_period=1.0)


def counts(actions: list[Action]) -> list[AddToCounter]:
    return [a for a in actions if isinstance(a, AddToCounter)]


def total(drive: Drive, call: AddToCounter, others: float = 0.0) -> CounterReplied:
    """The counter's answer to a call, after what the others added."""
    drive.numbers[call.name] = drive.numbers.get(call.name, 0.0) + call.amount + others
    return CounterReplied(call.name, Outcome.OK, drive.numbers[call.name])


def settle(drive: Drive, called: list[AddToCounter], others: float = 0.0) -> None:
    """Answer these calls and all that follow; the others' units come before the first."""
    while called:
        called += counts(drive.give(total(drive, called.pop(0), others)))
        others = 0.0


def spend(drive: Drive, most: int = 30) -> tuple[int, AddToCounter]:
    """Ask until what the others let in decides; the request then held, and the call. All before is
    answered.
    """
    for _ in range(most):
        drive.next, drive.now = drive.next + 1, drive.now + 0.01
        asked = RequestArrived(drive.next, SAFE, RATE, 7, 4.0, 1.0, 2, 0)
        called = counts(drive.give(asked))
        if called and not drive.sent.get(drive.next):
            return drive.next, called[0]
        settle(drive, called)
    raise AssertionError("the counter was never asked")


REPORTS = replace(
    BASE, ingress_count=1, load_report_fields=("rif", "rate", "q"), has_load_reports=True
)


def answered(drive: Drive, request: int, load: tuple[float, ...], took: float = 0.1) -> None:
    send = drive.sent[request][0]
    ended = AttemptEnded(request, 0, send.backend, Outcome.OK, True, took, 0.0, None, load)
    drive.give(ended)


def chosen(
    drive: Drive, load: dict[int, float], took: dict[int, float], many: int = 300
) -> dict[int, int]:
    """How many requests each worker was sent, while each tells its load and takes its time."""
    sent = dict.fromkeys(load, 0)
    for n in range(many):
        request = drive.ask()
        worker = drive.sent[request][0].backend
        sent[worker] += 1
        answered(drive, request, (load[worker] + n % 2 * 0.1, 10.0, 0.0), took[worker])
        drive.run(drive.now + 0.05)
    return sent
