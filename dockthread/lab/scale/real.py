"""A real ingress: the program's daemon from a configuration file, and an observer that notes what is in force."""

from __future__ import annotations

import asyncio
import os

from dockthread.lab.scale.channel import Words, serve_commands
from dockthread.lab.scale.usage import Lateness, traffic
from dockthread.lab.scale.witness import InForce, Witness, findings, table
from dockthread.observer import Observer
from dockthread.serve import Daemon
from dockthread.settings import read_config


class ListObserver(Observer):
    """Notes the revision of each list once the module was told it."""

    def __init__(self, daemon: Daemon, witness: Witness) -> None:
        self._daemon, self._witness = daemon, witness

    def event(self, what: str, **figures: object) -> None:
        if what == "list":
            ingress = self._daemon.ingress
            self._witness.heard(ingress.destinations.revision, ingress.gateway)


class Real:
    def __init__(self) -> None:
        self._lateness, self._in_force = Lateness(), InForce()
        self._tasks: list[asyncio.Task[None]] = []

    async def begin(self, told: Words) -> Words:
        self._ports = told["discovery"]
        self._witness = Witness(told["number"], self._in_force, told["reached"])
        self._witness.new_life(not told["reached"])
        self._daemon = Daemon(read_config({**os.environ, "NODE_CONFIG": told["config"]}), None, None)
        ingress = self._daemon.ingress
        ingress.observe(ListObserver(self._daemon, self._witness))
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._daemon.run()), loop.create_task(self._lateness.watch())]
        while not ingress.lifecycle.ready and not self._tasks[0].done():
            await asyncio.sleep(0.005)
        if self._tasks[0].done():
            await self._tasks[0]
        return {"port": ingress.address.port}

    async def state(self, told: Words) -> Words:
        return {
            "lowest": self._witness.reached,
            "messages": self._witness.messages,
            "traffic": traffic(self._ports, local=False),
            "late": self._lateness.taken(),
        }

    async def findings(self, told: Words) -> Words:
        ingress = self._daemon.ingress
        tables = {self._witness.number: table(ingress.gateway, ingress.destinations)}
        found = findings([self._witness], tables, self._in_force)
        return {**found, "number": self._witness.number, "reached": self._witness.reached}


async def play() -> None:
    real = Real()
    await serve_commands({"begin": real.begin, "state": real.state, "findings": real.findings})
