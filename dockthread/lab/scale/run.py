"""Plays one scale run: starts the processes, measures two windows, plays the fault, and stops all.

The quiet window has no control-plane changes, and the busy window has them.
"""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

from dockthread.lab.scale.channel import Child, ProcessError, Words
from dockthread.lab.scale.control import options_of, section_of
from dockthread.lab.scale.distribution import Distribution
from dockthread.lab.scale.plan import Plan, settings
from dockthread.lab.scale.usage import Usage, read_usage

STARTED_WITHIN: Final = 60.0  # Timeout in seconds for all watches to open.
LISTED_WITHIN: Final = 60.0  # Timeout in seconds for the whole list to be in force everywhere.
SETTLED_WITHIN: Final = 45.0  # Timeout in seconds for the last change to be in force everywhere.
LOOKS: Final = 0.1  # Seconds between two polls of a condition.
SETTLES: Final = 0.5  # Seconds to let the system settle before a measurement.
QUIET_PART: Final = 0.5  # Length of the quiet window as a fraction of the run's seconds.
# When the fault begins and ends, as fractions of the busy window.
FAULT_BEGINS, FAULT_ENDS = 0.25, 0.6


class Window:
    """Readings of every process at the start and the end of a measurement window."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.usage: dict[str, list[tuple[Usage, Usage]]] = {}
        self.states: dict[str, list[tuple[Words, Words]]] = {}
        self.load: Words | None = None
        self._before: dict[Child, tuple[Usage, Words]] = {}

    async def begin(self, children: list[Child]) -> None:
        """Read every process at the start of the window."""
        states = await asyncio.gather(*(child.ask("state") for child in children))
        self._before = {
            child: (read_usage(child.pid), state)
            for child, state in zip(children, states, strict=True)
        }

    async def end(self) -> None:
        """Read every process at the end of the window, except those that the fault has stopped."""
        read = {child: read_usage(child.pid) for child in self._before if child.running}
        for child, after in read.items():
            usage, state = self._before[child]
            self.usage.setdefault(child.shown, []).append((usage, after))
            self.states.setdefault(child.shown, []).append((state, await child.ask("state")))


class Run:
    """One scale run. Its configuration files and logs go into `folder`."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self._folder = plan, folder
        self.discovery, self.backends = Child("discovery"), Child("backends")
        self.baseline = Child("host", shown="baseline")
        self.hosts: list[Child] = []
        self.reals: dict[int, Child] = {}
        self.load: Child | None = None
        self.distribution = Distribution(plan, folder) if plan.distributes else None
        self._ports: list[int] = []
        self._client_ports: dict[int, int] = {}
        # Resident bytes by role, before and after the whole list was published.
        self.resident: dict[str, list[tuple[int, int]]] = {}
        self.fault: Words = {}
        self.ended: list[Words] = []  # Findings of real ingresses before they were restarted.
        self.quiet, self.busy = Window("quiet"), Window("busy")
        # Revisions of the whole list and of the last initial route.
        self.opened = self.filled = 0
        self.settled = False  # Whether all changes were in force everywhere in time.
        self.findings: list[Words] = []
        self.log: Words = {}
        self.routes_log: Words = {"changes": [], "late_starts": [], "refused": []}

    @property
    def children(self) -> list[Child]:
        """The processes that are measured."""
        control = self.distribution.measured if self.distribution is not None else []
        return [
            self.discovery,
            self.backends,
            self.baseline,
            *control,
            *self.hosts,
            *self.reals.values(),
        ]

    @property
    def ingresses(self) -> list[Child]:
        """The processes that run ingresses."""
        return [*self.hosts, *self.reals.values()]

    async def play(self) -> None:
        """Play the run and stop all processes. Raises ProcessError if the run is void."""
        try:
            await self._start()
            await self._open()
            await self._window(self.quiet, self.plan.seconds * QUIET_PART, changes=False)
            await self._window(self.busy, self.plan.seconds, changes=True)
            await self._judged()
        finally:
            everyone = [*self.children, *([self.load] if self.load else [])]
            await asyncio.gather(*(child.end() for child in everyone))
            if self.distribution is not None:
                await self.distribution.end()

    # Startup

    async def _start(self) -> None:
        plan = self.plan.told()
        backend_port = (await self.backends.start({}, self._log("backends")))["port"]
        told = {"plan": plan, "backend_port": backend_port}
        self._ports = (await self.discovery.start(told, self._log("discovery")))["ports"]
        if self.distribution is not None:
            await self.distribution.start()
            self.filled = await self.distribution.fill()
        control = self.distribution.told() if self.distribution is not None else None
        common = {"plan": plan, "discovery": self._ports, "control": control}
        starting = [
            self.baseline.start({**common, "numbers": [], "plants": False}, self._log("baseline"))
        ]
        for number, share in enumerate(self.plan.shares()):
            self.hosts.append(Child("host", number))
            told = {**common, "numbers": share, "plants": number == 0 and bool(self.plan.plant)}
            starting.append(self.hosts[-1].start(told, self._log(f"host-{number}")))
        if self.plan.real and self.plan.rate:
            self.load = Child("load")
            starting.append(
                self.load.start({"seed": self.plan.seed, "rate": self.plan.rate}, self._log("load"))
            )
        await asyncio.gather(
            *starting, *(self._start_real(number, 0, 0) for number in range(self.plan.real))
        )
        await self._until(self._watched, STARTED_WITHIN, "not all watches were open")
        await self._until(
            lambda: self._reached(0, self.filled),
            LISTED_WITHIN,
            "not all ingresses had the initial routes",
        )

    async def _start_real(self, number: int, reached: int, reached_configuration: int) -> None:
        config = self._folder / f"real-{number}.json"
        words = {**settings(self.plan.ingresses), "MyNumber": number}
        raw = {
            "name": f"n{number}",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self._ports[self.plan.in_cut(number)]}",
            "seed": f"{number + 1:x}",
            "limits": {"sockets": 4096},
            "settings": words,
        }
        config.write_text(json.dumps(raw))
        child = self.reals[number] = Child("real", number)
        told: Words = {
            "config": str(config),
            "number": number,
            "discovery": self._ports,
            "ini": "",
            "control_ports": [],
        }
        told |= {"reached": reached, "reached_configuration": reached_configuration}
        if self.distribution is not None:
            servers = (self.distribution.servers, self.distribution.relayed)
            ini = self._folder / f"real-{number}.ini"
            key_file = str(self.distribution.key_file)
            ini.write_text(
                section_of(options_of(number, servers[self.plan.in_cut(number)], key_file))
            )
            told["ini"] = str(ini)
            told["control_ports"] = [int(one.rpartition(":")[2]) for at in servers for one in at]
        self._client_ports[number] = (await child.start(told, self._log(f"real-{number}")))["port"]

    async def _watched(self) -> bool:
        return int((await self.discovery.ask("state"))["watches"]) >= self.plan.ingresses

    async def _open(self) -> None:
        await asyncio.sleep(SETTLES)
        before = {child: read_usage(child.pid).rss for child in self.children}
        self.opened = (await self.discovery.ask("open"))["revision"]
        await self._until(
            lambda: self._reached(self.opened, 0),
            LISTED_WITHIN,
            "the whole list was not in force everywhere",
        )
        await asyncio.sleep(SETTLES)
        for child, rss in before.items():
            self.resident.setdefault(child.shown, []).append((rss, read_usage(child.pid).rss))

    # Measurement windows

    async def _window(self, window: Window, seconds: float, changes: bool) -> None:
        await window.begin(self.children)
        sending = asyncio.create_task(self._send(seconds))
        try:
            if changes:
                await self._change(seconds)
            else:
                await asyncio.sleep(seconds)
            await window.end()
            window.load = await sending
        finally:
            sending.cancel()
            with suppress(asyncio.CancelledError, ProcessError):
                await sending

    async def _send(self, seconds: float) -> Words | None:
        ports = [
            port for number, port in self._client_ports.items() if not self.plan.restarted(number)
        ]
        if self.load is None or not ports:
            return None
        return await self.load.ask("send", within=seconds + 30.0, seconds=seconds, ports=ports)

    async def _change(self, seconds: float) -> None:
        begun = time.monotonic()
        if rate := self.plan.changes.list_rate:
            await self.discovery.ask("publish", rate=rate, seconds=seconds)
        if self.distribution is not None:
            rate = self.plan.changes.configuration_rate
            await self.distribution.publisher.ask("publish", rate=rate, seconds=seconds)
        if self.plan.fault != "none":
            await asyncio.sleep(max(0.0, begun + FAULT_BEGINS * seconds - time.monotonic()))
            self.fault["begun"] = time.monotonic()
            await self._begin_fault()
            if self.plan.fault != "restart-wave":
                await asyncio.sleep(max(0.0, begun + FAULT_ENDS * seconds - time.monotonic()))
            await self._end_fault()
        await asyncio.sleep(max(0.0, begun + seconds - time.monotonic()))
        await self.discovery.ask("published")
        if self.distribution is not None:
            await self.distribution.publisher.ask("published")

    async def _begin_fault(self) -> None:
        await self.discovery.ask("fault", begin=True)
        if self.distribution is not None and self.plan.fault == "cut":
            await self.distribution.relay.ask("cut", cut=True)
        if self.plan.fault != "cut":
            await asyncio.gather(*(host.ask("stop") for host in self.hosts))
            for number, child in self.reals.items():
                if self.plan.restarted(number):
                    self.ended.append(await child.ask("findings"))
                    await child.end()

    async def _end_fault(self) -> None:
        self.fault["ended"] = time.monotonic()
        self.fault["revision"] = (await self.discovery.ask("fault", begin=False))["revision"]
        if self.distribution is not None:
            await self.distribution.relay.ask("cut", cut=False)
            self.fault["configuration_revision"] = (await self.distribution.publisher.ask("state"))[
                "revision"
            ]
        if self.plan.fault != "cut":
            await asyncio.gather(*(host.ask("start") for host in self.hosts))
            for found in self.ended:
                await self._start_real(
                    found["number"], found["reached"], found["reached_configuration"]
                )

    # Final checks

    async def _judged(self) -> None:
        final, configured = int((await self.discovery.ask("state"))["revision"]), 0
        if self.distribution is not None:
            configured = int((await self.distribution.publisher.ask("state"))["revision"])
            self.routes_log = await self.distribution.publisher.ask("log")
        with suppress(ProcessError):
            await self._until(
                lambda: self._reached(final, configured),
                SETTLED_WITHIN,
                "not all changes were in force",
            )
            self.settled = True
        self.findings = list(
            await asyncio.gather(*(child.ask("findings") for child in self.ingresses))
        )
        self.log = await self.discovery.ask("log")

    async def _reached(self, revision: int, configuration: int) -> bool:
        """Return whether all ingresses have reached a list and a configuration revision."""
        for state in await asyncio.gather(*(child.ask("state") for child in self.ingresses)):
            if state["lowest"] < revision or (
                configuration and state["lowest_configuration"] < configuration
            ):
                return False
        return True

    async def _until(self, condition: Any, within: float, otherwise: str) -> None:
        due = time.monotonic() + within
        while not await condition():
            if time.monotonic() > due:
                raise ProcessError(f"{otherwise} within {within:g} s")
            await asyncio.sleep(LOOKS)

    def _log(self, name: str) -> Path:
        return self._folder / f"{name}.log"
