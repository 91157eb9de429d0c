"""Reads the current state and counts of an ingress as the points of one report.

Reading does not change the ingress. The metrics' paths and meanings are listed in `catalogue`; some
of them use former terms, which are kept because dashboards depend on them.
"""

from __future__ import annotations

import gc
from collections.abc import Iterable, Iterator
from itertools import accumulate
from math import isfinite
from time import process_time
from typing import TYPE_CHECKING

from dockthread.policy import BackendState, Outcome
from dockthread.telemetry import process_metrics
from dockthread.telemetry.catalogue import (
    BUCKET_BOUNDS_MS,
    DERIVE,
    GAUGE,
    LIFE_PATH,
    Point,
    path_part,
)
from dockthread.telemetry.tally import Tally

if TYPE_CHECKING:
    from dockthread.net.ingress import Ingress
    from dockthread.telemetry.sender import Sender

# Value of the metric `phase` for each phase.
PHASE_NUMBERS = {"starting": 1, "serving": 2, "lingering": 3, "draining": 4, "stopped": 5}
# Maximum number of reported routes, which bounds the size of a report.
MAX_REPORTED_ROUTES = 50
# Reported latency quantiles, by the last part of the metric's path.
LATENCY_QUANTILES = {"p50": 0.5, "p95": 0.95, "p99": 0.99}
# Minimum interval in seconds that is used to compute rates; prevents a division by zero.
MIN_INTERVAL_SECONDS = 0.001
# Each outcome of an attempt, and the part of a path that stands for it.
OUTCOME_PATH_PARTS = {outcome: path_part(outcome.value.replace(" ", "-")) for outcome in Outcome}
# The field of a backend's load report that holds its number of requests in flight.
IN_FLIGHT_FIELD = "rif"


