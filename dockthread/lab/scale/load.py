"""The open-loop load on the real ingresses, from one process: the same requests at the same times
in each phase.
"""

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
    """The process that sends clients' requests to the real ingresses."""

    async def begin(self, told: Words) -> Words:
        """Start, by the run's first words."""
        self._seed, self._rate = int(told["seed"]), float(told["rate"])
        return {}

    async def send(self, told: Words) -> Words:
        """So many seconds of load to each port; the results of all together, as JSON."""
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
    """Serve the run's commands until the standard input ends."""
    load = Load()
    await serve_commands({"begin": load.begin, "send": load.send})
