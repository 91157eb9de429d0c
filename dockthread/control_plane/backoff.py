"""Exponential backoff with full jitter between connections that fail."""

from __future__ import annotations

import random
from typing import Final

from dockthread.control_plane.subscriber_settings import SubscriberTimes

MAX_DOUBLINGS: Final = 16
"""Doublings of the bound after which it no longer grows, so that it cannot overflow."""


class ReconnectBackoff:
    """When a subscriber without a connection opens the next one. Times are in ms.

    After each failure the wait is drawn from zero to a bound that doubles with every failure in a
    row, up to `SubscriberTimes.backoff_max`.
    """

    def __init__(self, times: SubscriberTimes, rng: random.Random, now: float) -> None:
        self._times = times
        self._rng = rng
        self._failures = 0  # in a row
        self.wait_until = now

    def on_failure(self, now: float) -> None:
        """Draw the next wait."""
        doublings = min(self._failures, MAX_DOUBLINGS)
        bound = self._times.backoff_initial * 2.0**doublings
        self.wait_until = now + self._rng.uniform(0.0, min(bound, self._times.backoff_max))
        self._failures += 1

    def on_retry_later(self, now: float, after: float) -> None:
        """Wait as long as a server asked for; its bound where that is not a sensible time."""
        is_sensible = 0.0 <= after <= self._times.retry_after_max
        self.wait_until = now + (after if is_sensible else self._times.retry_after_max)

    def reset(self) -> None:
        """Begin with the initial bound again: a connection brought a complete update."""
        self._failures = 0
