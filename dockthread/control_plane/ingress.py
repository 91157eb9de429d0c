"""Applies published resources to an ingress: two addresses, and routes that override the file."""

from __future__ import annotations

import random
import secrets
from collections.abc import Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from loguru import logger

from dockthread.config.address import Address
from dockthread.config.ingress_config import IngressConfig
from dockthread.control_plane.batch_applier import ResourceKey, key_of
from dockthread.control_plane.client import (
    ControlPlaneClient,
    cache_from_options,
    client_settings_from_options,
)
from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.options import ControlOptions
from dockthread.control_plane.resource_schemas import (
    ADDRESS,
    COUNTER,
    DISCOVERY,
    ROUTE,
    InvalidResourceError,
    parse_address,
    parse_route,
)
from dockthread.routes.layers import RouteLayers

if TYPE_CHECKING:
    from dockthread.net.ingress import Ingress

MS_PER_S: Final = 1_000.0
SEED_BITS: Final = 64
"""Size in bits of the random seed of the client."""
NO_COUNTER_REASON: Final = "this ingress was started without a counter: it asks none"


class IngressResourceApplier:
    """Applies resources to one ingress, whose routes are held in `layers`.

    Attributes:
        client: Receives the resources.
    """

    def __init__(self, ingress: Ingress, layers: RouteLayers, options: ControlOptions) -> None:
        """Apply the resources in the cache.

        Raises:
            KeyFileError: The file of the shared key cannot be read or has a wrong length.
        """
        self._ingress = ingress
        self._layers = layers
        self._local_config = ingress.config  # without published addresses
        self._addresses: dict[str, Address] = {}  # published addresses by name
        self._applied: dict[ResourceKey, Resource] = {}
        self._unlogged_rejections: list[Rejection] = []  # rejections since the last log line
        name = ingress.config.name
        rng = random.Random(secrets.randbits(SEED_BITS))
        settings = client_settings_from_options(options, name)
        cache = cache_from_options(options, name)
        self.client = ControlPlaneClient(settings, self, ingress.clock, rng, cache)

    def open(self) -> None:
        """Start receiving."""
        self.client.open()

    async def close(self) -> None:
        """Stop receiving, and write the cache."""
        await self.client.close()

    def with_published_addresses(self, config: IngressConfig) -> IngressConfig:
        """Return a reloaded configuration with the published addresses in place of its own."""
        self._local_config = config
        return replace(
            config,
            discovery=self._addresses.get(DISCOVERY, config.discovery),
            counter=self._addresses.get(COUNTER, config.counter),
        )

    def on_settings_changed(self) -> None:
        """Validate all published resources against the current settings.

        Resources that became invalid are withdrawn and reported as rejected. Resources that were
        rejected are applied if they became valid.
        """
        self.client.reapply()

    # Methods of ResourceApplier

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        """Apply changes; if a resource is rejected, its last good version stays applied."""
        rejections = []
        for resource in changes:
            if reason := self._try_apply(resource):
                rejections.append(
                    Rejection(resource.kind, resource.name, resource.revision, reason)
                )
                self._withdraw_if_applied(resource)
            elif resource.body is None:
                self._applied.pop(key_of(resource), None)
            else:
                self._applied[key_of(resource)] = resource
        self._unlogged_rejections += rejections
        return rejections

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        """Return the applied version of a resource, or None if there is none."""
        return self._applied.get(ResourceKey(kind, name))

    def on_batch_applied(self) -> None:
        """Log the rejections of the batch in one line."""
        if not self._unlogged_rejections:
            return
        first = self._unlogged_rejections[0]
        logger.warning(
            "control: {} rejected, last good versions stay applied; first: {} {} of revision {}: {}",
            len(self._unlogged_rejections),
            first.kind,
            first.name,
            first.revision,
            first.reason,
        )
        self._unlogged_rejections = []

    def _withdraw_if_applied(self, rejected: Resource) -> None:
        """Withdraw a resource that is rejected at the same revision that is applied.

        It was valid under earlier settings, so there is no last good version to keep.
        """
        key = key_of(rejected)
        applied = self._applied.get(key)
        if applied is not None and applied.revision == rejected.revision:
            del self._applied[key]
            self._try_apply(Resource(rejected.kind, rejected.name, rejected.revision, None))

    def _try_apply(self, resource: Resource) -> str:
        """Apply a resource, or return why it is rejected; empty if it was applied."""
        try:
            if resource.kind == ROUTE:
                return self._apply_route(resource)
            if resource.kind == ADDRESS:
                return self._apply_address(resource)
        except InvalidResourceError as error:
            return str(error)
        return "" if resource.body is None else f"this release knows no kind {resource.kind}"

    def _apply_route(self, resource: Resource) -> str:
        now = self._ingress.clock.now() / MS_PER_S
        if resource.body is None:
            self._layers.remove(resource.name, now)
            return ""
        route = parse_route(resource.name, resource.body)
        refusal = self._layers.put(resource.name, route, now)
        return str(refusal) if refusal is not None else ""

    def _apply_address(self, resource: Resource) -> str:
        if resource.body is None:
            self._addresses.pop(resource.name, None)
        else:
            address = parse_address(resource.name, resource.body)
            if resource.name == COUNTER and self._local_config.counter is None:
                return NO_COUNTER_REASON
            self._addresses[resource.name] = address
        self._update_addresses()
        return ""

    def _update_addresses(self) -> None:
        """Switch the ingress to its current addresses, as `Ingress.reload` does on SIGHUP."""
        ingress = self._ingress
        config = self.with_published_addresses(self._local_config)
        ingress.config = replace(ingress.config, discovery=config.discovery, counter=config.counter)
        ingress.watch.change_address(config.discovery)
        ingress.counter.change_address(config.counter)
