"""Records when each change was in force in one process's ingresses, and each step back.

The list recorder reads the policy engine's own state after the engine received a list, and takes
nothing from the code that delivered the list.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Any

from dockthread.net.endpoint_list import EndpointList
from dockthread.policy import BackendState, EndpointListKind, EndpointsListed, PolicyEngine

# Row of a backend: uid, endpoint, whether it may receive requests, weight. Row of a route: name,
# version.
Row = list[Any]
# Maximum number of entries in a message whose weights are compared. Longer messages are parts of a
# whole list, not changes.
MOST_COMPARED = 100


class InForce:
    """Counts the ingresses of a process that have each revision in force, and since when."""

    def __init__(self) -> None:
        self.count: dict[int, int] = {}
        self.last: dict[int, float] = {}

    def reached(self, before: int, revision: int) -> None:
        """Count an ingress that had all revisions up to `before` and now has all up to `revision`."""
        now = time.monotonic()
        for number in range(before + 1, revision + 1):
            self.count[number] = self.count.get(number, 0) + 1
            self.last[number] = now

    def told(self) -> list[list[float]]:
        """Return revision, ingress count and time at the last ingress, for the report."""
        return [[number, many, self.last[number]] for number, many in sorted(self.count.items())]


class Observed:
    """Records the changes that one ingress received, across restarts."""

    def __init__(self, number: int, in_force: InForce, reached: int = 0) -> None:
        self.number, self._in_force = number, in_force
        self.reached, self.messages = reached, 0
        self.revisions: list[int] = []  # Revisions that went back, in pairs: newer, older.
        self.older: list[list[Any]] = []  # Versions that replaced newer ones.
        self._revision = 0
        # Whether data arrived since the last restart; also true before any restart.
        self._informed = True
        # When that first data arrived after the last restart; 0 before any restart.
        self.informed_at = 0.0

    def new_life(self, first: bool) -> None:
        """Reset the state for an ingress that starts with empty memory."""
        self._revision, self._informed = 0, first

    def come_to(self, revision: int) -> None:
        """Record that everything up to this revision is in force."""
        self.messages += 1
        # The revision is 0 while the first list arrives in parts.
        if not self._informed and revision > 0:
            self._informed, self.informed_at = True, time.monotonic()
        if revision < self._revision:
            self.revisions += [self._revision, revision]
        self._revision = revision
        if revision > self.reached:
            self._in_force.reached(self.reached, revision)
            self.reached = revision


class Witness(Observed):
    """Records changes of the backend list."""

    def __init__(self, number: int, in_force: InForce, reached: int = 0) -> None:
        super().__init__(number, in_force, reached)
        # Weights of the backends that changed since the start, by backend number.
        self._held: dict[int, float] = {}

    def new_life(self, first: bool) -> None:
        """Reset the state for an ingress that starts with empty memory."""
        super().new_life(first)
        self._held = {}

    def heard(
        self, revision: int, gateway: PolicyEngine, listed: EndpointsListed | None = None
    ) -> None:
        """Record that the policy engine received a list or changes up to this revision.

        `listed` holds the entries if the caller has them.
        """
        if (
            listed is not None
            and listed.kind is EndpointListKind.CHANGES
            and len(listed.endpoints) <= MOST_COMPARED
        ):
            for entry in listed.endpoints:
                self._compare(entry.backend, gateway)
        self.come_to(revision)

    def _compare(self, worker: int, gateway: PolicyEngine) -> None:
        held = gateway.backends.by_number.get(worker)
        weight = 0.0 if held is None else held.endpoint.weight
        before = self._held.get(worker, 0.0)
        if weight < before:
            self.older.append([worker, before, weight])
        self._held[worker] = weight


def table(gateway: PolicyEngine, destinations: EndpointList) -> list[Row]:
    """Return the backends that the policy engine holds and has not removed, ordered by uid."""
    return sorted(
        [known.uid, str(known.address), held.is_ready, held.endpoint.weight]
        for worker, held in gateway.backends.by_number.items()
        if held.endpoint.state is not BackendState.REMOVED
        and held.removed_at == float("inf")
        and (known := destinations.by_number.get(worker)) is not None
    )


def findings(
    witnesses: Sequence[Observed], tables: dict[int, list[Row]], in_force: InForce
) -> dict[str, Any]:
    """Return the findings for the report; ingresses with equal tables share one entry."""
    shared: dict[str, dict[str, Any]] = {}
    for number, rows in tables.items():
        key = repr(rows)
        shared.setdefault(key, {"rows": rows, "ingresses": []})["ingresses"].append(number)
    return {
        "in_force": in_force.told(),
        "tables": list(shared.values()),
        "messages": sum(one.messages for one in witnesses),
        "informed_at": max((one.informed_at for one in witnesses), default=0.0),
        "went_back": [
            [one.number, one.revisions, one.older]
            for one in witnesses
            if one.revisions or one.older
        ],
    }
