"""Sends one load from several processes: each draws the same arrivals and sends its share."""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import islice
from pathlib import Path
from typing import Final

from dockthread.lab.arrivals import Arrival, RateSegment, RequestMix, draw_arrivals, read_trace
from dockthread.lab.load import LoadGenerator, LoadTarget
from dockthread.lab.load_result import JsonObject, LoadResult

# Seconds that the processes have to come up before the first request starts.
STARTUP_TIME: Final = 0.6
# Low bits of the first request's number that hold the process's share.
SHARE_BITS: Final = 12
# Largest number of a request: 64 bits.
MAX_REQUEST_ID: Final = (1 << 64) - 1
NANOSECONDS_PER_MICROSECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What is to be sent: drawn from a seed, or read from a trace.

    Attributes:
        target: where it goes.
        seed: what the arrivals are drawn from.
        segments: their rates.
        mix: which requests they are; may be None with a trace.
        trace: a file of arrivals that are sent instead.
    """

    target: LoadTarget
    seed: int
    segments: tuple[RateSegment, ...] = ()
    mix: RequestMix | None = None
    trace: Path | None = None

    def arrivals(self) -> Iterator[Arrival]:
        """Return all requests of all processes, in their order."""
        if self.trace is not None:
            return read_trace(self.trace)
        assert self.mix is not None, "without a trace there is a mix"
        return draw_arrivals(self.segments, self.mix, self.seed)


async def send_share(
    plan: LoadPlan, share: int, share_count: int, on_progress: Callable[[int], None] | None = None
) -> LoadResult:
    """Send every `share_count`-th arrival from number `share` on.

    The requests' numbers differ from those of the other shares and of other runs.
    """
    now_us = time.time_ns() // NANOSECONDS_PER_MICROSECOND
    request_id_base = (now_us << SHARE_BITS | share) & MAX_REQUEST_ID
    generator = LoadGenerator(plan.target, request_id_base, share_count, on_progress)
    return await generator.run(islice(plan.arrivals(), share, None, share_count))


def _run_process(plan: LoadPlan, share: int, share_count: int, begin_at: float) -> JsonObject:
    time.sleep(max(0.0, begin_at - time.time()))
    return asyncio.run(send_share(plan, share, share_count)).to_json()


def send_from_processes(plan: LoadPlan, process_count: int) -> LoadResult:
    """Send a load from so many processes, and return the merged result when all have ended."""
    total = LoadResult()
    begin_at = time.time() + STARTUP_TIME
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(process_count, mp_context=context) as pool:
        futures = [
            pool.submit(_run_process, plan, share, process_count, begin_at)
            for share in range(process_count)
        ]
        for future in futures:
            total.merge(future.result())
    return total
