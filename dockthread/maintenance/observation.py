"""Observes backends and zones through this ingress's endpoint list and policy engine."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from typing import TYPE_CHECKING, NamedTuple

from dockthread.maintenance.aggregation import MemberObservation, ZoneObservation

if TYPE_CHECKING:
    from dockthread.net.ingress import Ingress
    from dockthread.policy.backend import Backend

FAILING_FRACTION = 0.5  # failure fraction above which a backend counts as failing


class ObservedBackend(NamedTuple):
    """A listed backend and its state in the policy engine."""

    uid: str
    policy_state: Backend

    @property
    def is_failing(self) -> bool:
        """Whether the backend serves requests and most of them fail."""
        return self.policy_state.is_ready and self.policy_state.failure_fraction > FAILING_FRACTION


def idle_backends(ingress: Ingress, backends: Collection[str]) -> set[str]:
    """Return the backends, out of those given, to which this ingress has no request in flight."""
    engine_backends = ingress.engine.backends.by_number
    busy = {
        endpoint.uid
        for number, endpoint in ingress.endpoints.by_number.items()
        if endpoint.uid in backends
        and number in engine_backends
        and engine_backends[number].in_flight
    }
    return set(backends) - busy


def observe(
    ingress: Ingress, zone_by_backend: Mapping[str, str], latest_request_index: int
) -> MemberObservation:
    """Observe the zones in which maintenance of a backend is requested.

    Args:
        ingress: This ingress.
        zone_by_backend: Zone of each requested backend.
        latest_request_index: Log index of the latest request that this ingress knows.
    """
    endpoints = ingress.endpoints
    is_overloaded = ingress.engine.delay.is_overloaded
    by_zone: dict[str, list[ObservedBackend]] = {}
    for backend in _active_backends(ingress):
        by_zone.setdefault(endpoints.zone_of(backend.uid) or "", []).append(backend)
    return MemberObservation(
        zones=tuple(
            _observe_zone(zone, by_zone[zone], is_overloaded)
            for zone in sorted(set(zone_by_backend.values()))
            if zone in by_zone
        ),
        listed=tuple(uid for uid in sorted(zone_by_backend) if endpoints.zone_of(uid) is not None),
        latest_request_index=latest_request_index,
    )


def _active_backends(ingress: Ingress) -> Iterator[ObservedBackend]:
    """Yield the backends that discovery reports as active, including drained ones."""
    engine_backends = ingress.engine.backends.by_number
    for number, endpoint in ingress.endpoints.by_number.items():
        if endpoint.is_ready and number in engine_backends:
            yield ObservedBackend(endpoint.uid, engine_backends[number])


def _observe_zone(
    zone: str, backends: list[ObservedBackend], is_overloaded: bool
) -> ZoneObservation:
    return ZoneObservation(
        zone=zone,
        ready=tuple(backend.uid for backend in backends if backend.policy_state.is_ready),
        failing=tuple(backend.uid for backend in backends if backend.is_failing),
        in_flight=float(sum(backend.policy_state.in_flight for backend in backends)),
        is_overloaded=is_overloaded,
    )
