"""Reasons for operators: why a request waits, for which members, or why its grant was revoked.

The scheduler returns a value of one of these types; `str` returns its text. The texts are part of
the replicated state and of the management endpoint's listing. They must never change, because
members of different releases have to produce the same state.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from dockthread.maintenance.commands import MaintenanceRequest, RequestState
from dockthread.maintenance.transitions import DRAINED_STATES, REVOCABLE_STATES

MS_PER_S = 1000.0
GRANT_TIMEOUT_PREFIX = "its turn lapsed"  # prefix of the text of `GrantTimedOut`


@dataclass(frozen=True, slots=True)
class Occupant:
    """A target that is out of service and counts against its zone's limit."""

    target: str
    state: RequestState

    def __str__(self) -> str:
        return "out" if self.state in DRAINED_STATES else "coming back"


@dataclass(frozen=True, slots=True)
class ZoneAtLimit:
    """The maximum number of targets of a zone, or of ingresses, is out of service."""

    group: str
    occupants: tuple[Occupant, ...]

    def __str__(self) -> str:
        out_of_service = _comma_separated(
            f"{occupant.target} of {self.group} is {occupant}" for occupant in self.occupants
        )
        return f"{out_of_service}, and {len(self.occupants)} may be"


@dataclass(frozen=True, slots=True)
class NotEvaluated:
    """No leader report has been applied since the request."""

    def __str__(self) -> str:
        return "it is being looked at"


@dataclass(frozen=True, slots=True)
class MembersUnreachable:
    """An ingress may restart only while all other members are reachable, and some are not."""

    members: tuple[str, ...]

    def __str__(self) -> str:
        return f"{_comma_separated(self.members)} cannot be heard"


@dataclass(frozen=True, slots=True)
class NotListed:
    """Fewer than a majority of the members list the backend."""

    def __str__(self) -> str:
        return "fewer than half of the members see it"


@dataclass(frozen=True, slots=True)
class ZoneNotObserved:
    """Fewer than a majority of the members have observed the zone."""

    zone: str

    def __str__(self) -> str:
        return f"{self.zone or 'its zone'} is not seen by a majority"


@dataclass(frozen=True, slots=True)
class BackendsFailing:
    """Other backends of the zone are failing."""

    backends: tuple[str, ...]
    zone: str

    def __str__(self) -> str:
        return f"{_comma_separated(self.backends)} of {self.zone} fails"


@dataclass(frozen=True, slots=True)
class ZoneOverloaded:
    """Requests wait too long in the zone."""

    zone: str

    def __str__(self) -> str:
        return f"requests wait too long in {self.zone}"


@dataclass(frozen=True, slots=True)
class InsufficientCapacity:
    """The load of the remaining backends would exceed `limit`, a fraction of their capacity."""

    zone: str
    utilization: float
    limit: float

    def __str__(self) -> str:
        return (
            f"the rest of {self.zone} would carry {self.utilization:.2f} of what it bears,"
            f" and {self.limit:.2f} is most"
        )


Obstacle = (
    ZoneAtLimit
    | NotEvaluated
    | MembersUnreachable
    | NotListed
    | ZoneNotObserved
    | BackendsFailing
    | ZoneOverloaded
    | InsufficientCapacity
)


@dataclass(frozen=True, slots=True)
class GrantTimedOut:
    """Some members did not drain the target in time."""

    members: tuple[str, ...]

    def __str__(self) -> str:
        return (
            f"{GRANT_TIMEOUT_PREFIX}, as {_comma_separated(self.members)}"
            " did not say that it had drained it"
        )


@dataclass(frozen=True, slots=True)
class ZoneBecameUnsafe:
    """Maintenance became unsafe for the zone before the target was drained."""

    obstacle: Obstacle

    def __str__(self) -> str:
        return f"called back, as {self.obstacle}"


Revocation = GrantTimedOut | ZoneBecameUnsafe


class RequestStatus(Protocol):
    """The part of the scheduler that an explanation uses."""

    def obstacle(self, request: MaintenanceRequest) -> Obstacle | None:
        """Return why a waiting request cannot be granted; None if it can."""
        ...

    def confirming_members(self, request: MaintenanceRequest) -> set[str]:
        """Return the members whose confirmation a request needs."""
        ...


def explain(request: MaintenanceRequest, scheduler: RequestStatus) -> str:
    """Return why a request waits, or which members it waits for; empty if it does not wait."""
    if request.state is RequestState.WAITING:
        reason = str(scheduler.obstacle(request) or "its turn comes with the next entry")
        return f"{reason} ({request.revocation_reason})" if request.revocation_reason else reason
    if request.state in REVOCABLE_STATES:
        return _awaited_members_text(
            scheduler.confirming_members(request) - set(request.drained_by)
        )
    if request.state is RequestState.RETURNING:
        return _awaited_members_text(
            scheduler.confirming_members(request) - set(request.released_by)
        )
    if request.state is RequestState.OVERDUE:
        seconds = request.duration_ms / MS_PER_S
        return f"it was to take {seconds:.0f} s; say `done` or `withdraw` when it can serve"
    return ""


def _awaited_members_text(members: Iterable[str]) -> str:
    return f"waits for {_comma_separated(sorted(members))}"


def _comma_separated(names: Iterable[str]) -> str:
    return ", ".join(names) or "nobody"
