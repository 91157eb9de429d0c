"""Admits snapshots within a byte budget, and gives refused subscribers a time to retry.

Theory of operation. Chunks of snapshots are charged to a token bucket, so during any time T at most
burst + rate * T bytes and one chunk are sent. A subscriber is admitted if all admitted bytes that
are not yet sent, including its own snapshot, can be sent within `MAX_QUEUE_TIME`; if no bytes are
pending, it is always admitted. Each refused subscriber gets a time slot after the slots already
assigned, with random jitter. When many subscribers restart at once, they are served no faster
than the rate.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

MAX_QUEUE_TIME: Final = 1_000.0
"""Maximum time in ms to send all pending bytes if another snapshot is admitted."""
SLOT_JITTER: Final = 0.2
"""Random jitter of a retry delay, as a fraction of the delay in either direction."""
MS_PER_S: Final = 1_000.0


@dataclass(frozen=True, slots=True)
class SnapshotBudgetLimits:
    """Limits of a budget.

    Attributes:
        rate: Long-term rate in bytes per second.
        burst: Capacity of the token bucket in bytes.
        retry_after_min: Shortest retry delay of a refused subscriber, in ms.
        retry_after_max: Longest retry delay of a refused subscriber, in ms.
    """

    rate: float
    burst: float
    retry_after_min: float
    retry_after_max: float


class SnapshotBudget:
    """The budget of one server. Times are in ms."""

    def __init__(self, limits: SnapshotBudgetLimits, rng: random.Random) -> None:
        self._rate = limits.rate / MS_PER_S  # bytes per ms
        self._burst = limits.burst
        self._retry_after_min = limits.retry_after_min
        self._retry_after_max = limits.retry_after_max
        self._rng = rng
        self._tokens = limits.burst  # bytes; negative after a chunk that exceeded the tokens
        self._refilled_at = 0.0
        self._pending_bytes = 0.0  # bytes of admitted snapshots that are still to be sent
        self._last_slot_end = 0.0

    def admit(self, now: float, size: float) -> bool:
        """Admit a snapshot of `size` bytes, which are then pending, or return False."""
        self._refill(now)
        backlog = self._pending_bytes + size - max(0.0, self._tokens)
        if self._pending_bytes > 0.0 and backlog > self._rate * MAX_QUEUE_TIME:
            return False
        self._pending_bytes += size
        return True

    def retry_after(self, now: float, size: float) -> float:
        """Return the time in ms after which a refused subscriber should retry."""
        slot_start = max(now + self._pending_bytes / self._rate, self._last_slot_end)
        self._last_slot_end = min(slot_start + size / self._rate, now + self._retry_after_max)
        jitter = self._rng.uniform(1.0 - SLOT_JITTER, 1.0 + SLOT_JITTER)
        retry_delay = (self._last_slot_end - now) * jitter
        min_delay = self._retry_after_min * self._rng.uniform(1.0, 2.0)
        return min(max(retry_delay, min_delay), self._retry_after_max)

    def can_send(self, now: float) -> bool:
        """Return whether a chunk may be sent now."""
        self._refill(now)
        return self._tokens > 0.0

    def can_send_at(self) -> float:
        """Return when the next chunk may be sent."""
        if self._tokens > 0.0:
            return self._refilled_at
        return self._refilled_at + (1.0 - self._tokens) / self._rate

    def spend(self, size: float) -> None:
        """Charge the budget for a chunk of `size` bytes."""
        self._tokens -= size

    def release(self, size: float) -> None:
        """Subtract `size` from the pending bytes: they were sent, or their receiver disconnected."""
        self._pending_bytes = max(0.0, self._pending_bytes - size)

    def _refill(self, now: float) -> None:
        new_tokens = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + new_tokens)
        self._refilled_at = max(self._refilled_at, now)
