"""A process that hosts many hollow ingresses on one loop."""

from __future__ import annotations

import asyncio
import gc
import json
import time

from dockthread.lab.scale.channel import Words, serve_commands
from dockthread.lab.scale.hollow import HollowIngress
from dockthread.lab.scale.plan import Plan, plan_of, settings
from dockthread.lab.scale.plants import alteration
from dockthread.lab.scale.usage import Lateness, traffic
from dockthread.lab.scale.witness import InForce, Witness, findings
from dockthread.settings import Address, Names, read_settings

HOST = "127.0.0.1"


def names_of(told: Words) -> Names:
    return Names(
        classes=tuple(one["Name"] for one in told["Classes"]),
        plans=tuple(one["Name"] for one in told["Packages"]),
        zones=tuple(told["Azs"]),
        kinds=tuple(told["Models"]),
    )


class Host:
    """Its ingresses by number; empty for the baseline."""

    def __init__(self) -> None:
        self._in_force, self._lateness = InForce(), Lateness()
        self._witnesses: dict[int, Witness] = {}
        self._ingresses: dict[int, HollowIngress] = {}
        self._ports: list[int] = []
        self._plan: Plan | None = None
        self._watching: asyncio.Task[None] | None = None

    async def begin(self, told: Words) -> Words:
        self._plan, self._ports = plan_of(told["plan"]), told["discovery"]
        words = settings(self._plan.ingresses)
        self._settings, self._names = read_settings(json.dumps(words).encode()), names_of(words)
        self._planted = min(told["numbers"]) if told["numbers"] and told["plants"] else -1
        for number in told["numbers"]:
            self._witnesses[number] = Witness(number, self._in_force)
        self._start(list(self._witnesses), True)
        self._watching = asyncio.get_running_loop().create_task(self._lateness.watch())
        return {}

    def _start(self, numbers: list[int], first: bool) -> None:
        assert self._plan is not None
        for number in numbers:
            self._witnesses[number].new_life(first)
            alter = alteration(self._plan.plant) if number == self._planted else None
            discovery = Address(HOST, self._ports[self._plan.in_cut(number)])
            one = HollowIngress(self._witnesses[number], self._settings, self._names, discovery, alter)
            self._ingresses[number] = one
            one.start()

    async def stop(self, told: Words) -> Words:
        """End the ingresses that the fault ends, all at once."""
        assert self._plan is not None
        ended = [number for number in self._ingresses if self._plan.restarted(number)]
        await asyncio.gather(*(self._ingresses.pop(number).stop() for number in ended))
        gc.collect()
        return {"stopped": len(ended)}

    async def start(self, told: Words) -> Words:
        """Start anew what was ended, with empty memories."""
        self._start([number for number in self._witnesses if number not in self._ingresses], False)
        return {"at": time.monotonic()}

    async def state(self, told: Words) -> Words:
        return {
            "lowest": min((one.reached for one in self._witnesses.values()), default=-1),
            "messages": sum(one.messages for one in self._witnesses.values()),
            "traffic": traffic(self._ports, local=False),
            "late": self._lateness.taken(),
        }

    async def findings(self, told: Words) -> Words:
        tables = {number: one.table() for number, one in self._ingresses.items()}
        return findings(list(self._witnesses.values()), tables, self._in_force)


async def play() -> None:
    host = Host()
    await serve_commands(
        {
            "begin": host.begin,
            "stop": host.stop,
            "start": host.start,
            "state": host.state,
            "findings": host.findings,
        }
    )
