"""What a request's route and its class's effect allow: backends, attempts, pauses and hedges.

A route comes with the request (`Route`). It narrows what the settings allow and widens nothing.
Without a route, every answer here is what the settings say.
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

# Effects from the one that allows most to the one that allows least.
EFFECTS_BY_STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
# Ticks of the engine's clock before a deadline at which the final answer has to be given.
DEADLINE_TICKS = 2


class RouteConstraints:
    """Applies the constraints of requests' routes.

    Attributes:
        admitted: requests that waited for their route's concurrency limit and are inside it now.
            The engine decides them at the end of the event.
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

    # Repeats (rule 2)

    def effect(self, pending: PendingRequest) -> Effect:
        """Return the stricter of the class's effect at the arrival and by a reload since."""
        current = self._context.settings.classes[pending.event.request_class].effect
        return max(pending.request_class.effect, current, key=EFFECTS_BY_STRICTNESS.index)

    def repeat_window_end(self, possible_run: Attempt, pending: PendingRequest) -> float:
        """Return until when a request that may have run can be repeated, in seconds."""
        window = pending.request_class.deduplication_window
        return possible_run.sent_at + window - self._context.settings.clock_tick

    def start_deadline(self, pending: PendingRequest) -> float:
        """Return when the first byte of the attempt just added must be sent, in seconds."""
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
        """Return the backends that the route allows; all where none of these is ready."""
        route = pending.event.route
        if route is None or not route.restricts_backends:
            return self._pool
        return self._pool.filtered(route.allows) or self._pool

    def deduplicating(
        self, pending: PendingRequest, home: Endpoint, candidates: DrawableBackends
    ) -> DrawableBackends:
        """Return the candidates that drop repeats of an attempt that may have run at `home`."""
        near = self._pool.in_scope(home, pending.request_class.deduplication_scope)
        route = pending.event.route
        if candidates is self._pool or route is None:
            return near
        return FilteredPool(near, route.allows)

    # The route's concurrency limit

    def enter(self, pending: PendingRequest) -> bool:
        """Return whether a request is inside its route's concurrency limit.

        Otherwise it waits in the route's queue, or it or a request of less priority is rejected.
        """
        event = pending.event
        route = event.route
        if route is None or not route.is_queued:
            return True
        plan = self._context.settings.plans[event.plan]
        priority = pending.request_class.priority_weight * plan.priority_multiplier * event.units
        is_inside, rejected = route.enter(event.request, priority, self._context.now)
        if is_inside:
            return True
        self._requests.by_number[event.request] = pending
        if rejected != event.request:
            wait_ends_at = self._context.now + route.max_queue_wait
            self._timers.set(wait_ends_at, self._on_queue_wait_ended, event.request)
        if rejected is not None:
            self._reject_queued(rejected)
        return False

    def leave(self, pending: PendingRequest) -> None:
        """Free a request's place in its route's limit for those that wait for it."""
        route = pending.event.route
        if route is None:
            return
        for request in route.release(pending.event.request):
            waiting = self._requests.by_number.get(request)
            if waiting is not None and waiting.event.route is not None:
                waiting.event.route.on_dequeued(self._context.now)
                self.admitted.append(request)

    def _on_queue_wait_ended(self, request: int) -> None:
        """Reject a request that has waited in its route's queue for as long as it may."""
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
        """Tell the route that the request's last attempt is being sent."""
        route = pending.event.route
        if route is not None:
            route.on_attempt_sent(len(pending.attempts) - 1, self._context.now)

    def hedge_delay(self, pending: PendingRequest) -> float | None:
        """Return the seconds after which the route itself hedges an attempt, or None."""
        route = pending.event.route
        return None if route is None else route.hedge_delay()

    def attempt_timeout(self, pending: PendingRequest) -> float:
        """Return the seconds that the attempt being sent may take."""
        remaining = max(pending.deadline - self._context.now, 0.0)
        route = pending.event.route
        if route is None:
            return remaining
        return min(remaining, route.attempt_timeout or remaining)

    def may_hedge(self, pending: PendingRequest) -> bool:
        """Return whether the route allows a hedge now. It draws on the route's budget."""
        route = pending.event.route
        return route is None or route.try_hedge(len(pending.attempts), self._context.now)

    def retry_pause(self, pending: PendingRequest, outcome: Outcome) -> float | None:
        """Return the seconds to wait before a retry, or None where the route allows none.

        It draws on the route's retry budget. A final answer is never delayed: where the pause
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
        """Return whether a retry that was allowed before a pause still is after a reload."""
        route = pending.event.route
        outcome = pending.attempts[-1].outcome
        if outcome is None or route is None:
            return True
        return route.may_still_retry(len(pending.attempts), outcome)

    def answer_deadline(self, pending: PendingRequest) -> float:
        """Return the latest time for the final answer, just before the client stops waiting."""
        return pending.deadline - DEADLINE_TICKS * self._context.settings.clock_tick

    def on_attempt_ended(self, pending: PendingRequest, event: AttemptEnded) -> None:
        """Tell the route how an attempt ended."""
        route = pending.event.route
        if route is not None:
            route.on_attempt_ended(event.attempt, event.outcome, event.duration, self._context.now)
