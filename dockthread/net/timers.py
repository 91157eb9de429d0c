"""Timers of an ingress: one heap, one alarm of the loop. Times in ms of the ingress's clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil, inf
from typing import Any

from loguru import logger

from dockthread.clock import Clock


class Timers:
    """One heap of timers and one alarm of the loop. Times in ms."""

    def __init__(self, clock: Clock, tick: float) -> None:
        self._loop, self._clock, self._tick = asyncio.get_running_loop(), clock, max(1.0, tick)
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self._armed, self._alarm = inf, None  # type: float, asyncio.TimerHandle | None

    def __len__(self) -> int:
        return len(self._heap)

    def call_at(self, due: float, then: Callable[..., None], *args: Any) -> None:
        """Call `then` with these arguments when it is `due`."""
        self._count += 1
        heappush(self._heap, (due, self._count, then, args))
        if due < self._armed - self._tick:  # within the same tick or so the alarm serves both
            self._arm()

    def _arm(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self._armed = self._heap[0][0]
        # Due at the end of the module's tick, as in the simulator: the timers of one tick share an
        # alarm.
        tick, now = self._tick, self._clock.now()
        wait = max(1, ceil(ceil(max(now, self._armed) / tick) * tick - now)) / 1000.0
        self._alarm = self._loop.call_later(wait, self.run_due)

    def run_due(self) -> None:
        """Call all that are due."""
        timers, now = self._heap, self._clock.now()
        self._armed = -inf  # nothing that is set meanwhile needs an alarm of its own
        while timers and timers[0][0] <= now:
            _, _, then, args = heappop(timers)
            try:
                then(*args)
            except Exception:
                logger.exception("a timer failed")
        if timers:
            self._arm()
        else:
            self._armed = inf
