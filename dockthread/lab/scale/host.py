"""A process that runs many hollow ingresses on one event loop."""

from __future__ import annotations

import asyncio
import gc
import json
import time

from dockthread.config.address import Address
from dockthread.config.ingress_config import Names
from dockthread.config.platform_settings import parse_policy_settings
from dockthread.lab.scale.channel import JsonObject, serve_commands
from dockthread.lab.scale.control import ConfigurationRecorder
from dockthread.lab.scale.hollow import HollowIngress, SharedParameters
from dockthread.lab.scale.plan import plan_from_json, platform_settings
from dockthread.lab.scale.recorder import ChangeRecorder, InForceCounts, ListRecorder, findings
from dockthread.lab.scale.routes import route_rows
from dockthread.lab.scale.usage import Lateness, traffic

HOST = "127.0.0.1"


def platform_names(settings: JsonObject) -> Names:
    """Extract the names from the platform's settings."""
    return Names(
        classes=tuple(entry["Name"] for entry in settings["Classes"]),
        plans=tuple(entry["Name"] for entry in settings["Packages"]),
        zones=tuple(settings["Azs"]),
        kinds=tuple(settings["Models"]),
    )


class HostProcess:
    """The hollow ingresses of one process. The baseline process has none."""

    def __init__(self) -> None:
        self._list_in_force = InForceCounts()
        self._configuration_in_force = InForceCounts()
        self._lateness = Lateness()
        self._list_recorders: dict[int, ListRecorder] = {}
        self._configuration_recorders: dict[int, ConfigurationRecorder] = {}
        self._ingresses: dict[int, HollowIngress] = {}
        self._messages_sent_by_stopped = 0  # Messages sent by ingresses that have been stopped.
        self._discovery_ports: list[int] = []
        self._control_ports: list[int] = []

    async def begin(self, arguments: JsonObject) -> JsonObject:
        """Start the ingresses of this process."""
        self._plan = plan_from_json(arguments["plan"])
        self._discovery_ports = arguments["discovery"]
        raw_settings = platform_settings(self._plan.ingresses)
        control = arguments["control"]
        uncut_address, cut_address = (Address(HOST, port) for port in self._discovery_ports)
        servers: list[list[str]] = control["servers"] if control else [[], []]
        self._control_ports = [
            Address.parse(address).port for addresses in servers for address in addresses
        ]
        self._shared_parameters = SharedParameters(
            parse_policy_settings(json.dumps(raw_settings).encode()),
            platform_names(raw_settings),
            (uncut_address, cut_address),
            (servers[0], servers[1]),
            control["key_file"] if control else "",
        )
        self._defective_ingress_number = (
            min(arguments["numbers"]) if arguments["numbers"] and arguments["plants"] else -1
        )
        for number in arguments["numbers"]:
            self._list_recorders[number] = ListRecorder(number, self._list_in_force)
            if control:
                self._configuration_recorders[number] = ConfigurationRecorder(
                    number, self._configuration_in_force
                )
        self._start(list(self._list_recorders), True)
        self._lateness_task = asyncio.get_running_loop().create_task(self._lateness.measure())
        return {}

    def _start(self, numbers: list[int], is_first_start: bool) -> None:
        for number in numbers:
            list_recorder = self._list_recorders[number]
            configuration_recorder = self._configuration_recorders.get(number)
            seeded_defect = self._plan.plant if number == self._defective_ingress_number else ""
            list_recorder.reset(is_first_start)
            if configuration_recorder is not None:
                configuration_recorder.reset(is_first_start)
            ingress = HollowIngress(
                list_recorder,
                configuration_recorder,
                self._shared_parameters,
                self._plan.is_affected_by_cut(number),
                seeded_defect,
            )
            self._ingresses[number] = ingress
            ingress.start()

    async def stop(self, arguments: JsonObject) -> JsonObject:
        """Stop all ingresses that the fault restarts."""
        stopped = [number for number in self._ingresses if self._plan.is_restarted(number)]
        self._messages_sent_by_stopped += sum(
            self._ingresses[number].messages_sent for number in stopped
        )
        await asyncio.gather(*(self._ingresses.pop(number).stop() for number in stopped))
        gc.collect()
        return {"stopped": len(stopped)}

    async def start(self, arguments: JsonObject) -> JsonObject:
        """Start new ingresses, with empty state, in place of the stopped ones."""
        self._start(
            [number for number in self._list_recorders if number not in self._ingresses], False
        )
        return {"at": time.monotonic()}

    async def state(self, arguments: JsonObject) -> JsonObject:
        """Return this process's current counts and measurements."""
        recorders: list[ChangeRecorder] = [
            *self._list_recorders.values(),
            *self._configuration_recorders.values(),
        ]
        return {
            "lowest": min(
                (recorder.reached for recorder in self._list_recorders.values()), default=-1
            ),
            "lowest_configuration": min(
                (recorder.reached for recorder in self._configuration_recorders.values()),
                default=-1,
            ),
            "messages_in": sum(recorder.message_count for recorder in recorders),
            "messages_out": self._messages_sent_by_stopped
            + sum(ingress.messages_sent for ingress in self._ingresses.values()),
            "traffic": traffic(self._discovery_ports, local=False),
            "control_traffic": traffic(self._control_ports, local=False),
            "late": self._lateness.take_summary(),
        }

    async def findings(self, arguments: JsonObject) -> JsonObject:
        """Return the findings of all ingresses here, for the checker and the report."""
        tables = {number: ingress.backend_rows() for number, ingress in self._ingresses.items()}
        routes = {
            number: route_rows(ingress.layers)
            for number, ingress in self._ingresses.items()
            if number in self._configuration_recorders
        }
        list_findings = findings(list(self._list_recorders.values()), tables, self._list_in_force)
        return {
            **list_findings,
            "configuration": findings(
                list(self._configuration_recorders.values()), routes, self._configuration_in_force
            ),
        }


async def serve() -> None:
    """Answer the run's commands until standard input closes."""
    host = HostProcess()
    await serve_commands(
        {
            "begin": host.begin,
            "stop": host.stop,
            "start": host.start,
            "state": host.state,
            "findings": host.findings,
        }
    )
