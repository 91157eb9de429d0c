"""Concurrency limits of routes, fixed or adaptive.

The adaptive limit uses the Gradient algorithm of Netflix's concurrency-limits library:

    gradient = clamp(TOLERANCE * best / recent, MIN_GRADIENT, 1)
    limit    = (1 - SMOOTHING) * limit + SMOOTHING * (limit * gradient + sqrt(limit))

The limit is updated at most once per `UPDATE_INTERVAL`. `recent` is a moving average of the last
few answer times. `best` is the minimum of `recent`; it grows by the fraction `BEST_GROWTH_RATE` per
second, so that an old minimum is forgotten. A long-term average in place of `best`, as in the
Gradient2 algorithm, would rise during congestion and let the limit grow to its maximum: the limit
reached 400 with a capacity of 80. A rejected or timed out attempt reduces the limit by a tenth, at
most once per `REDUCTION_INTERVAL`. The limit does not grow while less than half of it is in use,
because answer times at a low load say nothing about a higher load. It always stays between its
minimum and its maximum.

This module does no I/O. Times are in seconds.
"""

from __future__ import annotations

import math

TOLERANCE = 1.5  # the gradient is 1 while `recent` is at most this multiple of `best`
SMOOTHING = 0.4  # weight of the new limit in its average with the old limit
MIN_GRADIENT = 0.5  # keeps a single update from blocking a route
UPDATE_INTERVAL = 0.1  # s; the answers within one round trip reflect the same limit
RECENT_WEIGHT = 0.2  # weight of a new answer time in the moving average
BEST_GROWTH_RATE = 0.01  # growth of the best answer time, as a fraction per second
MIN_ANSWER_TIME = 1e-9  # s; avoids a division by zero
REDUCTION_FACTOR = 0.9  # multiplies the limit after a rejected or timed out attempt
REDUCTION_INTERVAL = 0.1  # s; one overload rejects many attempts but should reduce the limit once
DEFAULT_MIN_LIMIT = 4  # concurrent requests
DEFAULT_MAX_LIMIT = 1000  # concurrent requests
INITIAL_LIMIT = 20  # concurrent requests, before the first answer time is known


class ConcurrencyLimit:
    """Limits the number of concurrent requests of a route.

    Attributes:
        is_adaptive: Whether the limit adapts to the answer times.
        minimum: The lower bound of an adaptive limit.
        maximum: The upper bound of an adaptive limit.
        limit: The current limit; infinite if the route has none.
        admitted: The number of admitted requests that have not finished.
    """

    __slots__ = (
        "_best_answer_time",
        "_best_updated_at",
        "_recent_answer_time",
        "_reduced_at",
        "_updated_at",
        "admitted",
        "is_adaptive",
        "limit",
        "maximum",
        "minimum",
    )

    def __init__(
        self,
        fixed_limit: int | None,
        minimum: int = DEFAULT_MIN_LIMIT,
        maximum: int = DEFAULT_MAX_LIMIT,
        adaptive: bool = False,
    ) -> None:
        """Create an adaptive limit if `adaptive`, else a fixed one; None means no limit."""
        self.is_adaptive = adaptive
        self.minimum = minimum
        self.maximum = maximum
        self.limit: float = math.inf if fixed_limit is None else fixed_limit
        if adaptive:
            self.limit = min(max(INITIAL_LIMIT, minimum), maximum)
        self.admitted = 0
        self._recent_answer_time = 0.0
        self._best_answer_time = 0.0
        self._best_updated_at = 0.0
        self._updated_at = -math.inf
        self._reduced_at = -math.inf

    def reconfigure(
        self, fixed_limit: int | None, minimum: int, maximum: int, adaptive: bool
    ) -> None:
        """Apply new settings after a reload; an adaptive limit keeps its current value."""
        self.minimum = minimum
        self.maximum = maximum
        if adaptive:
            current = self.limit if self.is_adaptive else INITIAL_LIMIT
            self.limit = min(max(current, minimum), maximum)
        else:
            self.limit = math.inf if fixed_limit is None else fixed_limit
        self.is_adaptive = adaptive

    @property
    def has_capacity(self) -> bool:
        """Whether one more request can be admitted."""
        return self.limit == math.inf or self.admitted < int(self.limit)

    def on_answer(self, duration: float, now: float) -> None:
        """Update an adaptive limit with the duration of a successful attempt."""
        if not self.is_adaptive:
            return
        self._record_answer_time(duration, now)
        if now - self._updated_at < UPDATE_INTERVAL:
            return
        self._updated_at = now
        ratio = TOLERANCE * self._best_answer_time / max(self._recent_answer_time, MIN_ANSWER_TIME)
        gradient = min(1.0, max(MIN_GRADIENT, ratio))
        if gradient >= 1.0 and self.admitted < self.limit / 2:
            return
        target = self.limit * gradient + math.sqrt(self.limit)
        self._set_limit((1 - SMOOTHING) * self.limit + SMOOTHING * target)

    def on_overload(self, now: float) -> None:
        """Reduce an adaptive limit after an attempt was rejected by a backend or timed out."""
        if self.is_adaptive and now - self._reduced_at >= REDUCTION_INTERVAL:
            self._reduced_at = now
            self._set_limit(self.limit * REDUCTION_FACTOR)

    def _record_answer_time(self, duration: float, now: float) -> None:
        if not self._recent_answer_time:
            self._recent_answer_time = duration
        else:
            self._recent_answer_time += RECENT_WEIGHT * (duration - self._recent_answer_time)
        grown_best = self._best_answer_time * (
            1.0 + BEST_GROWTH_RATE * max(0.0, now - self._best_updated_at)
        )
        self._best_answer_time = min(
            grown_best or self._recent_answer_time, self._recent_answer_time
        )
        self._best_updated_at = now

    def _set_limit(self, limit: float) -> None:
        self.limit = min(float(self.maximum), max(float(self.minimum), limit))
