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
from dockthread.lab.scale.control import ControlWitness, options_of
from dockthread.lab.scale.planted_bugs import alteration, control_alteration
from dockthread.lab.scale.witness import Row, Witness, table
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
from dockthread.routes.layers import Layers
from dockthread.routes.table import Table

EMPTY: Final[dict[str, Any]] = {"rev": 0, "all": True, "targets": []}
NOWHERE: Final = Address("127.0.0.1", 0)  # A hollow ingress does not listen for clients.
# Timeout of the quota counter in ms. It never expires, as there is no counter to call.
COUNTER_TIMEOUT: Final = 50.0
# How a planted bug changes a message before it is applied; it returns None to drop the message.
Alteration = Callable[[Any], Any]


class AlteredSet(EndpointList):
    """An endpoint list whose messages pass through a planted bug first."""

    alter: Alteration | None = None

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
class Shared:
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
    """A hollow ingress from one start to the next stop.

    `control` is given if the ingress also receives configuration. `plant` names its planted bug.
    """

    def __init__(
        self,
        witness: Witness,
        control: ControlWitness | None,
        shared: Shared,
        cut: bool,
        plant: str = "",
    ) -> None:
        self.witness, self._control_witness, number = witness, control, witness.number
        self.clock, self._plant = Clock(), plant
        module = replace(
            shared.settings, ingress_number=number, zone=number % len(shared.names.zones)
        )
        self.gateway = PolicyEngine(module, number + 1, self.clock.now() / 1000.0)
        self._policy_host = PolicyHost(self.gateway, self.clock, lambda request: None)
        self._timers = Timers(self.clock, module.clock_tick * 1000.0)
        self.destinations = EndpointList(shared.names, self.clock)
        if (alter := alteration(plant)) is not None:
            self.destinations = AlteredSet(shared.names, self.clock)
            self.destinations.alter = alter
        discovery = shared.discovery[cut]
        self.watch = DiscoveryWatch(
            discovery, self.destinations, self.clock, self._listed, module, number + 1
        )
        self._policy_host.action_handlers = {
            SetTimer: self._set_timer,
            PollEndpoints: lambda action: None,
        }
        self._watching: asyncio.Task[None] | None = None
        self._stopped = False
        self.config = IngressConfig(
            f"n{number}", NOWHERE, discovery, number + 1, 1024, EMPTY, module, shared.names
        )
        self.counter = QuotaCounterClient(
            None,
            self.clock,
            self._policy_host.dispatch,
            self._timers.call_at,
            timeout=COUNTER_TIMEOUT,
        )
        self.layers = Layers(Table(shared.names, module.zone, number + 1), module, shared.names)
        self._controlled: IngressResourceApplier | None = None
        if control is not None:
            options = options_of(number, shared.servers[cut], shared.key_file)
            self._controlled = IngressResourceApplier(cast(Ingress, self), self.layers, options)

    def start(self) -> None:
        """Start the parts in the order in which a real ingress starts them."""
        if self._controlled is not None and self._control_witness is not None:
            self._controlled.open()
            self._control_witness.observe(self._controlled, control_alteration(self._plant))
        self.watch.start(EMPTY, self._timers.call_at)
        self._housekeeping()
        self._watching = asyncio.get_running_loop().create_task(self.watch.run())

    async def stop(self) -> None:
        """Close the connections and stop the watch."""
        self._stopped = True
        if self._controlled is not None:
            await self._controlled.close()
        if self._watching is not None:
            self._watching.cancel()
            with suppress(asyncio.CancelledError):
                await self._watching

    @property
    def messages_sent(self) -> int:
        """Messages sent to distributors since the start.

        The discovery watch is a single request and is left out.
        """
        return self._controlled.client.messages.sent if self._controlled is not None else 0

    def table(self) -> list[Row]:
        """Return the backends that the ingress holds, for the checker."""
        return table(self.gateway, self.destinations)

    def _listed(self, listed: EndpointsListed) -> None:
        self._policy_host.dispatch(listed)
        self.witness.heard(self.destinations.revision, self.gateway, listed)

    def _housekeeping(self) -> None:
        if self._stopped:
            return
        self._timers.call_at(self.clock.now() + MAINTENANCE_INTERVAL_MS, self._housekeeping)
        self.destinations.forget_expired()
        self.watch.enforce_timeouts()

    def _set_timer(self, action: SetTimer) -> None:
        self._timers.call_at(action.at * 1000.0, self._fired, action.token)

    def _fired(self, token: int) -> None:
        if not self._stopped:
            self._policy_host.dispatch(TimerFired(token))
