"""Concurrency limits of routes, fixed or adaptive.

The adaptive limit follows the gradient of the answer time (Netflix concurrency-limits, Gradient):

    gradient = clamp(TOLERANCE * best / recent, MIN_GRADIENT, 1)
    limit    = (1 - SMOOTHING) * limit + SMOOTHING * (limit * gradient + sqrt(limit))

once in `UPDATE_INTERVAL`. `recent` is a short mean of answer times; `best` is the least of these
and rises by `BEST_LEAK` of itself a second. A long mean in its place (Gradient2) follows a jam
upward and lets the limit grow to its end: measured here, 400 for a capacity of 80. A rejected or
timed out attempt reduces the limit by a tenth, once in `REDUCTION_INTERVAL`. While less than half
of the limit is in use it does not grow, as the answer times say nothing of a load that is not
there. The limit never leaves its minimum and maximum.

Nothing here does I/O. Times are in seconds.
"""

from __future__ import annotations

import math

TOLERANCE = 1.5  # times the best answer time, up to which the limit grows
SMOOTHING = 0.4  # weight of the new limit in the mean with the old one
MIN_GRADIENT = 0.5  # so that one update cannot shut a route
UPDATE_INTERVAL = 0.1  # s: the answers of one round trip tell of one limit
RECENT_WEIGHT = 0.2  # of one more answer time in the short mean
BEST_LEAK = 0.01  # part a second by which the best answer time is forgotten
MIN_ANSWER_TIME = 1e-9  # s: keeps the division defined
REDUCTION_FACTOR = 0.9  # of the limit that stays after a rejected or timed out attempt
REDUCTION_INTERVAL = 0.1  # s between reductions: one jam rejects many attempts at once
DEFAULT_MINIMUM = 4  # requests at once
DEFAULT_MAXIMUM = 1000  # requests at once
INITIAL_LIMIT = 20  # requests at once, before anything is known


class ConcurrencyLimit:
    """The number of a route's requests at once.

    Attributes:
        is_adaptive: Whether the limit follows the answer times.
        minimum: The least adaptive limit.
        maximum: The largest adaptive limit.
        limit: The present limit; infinite where the route has none.
        inside: How many requests are inside the limit.
    """

    __slots__ = (
        "_best_answer_time",
        "_best_at",
        "_recent_answer_time",
        "_reduced_at",
        "_updated_at",
        "inside",
        "is_adaptive",
        "limit",
        "maximum",
        "minimum",
    )

    def __init__(
        self,
        fixed: int | None,
        minimum: int = DEFAULT_MINIMUM,
        maximum: int = DEFAULT_MAXIMUM,
        adaptive: bool = False,
    ) -> None:
        """Start with a fixed limit, an adaptive one, or none where `fixed` is None."""
        self.is_adaptive = adaptive
        self.minimum = minimum
        self.maximum = maximum
        self.limit: float = math.inf if fixed is None else fixed
        if adaptive:
            self.limit = min(max(INITIAL_LIMIT, minimum), maximum)
        self.inside = 0
        self._recent_answer_time = 0.0
        self._best_answer_time = 0.0
        self._best_at = 0.0
        self._updated_at = -math.inf
        self._reduced_at = -math.inf

    def reconfigure(self, fixed: int | None, minimum: int, maximum: int, adaptive: bool) -> None:
        """Take other figures after a reload; an adaptive limit goes on from where it stands."""
        self.minimum = minimum
        self.maximum = maximum
        if adaptive:
            present = self.limit if self.is_adaptive else INITIAL_LIMIT
            self.limit = min(max(present, minimum), maximum)
        else:
            self.limit = math.inf if fixed is None else fixed
        self.is_adaptive = adaptive

    @property
    def has_capacity(self) -> bool:
        """Whether one more request may be inside."""
        return self.limit == math.inf or self.inside < int(self.limit)

    def on_answer(self, duration: float, now: float) -> None:
        """Let an adaptive limit follow the duration of a successful attempt."""
        if not self.is_adaptive:
            return
        self._note_answer_time(duration, now)
        if now - self._updated_at < UPDATE_INTERVAL:
            return
        self._updated_at = now
        ratio = TOLERANCE * self._best_answer_time / max(self._recent_answer_time, MIN_ANSWER_TIME)
        gradient = min(1.0, max(MIN_GRADIENT, ratio))
        if gradient >= 1.0 and self.inside < self.limit / 2:
            return
        target = self.limit * gradient + math.sqrt(self.limit)
        self._change_to((1 - SMOOTHING) * self.limit + SMOOTHING * target)

    def on_overload(self, now: float) -> None:
        """Reduce an adaptive limit, as a backend rejected an attempt or it timed out."""
        if self.is_adaptive and now - self._reduced_at >= REDUCTION_INTERVAL:
            self._reduced_at = now
            self._change_to(self.limit * REDUCTION_FACTOR)

    def _note_answer_time(self, duration: float, now: float) -> None:
        if not self._recent_answer_time:
            self._recent_answer_time = duration
        else:
            self._recent_answer_time += RECENT_WEIGHT * (duration - self._recent_answer_time)
        leaked = self._best_answer_time * (1.0 + BEST_LEAK * max(0.0, now - self._best_at))
        self._best_answer_time = min(leaked or self._recent_answer_time, self._recent_answer_time)
        self._best_at = now

    def _change_to(self, limit: float) -> None:
        self.limit = min(float(self.maximum), max(float(self.minimum), limit))
