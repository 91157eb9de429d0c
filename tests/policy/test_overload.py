"""Overload: idle backends that seem fast, overload after a start, and rejections at low load."""

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
from dockthread.policy.latency_estimates import ConcurrencyEstimate
from tests.policy.test_many_ingresses import fleet_settings

BACKEND_CORES = 4
MEAN_SERVICE_TIME = 0.3  # s


def ready_endpoints(backends: int) -> list[Endpoint]:
    return [Endpoint(backend, BackendState.READY) for backend in range(backends)]


class QueueingFleet:
    """Simulates ingresses, and backends with a queue and `BACKEND_CORES` workers each.

    Responses carry load reports.
    """

    def __init__(
        self, engines: int, backends: int, request_rate: float, seed: int, **overrides: Any
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 1_000.0
        self.last_number = 0
        all_settings = [
            replace(fleet_settings(engines, number), **overrides) for number in range(engines)
        ]
        self.engines = [
            PolicyEngine(settings, seed + settings.ingress_number, self.now)
            for settings in all_settings
        ]
        self.classes = all_settings[0].classes
        self.pending_events: list[tuple[float, int, str, Any]] = []
        self.in_flight = dict.fromkeys(range(backends), 0)
        self.waiting: dict[int, list[Any]] = {backend: [] for backend in range(backends)}
        self.request_rate = request_rate  # requests/s over all ingresses
        self.attempts_sent = 0
        self.requests_rejected = 0
        for engine in self.engines:
            self.deliver(
                engine, EndpointsListed(EndpointListKind.FULL, tuple(ready_endpoints(backends)))
            )
        self.schedule(0.0, "ask", None)

    def schedule(self, delay: float, kind: str, payload: Any) -> None:
        self.last_number += 1
        heappush(self.pending_events, (self.now + delay, self.last_number, kind, payload))

    def deliver(self, engine: PolicyEngine, event: Event) -> None:
        for action in engine.handle(self.now, event):
            if isinstance(action, SetTimer):
                self.schedule(action.at - self.now, "timer", (engine, action.token))
            elif isinstance(action, SendAttempt):
                self.attempts_sent += 1
                self.in_flight[action.backend] += 1
                job = (engine, action.request, action.backend, self.now)
                if self.in_flight[action.backend] <= BACKEND_CORES:
                    self.start_service(job)
                else:
                    self.waiting[action.backend].append(job)
            elif isinstance(action, Reject):
                self.requests_rejected += 1

    def start_service(self, job: Any) -> None:
        self.schedule(self.rng.expovariate(1 / MEAN_SERVICE_TIME), "done", job)

    def run_until(self, until: float) -> None:
        while self.pending_events[0][0] < until:
            self.now, _, kind, payload = heappop(self.pending_events)
            if kind == "timer":
                self.deliver(payload[0], TimerFired(payload[1]))
            elif kind == "ask":
                self.schedule(self.rng.expovariate(self.request_rate), "ask", None)
                self.last_number += 1
                arrived = RequestArrived(
                    self.last_number, self.last_number % len(self.classes), 0, 7, 4.0
                )
                self.deliver(self.rng.choice(self.engines), arrived)
            else:
                engine, request, backend, sent = payload
                self.in_flight[backend] -= 1
                if self.waiting[backend]:
                    self.start_service(self.waiting[backend].pop(0))
                load, outcome = (float(self.in_flight[backend]), 0.0, 0.0), Outcome.OK
                self.deliver(
                    engine,
                    AttemptEnded(
                        request, 0, backend, outcome, True, self.now - sent, load_report=load
                    ),
                )


def test_a_backend_does_not_count_as_faster_because_it_was_idle() -> None:
    engine, now = PolicyEngine(fleet_settings(1), 1, 1_000.0), 1_000.0
    chosen_backends: list[int] = []
    for request in range(246):
        # Both backends are equally fast throughout. During the first 200 requests one is loaded
        # and the other idle, and they alternate every ten requests. Then both are equally loaded.
        # In the last 40 requests, each backend's load is the number of recent requests sent to it.
        are_both_listed = request >= 206
        listed = (
            ready_endpoints(2)
            if are_both_listed
            else [ready_endpoints(2)[request // 10 % 2 if request < 200 else request % 2]]
        )
        engine.handle(now, EndpointsListed(EndpointListKind.FULL, tuple(listed)))
        now += 0.05
        arrived = RequestArrived(request, 0, 0, 7, 4.0)
        backend = next(a.backend for a in engine.handle(now, arrived) if isinstance(a, SendAttempt))
        in_flight = (
            1.0 * chosen_backends[-10:].count(backend)
            if are_both_listed
            else (10.0, 0.0)[backend]
            if request < 200
            else 5.0
        )
        chosen_backends += [backend] * are_both_listed
        now += (duration := 0.02 * (in_flight + 2))
        load = (in_flight + 1, 0.0, 0.0)
        engine.handle(
            now, AttemptEnded(request, 0, backend, Outcome.OK, True, duration, load_report=load)
        )
    assert 14 <= chosen_backends.count(0) <= 26, (
        "if the backend that was idle counted as several times as fast, it would get nearly all"
    )


def test_relative_concurrency_compares_with_the_usual_concurrency() -> None:
    estimate = ConcurrencyEstimate()
    for _ in range(500):
        estimate.relative_concurrency(10.0)
    assert 0.95 < estimate.relative_concurrency(10.0) < 1.05
    assert estimate.relative_concurrency(0.0) < 0.2 < 1.0 < estimate.relative_concurrency(30.0)


def test_overload_right_after_a_start_causes_rejections_within_the_first_second() -> None:
    # The backends can serve about 53 requests/s.
    fleet = QueueingFleet(engines=1, backends=4, request_rate=400.0, seed=1)
    fleet.run_until(1_001.0)
    assert fleet.requests_rejected > 100, (
        "an earlier version rejected none in the first second, while 400 requests waited"
    )


def test_low_priority_requests_are_admitted_under_light_load() -> None:
    """The mean service time of a request is a fifth of the tighter latency objective."""
    low_priority = RequestClass(
        latency_objective=1.5, deadline=4.0, priority_weight=0.5, effect=Effect.SAFE
    )
    high_priority = RequestClass(
        latency_objective=3.0, deadline=8.0, priority_weight=3.0, effect=Effect.UNSAFE
    )
    for classes in ((low_priority, high_priority), (high_priority, low_priority)):
        # The backends can serve about 107 requests/s.
        fleet = QueueingFleet(engines=1, backends=8, request_rate=20.0, seed=1, classes=classes)
        fleet.run_until(1_030.0)
        requests = fleet.requests_rejected + fleet.attempts_sent
        assert fleet.requests_rejected < 0.15 * requests, (
            "half of the requests are rejected, nearly all of the low-priority class"
        )
