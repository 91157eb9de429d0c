"""Decodes discovery's JSON: endpoint lists and changes to them."""

from __future__ import annotations

from math import isfinite
from typing import Any, NamedTuple

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.config.ingress_config import Names
from dockthread.errors import DockthreadError, SettingsError
from dockthread.policy import BackendState, Endpoint

STATE_BY_NAME = {
    "active": BackendState.READY,
    "leaving": BackendState.DRAINING,
    "left": BackendState.REMOVED,
}


class DiscoveryError(DockthreadError):
    """Discovery sent something that its protocol does not allow."""


class ListedEndpoint(NamedTuple):
    """One entry of an endpoint list, with the policy engine's numbers for zone and model."""

    uid: str
    address_text: str
    state: BackendState
    zone: int
    kind: int
    cell: int
    weight: float
    started_at: float  # seconds on the ingress's clock; 0 if not known
    boot_ms: float = 0.0  # Unix time of the start as listed, which identifies the process

    def to_policy_endpoint(self, number: int) -> Endpoint:
        """Return the endpoint for the policy engine; `number` is the engine's number for it."""
        return Endpoint(
            number, self.state, self.zone, self.kind, self.cell, self.weight, self.started_at
        )


class EndpointListUpdate(NamedTuple):
    """A full endpoint list, or changes to it."""

    revision: int
    is_full: bool
    endpoints: list[ListedEndpoint]


class EndpointListCodec:
    """Decodes discovery's messages, and maps zone and model names to the settings' numbers.

    A zone that the settings do not name gets the next free number: a reload does not change these
    names, and keys known in one zone are not known in another. All models that the settings do not
    name share one number.
    """

    def __init__(self, names: Names, clock: Clock) -> None:
        self._named_zones = names.zones
        self._zones = {name: number for number, name in enumerate(names.zones)}
        self._kinds = {name: number for number, name in enumerate(names.kinds)}
        self._clock = clock

    def zone_name(self, zone: int) -> str:
        """Return the name of a zone; empty if the settings do not name it."""
        return self._named_zones[zone] if zone < len(self._named_zones) else ""

    def decode_update(self, message: Any) -> EndpointListUpdate:
        """Decode a message. Its entries may already be decoded.

        Raises:
            DiscoveryError: The message or one of its entries is malformed.
        """
        try:
            endpoints = [
                entry if isinstance(entry, ListedEndpoint) else self.decode_endpoint(entry)
                for entry in message["targets"]
            ]
            return EndpointListUpdate(int(message["rev"]), bool(message["all"]), endpoints)
        except (KeyError, TypeError, ValueError) as error:
            raise DiscoveryError(f"not an endpoint list: {error!r}") from error

    def decode_endpoint(self, entry: Any) -> ListedEndpoint:
        """Decode one entry of an endpoint list.

        Raises:
            DiscoveryError: The entry is malformed.
        """
        try:
            return self._read_fields(entry)
        except (KeyError, TypeError, ValueError, AttributeError, SettingsError) as error:
            raise DiscoveryError(f"not an endpoint list: {error!r}") from error

    def _read_fields(self, entry: Any) -> ListedEndpoint:
        uid = entry["uid"]
        weight = float(entry.get("capacity_hint", 1.0))
        boot_ms = float(entry.get("boot_ms", 0))  # Unix time
        if not isinstance(uid, str):
            raise TypeError("a uid is not a string")
        if not (isfinite(weight) and isfinite(boot_ms)):
            raise ValueError("a number is not finite")
        address_text = entry["endpoint"]
        Address.parse(address_text)  # raises if it is not an address
        return ListedEndpoint(
            uid,
            address_text,
            STATE_BY_NAME[entry["state"]],
            self._zones.setdefault(entry.get("az", ""), len(self._zones)),
            self._kinds.get(entry.get("model", ""), len(self._kinds)),
            int(entry.get("pod_group", 0)),
            1.0 if weight == 1.0 else weight,  # a shared float object saves memory
            self._clock.from_current_unix(boot_ms) / 1000.0,
            boot_ms,
        )
