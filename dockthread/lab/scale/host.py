"""A process that runs many hollow ingresses on one event loop."""

from __future__ import annotations

import asyncio
import gc
import json
import time

from dockthread.config.address import Address
from dockthread.config.ingress_config import Names
from dockthread.config.platform_settings import parse_policy_settings
from dockthread.lab.scale.channel import Words, serve_commands
from dockthread.lab.scale.control import ControlWitness
from dockthread.lab.scale.hollow import HollowIngress, Shared
from dockthread.lab.scale.plan import plan_of, settings
from dockthread.lab.scale.routes import rows
from dockthread.lab.scale.usage import Lateness, traffic
from dockthread.lab.scale.witness import InForce, Observed, Witness, findings

HOST = "127.0.0.1"


def names_of(told: Words) -> Names:
    """Extract the names from the platform's settings."""
    return Names(
        classes=tuple(one["Name"] for one in told["Classes"]),
        plans=tuple(one["Name"] for one in told["Packages"]),
        zones=tuple(told["Azs"]),
        kinds=tuple(told["Models"]),
    )


class Host:
    """The hollow ingresses of one process. The baseline process has none."""

    def __init__(self) -> None:
        self._in_force, self._control_in_force, self._lateness = InForce(), InForce(), Lateness()
        self._witnesses: dict[int, Witness] = {}
        self._controls: dict[int, ControlWitness] = {}
        self._ingresses: dict[int, HollowIngress] = {}
        self._sent_by_ended = 0  # Messages sent by ingresses that have been stopped.
        self._ports: list[int] = []
        self._control_ports: list[int] = []

    async def begin(self, told: Words) -> Words:
        """Start the ingresses of this process."""
        self._plan, self._ports = plan_of(told["plan"]), told["discovery"]
        words, control = settings(self._plan.ingresses), told["control"]
        first, cut = (Address(HOST, port) for port in self._ports)
        servers: list[list[str]] = control["servers"] if control else [[], []]
        self._control_ports = [Address.parse(one).port for at in servers for one in at]
        self._shared = Shared(
            parse_policy_settings(json.dumps(words).encode()),
            names_of(words),
            (first, cut),
            (servers[0], servers[1]),
            control["key_file"] if control else "",
        )
        self._planted = min(told["numbers"]) if told["numbers"] and told["plants"] else -1
        for number in told["numbers"]:
            self._witnesses[number] = Witness(number, self._in_force)
            if control:
                self._controls[number] = ControlWitness(number, self._control_in_force)
        self._start(list(self._witnesses), True)
        self._watching = asyncio.get_running_loop().create_task(self._lateness.watch())
        return {}

    def _start(self, numbers: list[int], first: bool) -> None:
        for number in numbers:
            witness, control = self._witnesses[number], self._controls.get(number)
            plant = self._plan.plant if number == self._planted else ""
            witness.new_life(first)
            if control is not None:
                control.new_life(first)
            one = HollowIngress(witness, control, self._shared, self._plan.in_cut(number), plant)
            self._ingresses[number] = one
            one.start()

    async def stop(self, told: Words) -> Words:
        """Stop all ingresses that the fault restarts."""
        ended = [number for number in self._ingresses if self._plan.restarted(number)]
        self._sent_by_ended += sum(self._ingresses[number].messages_sent for number in ended)
        await asyncio.gather(*(self._ingresses.pop(number).stop() for number in ended))
        gc.collect()
        return {"stopped": len(ended)}

    async def start(self, told: Words) -> Words:
        """Start new ingresses, with empty state, in place of the stopped ones."""
        self._start([number for number in self._witnesses if number not in self._ingresses], False)
        return {"at": time.monotonic()}

    async def state(self, told: Words) -> Words:
        """Return the readings that the run takes at both ends of a window."""
        seen: list[Observed] = [*self._witnesses.values(), *self._controls.values()]
        return {
            "lowest": min((one.reached for one in self._witnesses.values()), default=-1),
            "lowest_configuration": min(
                (one.reached for one in self._controls.values()), default=-1
            ),
            "messages_in": sum(one.messages for one in seen),
            "messages_out": self._sent_by_ended
            + sum(one.messages_sent for one in self._ingresses.values()),
            "traffic": traffic(self._ports, local=False),
            "control_traffic": traffic(self._control_ports, local=False),
            "late": self._lateness.taken(),
        }

    async def findings(self, told: Words) -> Words:
        """Return the findings of all ingresses here, for the checker and the report."""
        tables = {number: one.table() for number, one in self._ingresses.items()}
        routes = {
            number: rows(one.layers)
            for number, one in self._ingresses.items()
            if number in self._controls
        }
        found = findings(list(self._witnesses.values()), tables, self._in_force)
        return {
            **found,
            "configuration": findings(
                list(self._controls.values()), routes, self._control_in_force
            ),
        }


async def play() -> None:
    """Answer the run's commands until standard input closes."""
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
