"""The clock of a simulation: callbacks run in the order of their simulated time.

Time only passes from one callback to the next, so a run takes no real time to wait and the same
seed gives the same order of events each time. The unit of time is the simulation's own.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventQueue:
    """Scheduled callbacks of a simulation and its current time."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._scheduled_count = 0  # breaks ties: callbacks of one time run as they were scheduled
        self._scheduled: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def schedule(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        """Run a callback with these arguments after a delay from now."""
        self.schedule_at(self.now + delay, callback, *args)

    def schedule_at(self, time: float, callback: Callable[..., None], *args: Any) -> None:
        """Run a callback with these arguments at a time."""
        self._scheduled_count += 1
        heappush(self._scheduled, (time, self._scheduled_count, callback, args))

    def run_until(self, end: float) -> None:
        """Run every callback up to a time, or until `should_stop` says so."""
        while self._scheduled and self._scheduled[0][0] <= end and not self.should_stop():
            self.now, _, callback, args = heappop(self._scheduled)
            callback(*args)
        self.now = max(self.now, end)

    def should_stop(self) -> bool:
        """Return whether the run is over before its end; subclasses decide."""
        return False
