"""Sends one load from several processes: each generates all arrivals and sends its own share."""

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

# Seconds that the processes have to start before the first request is due.
STARTUP_TIME_S: Final = 0.6
# Number of low bits of the first request id that hold the share's index.
SHARE_BITS: Final = 12
# Largest request id: 64 bits.
MAX_REQUEST_ID: Final = (1 << 64) - 1
NANOSECONDS_PER_MICROSECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The requests of a load, drawn from a seed or read from a trace.

    Attributes:
        target: the server to which the load is sent.
        seed: the seed from which arrivals are drawn.
        segments: the rate of arrivals over time.
        mix: the mix of requests; may be None if there is a trace.
        trace: a trace file whose arrivals are sent instead of drawn ones.
    """

    target: LoadTarget
    seed: int
    segments: tuple[RateSegment, ...] = ()
    mix: RequestMix | None = None
    trace: Path | None = None

    def arrivals(self) -> Iterator[Arrival]:
        """Return the requests of all processes, ordered by time."""
        if self.trace is not None:
            return read_trace(self.trace)
        assert self.mix is not None, "a load without a trace needs a mix"
        return draw_arrivals(self.segments, self.mix, self.seed)


async def send_share(
    plan: LoadPlan, share: int, share_count: int, on_progress: Callable[[int], None] | None = None
) -> LoadResult:
    """Send every `share_count`-th arrival, beginning with the arrival at index `share`.

    The request ids differ from those of the other shares and of other runs.
    """
    now_us = time.time_ns() // NANOSECONDS_PER_MICROSECOND
    request_id_base = (now_us << SHARE_BITS | share) & MAX_REQUEST_ID
    generator = LoadGenerator(plan.target, request_id_base, share_count, on_progress)
    return await generator.run(islice(plan.arrivals(), share, None, share_count))


def _run_process(plan: LoadPlan, share: int, share_count: int, start_at: float) -> JsonObject:
    time.sleep(max(0.0, start_at - time.time()))
    return asyncio.run(send_share(plan, share, share_count)).to_json()


def send_from_processes(plan: LoadPlan, process_count: int) -> LoadResult:
    """Send a load from `process_count` processes and return their merged result."""
    total = LoadResult()
    start_at = time.time() + STARTUP_TIME_S
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(process_count, mp_context=context) as pool:
        futures = [
            pool.submit(_run_process, plan, share, process_count, start_at)
            for share in range(process_count)
        ]
        for future in futures:
            total.merge(future.result())
    return total
