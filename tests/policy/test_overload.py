"""What jams a fleet: a worker taken for fast as it was empty, and a start that sees its own flood
too late.
"""

from __future__ import annotations

import random
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

from dockthread.policy import (
    AttemptEnded,
    BackendState,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    Outcome,
    PolicyEngine,
    Reject,
    RequestArrived,
    RequestClass,
    SendAttempt,
    SetTimer,
    TimerFired,
)
from dockthread.policy.latency_estimates import Crowds
from tests.policy.test_many_ingresses import settings

CORES, WORK = 4, 0.3


def entries(workers: int) -> list[Endpoint]:
    return [Endpoint(w, BackendState.READY) for w in range(workers)]


class Queues:
    """Gateways over workers that serve in turn with `CORES` each, and tell what they hold."""

    def __init__(self, gateways: int, workers: int, asked: float, seed: int, **more: Any) -> None:
        self.rng, self.now, self.next = random.Random(seed), 1_000.0, 0
        each = [replace(settings(gateways, n), **more) for n in range(gateways)]
        self.gateways, self.classes = (
            [PolicyEngine(s, seed + s.ingress_number, self.now) for s in each],
            each[0].classes,
        )
        self.due: list[tuple[float, int, str, Any]] = []
        self.held = dict.fromkeys(range(workers), 0)
        self.waiting_requests: dict[int, list[Any]] = {w: [] for w in range(workers)}
        self.asked, self.let_in, self.refused = asked, 0, 0
        for gateway in self.gateways:
            self.tell(gateway, EndpointsListed(EndpointListKind.FULL, tuple(entries(workers))))
        self.at(0.0, "ask", None)

    def at(self, after: float, kind: str, what: Any) -> None:
        self.next += 1
        heappush(self.due, (self.now + after, self.next, kind, what))

    def tell(self, gateway: PolicyEngine, event: Event) -> None:
        for action in gateway.handle(self.now, event):
            if isinstance(action, SetTimer):
                self.at(action.at - self.now, "timer", (gateway, action.token))
            elif isinstance(action, SendAttempt):
                self.let_in += 1
                self.held[action.backend] += 1
                job = (gateway, action.request, action.backend, self.now)
                if self.held[action.backend] <= CORES:
                    self.begin(job)
                else:
                    self.waiting_requests[action.backend].append(job)
            elif isinstance(action, Reject):
                self.refused += 1

    def begin(self, job: Any) -> None:
        self.at(self.rng.expovariate(1 / WORK), "done", job)

    def play(self, until: float) -> None:
        while self.due[0][0] < until:
            self.now, _, kind, what = heappop(self.due)
            if kind == "timer":
                self.tell(what[0], TimerFired(what[1]))
            elif kind == "ask":
                self.at(self.rng.expovariate(self.asked), "ask", None)
                self.next += 1
                asked = RequestArrived(self.next, self.next % len(self.classes), 0, 7, 4.0)
                self.tell(self.rng.choice(self.gateways), asked)
            else:
                gateway, request, worker, sent = what
                self.held[worker] -= 1
                if self.waiting_requests[worker]:
                    self.begin(self.waiting_requests[worker].pop(0))
                load, ok = (float(self.held[worker]), 0.0, 0.0), Outcome.OK
                self.tell(
                    gateway,
                    AttemptEnded(request, 0, worker, ok, True, self.now - sent, load_report=load),
                )


def test_a_worker_that_was_empty_is_not_taken_for_faster_than_one_that_was_full() -> None:
    gateway, now = PolicyEngine(settings(1), 1, 1_000.0), 1_000.0
    came: list[int] = []
    for request in range(246):
        # Alike in speed all the while: first one is full and one empty, in turns, then each by what
        # it is sent.
        both = request >= 206
        listed = (
            entries(2)
            if both
            else [entries(2)[request // 10 % 2 if request < 200 else request % 2]]
        )
        gateway.handle(now, EndpointsListed(EndpointListKind.FULL, tuple(listed)))
        now += 0.05
        asked = RequestArrived(request, 0, 0, 7, 4.0)
        worker = next(a.backend for a in gateway.handle(now, asked) if isinstance(a, SendAttempt))
        held = (
            1.0 * came[-10:].count(worker)
            if both
            else (10.0, 0.0)[worker]
            if request < 200
            else 5.0
        )
        came += [worker] * both
        now += (took := 0.02 * (held + 2))
        load = (held + 1, 0.0, 0.0)
        gateway.handle(
            now, AttemptEnded(request, 0, worker, Outcome.OK, True, took, load_report=load)
        )
    assert 14 <= came.count(0) <= 26, (
        "taken for several times as fast, the one that was empty gets nearly all"
    )


def test_a_pace_is_set_against_how_full_the_worker_was() -> None:
    crowds = Crowds()
    for _ in range(500):
        crowds.met(10.0)
    assert 0.95 < crowds.met(10.0) < 1.05
    assert crowds.met(0.0) < 0.2 < 1.0 < crowds.met(30.0)


def test_a_flood_right_after_a_start_is_seen_before_the_tightest_aim_is_over() -> None:
    fleet = Queues(gateways=1, workers=4, asked=400.0, seed=1)  # the workers bear some 53 a second
    fleet.play(1_001.0)
    assert fleet.refused > 100, "before, none was in the first second, and 400 waited"


def test_cheap_work_is_let_in_on_a_quiet_day_where_work_takes_a_fifth_of_its_aim() -> None:
    cheap = RequestClass(
        latency_objective=1.5, deadline=4.0, priority_weight=0.5, effect=Effect.SAFE
    )
    dear = RequestClass(
        latency_objective=3.0, deadline=8.0, priority_weight=3.0, effect=Effect.UNSAFE
    )
    for classes in ((cheap, dear), (dear, cheap)):
        # they bear some 107 a second
        fleet = Queues(gateways=1, workers=8, asked=20.0, seed=1, classes=classes)
        fleet.play(1_030.0)
        asked = fleet.refused + fleet.let_in
        assert fleet.refused < 0.15 * asked, "half is, nearly all of the cheap class"
