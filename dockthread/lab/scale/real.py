"""A process that runs the daemon as a real ingress and records the applied changes."""

from __future__ import annotations

import asyncio
import os

from dockthread.config.platform_settings import read_config
from dockthread.control_plane.ingress import IngressResourceApplier
from dockthread.daemon import Daemon
from dockthread.lab.scale.channel import Words, serve_commands
from dockthread.lab.scale.control import ControlWitness
from dockthread.lab.scale.routes import rows
from dockthread.lab.scale.usage import Lateness, traffic
from dockthread.lab.scale.witness import InForce, Row, Witness, findings, table
from dockthread.observer import Observer
from dockthread.section_registry import load_operator_file


class ListObserver(Observer):
    """Records the revision of each list that the policy engine has received."""

    def __init__(self, daemon: Daemon, witness: Witness) -> None:
        self._daemon, self._witness = daemon, witness

    def event(self, what: str, **figures: object) -> None:
        """Record the list's revision when the ingress reports the event `list`."""
        if what == "list":
            ingress = self._daemon.ingress
            self._witness.heard(ingress.endpoints.revision, ingress.engine)


class Real:
    """The process of one real ingress."""

    def __init__(self) -> None:
        self._lateness, self._in_force, self._control_in_force = Lateness(), InForce(), InForce()
        self._control: ControlWitness | None = None
        self._controlled: IngressResourceApplier | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def begin(self, told: Words) -> Words:
        """Start the daemon and return its client port.

        In the arguments, `ini` is the path of the operator's file, or empty. `reached` and
        `reached_configuration` are the revisions that the ingress had reached before a restart.
        """
        self._ports, self._control_ports = told["discovery"], told["control_ports"]
        self._witness = Witness(told["number"], self._in_force, told["reached"])
        self._witness.new_life(not told["reached"])
        config = read_config({**os.environ, "NODE_CONFIG": told["config"]})
        read = (
            load_operator_file(told["ini"], config.policy_settings, config.names)
            if told["ini"]
            else None
        )
        self._daemon = Daemon(config, told["ini"] or None, read)
        ingress = self._daemon.ingress
        ingress.observe(ListObserver(self._daemon, self._witness))
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._daemon.run()),
            loop.create_task(self._lateness.watch()),
        ]
        while not ingress.lifecycle.ready and not self._tasks[0].done():
            await asyncio.sleep(0)
            if self._control is None and (controlled := self._daemon.resource_applier) is not None:
                self._controlled = controlled
                self._control = ControlWitness(
                    told["number"], self._control_in_force, told["reached_configuration"]
                )
                self._control.new_life(not told["reached_configuration"])
                self._control.observe(controlled)
        if self._tasks[0].done():
            await self._tasks[0]
        return {"port": ingress.address.port}

    async def state(self, told: Words) -> Words:
        """Return the readings that the run takes at both ends of a window."""
        control = self._control
        return {
            "lowest": self._witness.reached,
            "lowest_configuration": control.reached if control is not None else -1,
            "messages_in": self._witness.messages
            + (control.messages if control is not None else 0),
            "messages_out": self._controlled.client.messages.sent
            if self._controlled is not None
            else 0,
            "traffic": traffic(self._ports, local=False),
            "control_traffic": traffic(self._control_ports, local=False),
            "late": self._lateness.taken(),
        }

    async def findings(self, told: Words) -> Words:
        """Return the findings of this ingress, for the checker and the report."""
        ingress, number = self._daemon.ingress, self._witness.number
        found = findings(
            [self._witness], {number: table(ingress.engine, ingress.endpoints)}, self._in_force
        )
        found |= {"number": number, "reached": self._witness.reached, "reached_configuration": 0}
        routes: dict[int, list[Row]] = {}
        controls = [self._control] if self._control is not None else []
        for control in controls:
            found["reached_configuration"] = control.reached
            routes[number] = rows(self._daemon.routes) if self._daemon.routes is not None else []
        return {**found, "configuration": findings(controls, routes, self._control_in_force)}


async def play() -> None:
    """Answer the run's commands until standard input closes."""
    real = Real()
    await serve_commands({"begin": real.begin, "state": real.state, "findings": real.findings})
