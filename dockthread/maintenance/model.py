"""Inputs of a participant: the operator's settings and the state of the fleet."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from dockthread.maintenance.commands import (
    DEFAULT_FAILURE_TIMEOUT_MS,
    DEFAULT_GRANT_TIMEOUT_MS,
    DEFAULT_HEADROOM,
)


@dataclass(frozen=True, slots=True)
class MaintenanceOptions:
    """Settings from the operator's INI file that the leader uses in its reports.

    Attributes:
        backend_capacity: Requests that a backend of weight 1 serves concurrently; 0 if unknown.
        headroom: Fraction of a zone's remaining capacity that must stay free.
        grant_timeout_ms: Time after which a grant is revoked if the target is not drained.
        failure_timeout_ms: Unreachable time after which a member's confirmation is not awaited.
    """

    backend_capacity: float = 0.0
    headroom: float = DEFAULT_HEADROOM
    grant_timeout_ms: float = DEFAULT_GRANT_TIMEOUT_MS
    failure_timeout_ms: float = DEFAULT_FAILURE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class FleetView:
    """Current state of the fleet as this ingress knows it.

    Attributes:
        leader: Name of the leader; empty if none is known.
        members: All members.
        reachable: Members that the leader has recently received a message from.
        idle_backends: Drained backends to which this ingress has no request in flight.
        is_serving: Whether this ingress accepts requests.
    """

    leader: str
    members: Collection[str]
    reachable: Collection[str]
    idle_backends: Collection[str]
    is_serving: bool = True
