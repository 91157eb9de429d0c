"""The worst case of a route for a request class: the duration of a request and its load.

With n attempts that each take at most T, backoffs b and a wait q in the queue, the last attempt
ends by  q + n * T + sum(b).  A hedge runs in parallel with the first attempt and starts at most the
hedge delay after it, so it ends by  q + delay + T.  A hedge counts as one of the n attempts. If the
route has no attempt timeout, the time limit of the request bounds each attempt.

Times are in seconds. All values are computed from the settings, not measured.
"""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.policy import PolicySettings, RequestClass
from dockthread.routes.rules import Rules

TIME_TOLERANCE = 1e-9  # s; allows for the rounding errors of floating-point sums


@dataclass(frozen=True, slots=True)
class WorstCase:
    """The worst case of one request; times are in seconds.

    Attributes:
        attempts: The largest number of attempts.
        attempt_timeout: The timeout of one attempt; the request's time limit if it has none.
        backoffs: The longest backoffs between the attempts.
        queue_wait: The longest wait in the queue.
        time_limit: The client's deadline, or the route's timeout if that is shorter.
        has_attempt_timeout: Whether attempts have their own timeout.
        hedge_delay: The fixed hedge delay; 0 if there is none.
    """

    attempts: int
    attempt_timeout: float
    backoffs: tuple[float, ...]
    queue_wait: float
    time_limit: float
    has_attempt_timeout: bool
    hedge_delay: float

    @property
    def total(self) -> float:
        """The time from the request's arrival to the end of its last attempt."""
        if not self.has_attempt_timeout:
            return self.time_limit
        sequential_time = self.attempts * self.attempt_timeout + sum(self.backoffs)
        hedged_time = self.hedge_delay + self.attempt_timeout if self.hedge_delay else 0.0
        return self.queue_wait + max(sequential_time, hedged_time)

    @property
    def exceeds_time_limit(self) -> bool:
        """Whether the last attempt can end after the request's time limit."""
        return self.total > self.time_limit + TIME_TOLERANCE


def worst_case(rules: Rules, request_class: RequestClass, settings: PolicySettings) -> WorstCase:
    """Return the worst case of a request of the given class under a route's rules."""
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
        has_attempt_timeout=bool(rules.attempt_timeout),
        hedge_delay=rules.fixed_hedge_delay if rules.hedging else 0.0,
    )


def amplification(budget_ratio: float, attempts: int) -> float:
    """Return the long-run maximum number of attempts per request."""
    return min(float(attempts), 1.0 + budget_ratio)
