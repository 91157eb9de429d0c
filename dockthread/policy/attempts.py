"""Attempts: when a request is sent, retried, hedged and abandoned."""

from __future__ import annotations

from dockthread.policy.actions import CancelAttempt, Fail, SendAttempt
from dockthread.policy.attempt_outcomes import AttemptOutcomes
from dockthread.policy.backend import Backend
from dockthread.policy.backend_registry import BackendRegistry
from dockthread.policy.context import Context
from dockthread.policy.customer import Customer
from dockthread.policy.customer_registry import CustomerRegistry
from dockthread.policy.events import AttemptEnded
from dockthread.policy.gossip import GossipProtocol
from dockthread.policy.latency_estimates import ConcurrencyEstimate
from dockthread.policy.load_balancer import LoadBalancer
from dockthread.policy.model import Effect, Outcome
from dockthread.policy.pending_request import Attempt, PendingRequest, PendingRequests
from dockthread.policy.queueing_delay import QueueingDelayEstimator
from dockthread.policy.rejection import reject
from dockthread.policy.route_constraints import RouteConstraints
from dockthread.policy.slow_start import SlowStart
from dockthread.policy.timers import TimerQueue
from dockthread.policy.usual_latency import UsualLatencies

# Overdue attempts are hedged if at least this fraction of the backend's outcomes are failures.
SUSPECT_FAILURE_FRACTION = 0.35
# An attempt is overdue after the usual response time plus this many mean deviations.
OVERDUE_DEVIATIONS = 4.0
# A backend counts as silent after the usual response time plus this many mean deviations: one
# normal response in 2,000 takes longer.
SILENT_DEVIATIONS = 9.0
# Fraction of its remaining time after which a request that could not be sent to any backend is
# rejected, so that its client has time left to try elsewhere.
NO_BACKEND_WAIT_FRACTION = 0.45
# Nothing is retried while recent responses take longer than this fraction of the latency objective.
NO_RETRY_LATENCY_FRACTION = 0.5
# An attempt at a suspect backend is hedged only while the request has fewer attempts than this.
MAX_HEDGED_ATTEMPTS = 2


