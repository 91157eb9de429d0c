"""The worst case of a route for a class: how long a request may take, and how much more the nodes
may see. Times in seconds; all computed, nothing guessed.

With n attempts of at most T, waits w and a wait in the queue q the last attempt ends by  q + n * T
+ sum(w).  A copy runs beside its first and begins at most `copy_after` later, so it ends by  q +
copy_after + T  and is covered by the same bound, which counts it among the n. Where an attempt has
no time-out of its own, the whole time bounds it.
"""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.policy import PolicySettings, RequestClass
from dockthread.routes.bounds import Rules


@dataclass(frozen=True, slots=True)
class Worst:
    attempts: int
    each: float  # an attempt's time-out; the whole time where it has none
    waits: tuple[float, ...]
    queue: float
    whole: float  # the client's time, or the route's where it is shorter
    bounded: bool  # whether each attempt has a time-out of its own
    copy_after: float

    @property
    def total(self) -> float:
        """Of attempts, waits and queue; the whole time where attempts have no time-out of their
        own.
        """
        if not self.bounded:
            return self.whole
        sequential = self.attempts * self.each + sum(self.waits)
        beside = self.copy_after + self.each if self.copy_after else 0.0
        return self.queue + max(sequential, beside)

    @property
    def outlasts(self) -> bool:
        return self.total > self.whole + 1e-9


def worst(rules: Rules, of: RequestClass, settings: PolicySettings) -> Worst:
    whole = min(of.deadline, rules.timeout or of.deadline)
    attempts = min(rules.attempts or settings.max_attempts, settings.max_attempts)
    if rules.retry_on is not None and not rules.retry_on and not rules.copies:
        attempts = 1
    waits = tuple(min(rules.backoff_max, rules.backoff * 2.0**n) for n in range(attempts - 1))
    return Worst(
        attempts=attempts,
        each=rules.attempt_timeout or whole,
        waits=waits if rules.backoff else (),
        queue=rules.queue_wait,
        whole=whole,
        bounded=bool(rules.attempt_timeout),
        copy_after=rules.copy_fixed if rules.copies else 0.0,
    )


def amplification(budget: float, attempts: int) -> float:
    """Attempts a first try at most, in the long run: by the budget, and never more than the
    attempts allowed.
    """
    return min(float(attempts), 1.0 + budget)
