"""Updates the state of backends and the queueing delay when an attempt has ended."""

from __future__ import annotations

from dockthread.policy.backend import Backend
from dockthread.policy.backend_registry import BackendRegistry
from dockthread.policy.context import Context
from dockthread.policy.customer import Customer
from dockthread.policy.events import AttemptEnded
from dockthread.policy.latency_estimates import MAX_RELATIVE_LATENCY, failure_scaling_factor
from dockthread.policy.load_reports import LoadReportReader
from dockthread.policy.model import Outcome
from dockthread.policy.pending_request import Attempt, PendingRequest
from dockthread.policy.queueing_delay import QueueingDelayEstimator
from dockthread.policy.slow_start import SlowStart
from dockthread.policy.usual_latency import UsualLatencies

# Weight of one more success or failure in a backend's failure fraction.
FAILURE_WEIGHT = 0.25
# Seconds for which a backend without capacity is not sent requests of the plan. The time doubles
# with each rejection in a row, from the first value up to the second.
INITIAL_CAPACITY_BACKOFF = 0.2
MAX_CAPACITY_BACKOFF = 3.0
# Lower bound on the mean success fraction of ready backends, with which one backend is compared.
MIN_MEAN_SUCCESS = 0.05
# Outcomes that prove that the backend is alive.
LIVE_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.AT_CAPACITY)
# Outcomes that count as a failure of the backend.
FAILURE_OUTCOMES = (Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET)


class AttemptOutcomes:
    """Records how attempts ended.

    Attributes:
        load_reports: reads the load reports that come with responses.
    """

    __slots__ = (
        "_backends",
        "_context",
        "_delay",
        "_failure_weight",
        "_latencies",
        "_slow_start",
        "load_reports",
    )

    def __init__(
        self,
        context: Context,
        backends: BackendRegistry,
        latencies: UsualLatencies,
        delay: QueueingDelayEstimator,
        slow_start: SlowStart,
    ) -> None:
        self._context = context
        self._backends = backends
        self._latencies = latencies
        self._delay = delay
        self._slow_start = slow_start
        settings = context.settings
        self.load_reports = LoadReportReader(settings.load_report_fields)
        # With more ingresses, each sees fewer responses of a backend, so one failure weighs more.
        self._failure_weight = 1 - (1 - FAILURE_WEIGHT) ** failure_scaling_factor(
            settings.ingress_count
        )

    def record_load_report(self, event: AttemptEnded, backend: Backend) -> None:
        """Record the load report that came with a response.

        Every response repeats the backend's last report, so only a changed report is recorded.
        """
        report = event.load_report
        if report and report != backend.report:
            remote_requests = self.load_reports.remote_requests(
                report, backend.in_flight, self._latencies.mean()
            )
            backend.record_report(report, remote_requests, self._context.now)

    def record_outcome(self, event: AttemptEnded, backend: Backend, customer: Customer) -> None:
        """Update the backend and the queueing delay with the outcome of an attempt."""
        outcome = event.outcome
        if outcome in LIVE_OUTCOMES:
            backend.last_response_at = self._context.now
        if outcome is Outcome.OK:
            self._record_success(event, backend)
        elif outcome is Outcome.AT_CAPACITY:
            self._record_at_capacity(backend, customer)
        elif outcome in FAILURE_OUTCOMES:
            backend.failure_fraction += self._failure_weight * (1 - backend.failure_fraction)

    def record_latency(
        self,
        event: AttemptEnded,
        pending: PendingRequest,
        attempt: Attempt,
        backend: Backend,
    ) -> None:
        """Update the class's usual latency and the backend's relative latency with a response."""
        request_class = pending.event.request_class
        usual_latency, _ = self._latencies.by_class[request_class]
        relative_latency = event.duration / usual_latency / attempt.concurrency
        backend.record_latency(min(MAX_RELATIVE_LATENCY, relative_latency))
        self._latencies.record(request_class, event.duration)

    def record_silence(self, backend: Backend) -> None:
        """Count a response that has been missing for very long with twice `FAILURE_WEIGHT`."""
        backend.failure_fraction += 2 * FAILURE_WEIGHT * (1 - backend.failure_fraction)

    def _record_success(self, event: AttemptEnded, backend: Backend) -> None:
        backend.failure_fraction -= FAILURE_WEIGHT * backend.failure_fraction
        backend.capacity_backoff = 0.0
        backend.add_idle_connection(self._context.now)
        self._delay.record_completion()
        self._slow_start.on_response(self._backends.pool.total_weight)
        self._delay.record_response(event.duration, self._relevance(backend))

    def _record_at_capacity(self, backend: Backend, customer: Customer) -> None:
        """Skip the backend for a while for requests of the customer's plan only."""
        self._delay.record_at_capacity(self._relevance(backend))
        backoff = min(2 * backend.capacity_backoff, MAX_CAPACITY_BACKOFF)
        backend.capacity_backoff = max(INITIAL_CAPACITY_BACKOFF, backoff)
        until = self._context.now + backend.capacity_backoff
        backend.mark_at_capacity(customer.plan_number, until)

    def _relevance(self, backend: Backend) -> float:
        """Return how well a backend's response predicts that of the next request, from 0 to 1.

        A backend that fails more than the others is rarely drawn, so its slow responses must not
        cause rejections of requests that the others have capacity for.
        """
        mean_success = max(MIN_MEAN_SUCCESS, self._backends.pool.success_fraction)
        return min(1.0, ((1 - backend.failure_fraction) / mean_success) ** 2)
