"""Executes the actions of the policy engine: attempts, responses, timers, quota and gossip."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import Any

from dockthread.net import resp
from dockthread.net.backend_connection import Attempt
from dockthread.net.connection_pool import ConnectionPool
from dockthread.net.context import IngressContext
from dockthread.net.gossip_transport import GossipTransport
from dockthread.net.quota_counter import QuotaCounterClient
from dockthread.net.request import Request, RequestState
from dockthread.net.requests_in_flight import RequestTable
from dockthread.observer import FAILED, REJECTED, DropReason, Observer
from dockthread.policy import (
    AddToCounter,
    CancelAttempt,
    Fail,
    Outcome,
    PollEndpoints,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    TimerFired,
)

# An attempt whose deadline is this close to its request's deadline gets no timer of its own: the
# request ends its attempts when its own deadline passes.
DEADLINE_TOLERANCE_MS = 1.0


class ActionExecutor:
    """Executes the actions of the policy engine; `handlers` maps action types to methods."""

    def __init__(
        self,
        context: IngressContext,
        requests: RequestTable,
        pool: ConnectionPool,
        counter: QuotaCounterClient,
        gossip: GossipTransport,
    ) -> None:
        self.observer = Observer()
        self._clock = context.clock
        self._timers = context.timers
        self._call_at = context.timers.call_at
        self._dispatch = context.dispatch
        self._endpoints = context.endpoints
        self._traffic = context.traffic
        self._requests = requests
        self._pool = pool
        self._counter = counter
        self._gossip = gossip

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the method that executes each type of action."""
        return {
            SendAttempt: self._send_attempt,
            Reject: self._reject,
            Fail: self._fail,
            CancelAttempt: self._cancel_attempt,
            SetTimer: self._set_timer,
            AddToCounter: self._add_to_counter,
            SendGossip: self._gossip.send,
            PollEndpoints: self._poll_endpoints,
        }

    def _send_attempt(self, action: SendAttempt) -> None:
        request = self._requests.by_number[action.request]
        now = self._clock.now()
        deadline_ms = request.deadline_ms
        if action.timeout > 0:
            deadline_ms = min(deadline_ms, now + action.timeout * 1000.0)
        attempt = Attempt(
            request.number,
            len(request.attempts),
            action.backend,
            request.command,
            now,
            deadline_ms,
            action.start_deadline * 1000.0,
            request.connection,
        )
        self._traffic.attempts_started += 1
        self._traffic.hedges_started += request.attempts_in_flight > 0
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if self.observer.tracing:
            self._trace_attempt_sent(request, attempt)
        if deadline_ms < request.deadline_ms - DEADLINE_TOLERANCE_MS:
            self._call_at(deadline_ms, self._pool.end, attempt, Outcome.TIMEOUT)
        if request.state is not RequestState.IN_FLIGHT:
            self._pool.end(attempt, Outcome.NOT_SENT)
        elif request.connection.has_disconnected():
            request.connection.close_soon()
            self._traffic.drops[DropReason.CLIENT_LEFT] += 1
            self._pool.end(attempt, Outcome.NOT_SENT)
        else:
            self._pool.start(attempt)

    def _trace_attempt_sent(self, request: Request, attempt: Attempt) -> None:
        self.observer.event(
            "call",
            node=self._endpoints.uid_of(attempt.backend),
            number=attempt.number,
            kind=request.command.request_class,
            age=self._endpoints.age_ms(attempt.backend),
        )

    def _reject(self, action: Reject) -> None:
        request = self._requests.by_number.get(action.request)
        if request is None or request.state is not RequestState.IN_FLIGHT:
            return
        max_retry_after_ms = self._requests.limits.max_retry_after_ms
        response = resp.encode_busy(min(action.retry_after * 1000.0, max_retry_after_ms))
        reason = action.reason or request.last_outcome
        self._requests.respond(request, response, REJECTED, reason)

    def _fail(self, action: Fail) -> None:
        request = self._requests.by_number.get(action.request)
        if request is None or request.state is not RequestState.IN_FLIGHT:
            return
        self._requests.respond(request, resp.FAILED, FAILED, request.last_outcome)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        request = self._requests.by_number.get(action.request)
        if request is not None:
            self._pool.end(request.attempts[action.attempt], Outcome.CANCELLED)

    def _set_timer(self, action: SetTimer) -> None:
        self._call_at(action.at * 1000.0, self._dispatch, TimerFired(action.token))

    def discard_cancelled_timers(self, pending: Container[int]) -> None:
        """Drop the timers of the policy engine that are not among its pending ones."""

        def is_cancelled(arguments: tuple[Any, ...]) -> bool:
            event = arguments[0] if arguments else None
            return isinstance(event, TimerFired) and event.token not in pending

        self._timers.discard(is_cancelled)

    def _add_to_counter(self, action: AddToCounter) -> None:
        self._counter.add(action.name, action.amount, action.lifetime * 1000.0)

    def _poll_endpoints(self, action: PollEndpoints) -> None:
        """Do nothing: the discovery watch is always open and receives changes without polling."""
