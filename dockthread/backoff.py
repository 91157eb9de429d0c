"""When to ask again a service that the whole fleet asks: exponential backoff with full jitter, by the fleet's size.

Theory of operation. One ingress that asks again after a fixed pause is harmless. Forty that lost the same
service in the same instant ask it again in the same instant, for ever; and a service that works in turn, also on
calls whose caller has left, then serves none in time (seen: 13 s without an answered call, at 7 a second). So
each pause is drawn evenly from 0 to an end that grows with the number of ingresses, `PART` for each, and doubles
with a second failure in a row. Whatever the fleet's size, when all lose the service at once and all fail from then
on, the sum over it is about 1 / PART new calls a second. A start draws from half of that: its list may be old.
"""

from __future__ import annotations

import random

PART = 250.0  # ms of the first end for each ingress: four calls a second over the fleet
MOST = 2.0  # ends at the most, in first ends: with all failing, each then asks once in a first end on average
LEAST = 10.0  # ms: a pause of nothing would be none


class Backoff:
    """Pauses in milliseconds of one ingress among `fleet`. `rng`: of its own seed, so that no two draw alike."""

    def __init__(self, rng: random.Random, fleet: int) -> None:
        self._rng = rng
        self.first = PART * max(1, fleet)
        self._failures = 0

    def start(self) -> float:
        """Before the first call of a life."""
        return self._rng.uniform(0.0, self.first / 2)

    def again(self) -> float:
        """After one more failure in a row, the loss of what was held included."""
        end = self.first * min(MOST, 2.0**self._failures)
        self._failures = min(self._failures + 1, 30)
        return max(LEAST, self._rng.uniform(0.0, end))

    def reset(self) -> None:
        """The service answered."""
        self._failures = 0
