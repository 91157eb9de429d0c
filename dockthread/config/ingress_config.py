"""The types of one ingress's configuration; `platform_settings.py` reads them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from dockthread.config.address import Address
from dockthread.policy import PolicySettings


@dataclass(frozen=True, slots=True)
class Names:
    """The names used in messages; the policy engine uses their indexes as numbers.

    Attributes:
        kinds: The kinds of backends.
    """

    classes: tuple[str, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """The addresses at which the ingresses exchange gossip.

    Attributes:
        listen: The address at which this ingress receives gossip.
        peers: The addresses of all ingresses, by number, including this ingress.
        broadcast: An address that reaches all ingresses with one message, or None.
    """

    listen: Address
    peers: tuple[Address, ...]
    broadcast: Address | None = None


@dataclass(frozen=True, slots=True)
class IngressConfig:
    """The configuration with which an ingress starts.

    Attributes:
        name: The name of this ingress, which no other ingress has.
        listen: The address at which it serves clients.
        discovery: The address of discovery, from which it gets the list of backends.
        seed: The seed of the policy engine's random numbers.
        max_sockets: The number of sockets that the platform lets the process open.
        known_endpoints: The initial list of backends, in the format of a discovery message.
        policy_settings: The settings of the policy engine; their times are in seconds.
        names: The names of the classes, plans, zones and kinds in `policy_settings`.
        memory_mb: The memory that the platform gives to the process, in MB.
        max_request_units: The largest number of units that one request may cost.
        counter: The address of the quota counter, or None.
        peers: The addresses for gossip, or None if the ingresses exchange none.
        counter_timeout_ms: The timeout of a call to the quota counter.
        connection_idle_ms: The time for which a backend keeps an idle connection open.
        connect_timeout_ms: The timeout for opening a connection to a backend.
        max_open_requests: The largest number of concurrently open requests.
        management: The address at which the management server listens, or None.
        inherited_listener_fd: The file descriptor of a listening client socket that the platform
            passed to the process, or None.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    known_endpoints: dict[str, Any]
    policy_settings: PolicySettings
    names: Names
    memory_mb: float = 192.0
    max_request_units: int = 1_000_000
    counter: Address | None = None
    peers: PeerAddresses | None = None
    counter_timeout_ms: float = 50.0
    connection_idle_ms: float = 15_000.0
    connect_timeout_ms: float = 250.0
    max_open_requests: int = 20_000
    management: Address | None = None
    inherited_listener_fd: int | None = None
