"""A hollow ingress: the watch, the destination set and the module of a real one, joined as there, without clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

from dockthread.clock import Clock
from dockthread.lab.scale.witness import Row, Witness, table
from dockthread.module import api
from dockthread.module.rules import Gateway
from dockthread.net.decider import Decider
from dockthread.net.destination_set import DestinationSet
from dockthread.net.ingress import HOUSEKEEPING
from dockthread.net.timers import Timers
from dockthread.net.watch import Watch
from dockthread.settings import Address, Names

EMPTY = {"rev": 0, "all": True, "targets": []}
Alteration = Callable[[Any], Any]  # of a message before it is applied: a planted bug; None passes it over


class AlteredSet(DestinationSet):
    """A destination set with a planted bug before it."""

    alter: Alteration | None = None

    def apply(self, message: Any, cached: bool = False) -> api.WorkersListed:
        if self.alter is not None and (message := self.alter(message)) is None:
            return api.WorkersListed(api.ListKind.CHANGES, ())
        return super().apply(message, cached)


class HollowIngress:
    """One life of one: `settings` and `names` are shared by all of a process."""

    def __init__(
        self, witness: Witness, settings: api.Settings, names: Names, discovery: Address, alter: Alteration | None
    ) -> None:
        self.witness, number = witness, witness.number
        self.clock = Clock()
        module = replace(settings, number=number, zone=number % len(names.zones))
        self.gateway = Gateway(module, number + 1, self.clock.now() / 1000.0)
        self._decider = Decider(self.gateway, self.clock, lambda request: None)
        self._timers = Timers(self.clock, module.tick * 1000.0)
        self.destinations = DestinationSet(names, self.clock)
        if alter is not None:
            self.destinations = AlteredSet(names, self.clock)
            self.destinations.alter = alter
        self.watch = Watch(discovery, self.destinations, self.clock, self._listed, module, number + 1)
        self._decider.carry_out = {api.SetTimer: self._set_timer, api.AskForList: lambda action: None}
        self._watching: asyncio.Task[None] | None = None
        self._stopped = False

    def start(self) -> None:
        """In the order of an ingress's own start."""
        self.watch.begin(EMPTY, self._timers.at)
        self._housekeeping()
        self._watching = asyncio.get_running_loop().create_task(self.watch.run())

    async def stop(self) -> None:
        self._stopped = True
        if self._watching is not None:
            self._watching.cancel()
            with suppress(asyncio.CancelledError):
                await self._watching

    def table(self) -> list[Row]:
        return table(self.gateway, self.destinations)

    def _listed(self, listed: api.WorkersListed) -> None:
        self._decider.tell(listed)
        self.witness.heard(self.destinations.revision, self.gateway, listed)

    def _housekeeping(self) -> None:
        if self._stopped:
            return
        self._timers.at(self.clock.now() + HOUSEKEEPING, self._housekeeping)
        self.destinations.tidy()
        self.watch.check()

    def _set_timer(self, action: api.SetTimer) -> None:
        self._timers.at(action.at * 1000.0, self._fired, action.token)

    def _fired(self, token: int) -> None:
        if not self._stopped:
            self._decider.tell(api.TimerFired(token))
