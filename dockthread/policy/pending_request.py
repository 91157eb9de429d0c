"""Requests that have no final answer yet, and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from dockthread.policy.events import RequestArrived
from dockthread.policy.model import NEVER_RAN, Outcome, RequestClass


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one backend.

    Attributes:
        backend: the backend's number.
        sent_at: time at which it was sent, in seconds on the engine's clock.
        concurrency: estimated concurrency at the backend relative to the usual one, which is 1.
        is_in_flight: whether it has not ended yet.
        is_overdue: whether its response is taking much longer than usual.
        may_have_run: whether the backend may have executed the request.
        outcome: how it ended; None while it is in flight.
    """

    backend: int
    sent_at: float
    concurrency: float = 1.0
    is_in_flight: bool = True
    is_overdue: bool = False
    may_have_run: bool = True
    outcome: Outcome | None = None

    def end(self, outcome: Outcome) -> None:
        """Record how the attempt ended."""
        self.is_in_flight = False
        self.may_have_run = outcome not in NEVER_RAN
        self.outcome = outcome


@dataclass(slots=True)
class PendingRequest:
    """One request without a final answer.

    Attributes:
        event: the event with which it arrived.
        request_class: its class as of its arrival; a reload may have changed the class since then.
        deadline: time at which its client stops waiting, in seconds on the engine's clock.
        attempts: its attempts in the order in which they were sent.
        deadline_timer: token of the timer for its deadline; None until it is set.
    """

    event: RequestArrived
    request_class: RequestClass
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    deadline_timer: int | None = None

    def first_possible_run(self) -> Attempt | None:
        """Return the first attempt that a backend may have executed, or None."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)

    def has_attempt_in_flight(self) -> bool:
        """Return whether any attempt has not ended yet."""
        return any(attempt.is_in_flight for attempt in self.attempts)


class PendingRequests:
    """All requests without a final answer.

    Attributes:
        by_number: the requests by their number.
        streaming: numbers of the requests whose response is being passed on to the client. No other
            attempt can answer them any more.
    """

    __slots__ = ("by_number", "streaming")

    def __init__(self) -> None:
        self.by_number: dict[int, PendingRequest] = {}
        self.streaming: set[int] = set()

    def awaiting_attempt(self, request: int, number: int) -> PendingRequest | None:
        """Return the request if the attempt is in flight and no response has begun, else None."""
        pending = self.by_number.get(request)
        if pending is None or request in self.streaming:
            return None
        return pending if pending.attempts[number].is_in_flight else None
