"""The state that the requests of one route share: budgets, the concurrency limit and counters.

Times are in seconds.
"""

from __future__ import annotations

import random

from ddsketch import LogCollapsingLowestDenseDDSketch

from dockthread.routes.concurrency_limit import ConcurrencyLimit
from dockthread.routes.retry_budget import RetryBudget
from dockthread.routes.wait_queue import WaitQueue

SKETCH_PERIOD = 2000  # answers after which a new sketch is started and the older one is dropped
MIN_ANSWERS = 50  # answers that a percentile needs to be meaningful
SKETCH_ACCURACY = 0.02  # relative error of a percentile
SKETCH_BINS = 256  # bounds the memory that a route uses


class RouteUsage:
    """The state of one route, which survives a reload if the route keeps its name.

    The metrics report the counters under their attribute names.

    Attributes:
        budget: The budget for retries and hedges together; None if they are unbounded.
        hedge_budget: An additional budget for hedges.
        limit: The concurrency limit.
        queue: The requests that wait for admission under the limit.
        rng: The source of random backoffs.
        open: The number of requests that have no final answer yet.
        requests: The number of requests that took the route.
        attempts: The number of attempts that were sent, including hedges.
        hedges: The number of hedges that were sent.
        successful_hedges: The number of hedges that succeeded.
        queued: The number of requests that were queued.
        refused_limit: The number of requests rejected because of the limit or the queue.
        refused_budget: The number of retries and hedges that a budget refused.
        queue_wait: The total time (s) that requests spent in the queue before admission.
    """

    __slots__ = (
        "_answer_count",
        "_sketches",
        "attempts",
        "budget",
        "hedge_budget",
        "hedges",
        "limit",
        "open",
        "queue",
        "queue_wait",
        "queued",
        "refused_budget",
        "refused_limit",
        "requests",
        "rng",
        "successful_hedges",
    )

    def __init__(
        self,
        budget: RetryBudget | None,
        limit: ConcurrencyLimit,
        max_queue_length: int,
        now: float,
        rng: random.Random,
    ) -> None:
        self.budget = budget
        self.hedge_budget = RetryBudget(1.0, 0.0, now)
        self.limit = limit
        self.queue = WaitQueue(max_queue_length)
        self.rng = rng
        self.open = 0
        self.requests = 0
        self.attempts = 0
        self.hedges = 0
        self.successful_hedges = 0
        self.queued = 0
        self.refused_limit = 0
        self.refused_budget = 0
        self.queue_wait = 0.0
        # The current and the previous sketch. They are created with the first answer, because most
        # of many routes are idle.
        self._sketches: list[LogCollapsingLowestDenseDDSketch] = []
        self._answer_count = 0

    def record_answer_time(self, duration: float) -> None:
        """Record the duration of a successful attempt for the percentiles."""
        if not self._sketches:
            self._sketches = [_new_sketch(), _new_sketch()]
        self._sketches[0].add(duration)
        self._answer_count += 1
        if self._answer_count % SKETCH_PERIOD == 0:
            self._sketches = [_new_sketch(), self._sketches[0]]

    def percentile(self, quantile: float) -> float | None:
        """Return a quantile (0 to 1) of the answer times (s), or None while too few are known."""
        if self._answer_count < MIN_ANSWERS:
            return None
        # At the start of a period the previous sketch is used, because it has more data.
        current, previous = self._sketches
        sketch = current if current.count >= MIN_ANSWERS else previous
        value = sketch.get_quantile_value(quantile)
        return float(value) if value is not None else None


def _new_sketch() -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(SKETCH_ACCURACY, SKETCH_BINS)
