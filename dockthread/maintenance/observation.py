"""What an ingress sees of a zone, read off its destination set and its module. Decides nothing."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING

from dockthread.maintenance.participant import Seen, View

if TYPE_CHECKING:
    from dockthread.net.ingress import Ingress
    from dockthread.policy.backend import Backend

AILING = 0.5  # decayed part of a node's outcomes that were failures


def _listed(ingress: Ingress) -> list[tuple[str, Backend]]:
    """Destinations that are active by discovery, held or not, with what the module knows of
    each.
    """
    workers, destinations = ingress.gateway.backends.by_number, ingress.destinations.by_worker
    return [(d.uid, workers[n]) for n, d in destinations.items() if d.active and n in workers]


def idle(ingress: Ingress, targets: Collection[str]) -> set[str]:
    """Those of `targets` at which nothing of this ingress is out."""
    workers, destinations = ingress.gateway.backends.by_number, ingress.destinations.by_worker
    busy = {
        d.uid
        for n, d in destinations.items()
        if d.uid in targets and n in workers and workers[n].in_flight
    }
    return set(targets) - busy


def view(ingress: Ingress, targets: dict[str, str], since: int) -> View:
    """`targets`: zone by node asked for; `since`: the latest request known. What is listed of them,
    and how their zones stand.
    """
    gateway, destinations = ingress.gateway, ingress.destinations
    pressed = gateway.delay.is_pressed
    zones: dict[str, list[tuple[str, Backend]]] = {}
    for uid, worker in _listed(ingress):
        zones.setdefault(destinations.zone_of(uid) or "", []).append((uid, worker))
    seen = tuple(
        Seen(
            zone,
            tuple(uid for uid, w in nodes if w.is_ready),
            tuple(uid for uid, w in nodes if w.is_ready and w.failure_fraction > AILING),
            float(sum(w.in_flight for _, w in nodes)),
            pressed,
        )
        for zone in sorted(set(targets.values()))
        if (nodes := zones.get(zone))
    )
    return View(
        seen, tuple(uid for uid in sorted(targets) if destinations.zone_of(uid) is not None), since
    )
