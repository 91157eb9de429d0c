"""The types of one ingress's configuration; `platform_settings.py` reads them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from dockthread.config.address import Address
from dockthread.policy import PolicySettings


@dataclass(frozen=True, slots=True)
class Names:
    """The names that messages use, in the order by which the policy engine numbers them.

    Attributes:
        kinds: The kinds of backends.
    """

    classes: tuple[str, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where the ingresses of the tier exchange gossip.

    Attributes:
        listen: Where this ingress receives.
        peers: The addresses of all ingresses by number, including this one's own.
        broadcast: An address that reaches all of them with one message, where there is one.
    """

    listen: Address
    peers: tuple[Address, ...]
    broadcast: Address | None = None


@dataclass(frozen=True, slots=True)
class IngressConfig:
    """All that one ingress is configured with when it starts.

    Attributes:
        name: The name of this ingress among the others.
        listen: Where it serves clients.
        discovery: Where it polls for the list of backends.
        seed: The seed of the policy engine's random numbers.
        max_sockets: How many sockets the platform lets the process open.
        known_endpoints: The list of backends to start with, as discovery would send it.
        policy_settings: The settings of the policy engine; their times are in seconds.
        names: The names of the classes, plans, zones and kinds in `policy_settings`.
        memory_mb: How much memory the platform gives to the process, in MB.
        max_request_units: The most units that one request may ask for.
        counter: The address of the quota counter, where there is one.
        peers: The addresses for gossip, where the ingresses exchange any.
        counter_timeout_ms: How long a call to the quota counter may take.
        connection_idle_ms: How long a backend keeps an idle connection open.
        connect_timeout_ms: How long a connection to a backend may take to open.
        max_open_requests: The most requests that are open at once.
        management: Where the management server listens, where there is one.
        inherited_listener_fd: The descriptor of a listening socket for clients that the platform
            handed over, where it did.
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
