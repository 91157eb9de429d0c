"""Budgets: what part of a route's load its further attempts and copies may be. No I/O; times in
seconds.

After Finagle's and Envoy's retry budgets: a bucket gets `part` of a token for each first try and
`floor` tokens a second, and a further attempt takes one. It holds at most what `SPAN` seconds of
the present load put in, so that a quiet hour does not pay for a storm. Over any time t with n first
tries at most part * n + floor * t + (the most it holds) are drawn: the bound that `most` states.
"""

from __future__ import annotations

SPAN = 10.0  # s of deposits that a bucket holds at most
PART, FLOOR = 0.2, 1.0  # defaults: of the first tries; a second
LEAST_HELD = 2.0  # tokens


class Budget:
    """A token bucket that first tries fill. `part`: tokens a first try; `floor`: a second."""

    __slots__ = ("_at", "_rate", "drawn", "floor", "left", "part", "refused")

    def __init__(self, part: float, floor: float, now: float) -> None:
        self.part, self.floor = part, floor
        self._at, self._rate = now, 0.0  # decayed rate of first tries
        self.left = self.most()
        self.drawn = self.refused = 0

    def set(self, part: float, floor: float) -> None:
        """New figures after a reload; what is left carries over."""
        self.part, self.floor = part, floor

    def most(self) -> float:
        return max(
            LEAST_HELD * bool(self.part or self.floor), (self.part * self._rate + self.floor) * SPAN
        )

    def _pass(self, now: float) -> None:
        gap, self._at = max(0.0, now - self._at), max(now, self._at)
        self._rate *= max(0.0, 1.0 - gap / SPAN)
        self.left = min(self.most(), self.left + self.floor * gap)

    def first(self, now: float) -> None:
        """A first try."""
        self._pass(now)
        self._rate += 1.0 / SPAN
        self.left = min(self.most(), self.left + self.part)

    def draw(self, now: float) -> bool:
        """Take one for a further attempt or a copy; False where there is none."""
        self._pass(now)
        if self.left < 1.0:
            self.refused += 1
            return False
        self.left -= 1.0
        self.drawn += 1
        return True
