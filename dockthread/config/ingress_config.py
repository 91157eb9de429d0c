"""What one ingress is configured with, as typed values.

`platform_settings.py` reads these from the platform's JSON.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from dockthread.config.address import Address
from dockthread.policy import PolicySettings


@dataclass(frozen=True, slots=True)
class Names:
    """The names that messages use, in the order by which the policy engine numbers them."""

    classes: tuple[str, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where the ingresses of the tier exchange gossip.

    Attributes:
        listen: Where this ingress receives.
        peers: The addresses of all ingresses by number, with this one's own.
        everyone: An address that reaches all of them at once, where there is one.
    """

    listen: Address
    peers: tuple[Address, ...]
    everyone: Address | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """All that one ingress is configured with at its start.

    Times are in milliseconds, except in `module`, where they are in seconds.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: dict[str, Any]
    module: PolicySettings
    names: Names
    memory_mb: float = 192.0
    most_units: int = 1_000_000
    counter: Address | None = None
    peers: PeerAddresses | None = None
    counter_timeout: float = 50.0
    conn_idle: float = 15_000.0
    connect_timeout: float = 250.0
    most_open: int = 20_000
    management: Address | None = None
    inherited: int | None = None
