"""The requests in flight, each from its arrival to its single final response."""

from __future__ import annotations

from dataclasses import dataclass

from loguru import logger

from dockthread.net import resp
from dockthread.net.backend_connection import Attempt
from dockthread.net.connection_host import RequestSource, ResponseSlot
from dockthread.net.connection_pool import ConnectionPool
from dockthread.net.context import MAINTENANCE_INTERVAL_MS, IngressContext
from dockthread.net.request import Request, RequestState, RouteLookup
from dockthread.net.request_ids import RequestIds
from dockthread.net.response_queue import ResponseStream
from dockthread.observer import FAILED, REJECTED, SERVED, DropReason, Observer
from dockthread.policy import (
    AttemptEnded,
    ClientDisconnected,
    Outcome,
    RequestArrived,
    ResponseStarted,
)

# Time deducted from a request's time budget for the transit of request and response and for late
# timers. The client measures from the time when it sent the request. The policy engine answers two
# clock ticks before the deadline, and its timer may be one tick late. Without this deduction some
# responses arrived after the client had timed out.
TRANSIT_TIME_MS = 5.0
MIN_BUDGET_PER_TRANSIT = 10.0  # The deduction is at most one tenth of the time budget.
# Minimum share of the time budget that must be left after a late read. A request with less is
# rejected immediately without an attempt.
MIN_TIME_LEFT_SHARE = 0.1
# Time before its deadline at which a request gets a deadline timer. Two maintenance intervals
# ensure that maintenance starts the timer before the deadline.
DEADLINE_TIMER_LEAD_MS = 2 * MAINTENANCE_INTERVAL_MS


@dataclass(slots=True)
class RequestLimits:
    """Maximum number of requests in an ingress, and maximum total size of their bodies.

    `max_retry_after_ms` is the longest retry delay that a rejection may advise.
    """

    max_requests: int
    max_body_bytes: int
    max_retry_after_ms: float


