"""Simulates, without sockets, the policy engines of many ingresses and backends that start cold.

Each ingress is a `PolicyEngine` with its own random generator. Its attempts reach a
`SimulatedBackend` after `NETWORK_DELAY`; the backend warms up as slowly as the limits allow. Some
ingresses receive more traffic than others, and some are notified late of the start. All times are in
seconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

from dockthread.lab.event_queue import EventQueue
from dockthread.lab.slow_start.checker import SlowStartChecker, WarmUpLimits
from dockthread.lab.slow_start.scenario import MEAN_WORK, Scenario
from dockthread.lab.slow_start.simulated_backend import SimulatedBackend
from dockthread.policy import (
    AttemptEnded,
    BackendState,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    Fail,
    Outcome,
    Plan,
    PolicyEngine,
    PolicySettings,
    Reject,
    RequestArrived,
    RequestClass,
    SafetyLimits,
    SendAttempt,
    SetTimer,
    TimerFired,
)

# Network delay between an ingress and a backend in one direction, in seconds.
NETWORK_DELAY: Final = 0.002
# Time of the simulated clock at the start of a run.
START_TIME: Final = 1_000.0
# Seconds from the start of a run to the start of the cold backends.
TIME_BEFORE_COLD_START: Final = 10.0
# Seconds from the start of the cold backends to the end of the run.
OBSERVATION_TIME: Final = 16.0
# Deadline of a request, as a multiple of the latency objective.
DEADLINE_FACTOR: Final = 3.0
# Customer number of all requests.
CUSTOMER: Final = 7
# Upper bound of the random seeds of the policy engines.
ENGINE_SEED_LIMIT: Final = 1 << 30


@dataclass(slots=True)
class SimulatedRequest:
    """A request of a client.

    Attributes:
        arrived_at: time of arrival at the ingress.
        work: seconds that a core of speed 1 needs for the request.
        is_counted: whether the request arrived after the start of the cold backends.
        attempt_count: number of sent attempts.
        is_answered: whether the client has received a response.
    """

    arrived_at: float
    work: float
    is_counted: bool
    attempt_count: int = 0
    is_answered: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt in flight; `number` is its index among the attempts of its request."""

    ingress: int
    request: int
    number: int
    backend: SimulatedBackend
    sent_at: float


@dataclass(slots=True)
class RequestCounts:
    """Numbers of requests that arrived after the start of the cold backends, by outcome."""

    arrived: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0


