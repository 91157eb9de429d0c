"""Who may have a snapshot now: a budget of bytes over time, and a time to come again for who may
not.

Theory of operation. Parts of snapshots are paid from a token bucket, so that what leaves in any
time T is at most the burst, the rate times T, and one part. A subscriber is taken in while what is
owed to those before it can be sent within `WAIT`; each one that is not gets a slot of its own
behind the slots already given, drawn a little apart, so that a wave of restarts is worked off at
the rate and not faster.
"""

from __future__ import annotations

import random
from typing import Final

WAIT: Final = 1_000.0  # ms within which what is owed has to be sent, for one more to be taken in
SPREAD: Final = 0.2  # part of its time by which a slot is drawn earlier or later


class SnapshotBudget:
    """`rate`: bytes a second; `burst`: bytes at once; `least`, `most`: bounds of the time to come
    again, in ms.
    """

    def __init__(
        self, rate: float, burst: float, least: float, most: float, rng: random.Random
    ) -> None:
        self._rate, self._burst, self._least, self._most, self._rng = (
            rate / 1000.0,
            burst,
            least,
            most,
            rng,
        )
        self._tokens, self._filled_at = burst, 0.0
        self._owed = 0.0  # bytes to those that were taken in
        self._slots_until = 0.0

    def admits(self, now: float, size: float) -> bool:
        """Whether a snapshot of `size` bytes may begin; then it is owed."""
        self._fill(now)
        short = self._owed + size - max(0.0, self._tokens)
        if self._owed > 0.0 and short > self._rate * WAIT:
            return False
        self._owed += size
        return True

    def retry_after(self, now: float, size: float) -> float:
        """ms after which one that was not admitted is to come again."""
        behind = max(now + self._owed / self._rate, self._slots_until)
        self._slots_until = min(behind + size / self._rate, now + self._most)
        after = (self._slots_until - now) * self._rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        return min(max(after, self._least * self._rng.uniform(1.0, 2.0)), self._most)

    def affords(self, now: float) -> bool:
        """Whether a part may leave now."""
        self._fill(now)
        return self._tokens > 0.0

    def affords_at(self) -> float:
        """When a part may leave."""
        return (
            self._filled_at
            if self._tokens > 0.0
            else self._filled_at + (1.0 - self._tokens) / self._rate
        )

    def spend(self, sent: float) -> None:
        """A part of so many bytes left."""
        self._tokens -= sent

    def settle(self, size: float) -> None:
        """So much is owed no more: it left, or who waited for it is gone."""
        self._owed = max(0.0, self._owed - size)

    def _fill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + max(0.0, now - self._filled_at) * self._rate)
        self._filled_at = max(self._filled_at, now)
