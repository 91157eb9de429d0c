"""Timers of an ingress: one heap of callbacks, served by one timer of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil, inf
from typing import Any

from loguru import logger

from dockthread.clock import Clock

MIN_TICK_MS = 1.0  # the resolution of the event loop's own timers


class Timers:
    """Callbacks in the order of their due times, in milliseconds of the ingress's clock.

    The loop's timer rings at the end of a policy engine's tick, as in the simulator, so that the
    callbacks of one tick share one wake-up.
    """

    def __init__(self, clock: Clock, tick_ms: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._tick_ms = max(MIN_TICK_MS, tick_ms)
        # The sequence number keeps callbacks of the same due time in the order they were set.
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence_number = 0
        self._armed_for_ms = inf  # the due time that the loop's timer serves
        self._loop_timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._heap)

    def call_at(self, due_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback` with `args` once the clock shows `due_ms`."""
        self._sequence_number += 1
        heappush(self._heap, (due_ms, self._sequence_number, callback, args))
        # A callback due within a tick of the armed one is served by the same wake-up.
        if due_ms < self._armed_for_ms - self._tick_ms:
            self._arm()

    def _arm(self) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._armed_for_ms = self._heap[0][0]
        tick_ms = self._tick_ms
        now = self._clock.now()
        end_of_tick_ms = ceil(max(now, self._armed_for_ms) / tick_ms) * tick_ms
        delay_ms = max(1, ceil(end_of_tick_ms - now))
        self._loop_timer = self._loop.call_later(delay_ms / 1000.0, self.run_due)

    def run_due(self) -> None:
        """Call every callback that is due; one that raises is logged."""
        now = self._clock.now()
        self._armed_for_ms = -inf  # a callback set meanwhile needs no timer of its own
        while self._heap and self._heap[0][0] <= now:
            _, _, callback, args = heappop(self._heap)
            try:
                callback(*args)
            except Exception:
                # A fault in one callback must not keep the others from being called.
                logger.exception("a timer's callback failed")
        if self._heap:
            self._arm()
        else:
            self._armed_for_ms = inf