class MetricsReader:
    """Reads the points of one telemetry incarnation of an ingress.

    Attributes:
        incarnation_start_ms: The start time of the incarnation in Unix milliseconds, reported as
            the metric `life`.
    """

    def __init__(
        self,
        ingress: Ingress,
        tally: Tally,
        incarnation_start_ms: float,
        reported_backends: int,
        reported_customers: int,
    ) -> None:
        self.incarnation_start_ms = int(incarnation_start_ms)
        self._ingress = ingress
        self._tally = tally
        self._reported_backends = reported_backends
        self._reported_customers = reported_customers
        # The ingress counts attempts and hedges since its start, but an incarnation may begin later.
        self._initial_attempts = ingress.traffic.attempts_started
        self._initial_hedges = ingress.traffic.hedges_started
        self._plans = [path_part(name) for name in ingress.config.names.plans]

    @property
    def _classes(self) -> list[str]:
        """The path parts of all classes in effect; a reload may have added some."""
        return [path_part(name) for name in self._ingress.config.names.classes]

    def points(self, elapsed_ms: float, senders: Iterable[tuple[str, Sender]] = ()) -> list[Point]:
        """Return all points of a report.

        The point `life` comes first, and tells a receiver to which incarnation the counts belong.

        Args:
            elapsed_ms: The length of the interval that ends now, used for the customers' rates.
            senders: The name and the sender of each receiver.
        """
        self._tally.flush()
        return [
            Point(LIFE_PATH, GAUGE, self.incarnation_start_ms),
            Point(("phase",), GAUGE, PHASE_NUMBERS[self._ingress.lifecycle.phase.value]),
            *self._response_points(),
            *self._latency_points(),
            *self._attempt_points(),
            *self._counter_points(),
            *self._quota_points(),
            *self._customer_points(elapsed_ms),
            *self._route_points(),
            *self._backend_points(),
            *self._connection_points(),
            *self._request_points(),
            *self._process_points(),
            *self._receiver_points(senders),
        ]

    def _response_points(self) -> Iterator[Point]:
        classes = self._classes
        plans = self._plans
        for (request_class, plan, outcome), count in self._tally.responses.items():
            yield Point(("answers", classes[request_class], plans[plan], outcome), DERIVE, count)
        for key, count in self._tally.reasons.items():
            reason = path_part(key.reason.replace(" ", "-"))
            path = ("why", classes[key.request_class], plans[key.plan], key.outcome, reason)
            yield Point(path, DERIVE, count)
        for (request_class, plan), count in self._tally.disconnected.items():
            yield Point(("gone", classes[request_class], plans[plan]), DERIVE, count)

    def _latency_points(self) -> Iterator[Point]:
        tally = self._tally
        for name, late_count, latencies in zip(
            self._classes, tally.late_responses, tally.latencies, strict=True
        ):
            yield Point(("late", name), DERIVE, late_count)
            for label, fraction in LATENCY_QUANTILES.items():
                yield Point(("time", name, label), GAUGE, latencies.quantile(fraction))
            yield Point(("time", name, "max"), GAUGE, latencies.longest)
            yield Point(("time", name, "sum"), DERIVE, round(latencies.sum))
            # The last bucket counts durations above all bounds and is not reported.
            cumulative = accumulate(latencies.buckets)
            for bound_ms, count in zip(BUCKET_BOUNDS_MS, cumulative, strict=False):
                yield Point(("time", name, f"le_{bound_ms}"), DERIVE, count)

    def _attempt_points(self) -> Iterator[Point]:
        traffic = self._ingress.traffic
        attempts = traffic.attempts_started - self._initial_attempts
        hedges = traffic.hedges_started - self._initial_hedges
        yield Point(("attempts", "started"), DERIVE, attempts)
        yield Point(("attempts", "copies"), DERIVE, hedges)
        for outcome, label in OUTCOME_PATH_PARTS.items():
            yield Point(("attempts", label), DERIVE, self._tally.attempts[outcome])
            if self._ingress.config.counter is not None:
                count = self._tally.counter_calls[outcome]
                yield Point(("counter", "calls", label), DERIVE, count)

    def _counter_points(self) -> Iterator[Point]:
        if self._ingress.config.counter is None:
            return
        latencies = self._tally.counter_latencies
        yield Point(("counter", "p50"), GAUGE, latencies.quantile(0.5))
        yield Point(("counter", "p99"), GAUGE, latencies.quantile(0.99))
        yield Point(("counter", "muted"), DERIVE, round(self._tally.circuit_open_ms))

    def _quota_points(self) -> Iterator[Point]:
        tally = self._tally
        for plan, name in enumerate(self._plans):
            yield Point(("quota", name, "asked"), DERIVE, round(tally.units_requested[plan]))
            yield Point(("quota", name, "sent_on"), DERIVE, round(tally.units_forwarded[plan]))
            yield Point(("quota", name, "refused"), DERIVE, round(tally.units_rejected[plan]))

    def _customer_points(self, elapsed_ms: float) -> Iterator[Point]:
        """Yield the rates of the customers that requested the most units in the interval."""
        heavy_hitters = self._tally.heavy_hitters
        interval_seconds = max(elapsed_ms / 1000.0, MIN_INTERVAL_SECONDS)
        yield Point(("firms_seen",), GAUGE, len(heavy_hitters.usage))
        for (plan, customer), usage in heavy_hitters.top(self._reported_customers):
            path = ("firms", self._plans[plan], f"{customer:x}")
            yield Point((*path, "asked"), GAUGE, usage.requested / interval_seconds)
            yield Point((*path, "sent_on"), GAUGE, usage.forwarded / interval_seconds)
            yield Point((*path, "refused"), GAUGE, usage.rejected / interval_seconds)

    def _route_points(self) -> Iterator[Point]:
        if (routes := self._ingress.routes) is None:
            return
        for name, usage in list(routes.usage_by_route.items())[:MAX_REPORTED_ROUTES]:
            path = ("routes", path_part(name))
            yield Point((*path, "requests"), DERIVE, usage.requests)
            yield Point((*path, "attempts"), DERIVE, usage.attempts)
            yield Point((*path, "copies"), DERIVE, usage.hedges)
            yield Point((*path, "copies_won"), DERIVE, usage.successful_hedges)
            yield Point((*path, "queued"), DERIVE, usage.queued)
            yield Point((*path, "refused_limit"), DERIVE, usage.refused_limit)
            yield Point((*path, "refused_budget"), DERIVE, usage.refused_budget)
            yield Point((*path, "queue_wait"), DERIVE, round(usage.queue_wait * 1000.0))
            yield Point((*path, "open"), GAUGE, usage.open)
            yield Point((*path, "inside"), GAUGE, usage.limit.admitted)
            yield Point((*path, "queue"), GAUGE, len(usage.queue))
            if isfinite(usage.limit.limit):
                yield Point((*path, "limit"), GAUGE, usage.limit.limit)
            if usage.budget is not None:
                yield Point((*path, "budget"), GAUGE, usage.budget.tokens)

    def _backend_points(self) -> Iterator[Point]:
        """Yield the points of the backends with the most attempts in flight.

        A backend that has left the endpoint list is no longer reported.
        """
        engine = self._ingress.engine
        now = self._ingress.clock.now() / 1000.0
        backends = engine.backends.by_number
        listed_backends = [
            (endpoint.uid, backends[endpoint.number])
            for endpoint in self._ingress.endpoints.by_number.values()
            if endpoint.state is not BackendState.REMOVED and endpoint.number in backends
        ]
        listed_backends.sort(key=lambda entry: -entry[1].in_flight)
        in_flight_position = engine.outcomes.load_reports.positions.get(IN_FLIGHT_FIELD, -1)
        for uid, backend in listed_backends[: self._reported_backends]:
            path = ("nodes", path_part(uid))
            is_full = any(until > now for until in backend.at_capacity_until.values())
            yield Point((*path, "out"), GAUGE, backend.in_flight)
            yield Point((*path, "failed"), GAUGE, backend.failure_fraction)
            yield Point((*path, "skipped"), GAUGE, int(is_full or not backend.is_ready))
            if backend.report and in_flight_position >= 0:
                age_ms = (now - backend.report_at) * 1000.0
                yield Point((*path, "inflight"), GAUGE, backend.report[in_flight_position])
                yield Point((*path, "report_age"), GAUGE, age_ms)

    def _connection_points(self) -> Iterator[Point]:
        traffic = self._ingress.traffic
        yield Point(("connections", "clients"), GAUGE, self._ingress.client_connection_count)
        yield Point(("connections", "nodes"), GAUGE, len(self._ingress.connection_pool))
        yield Point(("opened", "clients"), DERIVE, traffic.client_connections_opened)
        yield Point(("opened", "nodes"), DERIVE, traffic.backend_connections_opened)
        yield Point(("messages", "in"), DERIVE, traffic.gossip_received)
        yield Point(("messages", "out"), DERIVE, traffic.gossip_sent)
        yield Point(("messages", "odd"), DERIVE, traffic.gossip_rejected)

    def _request_points(self) -> Iterator[Point]:
        traffic = self._ingress.traffic
        yield Point(("requests", "open"), GAUGE, len(self._ingress.requests))
        yield Point(("requests", "bodies"), GAUGE, self._ingress.requests.body_bytes)
        yield Point(("commands", "bad"), DERIVE, traffic.commands_rejected)
        yield Point(("bytes", "clients", "in"), DERIVE, traffic.client_bytes_in)
        yield Point(("bytes", "clients", "out"), DERIVE, traffic.client_bytes_out)
        yield Point(("bytes", "nodes", "in"), DERIVE, traffic.backend_bytes_in)
        yield Point(("bytes", "nodes", "out"), DERIVE, traffic.backend_bytes_out)

    def _process_points(self) -> Iterator[Point]:
        lags = self._tally.event_loop_lags
        yield Point(("loop", "p50"), GAUGE, lags.quantile(0.5))
        yield Point(("loop", "p99"), GAUGE, lags.quantile(0.99))
        yield Point(("loop", "max"), GAUGE, lags.longest)
        yield Point(("cpu", "used"), DERIVE, round(process_time() * 1000.0))
        yield Point(("memory", "resident"), GAUGE, process_metrics.resident_bytes())
        yield Point(("descriptors", "open"), GAUGE, process_metrics.open_descriptors())
        yield Point(("descriptors", "limit"), GAUGE, process_metrics.max_descriptors())
        for number, generation in enumerate(gc.get_stats()):
            yield Point(("garbage", str(number)), DERIVE, generation["collections"])

    @staticmethod
    def _receiver_points(senders: Iterable[tuple[str, Sender]]) -> Iterator[Point]:
        for name, sender in senders:
            path = ("telemetry", path_part(name))
            yield Point((*path, "sent"), DERIVE, sender.reports_sent)
            yield Point((*path, "dropped"), DERIVE, sender.delivery_queue.dropped)
            yield Point((*path, "queued"), GAUGE, sender.delivery_queue.size)
            yield Point((*path, "lost"), DERIVE, sender.connections_lost)
