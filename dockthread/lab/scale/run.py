"""Executes one scale run: starts the processes, measures two windows, injects the fault, stops all.

The quiet window has no control-plane changes, and the busy window has them.
"""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

from dockthread.lab.scale.channel import ChildProcess, JsonObject, ProcessError
from dockthread.lab.scale.control import control_options, control_section
from dockthread.lab.scale.distribution import Distribution
from dockthread.lab.scale.plan import RunPlan, platform_settings
from dockthread.lab.scale.usage import Usage, read_usage

START_TIMEOUT_S: Final = 60.0  # Timeout in seconds for all watches to open.
LIST_TIMEOUT_S: Final = 60.0  # Timeout in seconds for the whole list to be in force everywhere.
FINAL_TIMEOUT_S: Final = 45.0  # Timeout in seconds for the last change to be in force everywhere.
POLL_INTERVAL_S: Final = 0.1  # Seconds between two polls of a condition.
SETTLE_S: Final = 0.5  # Seconds to let the system settle before a measurement.
QUIET_FRACTION: Final = 0.5  # Length of the quiet window as a fraction of the run's seconds.
# When the fault begins and ends, as fractions of the busy window.
FAULT_START_FRACTION = 0.25
FAULT_END_FRACTION = 0.6


class MeasurementWindow:
    """Readings of every process at the start and the end of a measurement window."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.usage: dict[str, list[tuple[Usage, Usage]]] = {}
        self.states: dict[str, list[tuple[JsonObject, JsonObject]]] = {}
        self.load: JsonObject | None = None
        self._readings_before: dict[ChildProcess, tuple[Usage, JsonObject]] = {}

    async def begin(self, processes: list[ChildProcess]) -> None:
        """Take the readings of every process at the start of the window."""
        states = await asyncio.gather(*(process.call("state") for process in processes))
        self._readings_before = {
            process: (read_usage(process.pid), state)
            for process, state in zip(processes, states, strict=True)
        }

    async def end(self) -> None:
        """Take the readings at the end of the window, except of processes that the fault stopped."""
        usage_after = {
            process: read_usage(process.pid) for process in self._readings_before if process.running
        }
        for process, after in usage_after.items():
            usage, state = self._readings_before[process]
            self.usage.setdefault(process.report_role, []).append((usage, after))
            self.states.setdefault(process.report_role, []).append(
                (state, await process.call("state"))
            )


class ScaleRun:
    """One scale run. Its configuration files and logs go into `folder`."""

    def __init__(self, plan: RunPlan, folder: Path) -> None:
        self.plan = plan
        self._folder = folder
        self.discovery = ChildProcess("discovery")
        self.backends = ChildProcess("backends")
        self.baseline = ChildProcess("host", report_role="baseline")
        self.host_processes: list[ChildProcess] = []
        self.real_processes: dict[int, ChildProcess] = {}
        self.load: ChildProcess | None = None
        self.distribution = Distribution(plan, folder) if plan.distributes_configuration else None
        self._discovery_ports: list[int] = []
        self._client_ports: dict[int, int] = {}
        # Resident bytes by role, before and after the whole list was published.
        self.resident_bytes: dict[str, list[tuple[int, int]]] = {}
        self.fault_record: JsonObject = {}
        # Findings of real ingresses before they were restarted.
        self.findings_before_restart: list[JsonObject] = []
        self.quiet_window = MeasurementWindow("quiet")
        self.busy_window = MeasurementWindow("busy")
        # Revisions of the whole list and of the last initial route.
        self.list_revision = self.routes_revision = 0
        self.settled = False  # Whether all changes were in force everywhere in time.
        self.findings: list[JsonObject] = []
        self.list_log: JsonObject = {}
        self.routes_log: JsonObject = {"changes": [], "late_starts": [], "refused": []}

    @property
    def measured_processes(self) -> list[ChildProcess]:
        """The processes that are measured."""
        servers = self.distribution.measured_processes if self.distribution is not None else []
        return [
            self.discovery,
            self.backends,
            self.baseline,
            *servers,
            *self.host_processes,
            *self.real_processes.values(),
        ]

    @property
    def ingress_processes(self) -> list[ChildProcess]:
        """The processes that run ingresses."""
        return [*self.host_processes, *self.real_processes.values()]

    async def execute(self) -> None:
        """Execute the run and stop all processes. Raises ProcessError if the run is void."""
        try:
            await self._start()
            await self._publish_list()
            await self._measure(
                self.quiet_window, self.plan.seconds * QUIET_FRACTION, changes=False
            )
            await self._measure(self.busy_window, self.plan.seconds, changes=True)
            await self._collect_findings()
        finally:
            processes = [*self.measured_processes, *([self.load] if self.load else [])]
            await asyncio.gather(*(process.stop() for process in processes))
            if self.distribution is not None:
                await self.distribution.stop()

    # Startup

    async def _start(self) -> None:
        plan = self.plan.to_json()
        backend_port = (await self.backends.start({}, self._log_path("backends")))["port"]
        arguments = {"plan": plan, "backend_port": backend_port}
        self._discovery_ports = (
            await self.discovery.start(arguments, self._log_path("discovery"))
        )["ports"]
        if self.distribution is not None:
            await self.distribution.start()
            self.routes_revision = await self.distribution.publish_all_routes()
        control_arguments = (
            self.distribution.ingress_arguments() if self.distribution is not None else None
        )
        common_arguments = {
            "plan": plan,
            "discovery": self._discovery_ports,
            "control": control_arguments,
        }
        start_calls = [
            self.baseline.start(
                {**common_arguments, "numbers": [], "plants": False}, self._log_path("baseline")
            )
        ]
        for number, ingress_numbers in enumerate(self.plan.host_assignments()):
            self.host_processes.append(ChildProcess("host", number))
            arguments = {
                **common_arguments,
                "numbers": ingress_numbers,
                "plants": number == 0 and bool(self.plan.plant),
            }
            start_calls.append(
                self.host_processes[-1].start(arguments, self._log_path(f"host-{number}"))
            )
        if self.plan.real and self.plan.rate:
            self.load = ChildProcess("load")
            start_calls.append(
                self.load.start(
                    {"seed": self.plan.seed, "rate": self.plan.rate}, self._log_path("load")
                )
            )
        await asyncio.gather(
            *start_calls, *(self._start_real(number, 0, 0) for number in range(self.plan.real))
        )
        await self._wait_until(self._all_watching, START_TIMEOUT_S, "not all watches were open")
        await self._wait_until(
            lambda: self._all_reached(0, self.routes_revision),
            LIST_TIMEOUT_S,
            "not all ingresses had the initial routes",
        )

    async def _start_real(self, number: int, reached: int, reached_configuration: int) -> None:
        config_path = self._folder / f"real-{number}.json"
        policy_settings = {**platform_settings(self.plan.ingresses), "MyNumber": number}
        config_values = {
            "name": f"n{number}",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self._discovery_ports[self.plan.is_affected_by_cut(number)]}",
            "seed": f"{number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "known": {"rev": 0, "all": True, "targets": []},
            "settings": policy_settings,
        }
        config_path.write_text(json.dumps(config_values))
        process = self.real_processes[number] = ChildProcess("real", number)
        arguments: JsonObject = {
            "config": str(config_path),
            "number": number,
            "discovery": self._discovery_ports,
            "ini": "",
            "control_ports": [],
        }
        arguments |= {"reached": reached, "reached_configuration": reached_configuration}
        if self.distribution is not None:
            servers = (self.distribution.servers, self.distribution.relay_addresses)
            ini_path = self._folder / f"real-{number}.ini"
            key_file = str(self.distribution.key_file)
            ini_path.write_text(
                control_section(
                    control_options(number, servers[self.plan.is_affected_by_cut(number)], key_file)
                )
            )
            arguments["ini"] = str(ini_path)
            arguments["control_ports"] = [
                int(address.rpartition(":")[2]) for addresses in servers for address in addresses
            ]
        self._client_ports[number] = (
            await process.start(arguments, self._log_path(f"real-{number}"))
        )["port"]

    async def _all_watching(self) -> bool:
        return int((await self.discovery.call("state"))["watches"]) >= self.plan.ingresses

    async def _publish_list(self) -> None:
        await asyncio.sleep(SETTLE_S)
        rss_before = {
            process: read_usage(process.pid).rss_bytes for process in self.measured_processes
        }
        self.list_revision = (await self.discovery.call("open"))["revision"]
        await self._wait_until(
            lambda: self._all_reached(self.list_revision, 0),
            LIST_TIMEOUT_S,
            "the whole list was not in force everywhere",
        )
        await asyncio.sleep(SETTLE_S)
        for process, rss_bytes in rss_before.items():
            self.resident_bytes.setdefault(process.report_role, []).append(
                (rss_bytes, read_usage(process.pid).rss_bytes)
            )

    # Measurement windows

    async def _measure(self, window: MeasurementWindow, seconds: float, changes: bool) -> None:
        await window.begin(self.measured_processes)
        sending = asyncio.create_task(self._send_load(seconds))
        try:
            if changes:
                await self._publish_changes(seconds)
            else:
                await asyncio.sleep(seconds)
            await window.end()
            window.load = await sending
        finally:
            sending.cancel()
            with suppress(asyncio.CancelledError, ProcessError):
                await sending

    async def _send_load(self, seconds: float) -> JsonObject | None:
        ports = [
            port
            for number, port in self._client_ports.items()
            if not self.plan.is_restarted(number)
        ]
        if self.load is None or not ports:
            return None
        return await self.load.call("send", timeout_s=seconds + 30.0, seconds=seconds, ports=ports)

    async def _publish_changes(self, seconds: float) -> None:
        started = time.monotonic()
        if rate := self.plan.changes.list_rate:
            await self.discovery.call("publish", rate=rate, seconds=seconds)
        if self.distribution is not None:
            rate = self.plan.changes.configuration_rate
            await self.distribution.publisher.call("publish", rate=rate, seconds=seconds)
        if self.plan.fault != "none":
            await asyncio.sleep(
                max(0.0, started + FAULT_START_FRACTION * seconds - time.monotonic())
            )
            self.fault_record["begun"] = time.monotonic()
            await self._begin_fault()
            if self.plan.fault != "restart-wave":
                await asyncio.sleep(
                    max(0.0, started + FAULT_END_FRACTION * seconds - time.monotonic())
                )
            await self._end_fault()
        await asyncio.sleep(max(0.0, started + seconds - time.monotonic()))
        await self.discovery.call("published")
        if self.distribution is not None:
            await self.distribution.publisher.call("published")

    async def _begin_fault(self) -> None:
        await self.discovery.call("fault", begin=True)
        if self.distribution is not None and self.plan.fault == "cut":
            await self.distribution.relay.call("cut", cut=True)
        if self.plan.fault != "cut":
            await asyncio.gather(*(host.call("stop") for host in self.host_processes))
            for number, process in self.real_processes.items():
                if self.plan.is_restarted(number):
                    self.findings_before_restart.append(await process.call("findings"))
                    await process.stop()

    async def _end_fault(self) -> None:
        self.fault_record["ended"] = time.monotonic()
        self.fault_record["revision"] = (await self.discovery.call("fault", begin=False))[
            "revision"
        ]
        if self.distribution is not None:
            await self.distribution.relay.call("cut", cut=False)
            self.fault_record["configuration_revision"] = (
                await self.distribution.publisher.call("state")
            )["revision"]
        if self.plan.fault != "cut":
            await asyncio.gather(*(host.call("start") for host in self.host_processes))
            for finding in self.findings_before_restart:
                await self._start_real(
                    finding["number"], finding["reached"], finding["reached_configuration"]
                )

    # Final checks

    async def _collect_findings(self) -> None:
        list_revision = int((await self.discovery.call("state"))["revision"])
        configuration_revision = 0
        if self.distribution is not None:
            configuration_revision = int(
                (await self.distribution.publisher.call("state"))["revision"]
            )
            self.routes_log = await self.distribution.publisher.call("log")
        with suppress(ProcessError):
            await self._wait_until(
                lambda: self._all_reached(list_revision, configuration_revision),
                FINAL_TIMEOUT_S,
                "not all changes were in force",
            )
            self.settled = True
        self.findings = list(
            await asyncio.gather(*(process.call("findings") for process in self.ingress_processes))
        )
        self.list_log = await self.discovery.call("log")

    async def _all_reached(self, revision: int, configuration: int) -> bool:
        """Return whether all ingresses have reached a list and a configuration revision."""
        for state in await asyncio.gather(
            *(process.call("state") for process in self.ingress_processes)
        ):
            if state["lowest"] < revision or (
                configuration and state["lowest_configuration"] < configuration
            ):
                return False
        return True

    async def _wait_until(self, condition: Any, timeout_s: float, failure: str) -> None:
        deadline = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > deadline:
                raise ProcessError(f"{failure} within {timeout_s:g} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    def _log_path(self, name: str) -> Path:
        return self._folder / f"{name}.log"
