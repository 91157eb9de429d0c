"""What the requests of one route share and have used: budgets, the concurrency limit and counters.

Times are in seconds.
"""

from __future__ import annotations

import random

from ddsketch import LogCollapsingLowestDenseDDSketch

from dockthread.routes.concurrency_limit import ConcurrencyLimit
from dockthread.routes.retry_budget import RetryBudget
from dockthread.routes.wait_queue import WaitQueue

SKETCH_PERIOD = 2000  # answers after which the older sketch is dropped and a new one begins
MIN_ANSWERS = 50  # before a percentile says anything
SKETCH_ACCURACY = 0.02  # relative error of a percentile
SKETCH_BINS = 256  # bounds the memory of a route


class RouteUsage:
    """State of one route, kept by the route's name over reloads.

    The counters are read under their names for the metrics.

    Attributes:
        budget: For retries and hedges; None where nothing bounds them.
        copy_budget: For hedges alone.
        limit: The concurrency limit.
        queue: The requests that wait for the limit.
        rng: For the waits between attempts.
        open: How many requests of the route have no final answer yet.
        requests: How many requests took the route.
        attempts: How many attempts were sent.
        copies: How many of these were hedges.
        copies_won: How many hedges succeeded.
        queued: How many requests waited for the limit.
        refused_limit: How many requests the limit refused.
        refused_budget: How many retries and hedges a budget refused.
        queue_wait: The time (s) waited in the queue by all requests together.
    """

    __slots__ = (
        "_answers",
        "_sketches",
        "attempts",
        "budget",
        "copies",
        "copies_won",
        "copy_budget",
        "limit",
        "open",
        "queue",
        "queue_wait",
        "queued",
        "refused_budget",
        "refused_limit",
        "requests",
        "rng",
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
        self.copy_budget = RetryBudget(1.0, 0.0, now)
        self.limit = limit
        self.queue = WaitQueue(max_queue_length)
        self.rng = rng
        self.open = 0
        self.requests = 0
        self.attempts = 0
        self.copies = 0
        self.copies_won = 0
        self.queued = 0
        self.refused_limit = 0
        self.refused_budget = 0
        self.queue_wait = 0.0
        # The present sketch and the one before it. They are made with the first answer, as most of
        # many routes are idle.
        self._sketches: list[LogCollapsingLowestDenseDDSketch] = []
        self._answers = 0

    def note_answer_time(self, duration: float) -> None:
        """Count the duration of a successful attempt for the percentiles."""
        if not self._sketches:
            self._sketches = [_new_sketch(), _new_sketch()]
        self._sketches[0].add(duration)
        self._answers += 1
        if self._answers % SKETCH_PERIOD == 0:
            self._sketches = [_new_sketch(), self._sketches[0]]

    def percentile(self, quantile: float) -> float | None:
        """Return the answer time (s) of a quantile (0 to 1); None while too few are known."""
        if self._answers < MIN_ANSWERS:
            return None
        # Early in a period the sketch of the period before knows more.
        present, previous = self._sketches
        sketch = present if present.count >= MIN_ANSWERS else previous
        value = sketch.get_quantile_value(quantile)
        return float(value) if value is not None else None


def _new_sketch() -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(SKETCH_ACCURACY, SKETCH_BINS)
