"""The open-loop load on the real ingresses, from one process: the same requests at the same times
in each phase.
"""

from __future__ import annotations

import asyncio

from dockthread.lab.arrivals import Mix, shape
from dockthread.lab.load import Target
from dockthread.lab.outcome import Outcome
from dockthread.lab.processes import Plan, send
from dockthread.lab.scale.channel import Words, serve_commands

DEADLINES = {"seat-status": 4.0, "seat-checkout": 12.0}
MIX = Mix(
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
        """So many seconds of load to each port; the outcomes of all together, packed."""
        pieces = shape(f"{self._rate:g}@{told['seconds']:g}s")
        plans = [
            Plan(
                Target(HOST, port, DEADLINES, frozenset({"seat-checkout"})),
                self._seed + n,
                pieces,
                MIX,
            )
            for n, port in enumerate(told["ports"])
        ]
        total = Outcome()
        for one in await asyncio.gather(*(send(plan, 0, 1) for plan in plans)):
            total.add(one.packed())
        return total.packed()


async def play() -> None:
    """Serve the run's commands until the standard input ends."""
    load = Load()
    await serve_commands({"begin": load.begin, "send": load.send})
