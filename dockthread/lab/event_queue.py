"""The clock of a simulation: callbacks run in the order of their simulated time.

Simulated time advances only from one callback to the next, so a run never waits in real time, and
the same seed always gives the same order of events. Each simulation chooses its own unit of time.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventQueue:
    """The current time of a simulation and its scheduled callbacks."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        # Callbacks of the same time run in the order in which they were scheduled.
        self._sequence_number = 0
        self._callbacks: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def schedule(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback with these arguments after a delay from now."""
        self.schedule_at(self.now + delay, callback, *args)

    def schedule_at(self, time: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback with these arguments at an absolute time."""
        self._sequence_number += 1
        heappush(self._callbacks, (time, self._sequence_number, callback, args))

    def run_until(self, end: float) -> None:
        """Run every callback that is due up to `end`, or until `should_stop` returns True."""
        while self._callbacks and self._callbacks[0][0] <= end and not self.should_stop():
            self.now, _, callback, args = heappop(self._callbacks)
            callback(*args)
        self.now = max(self.now, end)

    def should_stop(self) -> bool:
        """Return whether the run stops before its end; subclasses may override this."""
        return False
