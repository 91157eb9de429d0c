"""Retry budgets: which part of a route's load its retries and hedges may be.

After the budgets of Finagle and Envoy: a token bucket gets `ratio` of a token for each first
attempt and `floor` tokens a second, and each further attempt takes one token. The bucket holds at
most what `DEPOSIT_SPAN` seconds of the present load put in, so that a quiet hour does not pay for a
storm. Over any time t with n first attempts at most  ratio * n + floor * t + capacity  tokens are
taken.

Nothing here does I/O. Times are in seconds.
"""

from __future__ import annotations

DEPOSIT_SPAN = 10.0  # s of deposits that a bucket holds at most
DEFAULT_RATIO = 0.2  # further attempts for each first attempt
DEFAULT_FLOOR = 1.0  # further attempts a second, whatever the load
MIN_CAPACITY = 2.0  # tokens, so that a route with little load can retry at all


class RetryBudget:
    """A token bucket that first attempts fill and further attempts empty.

    Attributes:
        ratio: Tokens that each first attempt puts in.
        floor: Tokens that each second puts in.
        left: Tokens in the bucket.
        drawn: How many tokens were taken.
        refused: How many further attempts found no token.
    """

    __slots__ = ("_first_attempt_rate", "_updated_at", "drawn", "floor", "left", "ratio", "refused")

    def __init__(self, ratio: float, floor: float, now: float) -> None:
        self.ratio = ratio
        self.floor = floor
        self._updated_at = now
        self._first_attempt_rate = 0.0  # per second, decayed over the span
        self.left = self.capacity()
        self.drawn = 0
        self.refused = 0

    def reconfigure(self, ratio: float, floor: float) -> None:
        """Take other figures after a reload; the tokens in the bucket stay."""
        self.ratio = ratio
        self.floor = floor

    def capacity(self) -> float:
        """Return how many tokens the bucket can hold at the present load."""
        least = MIN_CAPACITY if self.ratio or self.floor else 0.0
        return max(least, (self.ratio * self._first_attempt_rate + self.floor) * DEPOSIT_SPAN)

    def on_first_attempt(self, now: float) -> None:
        """Put in what one first attempt earns."""
        self._advance(now)
        self._first_attempt_rate += 1.0 / DEPOSIT_SPAN
        self.left = min(self.capacity(), self.left + self.ratio)

    def try_draw(self, now: float) -> bool:
        """Take a token for a retry or a hedge; return whether there was one."""
        self._advance(now)
        if self.left < 1.0:
            self.refused += 1
            return False
        self.left -= 1.0
        self.drawn += 1
        return True

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._first_attempt_rate *= max(0.0, 1.0 - elapsed / DEPOSIT_SPAN)
        self.left = min(self.capacity(), self.left + self.floor * elapsed)
