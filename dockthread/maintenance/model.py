"""What a participant is given: the operator's settings, and how the cluster stands."""

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
    """Settings of the operator's INI file that the leader's reports carry.

    Attributes:
        backend_capacity: Requests that a backend of weight 1 serves at once; 0 where not known.
        headroom: Fraction of the remaining capacity of a zone that is to stay unused.
        grant_timeout_ms: Time after which a grant that is not drained is revoked.
        failure_timeout_ms: Silence after which a member is not waited for.
    """

    backend_capacity: float = 0.0
    headroom: float = DEFAULT_HEADROOM
    grant_timeout_ms: float = DEFAULT_GRANT_TIMEOUT_MS
    failure_timeout_ms: float = DEFAULT_FAILURE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class ClusterView:
    """How the cluster stands just now, as this ingress knows it.

    Attributes:
        leader: Name of the leader; empty where there is none.
        members: All members.
        reachable: Members from which a leader received a message lately.
        idle_backends: Drained backends at which this ingress has no request in flight.
        is_serving: This ingress takes requests.
    """

    leader: str
    members: Collection[str]
    reachable: Collection[str]
    idle_backends: Collection[str]
    is_serving: bool = True
