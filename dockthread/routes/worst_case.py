"""The worst case of a route for a request class: how long a request takes, how much load it makes.

With n attempts of at most T, backoffs b and a wait q in the queue the last attempt ends by
q + n * T + sum(b).  A hedge runs beside its first attempt and begins at most the hedge delay later,
so it ends by  q + delay + T;  it counts among the n. Where an attempt has no timeout of its own,
the time limit of the request bounds it.

Times are in seconds. All is computed, nothing measured.
"""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.policy import PolicySettings, RequestClass
from dockthread.routes.rules import Rules

TIME_TOLERANCE = 1e-9  # s: sums of times are floating-point numbers


@dataclass(frozen=True, slots=True)
class WorstCase:
    """The longest course of one request; times are in seconds.

    Attributes:
        attempts: How many attempts there are.
        attempt_timeout: The time for an attempt; the request's where it has none of its own.
        backoffs: The longest waits between the attempts.
        queue_wait: The longest wait for the concurrency limit.
        time_limit: The client's deadline, or the route's timeout where it is shorter.
        is_bounded: Whether each attempt has a timeout of its own.
        hedge_delay: The fixed time after which a hedge goes; 0 where there is none.
    """

    attempts: int
    attempt_timeout: float
    backoffs: tuple[float, ...]
    queue_wait: float
    time_limit: float
    is_bounded: bool
    hedge_delay: float

    @property
    def total(self) -> float:
        """The time until the last attempt has ended."""
        if not self.is_bounded:
            return self.time_limit
        sequential = self.attempts * self.attempt_timeout + sum(self.backoffs)
        hedged = self.hedge_delay + self.attempt_timeout if self.hedge_delay else 0.0
        return self.queue_wait + max(sequential, hedged)

    @property
    def exceeds_time_limit(self) -> bool:
        """Whether the last attempt may end after the request's time limit."""
        return self.total > self.time_limit + TIME_TOLERANCE


def worst_case(rules: Rules, request_class: RequestClass, settings: PolicySettings) -> WorstCase:
    """Return the worst case of a request of that class under a route's rules."""
    time_limit = min(request_class.deadline, rules.timeout or request_class.deadline)
    attempts = min(rules.attempts or settings.max_attempts, settings.max_attempts)
    never_retries = rules.retry_on is not None and not rules.retry_on
    if never_retries and not rules.hedging:
        attempts = 1
    backoffs = tuple(
        min(rules.max_backoff, rules.backoff * 2.0**doublings) for doublings in range(attempts - 1)
    )
    return WorstCase(
        attempts=attempts,
        attempt_timeout=rules.attempt_timeout or time_limit,
        backoffs=backoffs if rules.backoff else (),
        queue_wait=rules.queue_wait,
        time_limit=time_limit,
        is_bounded=bool(rules.attempt_timeout),
        hedge_delay=rules.fixed_hedge_delay if rules.hedging else 0.0,
    )


def amplification(budget_ratio: float, attempts: int) -> float:
    """Return the most attempts for each first attempt, in the long run."""
    return min(float(attempts), 1.0 + budget_ratio)
