"""The clock of a simulation: callbacks run in the order of their simulated time.

Time only passes from one callback to the next, so a run takes no real time to wait and the same
seed gives the same order of events each time.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventQueue:
    """Scheduled callbacks of a simulation and its current time in ms."""

    def __init__(self) -> None:
        self.now = 0.0
        self._scheduled_count = 0  # breaks ties: callbacks of one time run as they were scheduled
        self._scheduled: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def schedule(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Run a callback with these arguments `delay_ms` from now."""
        self._scheduled_count += 1
        heappush(self._scheduled, (self.now + delay_ms, self._scheduled_count, callback, args))

    def run_until(self, end_ms: float) -> None:
        """Run every callback up to a time in ms, or until `should_stop` says so."""
        while self._scheduled and self._scheduled[0][0] <= end_ms and not self.should_stop():
            self.now, _, callback, args = heappop(self._scheduled)
            callback(*args)
        self.now = max(self.now, end_ms)

    def should_stop(self) -> bool:
        """Return whether the run is over before its end; subclasses decide."""
        return False
