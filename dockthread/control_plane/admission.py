"""Admission of snapshots: a budget of bytes over time, and a retry time for who is not admitted.

Theory of operation. Chunks of snapshots are paid from a token bucket, so in any time T at most the
burst, the rate times T and one chunk are sent. A subscriber is admitted while what is owed to those
before it can be sent within `MAX_QUEUE_TIME`. Each one that is not admitted gets a slot of its own
behind the slots already given, moved a little at random, so that a wave of restarts is served at
the rate and no faster.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

MAX_QUEUE_TIME: Final = 1_000.0
"""Time in ms within which all owed bytes can be sent, for one more snapshot to be admitted."""
SLOT_JITTER: Final = 0.2
"""Fraction of its time by which a slot is moved earlier or later at random."""
MS_PER_SECOND: Final = 1_000.0


@dataclass(frozen=True, slots=True)
class SnapshotBudgetLimits:
    """Limits of a budget.

    Attributes:
        rate: Bytes a second.
        burst: Bytes at once.
        retry_after_min: Least time in ms after which a rejected subscriber retries.
        retry_after_max: Longest such time in ms.
    """

    rate: float
    burst: float
    retry_after_min: float
    retry_after_max: float


class SnapshotBudget:
    """The budget of one server. Times are in ms."""

    def __init__(self, limits: SnapshotBudgetLimits, rng: random.Random) -> None:
        self._rate = limits.rate / MS_PER_SECOND  # bytes a ms
        self._burst = limits.burst
        self._retry_after_min = limits.retry_after_min
        self._retry_after_max = limits.retry_after_max
        self._rng = rng
        self._tokens = limits.burst  # bytes; below zero after a chunk larger than what was left
        self._filled_at = 0.0
        self._owed = 0.0  # bytes of admitted snapshots that are still to be sent
        self._slots_until = 0.0

    def admit(self, now: float, size: float) -> bool:
        """Admit a snapshot of `size` bytes, which are then owed, or return False."""
        self._fill(now)
        missing = self._owed + size - max(0.0, self._tokens)
        if self._owed > 0.0 and missing > self._rate * MAX_QUEUE_TIME:
            return False
        self._owed += size
        return True

    def retry_after(self, now: float, size: float) -> float:
        """Return after how many ms a snapshot that was not admitted is to be requested again."""
        earliest = max(now + self._owed / self._rate, self._slots_until)
        self._slots_until = min(earliest + size / self._rate, now + self._retry_after_max)
        jitter = self._rng.uniform(1.0 - SLOT_JITTER, 1.0 + SLOT_JITTER)
        after = (self._slots_until - now) * jitter
        shortest = self._retry_after_min * self._rng.uniform(1.0, 2.0)
        return min(max(after, shortest), self._retry_after_max)

    def can_send(self, now: float) -> bool:
        """Return whether a chunk may be sent now."""
        self._fill(now)
        return self._tokens > 0.0

    def can_send_at(self) -> float:
        """Return when the next chunk may be sent."""
        if self._tokens > 0.0:
            return self._filled_at
        return self._filled_at + (1.0 - self._tokens) / self._rate

    def spend(self, size: float) -> None:
        """Pay for a chunk of `size` bytes that was sent."""
        self._tokens -= size

    def release(self, size: float) -> None:
        """Owe `size` bytes less: they were sent, or their receiver left."""
        self._owed = max(0.0, self._owed - size)

    def _fill(self, now: float) -> None:
        earned = max(0.0, now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = max(self._filled_at, now)
