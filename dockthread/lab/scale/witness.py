"""What became of control at the ingresses of one process: when each change was in force, and
whether any went back.

Reads the module's own memory after it was told; takes nothing from the code that told it.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Any

from dockthread.net.endpoint_list import EndpointList
from dockthread.policy import BackendState, EndpointListKind, EndpointsListed, PolicyEngine

# of a backend: uid, endpoint, whether it may be sent to, weight; of a route: name, version
Row = list[Any]
MOST_COMPARED = 100  # entries of one message: more are a part of a long list, not changes


class InForce:
    """Over the ingresses of one process, by revision: at how many it is in force, and since when at
    the last.
    """

    def __init__(self) -> None:
        self.count: dict[int, int] = {}
        self.last: dict[int, float] = {}

    def reached(self, before: int, revision: int) -> None:
        """An ingress that had all up to `before` now has all up to `revision`."""
        now = time.monotonic()
        for number in range(before + 1, revision + 1):
            self.count[number] = self.count.get(number, 0) + 1
            self.last[number] = now

    def told(self) -> list[list[float]]:
        """For the tool: revision, at how many ingresses, and since when at the last."""
        return [[number, many, self.last[number]] for number, many in sorted(self.count.items())]


class Observed:
    """What one ingress received of one kind of control, over all its lives."""

    def __init__(self, number: int, in_force: InForce, reached: int = 0) -> None:
        self.number, self._in_force = number, in_force
        self.reached, self.messages = reached, 0
        self.revisions: list[int] = []  # that went back: newer, older, ...
        self.older: list[list[Any]] = []  # versions that replaced newer ones
        self._revision = 0
        self._informed = True  # the present life was told something, or is the first
        self.informed_at = 0.0  # when the last life after the first was

    def new_life(self, first: bool) -> None:
        """It starts with an empty memory."""
        self._revision, self._informed = 0, first

    def come_to(self, revision: int) -> None:
        """All up to this revision is in force."""
        self.messages += 1
        if not self._informed and revision > 0:  # 0 while the first list comes in parts
            self._informed, self.informed_at = True, time.monotonic()
        if revision < self._revision:
            self.revisions += [self._revision, revision]
        self._revision = revision
        if revision > self.reached:
            self._in_force.reached(self.reached, revision)
            self.reached = revision


class Witness(Observed):
    """Of the list of backends."""

    def __init__(self, number: int, in_force: InForce, reached: int = 0) -> None:
        super().__init__(number, in_force, reached)
        self._held: dict[int, float] = {}  # weights by worker, of what changed in the present life

    def new_life(self, first: bool) -> None:
        """It starts with an empty memory."""
        super().new_life(first)
        self._held = {}

    def heard(
        self, revision: int, gateway: PolicyEngine, listed: EndpointsListed | None = None
    ) -> None:
        """The module has been told a list, or changes, up to this revision; `listed` where they are
        at hand.
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
    """What the module holds of the backends that are not gone, in the order of their uids."""
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
    """For the tool: tables that several ingresses share are said once."""
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
