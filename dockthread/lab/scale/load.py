"""One process that sends open-loop load to the real ingresses, the same in each window."""

from __future__ import annotations

import asyncio

from dockthread.lab.arrivals import RequestMix, parse_rate_shape
from dockthread.lab.load import LoadTarget
from dockthread.lab.load_result import LoadResult
from dockthread.lab.processes import LoadPlan, send_share
from dockthread.lab.scale.channel import JsonObject, serve_commands

DEADLINES_S = {"seat-status": 4.0, "seat-checkout": 12.0}
REQUEST_MIX = RequestMix(
    tuple((name, 1.0) for name in DEADLINES_S), (("klein", 2.0), ("mittel", 1.0), ("gross", 1.0))
)
HOST = "127.0.0.1"


class LoadGenerator:
    """The process that sends client requests to the real ingresses."""

    async def begin(self, arguments: JsonObject) -> JsonObject:
        """Store the seed and the rate."""
        self._seed = int(arguments["seed"])
        self._rate = float(arguments["rate"])
        return {}

    async def send(self, arguments: JsonObject) -> JsonObject:
        """Send load to each port for the given seconds and return the merged results as JSON."""
        segments = parse_rate_shape(f"{self._rate:g}@{arguments['seconds']:g}s")
        plans = [
            LoadPlan(
                LoadTarget(HOST, port, DEADLINES_S, frozenset({"seat-checkout"})),
                self._seed + index,
                segments,
                REQUEST_MIX,
            )
            for index, port in enumerate(arguments["ports"])
        ]
        total = LoadResult()
        for result in await asyncio.gather(*(send_share(plan, 0, 1) for plan in plans)):
            total.merge(result.to_json())
        return total.to_json()


async def serve() -> None:
    """Answer the run's commands until standard input closes."""
    load = LoadGenerator()
    await serve_commands({"begin": load.begin, "send": load.send})
