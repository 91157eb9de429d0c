"""One process that sends open-loop load to the real ingresses, the same in each window."""

from __future__ import annotations

import asyncio

from dockthread.lab.arrivals import RequestMix, parse_rate_shape
from dockthread.lab.load import LoadTarget
from dockthread.lab.load_result import LoadResult
from dockthread.lab.processes import LoadPlan, send_share
from dockthread.lab.scale.channel import Words, serve_commands

DEADLINES = {"seat-status": 4.0, "seat-checkout": 12.0}
MIX = RequestMix(
    tuple((name, 1.0) for name in DEADLINES), (("klein", 2.0), ("mittel", 1.0), ("gross", 1.0))
)
HOST = "127.0.0.1"


class Load:
    """The process that sends client requests to the real ingresses."""

    async def begin(self, told: Words) -> Words:
        """Store the seed and the rate."""
        self._seed, self._rate = int(told["seed"]), float(told["rate"])
        return {}

    async def send(self, told: Words) -> Words:
        """Send load to each port for the given seconds and return the merged results as JSON."""
        segments = parse_rate_shape(f"{self._rate:g}@{told['seconds']:g}s")
        plans = [
            LoadPlan(
                LoadTarget(HOST, port, DEADLINES, frozenset({"seat-checkout"})),
                self._seed + n,
                segments,
                MIX,
            )
            for n, port in enumerate(told["ports"])
        ]
        total = LoadResult()
        for result in await asyncio.gather(*(send_share(plan, 0, 1) for plan in plans)):
            total.merge(result.to_json())
        return total.to_json()


async def play() -> None:
    """Answer the run's commands until standard input closes."""
    load = Load()
    await serve_commands({"begin": load.begin, "send": load.send})
