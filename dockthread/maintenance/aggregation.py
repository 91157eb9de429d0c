"""What each member observes of the zones, and what a majority of the members observes together."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from dockthread.errors import DockthreadError
from dockthread.maintenance.commands import ZoneStatus

UNKNOWN_LOAD = -1.0  # where the capacity of a backend is not known


class ZoneObservation(msgspec.Struct, frozen=True, array_like=True):
    """What one member observes of a zone.

    Attributes:
        zone: The zone.
        ready: Backends that serve.
        failing: Backends whose requests of this member fail.
        in_flight: Requests of this member in flight there.
        is_overloaded: Requests wait too long.
    """

    zone: str
    ready: tuple[str, ...]
    failing: tuple[str, ...]
    in_flight: float
    is_overloaded: bool


class MemberObservation(msgspec.Struct, frozen=True, array_like=True):
    """What one member sends to the leader.

    Attributes:
        zones: The zones of the requested backends.
        listed: The requested backends that the member's endpoint list has.
        latest_request_index: Index of the log of the latest request that the member knew.
    """

    zones: tuple[ZoneObservation, ...]
    listed: tuple[str, ...]
    latest_request_index: int = 0


class MalformedObservationError(DockthreadError, ValueError):
    """A message of another member is no observation."""


def decode_observation(member: str, data: bytes) -> MemberObservation:
    """Decode the observation of a member.

    Raises:
        MalformedObservationError: The bytes are no observation.
    """
    try:
        return msgspec.msgpack.decode(data, type=MemberObservation)
    except msgspec.MsgspecError as error:
        raise MalformedObservationError(f"no observation of {member}: {error}") from error


def combine_observations(
    observations: Mapping[str, MemberObservation], member_count: int, backend_capacity: float
) -> tuple[tuple[ZoneStatus, ...], tuple[str, ...]]:
    """Return the zones and the listed backends that a majority of the members observes.

    A backend is ready where over half of the members say so, and failing where a third of them met
    failures; a zone is overloaded where a third say so. In a fleet of more than three, one member
    alone, which may be faulty itself, cannot have a backend count as failing.

    Args:
        observations: Recent observations, by member.
        member_count: Number of all members.
        backend_capacity: Requests that a backend of weight 1 serves at once; 0 where not known.
    """
    listed = _named_by(
        member_count // 2 + 1, (observation.listed for observation in observations.values())
    )
    by_zone: dict[str, list[ZoneObservation]] = {}
    for observation in observations.values():
        for zone in observation.zones:
            by_zone.setdefault(zone.zone, []).append(zone)
    zones = tuple(
        _zone_status(name, zones, member_count, backend_capacity)
        for name, zones in sorted(by_zone.items())
        if 2 * len(zones) > member_count
    )
    return zones, listed


def _zone_status(
    name: str, zones: list[ZoneObservation], member_count: int, backend_capacity: float
) -> ZoneStatus:
    majority = member_count // 2 + 1
    third = max(1, (member_count + 1) // 3)
    # A member that sent no observation is taken to have as many requests in flight.
    in_flight = sum(zone.in_flight for zone in zones) * member_count / len(zones)
    return ZoneStatus(
        name=name,
        ready=len(_named_by(majority, (zone.ready for zone in zones))),
        failing=_named_by(third, (zone.failing for zone in zones)),
        load=in_flight / backend_capacity if backend_capacity else UNKNOWN_LOAD,
        is_overloaded=sum(zone.is_overloaded for zone in zones) >= third,
    )


def _named_by(count: int, lists: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    """Return the names that stand in at least `count` of the lists, sorted."""
    counts = Counter(name for names in lists for name in set(names))
    return tuple(sorted(name for name, found in counts.items() if found >= count))
