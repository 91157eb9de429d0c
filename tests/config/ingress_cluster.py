"""Simulates several ingresses with backends, a quota counter and gossip under one clock.

Times are in seconds.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from dockthread.policy import (
    Action,
    AddToCounter,
    AttemptEnded,
    BackendState,
    CounterReplied,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    Fail,
    GossipReceived,
    Outcome,
    PolicyEngine,
    PolicySettings,
    Reject,
    RequestArrived,
    SendAttempt,
    SendGossip,
    SetTimer,
    TimerFired,
)

START = 1000.0
BACKEND_COUNT = 6
FIRST_BACKEND_NUMBER = 100
CUSTOMER_NUMBER = 7
MEAN_SERVICE_TIME = 0.06
COUNTER_DELAY = 0.002
GOSSIP_DELAYS = (0.001, 0.014)
REPORTED_LOAD = 0.4

# A backend reports a customer's usage over this period.
USAGE_WINDOW = 1.0
# The reported period ended this long before the report.
USAGE_REPORT_AGE = 0.5


@dataclass(frozen=True, slots=True)
class RequestKey:
    """Identifies a request in the cluster by the numbers of its ingress and of the request."""

    ingress: int
    request: int


@dataclass(frozen=True, slots=True)
class FirstAttempt:
    """The time when the first attempt of a request was sent, and the request's units."""

    sent_at: float
    units: float


class IngressCluster:
    """Several ingresses that serve one customer.

    Attributes:
        now: The simulated time.
        engines: The policy engines, by the number of their ingress.
        attempted_backends: The backend of each attempt, in sending order.
        first_attempts: The first attempt of each request that was admitted.
        answers: The final answers of each request; more than one is an error of the engine.
    """

    def __init__(
        self,
        settings: PolicySettings,
        seed: int,
        gossip_loss: float = 0.06,
        backends_answer: bool = True,
    ) -> None:
        self.now = START
        self.random = random.Random(seed)
        self.attempted_backends: list[int] = []
        self.first_attempts: dict[RequestKey, FirstAttempt] = {}
        self.answers: dict[RequestKey, list[str]] = {}
        self._gossip_loss = gossip_loss
        self._backends_answer = backends_answer
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._last_sequence_number = 0  # the last number given to a request or a scheduled callback
        self._counter_totals: dict[int, float] = defaultdict(float)
        self._units: dict[RequestKey, float] = {}
        self.engines = [
            PolicyEngine(replace(settings, ingress_number=number), seed * 31 + number, self.now)
            for number in range(settings.ingress_count)
        ]
        endpoints = tuple(
            Endpoint(
                FIRST_BACKEND_NUMBER + number, BackendState.READY, number % 2, 0, number % 2, 1.0
            )
            for number in range(BACKEND_COUNT)
        )
        for ingress in range(settings.ingress_count):
            self.handle(ingress, EndpointsListed(EndpointListKind.CACHED, endpoints))

    def run_until(self, until: float) -> None:
        """Advance the clock to `until` and run all callbacks that are due by then."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now = until

    def handle(self, ingress: int, event: Event) -> None:
        """Pass an event to an ingress's policy engine and execute the returned actions."""
        for action in self.engines[ingress].handle(self.now, event):
            self._carry_out(ingress, action)

    def request(self, ingress: int, units: float, request_class: int, spread: int) -> None:
        """Send a request to an ingress, from a customer that uses `spread` ingresses."""
        self._last_sequence_number += 1
        key = RequestKey(ingress, self._last_sequence_number)
        self.answers[key] = []
        self._units[key] = units
        deadline = 4 * self.engines[ingress].settings.classes[request_class].latency_objective
        arrival_event = RequestArrived(
            key.request, request_class, 0, CUSTOMER_NUMBER, deadline, units, spread, 0
        )
        self.handle(ingress, arrival_event)

    def admitted_units(self) -> float:
        """Return the total units of all admitted requests."""
        return sum(attempt.units for attempt in self.first_attempts.values())

    def _schedule(self, due_at: float, callback: Callable[[], None]) -> None:
        self._last_sequence_number += 1
        heapq.heappush(self._scheduled, (due_at, self._last_sequence_number, callback))

    def _carry_out(self, ingress: int, action: Action) -> None:
        match action:
            case SendAttempt(request, backend):
                self._send_attempt(RequestKey(ingress, request), backend)
            case Reject(request) | Fail(request):
                self.answers[RequestKey(ingress, request)].append("no")
            case SetTimer(at, token):
                self._schedule(at, lambda: self.handle(ingress, TimerFired(token)))
            case SendGossip(data, peer) if (
                peer is not None and self.random.random() >= self._gossip_loss
            ):
                gossip_event = GossipReceived(ingress, data)
                arrival = self.now + self.random.uniform(*GOSSIP_DELAYS)
                self._schedule(arrival, lambda: self.handle(peer, gossip_event))
            case AddToCounter(name, amount, _):
                self._counter_totals[name] += amount
                reply_event = CounterReplied(name, Outcome.OK, self._counter_totals[name])
                self._schedule(self.now + COUNTER_DELAY, lambda: self.handle(ingress, reply_event))

    def _send_attempt(self, key: RequestKey, backend: int) -> None:
        self.attempted_backends.append(backend)
        self.first_attempts.setdefault(key, FirstAttempt(self.now, self._units[key]))
        duration = self.random.expovariate(1 / MEAN_SERVICE_TIME)
        if self._backends_answer:
            self._schedule(self.now + duration, lambda: self._answer(key, backend, duration))

    def _answer(self, key: RequestKey, backend: int, duration: float) -> None:
        answers = self.answers[key]
        if not answers:
            answers.append("served")
        settings = self.engines[key.ingress].settings
        load = (REPORTED_LOAD,) * len(settings.load_report_fields)
        end_event = AttemptEnded(
            key.request,
            0,
            backend,
            Outcome.OK,
            True,
            duration,
            reported_usage=self._reported_usage(settings),
            load_report=load if settings.has_load_reports else (),
        )
        self.handle(key.ingress, end_event)

    def _reported_usage(self, settings: PolicySettings) -> float | None:
        if not settings.usage_report_period:
            return None
        until = self.now - USAGE_REPORT_AGE
        used_units = sum(
            attempt.units
            for attempt in self.first_attempts.values()
            if until - USAGE_WINDOW < attempt.sent_at <= until
        )
        return used_units / max(settings.plans[0].rate, 1e-9)


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a customer is about to send."""

    ingress: int
    units: float
    request_class: int


def random_requests(
    cluster: IngressCluster, spread: int, quota_multiple: float, duration: float
) -> Iterator[PlannedRequest]:
    """Yield random requests of one customer, distributed unevenly over `spread` ingresses.

    Their mean rate is `quota_multiple` times the customer's quota. The clock advances to each request.
    """
    plan = cluster.engines[0].settings.plans[0]
    weights = [1.0 / (number + 1) for number in range(spread)]
    rate = quota_multiple * plan.rate / 2.0  # requests of 2 units on average
    start = cluster.now
    while cluster.now < start + duration:
        cluster.run_until(cluster.now + cluster.random.expovariate(rate))
        ingress = cluster.random.choices(range(spread), weights)[0]
        units = cluster.random.choice([1.0, 2.0, 3.0])
        yield PlannedRequest(ingress, units, cluster.random.randrange(3))
