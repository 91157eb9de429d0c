"""Retry budgets, which limit the retries and hedges of a route to a share of its load.

As in Finagle and Envoy, the budget is a token bucket. Each first attempt adds `ratio` tokens, each
second adds `floor` tokens, and each retry or hedge takes one token. The bucket holds at most the
tokens that the current load adds in `CAPACITY_PERIOD` seconds, so that tokens saved over a quiet hour
cannot be spent on a retry storm. In any period of t seconds with n first attempts, at most
ratio * n + floor * t + capacity  tokens are taken.

This module does no I/O. Times are in seconds.
"""

from __future__ import annotations

CAPACITY_PERIOD = 10.0  # s; the bucket's capacity is the tokens added in this time
DEFAULT_RATIO = 0.2  # retries and hedges for each first attempt
DEFAULT_FLOOR = 1.0  # retries and hedges per second at any load
MIN_CAPACITY = 2.0  # tokens; lets a route with little load retry


class RetryBudget:
    """A token bucket that is filled by first attempts and emptied by retries and hedges.

    Attributes:
        ratio: Tokens that each first attempt adds.
        floor: Tokens that are added each second.
        tokens: Tokens in the bucket.
        tokens_taken: The number of tokens that were taken.
        refused: The number of retries and hedges that were refused for lack of a token.
    """

    __slots__ = (
        "_first_attempt_rate",
        "_updated_at",
        "floor",
        "ratio",
        "refused",
        "tokens",
        "tokens_taken",
    )

    def __init__(self, ratio: float, floor: float, now: float) -> None:
        self.ratio = ratio
        self.floor = floor
        self._updated_at = now
        self._first_attempt_rate = 0.0  # per second, decays over CAPACITY_PERIOD
        self.tokens = self.capacity()
        self.tokens_taken = 0
        self.refused = 0

    def reconfigure(self, ratio: float, floor: float) -> None:
        """Apply new settings after a reload; the bucket keeps its tokens."""
        self.ratio = ratio
        self.floor = floor

    def capacity(self) -> float:
        """Return how many tokens the bucket can hold at the current load."""
        minimum = MIN_CAPACITY if self.ratio or self.floor else 0.0
        return max(minimum, (self.ratio * self._first_attempt_rate + self.floor) * CAPACITY_PERIOD)

    def on_first_attempt(self, now: float) -> None:
        """Add the tokens for one first attempt."""
        self._advance_to(now)
        self._first_attempt_rate += 1.0 / CAPACITY_PERIOD
        self.tokens = min(self.capacity(), self.tokens + self.ratio)

    def try_take_token(self, now: float) -> bool:
        """Take a token for a retry or a hedge; return whether there was one."""
        self._advance_to(now)
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.tokens_taken += 1
        return True

    def _advance_to(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._first_attempt_rate *= max(0.0, 1.0 - elapsed / CAPACITY_PERIOD)
        self.tokens = min(self.capacity(), self.tokens + self.floor * elapsed)
