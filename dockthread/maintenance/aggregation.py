"""Members' observations of the zones, and their aggregation by majority."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from dockthread.errors import DockthreadError
from dockthread.maintenance.commands import ZoneStatus

UNKNOWN_LOAD = -1.0  # load of a zone if the capacity of a backend is unknown


class ZoneObservation(msgspec.Struct, frozen=True, array_like=True):
    """One member's observation of a zone.

    Attributes:
        zone: Name of the zone.
        ready: Backends that serve requests.
        failing: Backends at which most of this member's requests fail.
        in_flight: Number of this member's requests in flight in the zone.
        is_overloaded: Whether this member's requests wait too long.
    """

    zone: str
    ready: tuple[str, ...]
    failing: tuple[str, ...]
    in_flight: float
    is_overloaded: bool


class MemberObservation(msgspec.Struct, frozen=True, array_like=True):
    """The observation that a member sends to the leader.

    Attributes:
        zones: Observations of the zones of the requested backends.
        listed: Requested backends that are in the member's endpoint list.
        latest_request_index: Log index of the latest request that the member knows.
    """

    zones: tuple[ZoneObservation, ...]
    listed: tuple[str, ...]
    latest_request_index: int = 0


class MalformedObservationError(DockthreadError, ValueError):
    """A status report that cannot be decoded as an observation."""


def decode_observation(member: str, data: bytes) -> MemberObservation:
    """Decode a member's observation.

    Raises:
        MalformedObservationError: The bytes are not an observation.
    """
    try:
        return msgspec.msgpack.decode(data, type=MemberObservation)
    except msgspec.MsgspecError as error:
        raise MalformedObservationError(
            f"cannot decode the observation of {member}: {error}"
        ) from error


def combine_observations(
    observations: Mapping[str, MemberObservation], member_count: int, backend_capacity: float
) -> tuple[tuple[ZoneStatus, ...], tuple[str, ...]]:
    """Return the zones and the listed backends that a majority of the members has observed.

    A backend counts as ready if more than half of the members report so, and as failing if a third
    of them do, rounded to a whole number; a zone counts as overloaded if as many report so. In a
    fleet of more than three members, a single member, which may itself be faulty, cannot make a
    backend count as failing.

    Args:
        observations: Recent observations, by member.
        member_count: Number of all members.
        backend_capacity: Requests that a backend of weight 1 serves concurrently; 0 if unknown.
    """
    listed = _names_in_at_least(
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
    third_of_members = max(1, (member_count + 1) // 3)
    # Members that sent no observation are assumed to have the average number of requests in flight.
    in_flight = sum(zone.in_flight for zone in zones) * member_count / len(zones)
    return ZoneStatus(
        name=name,
        ready=len(_names_in_at_least(majority, (zone.ready for zone in zones))),
        failing=_names_in_at_least(third_of_members, (zone.failing for zone in zones)),
        load=in_flight / backend_capacity if backend_capacity else UNKNOWN_LOAD,
        is_overloaded=sum(zone.is_overloaded for zone in zones) >= third_of_members,
    )


def _names_in_at_least(count: int, lists: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    """Return the sorted names that are in at least `count` of the lists."""
    counts = Counter(name for names in lists for name in set(names))
    return tuple(sorted(name for name, occurrences in counts.items() if occurrences >= count))
