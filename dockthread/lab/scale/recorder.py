"""Records when each change came into force in the ingresses of a process, and regressions.

The list recorder reads the policy engine's own state after the engine received a list, and does not
rely on the code that delivered the list.
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
MAX_COMPARED_ENTRIES = 100


class InForceCounts:
    """For each revision, how many ingresses have reached it, and when the latest of them did."""

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}
        self.last_times: dict[int, float] = {}

    def add_ingress(self, before: int, revision: int) -> None:
        """Count an ingress that had all revisions up to `before` and now has all up to `revision`."""
        now = time.monotonic()
        for reached_revision in range(before + 1, revision + 1):
            self.counts[reached_revision] = self.counts.get(reached_revision, 0) + 1
            self.last_times[reached_revision] = now

    def to_json(self) -> list[list[float]]:
        """Return a row for each revision: the revision, the ingress count and the latest time."""
        return [
            [revision, ingress_count, self.last_times[revision]]
            for revision, ingress_count in sorted(self.counts.items())
        ]


class ChangeRecorder:
    """Records the changes that one ingress received, across restarts."""

    def __init__(self, number: int, in_force: InForceCounts, reached: int = 0) -> None:
        self.number = number
        self._in_force_counts = in_force
        self.reached = reached
        self.message_count = 0
        self.regressions: list[int] = []  # Newer and older revision of each regression.
        self.older_versions: list[list[Any]] = []  # Versions that replaced newer ones.
        self._revision = 0
        # Whether data arrived since the last restart; also true before any restart.
        self._has_data = True
        # When the first data arrived after the last restart; 0 before any restart.
        self.first_data_at = 0.0

    def reset(self, is_first_start: bool) -> None:
        """Reset the state for an ingress that starts with empty memory."""
        self._revision = 0
        self._has_data = is_first_start

    def record_revision(self, revision: int) -> None:
        """Record that everything up to this revision is in force."""
        self.message_count += 1
        # The revision is 0 while the first list arrives in parts.
        if not self._has_data and revision > 0:
            self._has_data = True
            self.first_data_at = time.monotonic()
        if revision < self._revision:
            self.regressions += [self._revision, revision]
        self._revision = revision
        if revision > self.reached:
            self._in_force_counts.add_ingress(self.reached, revision)
            self.reached = revision


class ListRecorder(ChangeRecorder):
    """Records changes of the backend list."""

    def __init__(self, number: int, in_force: InForceCounts, reached: int = 0) -> None:
        super().__init__(number, in_force, reached)
        # Weights of the backends that changed since the start, by backend number.
        self._weights: dict[int, float] = {}

    def reset(self, is_first_start: bool) -> None:
        """Reset the state for an ingress that starts with empty memory."""
        super().reset(is_first_start)
        self._weights = {}

    def record_list(
        self, revision: int, engine: PolicyEngine, event: EndpointsListed | None = None
    ) -> None:
        """Record that the policy engine received a list or changes up to this revision.

        `event` is the event that the engine received, or None if the caller does not have it.
        """
        if (
            event is not None
            and event.kind is EndpointListKind.CHANGES
            and len(event.endpoints) <= MAX_COMPARED_ENTRIES
        ):
            for entry in event.endpoints:
                self._compare(entry.backend, engine)
        self.record_revision(revision)

    def _compare(self, backend_number: int, engine: PolicyEngine) -> None:
        backend = engine.backends.by_number.get(backend_number)
        weight = 0.0 if backend is None else backend.endpoint.weight
        weight_before = self._weights.get(backend_number, 0.0)
        if weight < weight_before:
            self.older_versions.append([backend_number, weight_before, weight])
        self._weights[backend_number] = weight


def backend_rows(engine: PolicyEngine, endpoints: EndpointList) -> list[Row]:
    """Return the backends that the policy engine holds and has not removed, ordered by uid."""
    return sorted(
        [listed.uid, str(listed.address), backend.is_ready, backend.endpoint.weight]
        for backend_number, backend in engine.backends.by_number.items()
        if backend.endpoint.state is not BackendState.REMOVED
        and backend.removed_at == float("inf")
        and (listed := endpoints.by_number.get(backend_number)) is not None
    )


def findings(
    recorders: Sequence[ChangeRecorder], tables: dict[int, list[Row]], in_force: InForceCounts
) -> dict[str, Any]:
    """Return the findings for the report; ingresses with equal tables share one entry."""
    shared: dict[str, dict[str, Any]] = {}
    for number, rows in tables.items():
        key = repr(rows)
        shared.setdefault(key, {"rows": rows, "ingresses": []})["ingresses"].append(number)
    return {
        "in_force": in_force.to_json(),
        "tables": list(shared.values()),
        "messages": sum(recorder.message_count for recorder in recorders),
        "informed_at": max((recorder.first_data_at for recorder in recorders), default=0.0),
        "went_back": [
            [recorder.number, recorder.regressions, recorder.older_versions]
            for recorder in recorders
            if recorder.regressions or recorder.older_versions
        ],
    }
