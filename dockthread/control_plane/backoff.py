"""Exponential backoff with full jitter after failed connections."""

from __future__ import annotations

import random
from typing import Final

from dockthread.control_plane.subscriber_settings import SubscriberTimes

MAX_DOUBLINGS: Final = 16
"""Maximum number of doublings of the bound, so that it cannot overflow."""


class ReconnectBackoff:
    """Decides when a subscriber without a connection opens the next one. Times are in ms.

    After each failure, the delay is drawn uniformly between zero and a bound. The bound doubles
    with every consecutive failure, up to `SubscriberTimes.backoff_max`.

    Attributes:
        wait_until: When the next connection may be opened.
    """

    def __init__(self, times: SubscriberTimes, rng: random.Random, now: float) -> None:
        self._times = times
        self._rng = rng
        self._failures = 0  # consecutive failures
        self.wait_until = now

    def on_failure(self, now: float) -> None:
        """Draw the next delay."""
        doublings = min(self._failures, MAX_DOUBLINGS)
        bound = self._times.backoff_initial * 2.0**doublings
        self.wait_until = now + self._rng.uniform(0.0, min(bound, self._times.backoff_max))
        self._failures += 1

    def on_retry_later(self, now: float, after: float) -> None:
        """Wait as long as a server requested, or `retry_after_max` if that time is out of range."""
        is_in_range = 0.0 <= after <= self._times.retry_after_max
        self.wait_until = now + (after if is_in_range else self._times.retry_after_max)

    def reset(self) -> None:
        """Reset the bound after a connection delivered a complete update."""
        self._failures = 0
