"""Timers of an ingress: a heap of callbacks behind a single timer of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import ceil, inf
from typing import Any

from loguru import logger

from dockthread.clock import Clock

MIN_RESOLUTION_MS = 1.0  # Resolution of the event loop's own timers.


class Timers:
    """Calls callbacks in the order of their due times, in milliseconds on the ingress's clock.

    As in the simulator, the loop's timer fires at multiples of `resolution_ms`, the policy engine's
    clock tick, so that all callbacks due within one tick share a wake-up.
    """

    def __init__(self, clock: Clock, resolution_ms: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._resolution_ms = max(MIN_RESOLUTION_MS, resolution_ms)
        # The sequence number keeps callbacks with the same due time in the order of insertion.
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence_number = 0
        self._armed_for_ms = inf  # the due time for which the loop's timer is set
        self._loop_timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._heap)

    def call_at(self, due_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback` with `args` when the clock has reached `due_ms`."""
        self._sequence_number += 1
        heappush(self._heap, (due_ms, self._sequence_number, callback, args))
        # A callback due less than one tick before the armed time is called in the same wake-up.
        if due_ms < self._armed_for_ms - self._resolution_ms:
            self._arm()

    def discard(self, is_cancelled: Callable[[tuple[Any, ...]], bool]) -> None:
        """Drop the callbacks for whose arguments `is_cancelled` holds."""
        self._heap = [entry for entry in self._heap if not is_cancelled(entry[3])]
        heapify(self._heap)

    def _arm(self) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._armed_for_ms = self._heap[0][0]
        resolution_ms = self._resolution_ms
        now = self._clock.now()
        fires_at_ms = ceil(max(now, self._armed_for_ms) / resolution_ms) * resolution_ms
        delay_ms = max(1, ceil(fires_at_ms - now))
        self._loop_timer = self._loop.call_later(delay_ms / 1000.0, self.run_due)

    async def sleep(self, duration_ms: float) -> None:
        """Sleep for `duration_ms` on the ingress's clock."""
        wake_up = self._loop.create_future()
        self.call_at(self._clock.now() + duration_ms, wake_up.set_result, None)
        await wake_up

    def run_due(self) -> None:
        """Call every callback that is due; log any exception that a callback raises."""
        now = self._clock.now()
        self._armed_for_ms = -inf  # the timer is armed once, after all due callbacks have run
        while self._heap and self._heap[0][0] <= now:
            _, _, callback, args = heappop(self._heap)
            try:
                callback(*args)
            except Exception:  # noqa: BLE001 - a fault in one callback must not stop the others
                logger.exception("a timer callback failed")
        if self._heap:
            self._arm()
        else:
            self._armed_for_ms = inf
