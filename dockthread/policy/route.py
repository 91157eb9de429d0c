"""The interface through which a request's route adds limits to those of the deployment.

`dockthread/routes/bounds.py` implements it. A route can only restrict how the engine handles a
request.
"""

from __future__ import annotations

from typing import Protocol

from dockthread.policy.model import Endpoint, Outcome


class Route(Protocol):
    """The limits of one request's route; times and durations are in seconds.

    The attempts of the request are numbered from 0 in the order in which they are sent.
    """

    @property
    def is_queued(self) -> bool:
        """Whether the request still waits for the route's concurrency limit."""
        ...

    @property
    def max_queue_wait(self) -> float:
        """The maximum time (s) that the request may wait for the concurrency limit."""
        ...

    @property
    def restricts_backends(self) -> bool:
        """Whether only some backends may be sent the request."""
        ...

    @property
    def attempt_timeout(self) -> float:
        """The maximum time (s) that one attempt may take; 0 if the route sets no limit."""
        ...

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether this backend may be sent the request."""
        ...

    def admit_or_queue(
        self, request: int, priority_weight: float, now: float
    ) -> tuple[bool, int | None]:
        """Let the request pass the concurrency limit, or queue it.

        Returns:
            Whether the request is within the limit; and, if it is not, the request to reject: this
            request, a queued one that makes room for it, or None.
        """
        ...

    def on_dequeued(self, now: float) -> None:
        """Record that the request was taken from the queue and is within the limit."""
        ...

    def on_queue_timeout(self, request: int) -> None:
        """Remove the request from the queue, because it has waited for `max_queue_wait`."""
        ...

    def release(self, request: int) -> list[int]:
        """Finish the request and return the queued requests that are now within the limit."""
        ...

    def on_attempt_sent(self, number: int, now: float) -> None:
        """Record that an attempt was sent."""
        ...

    def hedge_delay(self) -> float | None:
        """Return the time (s) after which to hedge an attempt; None if the engine decides it."""
        ...

    def try_hedge(self, sent: int, now: float) -> bool:
        """Return whether a hedge may be sent after `sent` attempts; if so, use the retry budget."""
        ...

    def retry_delay(self, sent: int, outcome: Outcome, now: float) -> float | None:
        """Return the time (s) to wait before the next attempt, which uses the retry budget.

        Args:
            sent: number of attempts sent so far.
            outcome: the outcome of the last attempt.
            now: current time, s on the engine's clock.

        Returns:
            The time to wait; None if no further attempt is allowed.
        """
        ...

    def may_still_retry(self, sent: int, outcome: Outcome) -> bool:
        """Return whether the retry that `retry_delay` allowed is still allowed after the wait."""
        ...

    def on_attempt_ended(self, number: int, outcome: Outcome, duration: float, now: float) -> None:
        """Record the outcome and the duration (s) of an attempt."""
        ...