class AttemptManager:
    """Sends, retries, hedges and cancels attempts, and answers requests that got no response.

    Attributes:
        awaiting_backend: requests for which no backend is available, the longest waiting first.
            They are tried again when the endpoint list changes and in each maintenance round.
    """

    def __init__(  # noqa: PLR0913 - one for each part that attempts depend on
        self,
        context: Context,
        timers: TimerQueue,
        requests: PendingRequests,
        customers: CustomerRegistry,
        backends: BackendRegistry,
        latencies: UsualLatencies,
        delay: QueueingDelayEstimator,
        slow_start: SlowStart,
        routes: RouteConstraints,
        balancer: LoadBalancer,
        outcomes: AttemptOutcomes,
        gossip: GossipProtocol,
    ) -> None:
        self._context = context
        self._timers = timers
        self._requests = requests
        self._customers = customers
        self._backends = backends
        self._latencies = latencies
        self._delay = delay
        self._slow_start = slow_start
        self._routes = routes
        self._balancer = balancer
        self._outcomes = outcomes
        self._gossip = gossip
        self._concurrency = ConcurrencyEstimate()
        self.awaiting_backend: dict[int, None] = {}
        # Customer number of each attempt in flight, by request number and attempt number.
        self._customer_numbers: dict[tuple[int, int], int] = {}

    # Sending

    def send(self, request: int, pending: PendingRequest) -> bool:
        """Send a request's next attempt; if there is no backend, queue it and return False."""
        self.awaiting_backend[request] = None
        backend = self._balancer.choose(pending)
        if backend is None:
            return False
        del self.awaiting_backend[request]
        self._add_attempt(request, pending, backend)
        start_deadline = self._routes.start_deadline(pending)
        number = len(pending.attempts) - 1
        self._routes.on_attempt_sent(pending)
        hedge_delay = self._routes.hedge_delay(pending)
        if hedge_delay is not None:
            hedge_at = self._context.now + hedge_delay
            self._timers.set(hedge_at, self._on_hedge_delay_ended, request, number)
        timeout = self._routes.attempt_timeout(pending)
        self._context.actions.append(
            SendAttempt(request, backend.endpoint.backend, timeout, start_deadline)
        )
        usual_latency, deviation = self._latencies.by_class[pending.event.request_class]
        overdue_at = self._context.now + usual_latency + OVERDUE_DEVIATIONS * deviation
        self._timers.set(overdue_at, self._on_overdue, request, number)
        return True

    def _add_attempt(self, request: int, pending: PendingRequest, backend: Backend) -> None:
        """Record a new attempt in the request and in all counts of attempts in flight."""
        now = self._context.now
        event = pending.event
        concurrency = self._concurrency.relative_concurrency(backend.load(now))
        backend.in_flight += 1
        self._delay.in_flight += 1
        if not self._backends.pool.has_warm_backend:
            self._slow_start.on_attempt_sent()
        backend.take_idle_connection(self._balancer.idle_connection_cutoff())
        self._customer_numbers[request, len(pending.attempts)] = event.customer
        pending.attempts.append(Attempt(backend.endpoint.backend, now, concurrency))
        # The customer may have been dropped if the request waited for long.
        self._customers.get(event.customer, event.plan).in_flight += 1

    def send_awaiting_backend(self) -> None:
        """Try again to send the requests without a backend; close those that waited too long."""
        self._backends.pool.refresh()
        for request in list(self.awaiting_backend):
            pending = self._requests.by_number[request]
            client_retry_time = (1 - NO_BACKEND_WAIT_FRACTION) * pending.event.remaining_time
            is_late = self._context.now > pending.deadline - client_retry_time
            if not self.send(request, pending) and is_late and pending.first_possible_run() is None:
                self.close(request)

    def close_before_deadline(self, request: int, pending: PendingRequest) -> None:
        """Set a timer that closes a request just before its deadline, unless it is already set."""
        if pending.deadline_timer is None:
            deadline = self._routes.answer_deadline(pending)
            pending.deadline_timer = self._timers.set(deadline, self.close, request)

    def cancel_deadline_timer(self, pending: PendingRequest) -> None:
        """Cancel the timer for the deadline of a request that has its final answer.

        The client names the deadline, so the timer could outlive the request by hours.
        """
        if pending.deadline_timer is not None:
            self._timers.cancel(pending.deadline_timer)

    # Hedging

    def _on_overdue(self, request: int, number: int) -> None:
        """Hedge an overdue attempt if its backend is suspect, and set the timer for silence."""
        pending = self._requests.awaiting_attempt(request, number)
        if pending is None:
            return
        attempt = pending.attempts[number]
        attempt.is_overdue = True
        # The attempt is probably lost, so it no longer counts for the queueing delay. It remains
        # in flight at its backend.
        self._delay.in_flight -= 1
        usual_latency, deviation = self._latencies.by_class[pending.event.request_class]
        silent_at = attempt.sent_at + usual_latency + SILENT_DEVIATIONS * deviation
        self._timers.set(silent_at, self._on_backend_silent, request, number)
        self._hedge_if_suspect(request, pending, number)

    def _on_backend_silent(self, request: int, number: int) -> None:
        """Count a missing response against a backend without any response since the attempt."""
        pending = self._requests.awaiting_attempt(request, number)
        if pending is None:
            return
        attempt = pending.attempts[number]
        backend = self._backends.by_number[attempt.backend]
        if backend.last_response_at < attempt.sent_at:
            self._outcomes.record_silence(backend)
            self._hedge_if_suspect(request, pending, number)

    def _on_hedge_delay_ended(self, request: int, number: int) -> None:
        """Hedge an attempt after the route's hedge delay, if it is still allowed."""
        pending = self._requests.awaiting_attempt(request, number)
        if pending is None:
            return
        if (
            self._may_send_another(pending)
            and self._context.settings.may_hedge
            and self._routes.may_hedge(pending)
        ):
            self._send_hedge(request, pending)

    def _hedge_if_suspect(self, request: int, pending: PendingRequest, number: int) -> None:
        """Hedge an attempt at a suspect backend, or cancel it if hedging is not allowed."""
        backend = self._backends.by_number[pending.attempts[number].backend]
        if (
            self._may_send_another(pending)
            and len(pending.attempts) < MAX_HEDGED_ATTEMPTS
            and backend.failure_fraction >= SUSPECT_FAILURE_FRACTION
            and self._routes.may_hedge(pending)
        ):
            if self._context.settings.may_hedge:
                self._send_hedge(request, pending)
            elif self._context.settings.may_cancel:
                self._context.actions.append(CancelAttempt(request, number))

    def _send_hedge(self, request: int, pending: PendingRequest) -> None:
        """Send a hedge if there is a backend for it.

        Otherwise the request is not queued, because it has an attempt in flight.
        """
        if not self.send(request, pending):
            del self.awaiting_backend[request]

    def _may_send_another(self, pending: PendingRequest) -> bool:
        """Return whether another attempt may be sent while one is in flight.

        The effect is looked up each time, because a reload may have changed the class.
        """
        if self._routes.effect(pending) is Effect.UNSAFE:
            return False
        return len(pending.attempts) < self._context.settings.max_attempts

    # Ended attempts and final answers

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Update the statistics with an ended attempt, then finish, retry or close its request."""
        number = self._customer_numbers.pop((event.request, event.attempt), None)
        if number is None:
            return
        pending = self._requests.by_number.get(event.request)
        customer = self._customers.get_known(number)
        backend = self._backends.by_number[event.backend]
        self._release_attempt(event, number, customer)
        backend.in_flight -= 1
        if pending is None or not pending.attempts[event.attempt].is_overdue:
            # An overdue attempt was subtracted when it became overdue.
            self._delay.in_flight -= 1
        self._outcomes.record_load_report(event, backend)
        self._outcomes.record_outcome(event, backend, customer)
        if pending is None:
            return
        attempt = pending.attempts[event.attempt]
        attempt.end(event.outcome)
        self._routes.on_attempt_ended(pending, event)
        if event.outcome is Outcome.OK:
            self._outcomes.record_latency(event, pending, attempt, backend)
        self._charge_actual_units(event, pending, number, customer)
        if event.is_final:
            self.finish(event.request)
        elif not pending.has_attempt_in_flight():
            self._retry_or_close(event, pending)

    def _release_attempt(self, event: AttemptEnded, number: int, customer: Customer) -> None:
        """Decrement the customer's attempts in flight, and record the attempt's usage report."""
        customer.in_flight -= 1
        if event.reported_usage is not None:
            customer.reported_usage = event.reported_usage
            customer.reported_usage_at = self._context.now
        if self._context.settings.plans[customer.plan_number].max_in_flight:
            self._gossip.report(number, customer)

    def _charge_actual_units(
        self, event: AttemptEnded, pending: PendingRequest, number: int, customer: Customer
    ) -> None:
        """Replace the charge for the expected units with one for the actual units."""
        if self._context.settings.charges_actual_units and event.actual_units:
            difference = event.actual_units - pending.event.units
            customer.quota.take(difference, may_go_negative=True)
            customer.admitted_units += difference
            self._gossip.report(number, customer)

    def _retry_or_close(self, event: AttemptEnded, pending: PendingRequest) -> None:
        """Retry a request that has no attempt in flight, or give its final answer."""
        pause = self._retry_pause(event, pending)
        if pause:
            retry_at = self._context.now + pause
            self._timers.set(retry_at, self._on_retry_pause_ended, event.request)
            return
        if pause is not None:
            self.send(event.request, pending)
        if not pending.has_attempt_in_flight():
            self.close(event.request)

    def _retry_pause(self, event: AttemptEnded, pending: PendingRequest) -> float | None:
        """Return the seconds to wait before a retry; None if the request must not be retried."""
        objective = pending.request_class.latency_objective
        if self._delay.smoothed_latency > NO_RETRY_LATENCY_FRACTION * objective:
            return None
        if self._context.now > self._routes.answer_deadline(pending):
            return None
        if len(pending.attempts) >= self._context.settings.max_attempts:
            return None
        return self._routes.retry_pause(pending, event.outcome)

    def _on_retry_pause_ended(self, request: int) -> None:
        """Retry after a pause, unless the routes were reloaded and no longer allow the retry."""
        pending = self._requests.by_number.get(request)
        if pending is None or pending.has_attempt_in_flight():
            return
        if self._routes.still_allows_retry(pending):
            self.send(request, pending)
        if not pending.has_attempt_in_flight():
            self.close(request)

    def close(self, request: int) -> None:
        """Give the final answer; it is a rejection only if a retry is harmless (rule 2)."""
        pending = self._requests.by_number.get(request)
        if pending is None or request in self._requests.streaming:
            return
        if pending.first_possible_run() is None or self._routes.effect(pending) is Effect.SAFE:
            reject(self._context, request, pending.request_class)
        else:
            self._context.actions.append(Fail(request))
        self.finish(request)

    def finish(self, request: int) -> None:
        """Remove a request that has its final answer, or whose client has disconnected."""
        self.awaiting_backend.pop(request, None)
        pending = self._requests.by_number.pop(request, None)
        if pending is None:
            return
        self.cancel_deadline_timer(pending)
        may_cancel = self._context.settings.may_cancel
        for number, attempt in enumerate(pending.attempts):
            if not attempt.is_in_flight:
                continue
            if attempt.is_overdue:
                # The end of the attempt subtracts it again, because its request is then unknown.
                self._delay.in_flight += 1
            if may_cancel and request not in self._requests.streaming:
                self._context.actions.append(CancelAttempt(request, number))
        self._requests.streaming.discard(request)
        self._routes.leave(pending)
