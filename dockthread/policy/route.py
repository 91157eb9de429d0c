"""The interface of a request's route to the policy engine: limits beyond the deployment's own.

`dockthread/routes/bounds.py` implements it. A route may restrict what the engine would do with a
request, and never allows more.
"""

from __future__ import annotations

from typing import Protocol

from dockthread.policy.model import Endpoint, Outcome


class Route(Protocol):
    """The limits of one request's route; times and durations are in seconds.

    Attempts of the request are numbered from 0 in the order sent.
    """

    @property
    def is_queued(self) -> bool:
        """Whether the request still waits to be inside the route's concurrency limit."""
        ...

    @property
    def max_queue_wait(self) -> float:
        """The time (s) for which the request may wait for the concurrency limit."""
        ...

    @property
    def restricts_backends(self) -> bool:
        """Whether the request may go to some backends only."""
        ...

    @property
    def attempt_timeout(self) -> float:
        """The time (s) that one attempt may take; 0 where the route sets no bound."""
        ...

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether the request may go to this backend."""
        ...

    def enter(self, request: int, priority_weight: float, now: float) -> tuple[bool, int | None]:
        """Let the request inside the concurrency limit, or queue it.

        Returns:
            Whether it is inside; and, if not, the request to reject for it: itself, another one
            that waits, or None.
        """
        ...

    def on_dequeued(self, now: float) -> None:
        """Note that the request was taken from the queue and is inside the limit."""
        ...

    def on_queue_timeout(self, request: int) -> None:
        """Take the request out of the queue, as it has waited for `max_queue_wait`."""
        ...

    def release(self, request: int) -> list[int]:
        """Finish the request and return the queued requests that are inside in its place."""
        ...

    def on_attempt_sent(self, number: int, now: float) -> None:
        """Note that an attempt was sent."""
        ...

    def hedge_delay(self) -> float | None:
        """Return the time (s) after which to hedge an attempt; None to leave it to the engine."""
        ...

    def try_hedge(self, sent: int, now: float) -> bool:
        """Return whether a hedged attempt may go now, after `sent` attempts; draw on the budget."""
        ...

    def retry_delay(self, sent: int, outcome: Outcome, now: float) -> float | None:
        """Return the time (s) to wait before the next attempt and draw on the retry budget.

        Args:
            sent: attempts sent so far.
            outcome: how the last of them ended.
            now: s on the engine's clock.

        Returns:
            None where there is to be no further attempt.
        """
        ...

    def may_still_retry(self, sent: int, outcome: Outcome) -> bool:
        """Return whether the retry that `retry_delay` allowed is still allowed after the wait."""
        ...

    def on_attempt_ended(self, number: int, outcome: Outcome, duration: float, now: float) -> None:
        """Note how an attempt ended and its duration (s)."""
        ...
