"""What an ingress does with what it receives: routes over the file's, and the addresses of
discovery and counter.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from loguru import logger

from dockthread.config.address import Address
from dockthread.config.ingress_config import Config
from dockthread.control_plane.client import (
    ControlPlaneClient,
    cache_from_options,
    servers_from_options,
)
from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.options import ControlOptions
from dockthread.control_plane.resource_schemas import (
    ADDRESS,
    ROUTE,
    InvalidResourceError,
    parse_address,
    parse_route,
)
from dockthread.routes.layers import Layers

if TYPE_CHECKING:
    from dockthread.net.ingress import Ingress

NO_COUNTER = "this ingress was started without a counter: it asks none"


class IngressResourceApplier:
    """Puts resources in force at one ingress. `layers`: its routes."""

    def __init__(self, ingress: Ingress, layers: Layers, options: ControlOptions) -> None:
        """Puts in force what the cache holds. Raises ValueError where the key cannot be used."""
        self._ingress, self._layers = ingress, layers
        self._configured = ingress.config  # what holds without what was published
        self._addresses: dict[str, Address] = {}
        self._in_force: dict[tuple[str, str], Resource] = {}
        self._refused: list[Rejection] = []
        name, rng = ingress.config.name, random.Random(secrets.randbits(64))
        self.client = ControlPlaneClient(
            name,
            servers_from_options(options),
            self,
            ingress.clock,
            rng,
            options.key(),
            options.region,
            options.zone,
            cache_from_options(options, name),
        )

    def open(self) -> None:
        """Start to receive."""
        self.client.open()

    async def close(self) -> None:
        """Stop receiving, and write the cache."""
        await self.client.close()

    def with_published_addresses(self, config: Config) -> Config:
        """A configuration as it was read again, with the addresses that were published."""
        self._configured = config
        return replace(
            config,
            discovery=self._addresses.get("discovery", config.discovery),
            counter=self._addresses.get("counter", config.counter),
        )

    def on_settings_changed(self) -> None:
        """Prove all that was published by the settings that hold now: what has become bad goes,
        with a reason told, and what was refused before may be good.
        """
        self.client.reapply()

    # What its client tells (client.py, Owner)

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        """Put changes in force; those that are refused leave the last good one in its place."""
        refused = []
        for one in changes:
            if reason := self._apply(one):
                refused.append(Rejection(one.kind, one.name, one.revision, reason))
                self._withdraw(one)
                continue
            if one.body is None:
                self._in_force.pop((one.kind, one.name), None)
            else:
                self._in_force[one.kind, one.name] = one
        self._refused += refused
        return refused

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        """What is in force under a key; None for nothing."""
        return self._in_force.get((kind, name))

    def on_batch_applied(self) -> None:
        """All that was given has been dealt with: log once what was refused."""
        if self._refused:
            first = self._refused[0]
            told = "control: {} refused, the last good one stays; the first is {} {} of revision {}: {}"
            logger.warning(
                told, len(self._refused), first.kind, first.name, first.revision, first.reason
            )
            self._refused = []

    def _withdraw(self, refused: Resource) -> None:
        """A resource that was good by earlier settings is not its own last good one."""
        key = refused.kind, refused.name
        held = self._in_force.get(key)
        if held is not None and held.revision == refused.revision:
            del self._in_force[key]
            self._apply(Resource(refused.kind, refused.name, refused.revision, None))

    def _apply(self, one: Resource) -> str:
        """The reason where it is refused."""
        try:
            if one.kind == ROUTE:
                return self._route(one)
            if one.kind == ADDRESS:
                return self._address(one)
        except InvalidResourceError as error:
            return str(error)
        return "" if one.body is None else f"this release knows no kind {one.kind}"

    def _route(self, one: Resource) -> str:
        now = self._ingress.clock.now() / 1000.0
        if one.body is None:
            self._layers.remove(one.name, now)
            return ""
        return self._layers.put(one.name, parse_route(one.name, one.body), now)

    def _address(self, one: Resource) -> str:
        if one.body is None:
            self._addresses.pop(one.name, None)
        else:
            at = parse_address(one.name, one.body)
            if one.name == "counter" and self._configured.counter is None:
                return NO_COUNTER
            self._addresses[one.name] = at
        self._move()
        return ""

    def _move(self) -> None:
        """As the configuration of a SIGHUP does (`Ingress.reload`)."""
        ingress = self._ingress
        config = self.with_published_addresses(self._configured)
        ingress.config = replace(ingress.config, discovery=config.discovery, counter=config.counter)
        ingress.watch.change_address(config.discovery)
        ingress.counter.change_address(config.counter)