class SlowStartSimulation:
    """One run of a scenario; the same seed gives the same run.

    Attributes:
        scenario: the scenario.
        checker: the checker of the load on backends that warm up.
        counts: numbers of requests by outcome.
        backends: all backends, by number.
        cold_backends: the backends that start cold.
        capacity: requests of mean work that all backends serve per second when they are warm.
    """

    def __init__(
        self,
        seed: int,
        scenario: Scenario,
        limits: WarmUpLimits | None = None,
        engine_class: type[PolicyEngine] = PolicyEngine,
    ) -> None:
        self.scenario = scenario
        self.checker = SlowStartChecker(limits or WarmUpLimits())
        self.counts = RequestCounts()
        self._events = EventQueue(START_TIME)
        self._cold_start_at = START_TIME + TIME_BEFORE_COLD_START
        self._requests: dict[int, SimulatedRequest] = {}
        self.backends = self._create_backends()
        self.capacity = sum(backend.kind.capacity for backend in self.backends.values())
        # Another order of the random draws would change the run of every seed.
        self._rng = random.Random(seed)
        self.cold_backends = self._draw_cold_backends()
        self._engines = [
            engine_class(self._settings(number), self._rng.randrange(ENGINE_SEED_LIMIT), START_TIME)
            for number in range(scenario.ingress_count)
        ]
        self._traffic_weights = self._draw_traffic_weights()
        self._notified_at = self._draw_notification_times()

    def _create_backends(self) -> dict[int, SimulatedBackend]:
        kinds = self.scenario.kinds
        backends = {}
        for index in range(self.scenario.backend_count):
            kind = kinds[index % len(kinds)]
            backends[index + 1] = SimulatedBackend(index + 1, kind, [START_TIME] * kind.cores)
        return backends

    def _draw_cold_backends(self) -> list[SimulatedBackend]:
        cold_backends = [
            backend
            for backend in self.backends.values()
            if self._rng.random() < self.scenario.cold_fraction
        ]
        return cold_backends or [self.backends[1]]

    def _draw_traffic_weights(self) -> list[float]:
        """Draw the relative traffic of each ingress from a gamma distribution with mean 1."""
        shape = 1 / self.scenario.traffic_deviation**2
        return [self._rng.gammavariate(shape, 1 / shape) for _ in self._engines]

    def _draw_notification_times(self) -> list[float]:
        """Draw the time at which each ingress is notified of the start of the cold backends."""
        times = []
        for _ in self._engines:
            is_late = self._rng.random() < self.scenario.late_fraction
            times.append(self._cold_start_at + self.scenario.notification_delay * is_late)
        return times

    def _settings(self, ingress_number: int) -> PolicySettings:
        limits = self.checker.limits
        scenario = self.scenario
        request_class = RequestClass(
            latency_objective=scenario.latency_objective,
            deadline=DEADLINE_FACTOR * scenario.latency_objective,
            effect=Effect.SAFE,
        )
        safety = SafetyLimits(
            drain_grace=1.0,
            cold_capacity=limits.cold_capacity,
            warm_up_time=limits.warm_up_time,
            overload_multiple=limits.overload_multiple,
            overload_time=limits.overload_time,
        )
        return PolicySettings(
            ingress_number=ingress_number,
            ingress_count=scenario.ingress_count,
            classes=(request_class,),
            plans=(Plan(),),
            clock_tick=0.004,
            safety=safety,
            max_attempts=3,
            load_report_fields=("rif", "rate", "q") if scenario.has_load_reports else (),
            has_load_reports=scenario.has_load_reports,
        )

    def run(self) -> SlowStartChecker:
        """Run to the end and return the checker."""
        cold_numbers = {backend.number for backend in self.cold_backends}
        listed = tuple(
            self._endpoint(backend, 0.0)
            for backend in self.backends.values()
            if self.scenario.is_restart or backend.number not in cold_numbers
        )
        self._notify_all_at(START_TIME, EndpointsListed(EndpointListKind.FULL, listed))
        if self.scenario.is_restart:
            self._events.schedule_at(
                self._cold_start_at - self.scenario.downtime, self._stop_cold_backends
            )
        self._events.schedule_at(self._cold_start_at, self._start_cold_backends)
        self._events.schedule_at(START_TIME, self._on_request_due)
        self._events.run_until(self._cold_start_at + OBSERVATION_TIME)
        return self.checker

    # Discovery

    def _endpoint(
        self,
        backend: SimulatedBackend,
        started_at: float,
        state: BackendState = BackendState.READY,
    ) -> Endpoint:
        kind = self.scenario.kinds.index(backend.kind)
        return Endpoint(backend.number, state, kind=kind, started_at=started_at)

    def _notify_all_at(self, time: float, event: EndpointsListed) -> None:
        for ingress in range(len(self._engines)):
            self._events.schedule_at(time, self._dispatch, ingress, event)

    def _stop_cold_backends(self) -> None:
        for backend in self.cold_backends:
            backend.is_up = False
        if not self.scenario.downtime:
            return
        listed = tuple(
            self._endpoint(backend, 0.0, BackendState.REMOVED) for backend in self.cold_backends
        )
        self._notify_all_at(self._events.now, EndpointsListed(EndpointListKind.CHANGES, listed))

    def _start_cold_backends(self) -> None:
        now = self._events.now
        for backend in self.cold_backends:
            backend.restart(now)
            self.checker.on_backend_started(backend.number, now, backend.kind.capacity)
        listed = tuple(
            self._endpoint(backend, self._cold_start_at) for backend in self.cold_backends
        )
        event = EndpointsListed(EndpointListKind.CHANGES, listed)
        for ingress, notified_at in enumerate(self._notified_at):
            self._events.schedule_at(notified_at, self._dispatch, ingress, event)

    # Requests

    def _on_request_due(self) -> None:
        now = self._events.now
        is_counted = now >= self._cold_start_at
        burst_factor = self.scenario.burst_factor if is_counted else 1.0
        rate = self.scenario.load * self.capacity * burst_factor
        self._events.schedule_at(now + self._rng.expovariate(rate), self._on_request_due)
        (ingress,) = self._rng.choices(range(len(self._engines)), self._traffic_weights)
        number = len(self._requests) + 1
        work = self._rng.expovariate(1 / MEAN_WORK)
        self._requests[number] = SimulatedRequest(now, work, is_counted)
        self.counts.arrived += is_counted
        deadline = DEADLINE_FACTOR * self.scenario.latency_objective
        self._dispatch(ingress, RequestArrived(number, 0, 0, CUSTOMER, deadline))

    def _dispatch(self, ingress: int, event: Event) -> None:
        """Pass an event to an ingress's engine and execute the resulting actions."""
        for action in self._engines[ingress].handle(self._events.now, event):
            match action:
                case SendAttempt():
                    self._send(ingress, action)
                case SetTimer():
                    timer = TimerFired(action.token)
                    self._events.schedule_at(action.at, self._dispatch, ingress, timer)
                case Reject() | Fail():
                    request = self._requests[action.request]
                    self.counts.rejected += request.is_counted and not request.is_answered
                    request.is_answered = True

    def _send(self, ingress: int, action: SendAttempt) -> None:
        now = self._events.now
        request = self._requests[action.request]
        backend = self.backends[action.backend]
        attempt = Attempt(ingress, action.request, request.attempt_count, backend, now)
        request.attempt_count += 1
        self._events.schedule_at(now + NETWORK_DELAY, self._on_attempt_received, attempt)
        self._events.schedule_at(now + action.timeout, self._on_attempt_timeout, attempt)

    # Attempts at backends

    def _on_attempt_received(self, attempt: Attempt) -> None:
        now = self._events.now
        backend = attempt.backend
        work = self._requests[attempt.request].work
        if not backend.is_up:
            self._respond(attempt, Outcome.UNREACHABLE)
            return
        was_sender_notified = now >= self._notified_at[attempt.ingress]
        self.checker.on_request_arrived(backend.number, now, work / MEAN_WORK, was_sender_notified)
        if backend.is_at_capacity:
            self._respond(attempt, Outcome.AT_CAPACITY)
            return
        served_at = backend.enqueue(now, work, lambda time: self._capacity_at(backend, time))
        self._events.schedule_at(served_at, self._on_attempt_served, attempt, backend.incarnation)

    def _capacity_at(self, backend: SimulatedBackend, time: float) -> float:
        """Return the fraction of its full capacity that a backend has at this time."""
        warming_backend = self.checker.backends.get(backend.number)
        if warming_backend is None:
            return 1.0
        return self.checker.min_capacity(time - warming_backend.started_at)

    def _on_attempt_served(self, attempt: Attempt, incarnation: int) -> None:
        backend = attempt.backend
        if incarnation != backend.incarnation or not backend.is_up:
            self._respond(attempt, Outcome.RESET)
            return
        backend.in_flight -= 1
        if self._events.now >= self._cold_start_at:
            backend.served_work += self._requests[attempt.request].work / MEAN_WORK
        self._respond(attempt, Outcome.OK)

    def _respond(self, attempt: Attempt, outcome: Outcome) -> None:
        load_report = attempt.backend.load_report() if self.scenario.has_load_reports else ()
        self._events.schedule_at(
            self._events.now + NETWORK_DELAY, self._on_attempt_ended, attempt, outcome, load_report
        )

    def _on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, load_report: tuple[float, ...]
    ) -> None:
        now = self._events.now
        request = self._requests[attempt.request]
        if outcome is Outcome.OK and not request.is_answered:
            request.is_answered = True
            is_in_time = now - request.arrived_at <= self.scenario.latency_objective
            self.counts.in_time += request.is_counted and is_in_time
            self.counts.late += request.is_counted and not is_in_time
        event = AttemptEnded(
            attempt.request,
            attempt.number,
            attempt.backend.number,
            outcome,
            request.is_answered,
            now - attempt.sent_at,
            load_report=load_report,
        )
        self._dispatch(attempt.ingress, event)

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        """End an attempt at its timeout; the backend continues to serve it."""
        if not self._requests[attempt.request].is_answered:
            self._on_attempt_ended(attempt, Outcome.TIMEOUT, ())
