"""A hollow ingress: the discovery watch, endpoint list, policy engine and configuration client.

The parts are connected as in a real ingress, but there are no clients and no calls to backends. For
the configuration client, the hollow ingress takes the place of the real one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any, Final, cast

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.config.ingress_config import IngressConfig, Names
from dockthread.control_plane.ingress import IngressResourceApplier
from dockthread.lab.scale.control import ConfigurationRecorder, control_options
from dockthread.lab.scale.recorder import ListRecorder, Row, backend_rows
from dockthread.lab.scale.seeded_defects import list_alteration, route_alteration
from dockthread.net.context import MAINTENANCE_INTERVAL_MS
from dockthread.net.discovery_watch import DiscoveryWatch
from dockthread.net.endpoint_list import EndpointList
from dockthread.net.ingress import Ingress
from dockthread.net.policy_host import PolicyHost
from dockthread.net.quota_counter import QuotaCounterClient
from dockthread.net.timers import Timers
from dockthread.policy import (
    EndpointListKind,
    EndpointsListed,
    PolicyEngine,
    PolicySettings,
    PollEndpoints,
    SetTimer,
    TimerFired,
)
from dockthread.routes.layers import RouteLayers
from dockthread.routes.table import RouteTable

EMPTY_LIST: Final[dict[str, Any]] = {"rev": 0, "all": True, "targets": []}
NO_LISTENER: Final = Address("127.0.0.1", 0)  # A hollow ingress does not listen for clients.
# Timeout of the quota counter in ms. It has no effect because there is no counter to call.
COUNTER_TIMEOUT_MS: Final = 50.0
# A seeded defect: returns the altered message, which is then applied, or None to drop the message.
MessageAlteration = Callable[[Any], Any]


class AlteredEndpointList(EndpointList):
    """An endpoint list whose messages a seeded defect can alter before they are applied."""

    alter: MessageAlteration | None = None

    def apply(self, message: Any, cached: bool = False) -> EndpointsListed:
        """Alter the message, then apply it."""
        if self.alter is not None and (message := self.alter(message)) is None:
            return EndpointsListed(EndpointListKind.CHANGES, ())
        return super().apply(message, cached)

    def apply_in_parts(self, message: Any) -> Iterator[EndpointsListed]:
        """Alter the message, then apply it in parts."""
        if self.alter is None or (message := self.alter(message)) is not None:
            yield from super().apply_in_parts(message)


@dataclass(frozen=True, slots=True)
class SharedParameters:
    """Values shared by all hollow ingresses of a process.

    `discovery` and `servers` hold two alternatives each: first the addresses for ingresses that no
    cut affects, then the addresses for ingresses that a cut affects.
    """

    settings: PolicySettings
    names: Names
    discovery: tuple[Address, Address]
    # Distributors of configuration; empty if there are none.
    servers: tuple[Sequence[str], Sequence[str]] = ((), ())
    key_file: str = ""


class HollowIngress:
    """A hollow ingress, created anew for each restart.

    `configuration_recorder` is given if the ingress also receives configuration. `seeded_defect` is
    the name of its seeded defect, or "".
    """

    def __init__(
        self,
        list_recorder: ListRecorder,
        configuration_recorder: ConfigurationRecorder | None,
        shared: SharedParameters,
        affected_by_cut: bool,
        seeded_defect: str = "",
    ) -> None:
        self.list_recorder = list_recorder
        self._configuration_recorder = configuration_recorder
        number = list_recorder.number
        self.clock = Clock()
        self._seeded_defect = seeded_defect
        settings = replace(
            shared.settings, ingress_number=number, zone=number % len(shared.names.zones)
        )
        self.engine = PolicyEngine(settings, number + 1, self.clock.now() / 1000.0)
        self._policy_host = PolicyHost(self.engine, self.clock, lambda request: None)
        self._timers = Timers(self.clock, settings.clock_tick * 1000.0)
        self.endpoints = EndpointList(shared.names, self.clock)
        if (alter := list_alteration(seeded_defect)) is not None:
            self.endpoints = AlteredEndpointList(shared.names, self.clock)
            self.endpoints.alter = alter
        discovery = shared.discovery[affected_by_cut]
        self.watch = DiscoveryWatch(
            discovery, self.endpoints, self.clock, self._on_list, settings, number + 1
        )
        self._policy_host.action_handlers = {
            SetTimer: self._set_timer,
            PollEndpoints: lambda action: None,
        }
        self._watch_task: asyncio.Task[None] | None = None
        self._stopped = False
        self.config = IngressConfig(
            f"n{number}",
            NO_LISTENER,
            discovery,
            number + 1,
            1024,
            EMPTY_LIST,
            settings,
            shared.names,
        )
        self.counter = QuotaCounterClient(
            None,
            self.clock,
            self._policy_host.dispatch,
            self._timers.call_at,
            timeout=COUNTER_TIMEOUT_MS,
        )
        self.layers = RouteLayers(
            RouteTable(shared.names, settings.zone, number + 1), settings, shared.names
        )
        self._applier: IngressResourceApplier | None = None
        if configuration_recorder is not None:
            options = control_options(number, shared.servers[affected_by_cut], shared.key_file)
            self._applier = IngressResourceApplier(cast(Ingress, self), self.layers, options)

    def start(self) -> None:
        """Start the parts in the order in which a real ingress starts them."""
        if self._applier is not None and self._configuration_recorder is not None:
            self._applier.open()
            self._configuration_recorder.attach(
                self._applier, route_alteration(self._seeded_defect)
            )
        self.watch.start(EMPTY_LIST, self._timers.call_at)
        self._run_maintenance()
        self._watch_task = asyncio.get_running_loop().create_task(self.watch.run())

    async def stop(self) -> None:
        """Close the connections and stop the watch."""
        self._stopped = True
        if self._applier is not None:
            await self._applier.close()
        if self._watch_task is not None:
            self._watch_task.cancel()
            with suppress(asyncio.CancelledError):
                await self._watch_task

    @property
    def messages_sent(self) -> int:
        """Messages sent to distributors since the start.

        The discovery watch is a single request and is left out.
        """
        return self._applier.client.messages.sent if self._applier is not None else 0

    def backend_rows(self) -> list[Row]:
        """Return the backends that the ingress holds, for the checker."""
        return backend_rows(self.engine, self.endpoints)

    def _on_list(self, event: EndpointsListed) -> None:
        self._policy_host.dispatch(event)
        self.list_recorder.record_list(self.endpoints.revision, self.engine, event)

    def _run_maintenance(self) -> None:
        if self._stopped:
            return
        self._timers.call_at(self.clock.now() + MAINTENANCE_INTERVAL_MS, self._run_maintenance)
        self.endpoints.forget_expired()
        self.watch.enforce_timeouts()

    def _set_timer(self, action: SetTimer) -> None:
        self._timers.call_at(action.at * 1000.0, self._on_timer, action.token)

    def _on_timer(self, token: int) -> None:
        if not self._stopped:
            self._policy_host.dispatch(TimerFired(token))
