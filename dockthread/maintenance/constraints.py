"""The constraints on a grant; the first one that is violated is returned as the obstacle."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from dockthread.maintenance.commands import (
    LeaderReport,
    MaintenanceRequest,
    RequestState,
    TargetKind,
)
from dockthread.maintenance.reasons import (
    BackendsFailing,
    InsufficientCapacity,
    MembersUnreachable,
    NotEvaluated,
    NotListed,
    Obstacle,
    Occupant,
    ZoneAtLimit,
    ZoneNotObserved,
    ZoneOverloaded,
)


class SchedulerState(Protocol):
    """The part of the scheduler's state that the constraints read."""

    @property
    def requests(self) -> Mapping[str, MaintenanceRequest]:
        """Unfinished requests, by target."""
        ...

    @property
    def unreachable_ms(self) -> Mapping[str, float]:
        """Time for which each member has been unreachable; 0 if it is reachable."""
        ...

    @property
    def last_report(self) -> LeaderReport:
        """The most recently applied report."""
        ...

    def max_unavailable(self, zone: str, kind: TargetKind) -> int:
        """Return how many targets of a zone and kind may be out of service at once."""
        ...


def grant_obstacle(scheduler: SchedulerState, request: MaintenanceRequest) -> Obstacle | None:
    """Return why a waiting request cannot be granted; None if it can."""
    out_of_service = _requests_out_of_service(scheduler, request)
    if len(out_of_service) >= scheduler.max_unavailable(request.zone, request.kind):
        is_ingress = request.kind is TargetKind.INGRESS
        group = "ingresses" if is_ingress else request.zone or "no known zone"
        return ZoneAtLimit(
            group, tuple(Occupant(other.target, other.state) for other in out_of_service)
        )
    if not request.is_evaluated:
        return NotEvaluated()
    if request.kind is TargetKind.INGRESS:
        unreachable = _unreachable_members(scheduler, excluded_member=request.target)
        return MembersUnreachable(unreachable) if unreachable else None
    if request.target not in scheduler.last_report.listed_targets:
        return NotListed()
    return safety_obstacle(scheduler, request)


def _requests_out_of_service(
    scheduler: SchedulerState, request: MaintenanceRequest
) -> list[MaintenanceRequest]:
    """Return the requests of the same zone and kind whose targets are out of service."""
    return [
        other
        for other in scheduler.requests.values()
        if other.zone == request.zone
        and other.kind is request.kind
        and other.state is not RequestState.WAITING
    ]


def _unreachable_members(scheduler: SchedulerState, excluded_member: str) -> tuple[str, ...]:
    unreachable = (
        member for member, unreachable_ms in scheduler.unreachable_ms.items() if unreachable_ms
    )
    return tuple(sorted(member for member in unreachable if member != excluded_member))


def safety_obstacle(scheduler: SchedulerState, request: MaintenanceRequest) -> Obstacle | None:
    """Return why it is unsafe for the zone to take a backend out of service; None if it is safe."""
    zones = (zone for zone in scheduler.last_report.zones if zone.name == request.zone)
    zone = next(zones, None)
    if zone is None:
        return ZoneNotObserved(request.zone)
    out_of_service = {
        other.target
        for other in scheduler.requests.values()
        if other.zone == request.zone and other.state is not RequestState.WAITING
    }
    failing = set(zone.failing) - out_of_service - {request.target}
    if failing:
        return BackendsFailing(tuple(sorted(failing)), request.zone)
    if zone.is_overloaded:
        return ZoneOverloaded(request.zone)
    # `ready` includes the backend only while it waits: members do not count a drained backend.
    remaining = zone.ready - (request.state is RequestState.WAITING)
    limit = 1 - scheduler.last_report.headroom
    if zone.load >= 0 and zone.load > limit * remaining:
        return InsufficientCapacity(request.zone, zone.load / max(remaining, 1), limit)
    return None
