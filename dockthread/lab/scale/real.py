"""A process that runs the daemon as a real ingress and records the applied changes."""

from __future__ import annotations

import asyncio
import os

from dockthread.config.platform_settings import read_config
from dockthread.control_plane.ingress import IngressResourceApplier
from dockthread.daemon import Daemon
from dockthread.lab.scale.channel import JsonObject, serve_commands
from dockthread.lab.scale.control import ConfigurationRecorder
from dockthread.lab.scale.recorder import InForceCounts, ListRecorder, Row, backend_rows, findings
from dockthread.lab.scale.routes import route_rows
from dockthread.lab.scale.usage import Lateness, traffic
from dockthread.observer import Observer
from dockthread.section_registry import load_operator_file


class ListObserver(Observer):
    """Records the revision of each list that the policy engine has received."""

    def __init__(self, daemon: Daemon, list_recorder: ListRecorder) -> None:
        self._daemon = daemon
        self._list_recorder = list_recorder

    def event(self, event_name: str, **fields: object) -> None:
        """Record the list's revision when the ingress reports the event `list`."""
        if event_name == "list":
            ingress = self._daemon.ingress
            self._list_recorder.record_list(ingress.endpoints.revision, ingress.engine)


class RealIngress:
    """The process of one real ingress."""

    def __init__(self) -> None:
        self._lateness = Lateness()
        self._list_in_force = InForceCounts()
        self._configuration_in_force = InForceCounts()
        self._configuration_recorder: ConfigurationRecorder | None = None
        self._applier: IngressResourceApplier | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def begin(self, arguments: JsonObject) -> JsonObject:
        """Start the daemon and return its client port.

        In the arguments, `ini` is the path of the operator's file, or empty. `reached` and
        `reached_configuration` are the revisions that the ingress had reached before a restart.
        """
        self._discovery_ports = arguments["discovery"]
        self._control_ports = arguments["control_ports"]
        self._list_recorder = ListRecorder(
            arguments["number"], self._list_in_force, arguments["reached"]
        )
        self._list_recorder.reset(not arguments["reached"])
        config = read_config({**os.environ, "NODE_CONFIG": arguments["config"]})
        operator_file = (
            load_operator_file(arguments["ini"], config.policy_settings, config.names)
            if arguments["ini"]
            else None
        )
        self._daemon = Daemon(config, arguments["ini"] or None, operator_file)
        ingress = self._daemon.ingress
        ingress.observe(ListObserver(self._daemon, self._list_recorder))
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._daemon.run()),
            loop.create_task(self._lateness.measure()),
        ]
        while not ingress.lifecycle.ready and not self._tasks[0].done():
            await asyncio.sleep(0)
            if (
                self._configuration_recorder is None
                and (applier := self._daemon.resource_applier) is not None
            ):
                self._applier = applier
                self._configuration_recorder = ConfigurationRecorder(
                    arguments["number"],
                    self._configuration_in_force,
                    arguments["reached_configuration"],
                )
                self._configuration_recorder.reset(not arguments["reached_configuration"])
                self._configuration_recorder.attach(applier)
        if self._tasks[0].done():
            await self._tasks[0]
        return {"port": ingress.address.port}

    async def state(self, arguments: JsonObject) -> JsonObject:
        """Return this process's current counts and measurements."""
        recorder = self._configuration_recorder
        return {
            "lowest": self._list_recorder.reached,
            "lowest_configuration": recorder.reached if recorder is not None else -1,
            "messages_in": self._list_recorder.message_count
            + (recorder.message_count if recorder is not None else 0),
            "messages_out": self._applier.client.messages.sent if self._applier is not None else 0,
            "traffic": traffic(self._discovery_ports, local=False),
            "control_traffic": traffic(self._control_ports, local=False),
            "late": self._lateness.take_summary(),
        }

    async def findings(self, arguments: JsonObject) -> JsonObject:
        """Return the findings of this ingress, for the checker and the report."""
        ingress = self._daemon.ingress
        number = self._list_recorder.number
        list_findings = findings(
            [self._list_recorder],
            {number: backend_rows(ingress.engine, ingress.endpoints)},
            self._list_in_force,
        )
        list_findings |= {
            "number": number,
            "reached": self._list_recorder.reached,
            "reached_configuration": 0,
        }
        rows_by_ingress: dict[int, list[Row]] = {}
        recorders = (
            [self._configuration_recorder] if self._configuration_recorder is not None else []
        )
        for recorder in recorders:
            list_findings["reached_configuration"] = recorder.reached
            rows_by_ingress[number] = (
                route_rows(self._daemon.routes) if self._daemon.routes is not None else []
            )
        return {
            **list_findings,
            "configuration": findings(recorders, rows_by_ingress, self._configuration_in_force),
        }


async def serve() -> None:
    """Answer the run's commands until standard input closes."""
    real = RealIngress()
    await serve_commands({"begin": real.begin, "state": real.state, "findings": real.findings})