class RequestTable:
    """All requests, by number, that are unanswered or have an attempt in flight."""

    def __init__(
        self,
        context: IngressContext,
        pool: ConnectionPool,
        limits: RequestLimits,
        request_ids: RequestIds,
    ) -> None:
        self.observer = Observer()
        self.routes: RouteLookup | None = None
        self.limits = limits
        self.by_number: dict[int, Request] = {}
        self.body_bytes = 0  # total size of the bodies of the requests in `by_number`
        self.latest_deadline_ms = 0.0  # of all requests accepted so far, also answered ones
        self._last_number = 0
        self._wire_ids_in_flight: set[bytes] = set()
        self._request_ids = request_ids
        self._clock = context.clock
        self._call_at = context.timers.call_at
        self._lifecycle = context.lifecycle
        self._event_loop_lag = context.event_loop_lag
        self._endpoints = context.endpoints
        self._traffic = context.traffic
        self._dispatch = context.dispatch
        self._pool = pool

    def __len__(self) -> int:
        return len(self.by_number)

    @property
    def unanswered(self) -> int:
        """The number of requests without a response."""
        return sum(not request.is_finished for request in self.by_number.values())

    # Arrival

    def accept(self, connection: RequestSource, command: resp.RequestCommand) -> ResponseSlot:
        """Pass a request to the policy engine, or reject it immediately.

        Returns the slot for its response.
        """
        slot = self._accept(connection, command)
        if not isinstance(slot, Request):
            command.release_body()
        return slot

    def _accept(self, connection: RequestSource, command: resp.RequestCommand) -> ResponseSlot:
        body_bytes = self.body_bytes + command.body_bytes
        is_full = len(self.by_number) >= self.limits.max_requests
        if is_full or body_bytes > self.limits.max_body_bytes or self._lifecycle.draining:
            return self._reject_without_capacity(command, body_bytes)
        now = self._clock.now()
        time_budget_ms = command.time_left_ms
        lag_ms = self._event_loop_lag.lag_ms(connection.earliest_arrival_ms, now)
        transit_time_ms = min(TRANSIT_TIME_MS, time_budget_ms / MIN_BUDGET_PER_TRANSIT)
        time_left_ms = time_budget_ms - transit_time_ms - lag_ms
        if lag_ms and time_left_ms < time_budget_ms * MIN_TIME_LEFT_SHARE:
            return self._reject_at_once(command, "late")
        if not self._claim_id(command, now + time_left_ms):
            self._traffic.drops[DropReason.REPEATED_ID] += 1
            logger.debug(
                "request {} was sent before; it is not run again", command.wire_id.decode()
            )
            response = resp.encode_error("this id is open already")
            return self.respond_without_policy(command, "duplicate", response)
        return self._start(connection, command, now, time_left_ms)

    def _start(
        self,
        connection: RequestSource,
        command: resp.RequestCommand,
        now: float,
        time_left_ms: float,
    ) -> Request:
        """Enter a request into the table, and pass it to the policy engine."""
        self._last_number += 1
        route = self.routes.bounds(command) if self.routes is not None else None
        if route is not None and route.timeout:
            time_left_ms = min(time_left_ms, route.timeout)
        request = Request(self._last_number, connection, command, now + time_left_ms, time_left_ms)
        self.by_number[request.number] = request
        self.latest_deadline_ms = max(self.latest_deadline_ms, request.deadline_ms)
        self._wire_ids_in_flight.add(command.wire_id)
        self.body_bytes += command.body_bytes
        if time_left_ms <= DEADLINE_TIMER_LEAD_MS:
            self._start_deadline_timer(request)
        self._dispatch(
            RequestArrived(
                request.number,
                command.request_class,
                command.plan,
                command.customer,
                time_left_ms / 1000.0,
                command.units,
                command.spread,
                command.first,
                route,
            )
        )
        return request

    def _claim_id(self, command: resp.RequestCommand, deadline_ms: float) -> bool:
        """Return False if a request with this id is in flight, or must not run again."""
        if command.wire_id in self._wire_ids_in_flight:
            return False
        return command.may_be_repeated or self._request_ids.claim(command.wire_id, deadline_ms)

    def _reject_without_capacity(
        self, command: resp.RequestCommand, body_bytes: int
    ) -> ResponseSlot:
        """Reject a request because the ingress has no capacity for it or is draining."""
        if self._lifecycle.draining:
            return self._reject_at_once(command, "draining")
        is_over_memory = body_bytes > self.limits.max_body_bytes
        return self._reject_at_once(command, "bodies" if is_over_memory else "crowded")

    def reject_without_memory(self, command: resp.RequestCommand) -> ResponseSlot:
        """Reject a request whose body there is no memory for."""
        self._traffic.drops[DropReason.NO_MEMORY] += 1
        return self._reject_at_once(command, "draining" if self._lifecycle.draining else "bodies")

    def _reject_at_once(self, command: resp.RequestCommand, reason: str) -> ResponseSlot:
        response = resp.encode_busy(self.limits.max_retry_after_ms)
        return self.respond_without_policy(command, reason, response)

    def respond_without_policy(
        self, command: resp.RequestCommand, reason: str, response: bytes
    ) -> ResponseSlot:
        """Respond to a request without consulting the policy engine; count it under `reason`.

        A `-BUSY` response counts as rejected, any other response as failed.
        """
        outcome = REJECTED if response.startswith(resp.BUSY[:5]) else FAILED
        self._traffic.outcomes[outcome][command.request_class] += 1
        self.observer.request_completed(
            command.request_class,
            command.plan,
            command.customer,
            outcome,
            reason,
            0.0,
            command.units,
            was_forwarded=False,
            is_late=False,
        )
        return ResponseSlot(response)

    # Response

    def respond(self, request: Request, response: bytes, outcome: str, reason: str = "") -> None:
        """Send the final response of a request in flight.

        `outcome` is one of the observer's `SERVED`, `REJECTED` and `FAILED`; `reason` is reported
        to telemetry for a request that was not served.
        """
        request.response = response
        self._record_answer(request, outcome, reason)
        request.connection.flush()
        self._forget_if_done(request)

    def _record_answer(self, request: Request, outcome: str, reason: str = "") -> None:
        """Record that a request has its final response."""
        request.state = RequestState.ANSWERED
        command = request.command
        self._traffic.outcomes[outcome][command.request_class] += 1
        self._wire_ids_in_flight.discard(command.wire_id)
        if self.observer.active:
            duration_ms = self._clock.now() - request.arrived_ms
            self.observer.request_completed(
                command.request_class,
                command.plan,
                command.customer,
                outcome,
                reason,
                duration_ms,
                command.units,
                was_forwarded=bool(request.attempts),
                is_late=duration_ms > command.latency_objective_ms,
            )

    # A response that is passed on while its backend writes it

    def begin_response(self, attempt: Attempt) -> ResponseStream | None:
        """Let an attempt answer its request; return None if that is answered already.

        No other attempt can answer the request any more, and its deadline does not end it.
        """
        request = self.by_number.get(attempt.request_number)
        if request is None or request.state is not RequestState.IN_FLIGHT:
            return None
        request.state = RequestState.RESPONDING
        attempt.response_started_ms = self._clock.now()
        stream = request.connection.open_stream(request)
        self._dispatch(ResponseStarted(request.number, attempt.number, attempt.backend))
        for other in request.attempts:
            if other is not attempt:
                self._pool.end(other, Outcome.CANCELLED)
        request.connection.flush()
        return stream

    def complete_response(self, attempt: Attempt) -> None:
        """Record that the value of an attempt that answers its request was passed on whole."""
        request = self.by_number[attempt.request_number]
        if request.is_responding:
            attempt.is_response_complete = True
            self._record_answer(request, SERVED)

    def _end_response(self, request: Request) -> None:
        """End a response whose backend broke off, so that its client can tell it is not whole."""
        self._traffic.drops[DropReason.RESPONSE_CUT] += 1
        logger.info(
            "request {} ended within its response: {}",
            request.command.wire_id.decode(),
            request.last_outcome,
        )
        self._record_answer(request, FAILED, request.last_outcome)
        request.connection.abort_response()

    def on_attempt_ended(self, attempt: Attempt, reply: resp.BackendReply) -> None:
        """Respond to the request if the attempt succeeded, and notify the policy engine."""
        request = self.by_number[attempt.request_number]
        request.attempts_in_flight -= 1
        if request.is_responding and attempt.response_started_ms is not None:
            self._end_response(request)
        is_first_success = reply.outcome is Outcome.OK and not request.is_finished
        is_answer = is_first_success or attempt.is_response_complete
        # A long response takes as long as its client reads it, which says nothing of the backend.
        ended_ms = attempt.response_started_ms or self._clock.now()
        if self.observer.active:
            self.observer.attempt_ended(reply.outcome)
        if self.observer.tracing:
            self._trace_attempt_ended(attempt, reply)
        if is_first_success:
            self.respond(request, resp.encode_value(reply.value), SERVED)
        self._dispatch(
            AttemptEnded(
                attempt.request_number,
                attempt.number,
                attempt.backend,
                reply.outcome,
                request.is_finished,
                (ended_ms - attempt.started_ms) / 1000.0,
                reply.cost if is_answer else 0.0,
                reply.utilization,
                reply.load_report,
            )
        )
        self._forget_if_done(request)

    def _trace_attempt_ended(self, attempt: Attempt, reply: resp.BackendReply) -> None:
        self.observer.event(
            "ended",
            node=self._endpoints.uid_of(attempt.backend),
            outcome=reply.outcome.value.replace(" ", "-"),
            took=round(self._clock.now() - attempt.started_ms, 1),
            load=",".join(f"{number:.4g}" for number in reply.load_report) or "-",
        )

    def _forget_if_done(self, request: Request) -> None:
        """Remove a request that is finished and has no attempt in flight."""
        if (
            request.is_finished
            and not request.attempts_in_flight
            and request.number in self.by_number
        ):
            del self.by_number[request.number]
            self.body_bytes -= request.command.body_bytes
            command = request.command
            command.release_body()
            if not command.may_be_repeated and not request.may_have_run:
                self._request_ids.release(command.wire_id)

    # Requests that end without a reply

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        """Abandon a request whose client disconnected before the response was known."""
        if not isinstance(slot, Request) or slot.is_finished:
            return
        request = slot
        is_responding = request.is_responding
        request.state = RequestState.ABANDONED
        command = request.command
        self.observer.client_disconnected(
            command.request_class,
            command.plan,
            command.customer,
            command.units,
            bool(request.attempts),
        )
        self._dispatch(ClientDisconnected(request.number))
        for attempt in request.attempts:
            if not attempt.has_started:  # it is not needed any more
                self._pool.end(attempt, Outcome.NOT_SENT)
            elif is_responding:  # the policy engine leaves it to the client
                self._pool.end(attempt, Outcome.CANCELLED)
        self._wire_ids_in_flight.discard(command.wire_id)
        self._forget_if_done(request)

    def abandon(self, number: int) -> None:
        """Fail a request after a fault, and cancel its attempts.

        The failure response is correct whether or not an attempt has run. Does nothing if no such
        request is in flight.
        """
        request = self.by_number.get(number)
        if request is None or request.state is not RequestState.IN_FLIGHT:
            return
        self.respond(request, resp.FAILED, FAILED, "fault")
        for attempt in request.attempts:
            self._pool.end(attempt, Outcome.CANCELLED)
        self._dispatch(ClientDisconnected(number))

    def start_deadline_timers(self, now: float) -> None:
        """Start a timer for each request whose deadline is near.

        Timers are not started on arrival: most requests finish long before their deadline, and each
        unneeded timer would cause a wake-up.
        """
        for request in self.by_number.values():
            is_near = request.deadline_ms <= now + DEADLINE_TIMER_LEAD_MS
            if is_near and not request.has_deadline_timer:
                self._start_deadline_timer(request)

    def _start_deadline_timer(self, request: Request) -> None:
        request.has_deadline_timer = True
        self._call_at(request.deadline_ms, self._on_deadline, request)

    def _on_deadline(self, request: Request) -> None:
        """End a request at its deadline, when its client has timed out.

        The request is unanswered at this time only if the policy engine failed.
        """
        if request.is_responding:
            return
        for attempt in request.attempts:
            self._pool.end(attempt, Outcome.TIMEOUT)
        if not request.is_finished:
            logger.error("request {} was not answered by its deadline", request.number)
            self.abandon(request.number)
