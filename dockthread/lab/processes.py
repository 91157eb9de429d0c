"""A load from several processes: each draws the same arrivals and sends its share of them."""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import islice
from pathlib import Path
from typing import Any

from dockthread.lab.arrivals import Arrival, Mix, Piece, drawn, read_trace
from dockthread.lab.load import Load, Target
from dockthread.lab.outcome import Outcome

TOGETHER = 0.6  # s that processes get to come up before the first start


@dataclass(frozen=True, slots=True)
class Plan:
    """What is to be sent: drawn from a seed, or a trace."""

    target: Target
    seed: int
    pieces: tuple[Piece, ...] = ()
    mix: Mix | None = None
    trace: Path | None = None

    def arrivals(self) -> Iterator[Arrival]:
        """All requests of all processes, in their order."""
        if self.trace is not None:
            return read_trace(self.trace)
        assert self.mix is not None, "without a trace there is a mix"
        return drawn(self.pieces, self.mix, self.seed)


async def send(
    plan: Plan, share: int, shares: int, progress: Callable[[int], None] | None = None
) -> Outcome:
    """This process's share: every `shares`-th arrival. Ids are unlike over processes and over
    runs.
    """
    first = (time.time_ns() // 1000 << 12 | share) & ((1 << 64) - 1)
    load = Load(plan.target, first, shares)
    if progress is not None:
        load.progress = progress
    return await load.run(islice(plan.arrivals(), share, None, shares))


def _share(plan: Plan, share: int, shares: int, begin: float) -> dict[str, Any]:
    time.sleep(max(0.0, begin - time.time()))
    return asyncio.run(send(plan, share, shares)).packed()


def send_from_processes(plan: Plan, processes: int) -> Outcome:
    """Blocks until all have ended."""
    total, begin = Outcome(), time.time() + TOGETHER
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(processes, mp_context=context) as pool:
        for found in [pool.submit(_share, plan, n, processes, begin) for n in range(processes)]:
            total.add(found.result())
    return total
