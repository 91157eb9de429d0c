"""The counts of one telemetry incarnation of an ingress.

While a request is handled, telemetry only updates these counts; `metrics_reader` turns them into
points.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from dockthread.observer import OUTCOMES, REJECTED, SERVED, Observer
from dockthread.policy import Outcome
from dockthread.telemetry.heavy_hitters import HeavyHitters
from dockthread.telemetry.latency_histogram import LatencyHistogram

# Number of completed requests that are buffered and then counted in one loop, which costs less per
# request.
BATCH_SIZE = 64
# Entries in the heavy hitters table per reported customer.
ENTRIES_PER_REPORTED_CUSTOMER = 8
# Maximum number of reasons, on average, per class, plan and outcome; further reasons are counted
# under `OTHER_REASON`.
MAX_REASONS = 32
OTHER_REASON = "other"


# Keys of class, plan and outcome, and of class and plan. They are plain tuples because one is
# created for every request, and creating a named tuple takes several times as long.
ResponseKey: TypeAlias = tuple[int, int, str]
ClassAndPlan: TypeAlias = tuple[int, int]
# The arguments of `request_completed`, as a plain tuple because creating it is faster.
_CompletedRequest: TypeAlias = tuple[int, int, int, str, str, float, float, bool, bool]


class ReasonKey(NamedTuple):
    """The policy engine's indexes of a class and a plan, with an outcome and its reason."""

    request_class: int
    plan: int
    outcome: str
    reason: str


class Tally(Observer):
    """All counts of one telemetry incarnation.

    Lists by class or by plan use the policy engine's indexes.

    Attributes:
        responses: Number of completed requests by class, plan and outcome.
        reasons: Number of rejected and failed requests by class, plan, outcome and reason.
        disconnected: Number of requests whose client disconnected before the response.
        late_responses: Number of served requests that exceeded the latency objective with which
            they arrived, by class.
        latencies: Latencies of served requests, by class.
        units_requested: Units of all completed or abandoned requests, by plan.
        units_forwarded: Units of requests that were forwarded, by plan.
        units_rejected: Units of requests that were rejected, by plan.
        attempts: Number of ended attempts by outcome.
        counter_calls: Number of ended calls to the quota counter by outcome.
        counter_latencies: Latencies of calls to the quota counter.
        event_loop_lags: Lags of the event loop.
        circuit_open_ms: Time for which the quota counter's circuit breaker was open.
        heavy_hitters: The customers that requested the most units in the current interval.
        on_phase: Callback that receives the name of each phase that the ingress enters.
    """

    active = True

    def __init__(self, class_count: int, plan_count: int, reported_customers: int) -> None:
        self.responses: dict[ResponseKey, int] = {}
        self.reasons: Counter[ReasonKey] = Counter()
        self.disconnected: dict[ClassAndPlan, int] = {}
        self.late_responses: list[int] = []
        self.latencies: list[LatencyHistogram] = []
        self.units_requested = [0.0] * plan_count
        self.units_forwarded = [0.0] * plan_count
        self.units_rejected = [0.0] * plan_count
        self.attempts: Counter[Outcome] = Counter()
        self.counter_calls: Counter[Outcome] = Counter()
        self.counter_latencies = LatencyHistogram()
        self.event_loop_lags = LatencyHistogram()
        self.circuit_open_ms = 0.0
        self.on_phase: Callable[[str], None] = lambda _name: None
        self._plan_count = plan_count
        self._reported_customers = reported_customers
        self.heavy_hitters = self._empty_heavy_hitters()
        self._pending: list[_CompletedRequest] = []
        self.classes_added(class_count)

    def classes_added(self, class_count: int) -> None:
        """Add the counts of the classes that are new, which start at an explicit 0."""
        for request_class in range(len(self.latencies), class_count):
            self.late_responses.append(0)
            self.latencies.append(LatencyHistogram())
            for plan in range(self._plan_count):
                self.disconnected[request_class, plan] = 0
                for outcome in OUTCOMES:
                    self.responses[request_class, plan, outcome] = 0

    def _empty_heavy_hitters(self) -> HeavyHitters:
        return HeavyHitters(self._reported_customers * ENTRIES_PER_REPORTED_CUSTOMER)

    def begin_interval(self) -> None:
        """Start a new interval: reset the quantiles, the maxima and the heavy hitters."""
        self.flush()
        for histogram in (*self.latencies, self.counter_latencies, self.event_loop_lags):
            histogram.begin_interval()
        self.heavy_hitters = self._empty_heavy_hitters()

    def request_completed(  # noqa: PLR0913 - the observer's interface
        self,
        request_class: int,
        plan: int,
        customer: int,
        outcome: str,
        reason: str,
        duration_ms: float,
        units: float,
        was_forwarded: bool,
        is_late: bool,
    ) -> None:
        """Buffer a completed request; `BATCH_SIZE` of them are counted together."""
        self._pending.append(
            (
                request_class,
                plan,
                customer,
                outcome,
                reason,
                duration_ms,
                units,
                was_forwarded,
                is_late,
            )
        )
        if len(self._pending) >= BATCH_SIZE:
            self.flush()

    def flush(self) -> None:
        """Count the buffered requests.

        Counting many requests in one loop, whose code stays in the processor's cache, takes a third
        of the time per request that counting each one alone takes.
        """
        # Local variables are faster than attributes, and this loop runs for every request.
        responses = self.responses
        latencies = self.latencies
        late_responses = self.late_responses
        pending = self._pending
        self._pending = []  # an entry that cannot be counted must not be met again
        for (
            request_class,
            plan,
            customer,
            outcome,
            reason,
            duration_ms,
            units,
            was_forwarded,
            is_late,
        ) in pending:
            responses[request_class, plan, outcome] += 1
            self._add_units(plan, customer, units, was_forwarded)
            if outcome == SERVED:
                latencies[request_class].add(duration_ms)
                late_responses[request_class] += is_late
                continue
            self._add_reason(ReasonKey(request_class, plan, outcome, reason))
            if outcome == REJECTED:
                self.units_rejected[plan] += units
                self.heavy_hitters.add_rejected(plan, customer, units)

    def _add_reason(self, key: ReasonKey) -> None:
        if key not in self.reasons and len(self.reasons) >= MAX_REASONS * len(self.responses):
            key = key._replace(reason=OTHER_REASON)
        self.reasons[key] += 1

    def _add_units(self, plan: int, customer: int, units: float, was_forwarded: bool) -> None:
        self.units_requested[plan] += units
        if self._reported_customers:
            self.heavy_hitters.add_requested(plan, customer, units)
        if was_forwarded:
            self.units_forwarded[plan] += units
            self.heavy_hitters.add_forwarded(plan, customer, units)

    def client_disconnected(
        self, request_class: int, plan: int, customer: int, units: float, was_forwarded: bool
    ) -> None:
        """Count a request whose client closed its connection before the response."""
        self.disconnected[request_class, plan] += 1
        self._add_units(plan, customer, units, was_forwarded)

    def attempt_ended(self, outcome: Outcome) -> None:
        """Count an attempt that ended."""
        self.attempts[outcome] += 1

    def counter_call_ended(self, outcome: Outcome, duration_ms: float) -> None:
        """Count a call to the quota counter that ended."""
        self.counter_calls[outcome] += 1
        self.counter_latencies.add(duration_ms)

    def phase(self, name: str) -> None:
        """Pass the name of the phase that the ingress entered to `on_phase`."""
        self.on_phase(name)
