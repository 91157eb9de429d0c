"""Constraints of a request's route and its class's effect on backends, retries and hedges.

A request may carry a `Route`. A route can only restrict what the settings allow. For a request
without a route, every method here returns what the settings allow.
"""

from __future__ import annotations

from collections import deque
from math import inf

from dockthread.policy.backend_pool import BackendPool, DrawableBackends, FilteredPool
from dockthread.policy.context import Context
from dockthread.policy.events import AttemptEnded
from dockthread.policy.model import Effect, Endpoint, Outcome
from dockthread.policy.pending_request import Attempt, PendingRequest, PendingRequests
from dockthread.policy.rejection import RejectionReason, reject
from dockthread.policy.timers import TimerQueue

# All effects, from the least to the most restrictive.
EFFECTS_BY_STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
# The final answer must be given this many ticks of the engine's clock before the deadline.
DEADLINE_TICKS = 2


class RouteConstraints:
    """Applies the constraints of requests' routes.

    Attributes:
        admitted: requests that waited for their route's concurrency limit and are now within it.
            The engine decides on them after it has handled the current event.
    """

    __slots__ = ("_context", "_pool", "_requests", "_timers", "admitted")

    def __init__(
        self, context: Context, timers: TimerQueue, requests: PendingRequests, pool: BackendPool
    ) -> None:
        self._context = context
        self._timers = timers
        self._requests = requests
        self._pool = pool
        self.admitted: deque[int] = deque()

    # Retries of requests that may have run (rule 2)

    def effect(self, pending: PendingRequest) -> Effect:
        """Return the stricter of the class's effects at the request's arrival and now."""
        current = self._context.settings.classes[pending.event.request_class].effect
        return max(pending.request_class.effect, current, key=EFFECTS_BY_STRICTNESS.index)

    def repeat_window_end(self, possible_run: Attempt, pending: PendingRequest) -> float:
        """Return the time in seconds until which a request that may have run can be repeated."""
        window = pending.request_class.deduplication_window
        return possible_run.sent_at + window - self._context.settings.clock_tick

    def start_deadline(self, pending: PendingRequest) -> float:
        """Return the time in seconds by which the newest attempt must send its first byte."""
        possible_run = pending.first_possible_run()
        if (
            possible_run is None
            or possible_run is pending.attempts[-1]
            or self.effect(pending) is Effect.SAFE
        ):
            return inf
        return self.repeat_window_end(possible_run, pending)

    # Backends

    def candidates(self, pending: PendingRequest) -> DrawableBackends:
        """Return the backends that the route allows, or all backends if none of these is ready."""
        route = pending.event.route
        if route is None or not route.restricts_backends:
            return self._pool
        return self._pool.filtered(route.allows) or self._pool

    def deduplicating_backends(
        self, pending: PendingRequest, home: Endpoint, candidates: DrawableBackends
    ) -> DrawableBackends:
        """Return the candidates that drop duplicates of an attempt that may have run at `home`."""
        in_scope_backends = self._pool.in_scope(home, pending.request_class.deduplication_scope)
        route = pending.event.route
        if candidates is self._pool or route is None:
            return in_scope_backends
        return FilteredPool(in_scope_backends, route.allows)

    # The route's concurrency limit

    def enter(self, pending: PendingRequest) -> bool:
        """Return whether a request is within its route's concurrency limit.

        If it is not, it waits in the route's queue, possibly in place of a queued request of lower
        priority that is rejected, or is rejected itself.
        """
        event = pending.event
        route = event.route
        if route is None or not route.is_queued:
            return True
        plan = self._context.settings.plans[event.plan]
        priority = pending.request_class.priority_weight * plan.priority_multiplier * event.units
        is_within_limit, rejected = route.admit_or_queue(event.request, priority, self._context.now)
        if is_within_limit:
            return True
        self._requests.by_number[event.request] = pending
        if rejected != event.request:
            wait_ends_at = self._context.now + route.max_queue_wait
            self._timers.set(wait_ends_at, self._on_queue_wait_ended, event.request)
        if rejected is not None:
            self._reject_queued(rejected)
        return False

    def leave(self, pending: PendingRequest) -> None:
        """Release a request's place in its route's concurrency limit to queued requests."""
        route = pending.event.route
        if route is None:
            return
        for request in route.release(pending.event.request):
            waiting = self._requests.by_number.get(request)
            if waiting is not None and waiting.event.route is not None:
                waiting.event.route.on_dequeued(self._context.now)
                self.admitted.append(request)

    def _on_queue_wait_ended(self, request: int) -> None:
        """Reject a request that has waited in its route's queue for the maximum time."""
        pending = self._requests.by_number.get(request)
        if pending is None:
            return
        route = pending.event.route
        if route is None or not route.is_queued or request in self.admitted:
            return
        route.on_queue_timeout(request)
        self._reject_queued(request)

    def _reject_queued(self, request: int) -> None:
        pending = self._requests.by_number.pop(request, None)
        if pending is not None:
            self.leave(pending)
            reject(self._context, request, pending.request_class, RejectionReason.ROUTE_LIMIT)

    # Attempts

    def on_attempt_sent(self, pending: PendingRequest) -> None:
        """Notify the route that the request's newest attempt is being sent."""
        route = pending.event.route
        if route is not None:
            route.on_attempt_sent(len(pending.attempts) - 1, self._context.now)

    def hedge_delay(self, pending: PendingRequest) -> float | None:
        """Return the seconds after which the route hedges an attempt; None if it sets no delay."""
        route = pending.event.route
        return None if route is None else route.hedge_delay()

    def attempt_timeout(self, pending: PendingRequest) -> float:
        """Return the timeout in seconds of an attempt that is sent now."""
        remaining = max(pending.deadline - self._context.now, 0.0)
        route = pending.event.route
        if route is None:
            return remaining
        return min(remaining, route.attempt_timeout or remaining)

    def may_hedge(self, pending: PendingRequest) -> bool:
        """Return whether the route allows a hedge now; if so, use the route's retry budget."""
        route = pending.event.route
        return route is None or route.try_hedge(len(pending.attempts), self._context.now)

    def retry_pause(self, pending: PendingRequest, outcome: Outcome) -> float | None:
        """Return the seconds to wait before a retry, or None if the route allows no retry.

        The retry uses the route's retry budget. A final answer is never delayed: if the pause
        would end too close to the deadline, there is no retry.
        """
        route = pending.event.route
        if route is None:
            return 0.0
        now = self._context.now
        pause = route.retry_delay(len(pending.attempts), outcome, now)
        if pause is None:
            return None
        return None if now + pause >= self.answer_deadline(pending) else pause

    def still_allows_retry(self, pending: PendingRequest) -> bool:
        """Return whether a retry that was allowed before a pause is still allowed after it."""
        route = pending.event.route
        outcome = pending.attempts[-1].outcome
        if outcome is None or route is None:
            return True
        return route.may_still_retry(len(pending.attempts), outcome)

    def answer_deadline(self, pending: PendingRequest) -> float:
        """Return the latest time for the final answer, just before the client stops waiting."""
        return pending.deadline - DEADLINE_TICKS * self._context.settings.clock_tick

    def on_attempt_ended(self, pending: PendingRequest, event: AttemptEnded) -> None:
        """Notify the route how an attempt ended."""
        route = pending.event.route
        if route is not None:
            route.on_attempt_ended(event.attempt, event.outcome, event.duration, self._context.now)
