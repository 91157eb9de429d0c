"""Checks the behavior of a simulated control plane against rules.

The checker shares no code with the control plane, so that one bug cannot affect both.

The rules, by the names that violations report:

* `once`: each token has exactly one outcome, and each revision belongs to exactly one token.
* `expected`: an accepted change replaced the revision that its publisher expected.
* `no-older`: within one history, neither a process's table nor any of its resources goes back to an
  older revision, and no process returns to a history that it has left.
* `in-force`: when the convergence bound ends, an ingress has applied exactly the latest published
  content. For a resource that it rejected, it may have an older valid version (also one from an
  earlier history) or none.
* `told`: the server of an ingress knows which resources the ingress rejected.
* `within`: every ingress that no fault affects applies each change within the bound.
* `budget`: the snapshot chunks that one incarnation of a server sends stay within its burst and
  rate.
* `progress`: every published change has an outcome at the end of the run.

A history is the sequence of revisions of one log. A new history begins when all voters lose their
disks.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple, Protocol

from dockthread.lab.control_plane.settings import INVALID_PREFIX
from dockthread.lab.raft.checker import RuleViolation

MS_PER_S: Final = 1_000.0
MAX_LISTED_ITEMS: Final = 5
"""Maximum number of list items that the detail of a violation names."""
MAX_LISTED_UNKNOWN: Final = 3
"""Maximum number of unknown resources that the detail of a violation names."""


class Rule(StrEnum):
    """Rules, by the names that violations report."""

    SINGLE_OUTCOME = "once"
    EXPECTED_REVISION = "expected"
    NO_REGRESSION = "no-older"
    CONVERGED = "in-force"
    REJECTION_REPORTED = "told"
    WITHIN_BOUND = "within"
    SNAPSHOT_BUDGET = "budget"
    PROGRESS = "progress"


class ResourceKey(NamedTuple):
    """Kind and name of a resource."""

    kind: str
    name: str


class AppliedResource(Protocol):
    """A resource that an ingress receives and applies."""

    @property
    def kind(self) -> str:
        """Kind of the resource."""

    @property
    def name(self) -> str:
        """Name of the resource."""

    @property
    def revision(self) -> int:
        """Revision of the resource."""

    @property
    def body(self) -> bytes | None:
        """Content; None if the resource was deleted."""


@dataclass(slots=True)
class RequestedChange:
    """A change that a publisher requested.

    Attributes:
        kind: Kind of the resource.
        name: Name of the resource.
        body: Content; None deletes the resource.
        expected_revision: Revision that the change is to replace; -1 accepts any revision.
        revision: Outcome: the revision of the accepted change, 0 if it was rejected, None while the
            outcome is unknown.
    """

    kind: str
    name: str
    body: bytes | None
    expected_revision: int
    revision: int | None = None

    @property
    def key(self) -> ResourceKey:
        """Key of the resource."""
        return ResourceKey(self.kind, self.name)

    @property
    def is_invalid(self) -> bool:
        """Whether ingresses reject the change."""
        return self.body is not None and self.body.startswith(INVALID_PREFIX)


@dataclass(slots=True)
class _ProcessState:
    """State that a process has reached.

    Attributes:
        epoch: Identifier of the history of its table.
        revision: Revision of its table.
        resources: Revisions of the resources that it has applied.
        left_epochs: Epochs of the histories that it has left.
    """

    epoch: str = ""
    revision: int = 0
    resources: dict[ResourceKey, int] = field(default_factory=dict)
    left_epochs: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _LeakyBucket:
    """Leaky bucket that measures the bytes sent in excess of the allowed rate.

    Attributes:
        updated_at: Time of the last update, in ms.
        level: Bytes in the bucket at that time.
    """

    updated_at: float
    level: float = 0.0


class _ServerIncarnation(NamedTuple):
    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class IngressObservation:
    """State of an ingress at the time of a check.

    Attributes:
        name: Name of the ingress.
        bodies: Content of the applied resources.
        rejected: Resources that the ingress rejected, according to its server.
    """

    name: str
    bodies: Mapping[ResourceKey, bytes]
    rejected: Collection[ResourceKey]


class ConvergenceRange(NamedTuple):
    """Revisions up to which an ingress must have, and may have, applied changes.

    Attributes:
        due_revision: Changes up to this revision must be applied.
        latest_revision: Changes after `due_revision`, up to this revision, may be applied.
    """

    due_revision: int
    latest_revision: int


class ControlPlaneChecker:
    """Records the events of a run and the rule violations that they prove.

    All times `at_ms` are in ms of simulated time.

    Attributes:
        violations: Rules that were violated.
        requested_changes: Requested changes by token.
        snapshot_bytes: Total size of all snapshot chunks.
    """

    def __init__(self, burst_bytes: float, bytes_per_second: float, max_chunk_bytes: float) -> None:
        """Create a checker for servers with the given snapshot budget.

        Args:
            burst_bytes: Burst of the snapshot budget, in bytes.
            bytes_per_second: Rate of the snapshot budget, in bytes per second.
            max_chunk_bytes: Maximum size of one snapshot chunk, in bytes.
        """
        self._burst_bytes = burst_bytes
        self._bytes_per_ms = bytes_per_second / MS_PER_S
        self._max_chunk_bytes = max_chunk_bytes
        self.violations: list[RuleViolation] = []
        self.requested_changes: dict[str, RequestedChange] = {}
        self.snapshot_bytes = 0
        self._token_by_revision: dict[int, str] = {}
        # Valid bodies of each resource in earlier histories.
        self._earlier_valid_bodies: dict[ResourceKey, set[bytes | None]] = {}
        self._processes: dict[str, _ProcessState] = {}
        self._buckets: dict[_ServerIncarnation, _LeakyBucket] = {}
        self._accepted_revisions: list[int] = []
        # Times in ms at which the first voter accepted each of `_accepted_revisions`.
        self._acceptance_times: list[float] = []

    def _report(self, rule: Rule, at_ms: float, detail: str) -> None:
        self.violations.append(RuleViolation(rule, at_ms, detail))

    # Publishing

    def on_change_requested(self, token: str, change: RequestedChange) -> None:
        """Record that a change is requested."""
        self.requested_changes.setdefault(token, change)

    def on_outcome_received(self, at_ms: float, token: str, revision: int) -> None:
        """Record the outcome that a publisher received: a revision, or 0 for a rejection."""
        change = self.requested_changes[token]
        if change.revision is not None and change.revision != revision:
            self._report(
                Rule.SINGLE_OUTCOME,
                at_ms,
                f"{token} has outcome {change.revision}, then {revision}",
            )
        if change.revision is None:
            change.revision = revision
        if revision > 0 and self._token_by_revision.setdefault(revision, token) != token:
            other_token = self._token_by_revision[revision]
            self._report(
                Rule.SINGLE_OUTCOME,
                at_ms,
                f"revision {revision} belongs to {other_token} and to {token}",
            )

    def on_history_lost(self) -> None:
        """Record that the voters lost the log, and forget all changes that had an outcome."""
        for key, changes in self._accepted_changes().items():
            bodies = {change.body for change in changes if not change.is_invalid}
            self._earlier_valid_bodies.setdefault(key, set()).update(bodies)
        self.requested_changes = {
            token: change
            for token, change in self.requested_changes.items()
            if change.revision is None
        }
        self._token_by_revision = {}
        self._accepted_revisions = []
        self._acceptance_times = []

    def _accepted_changes(self) -> dict[ResourceKey, list[RequestedChange]]:
        """Return the accepted changes of each resource, oldest first."""
        changes_by_key: dict[ResourceKey, list[RequestedChange]] = {}
        for revision in sorted(self._token_by_revision):
            change = self.requested_changes[self._token_by_revision[revision]]
            changes_by_key.setdefault(change.key, []).append(change)
        return changes_by_key

    def check_outcomes(self, at_ms: float, last_revision: int) -> None:
        """Check the outcomes of all changes, once none is in flight.

        Args:
            at_ms: Time of the check.
            last_revision: Latest revision that the voters accepted.
        """
        pending_tokens = [
            token for token, change in self.requested_changes.items() if change.revision is None
        ]
        if pending_tokens:
            listed_tokens = ", ".join(pending_tokens[:MAX_LISTED_ITEMS])
            self._report(Rule.PROGRESS, at_ms, f"{listed_tokens} have no outcome")
            return
        revisions = range(1, last_revision + 1)
        if sorted(self._token_by_revision) != list(revisions):
            missing_revisions = [
                revision for revision in revisions if revision not in self._token_by_revision
            ]
            self._report(
                Rule.SINGLE_OUTCOME,
                at_ms,
                f"voters are at revision {last_revision}, {len(self._token_by_revision)} revisions "
                f"have a token; revisions without a token: {missing_revisions[:MAX_LISTED_ITEMS]}",
            )
        for key, changes in self._accepted_changes().items():
            self._check_expected_revisions(at_ms, key, changes)

    def _check_expected_revisions(
        self, at_ms: float, key: ResourceKey, changes: list[RequestedChange]
    ) -> None:
        current_revision = 0
        for change in changes:
            if change.expected_revision >= 0 and change.expected_revision != current_revision:
                detail = (
                    f"{key} at revision {current_revision} was replaced; "
                    f"{change.expected_revision} was expected"
                )
                self._report(Rule.EXPECTED_REVISION, at_ms, detail)
            current_revision = 0 if change.body is None else change.revision or 0

    # Receiving

    def on_process_started(
        self, name: str, epoch: str, revision: int, resources: Mapping[ResourceKey, int]
    ) -> None:
        """Record that a process starts with the state on its disk."""
        self._processes[name] = _ProcessState(epoch, revision, dict(resources))

    def on_table_received(self, at_ms: float, name: str, epoch: str, revision: int) -> None:
        """Record that the table of a process reached a revision."""
        state = self._processes[name]
        if state.epoch == epoch and revision < state.revision:
            detail = f"{name} went back from revision {state.revision} to {revision}"
            self._report(Rule.NO_REGRESSION, at_ms, detail)
        if epoch in state.left_epochs:
            detail = f"{name} went back from history {state.epoch} to {epoch}"
            self._report(Rule.NO_REGRESSION, at_ms, detail)
        if state.epoch not in ("", epoch):
            state.left_epochs.add(state.epoch)
            state.resources.clear()
        state.epoch = epoch
        state.revision = revision

    def on_resource_applied(self, at_ms: float, name: str, resource: AppliedResource) -> None:
        """Record that an ingress applies or deletes a resource."""
        applied = self._processes[name].resources
        key = ResourceKey(resource.kind, resource.name)
        if resource.revision < applied.get(key, 0):
            detail = f"{name} applies {key} at revision {resource.revision} over {applied[key]}"
            self._report(Rule.NO_REGRESSION, at_ms, detail)
        applied[key] = resource.revision

    def check_convergence(
        self, at_ms: float, observed: IngressObservation, expected_range: ConvergenceRange
    ) -> None:
        """Check the state that an ingress had at time `at_ms`, once all outcomes are known.

        Each resource has to match its last change up to `expected_range.due_revision`, or any of
        its later changes up to `expected_range.latest_revision`, which were in flight at that time.
        """
        accepted = self._accepted_changes()
        for key, changes in accepted.items():
            self._check_resource(at_ms, observed, expected_range, key, changes)
        unknown_keys = [key for key in observed.bodies if key not in accepted]
        if unknown_keys:
            detail = (
                f"{observed.name} has {unknown_keys[:MAX_LISTED_UNKNOWN]}, "
                f"which no publisher published"
            )
            self._report(Rule.CONVERGED, at_ms, detail)

    def _check_resource(
        self,
        at_ms: float,
        observed: IngressObservation,
        expected_range: ConvergenceRange,
        key: ResourceKey,
        changes: list[RequestedChange],
    ) -> None:
        possible_changes = [
            change for change in changes if (change.revision or 0) <= expected_range.latest_revision
        ]
        due_changes = [
            change
            for change in possible_changes
            if (change.revision or 0) <= expected_range.due_revision
        ]
        if not due_changes:
            return
        allowed_changes = possible_changes[len(due_changes) - 1 :]
        if not any(
            self._is_allowed_after(change, possible_changes, observed, key)
            for change in allowed_changes
        ):
            body = observed.bodies.get(key)
            detail = (
                f"{observed.name} has {body!r} for {key}; "
                f"expected: {_describe_changes(allowed_changes)}"
            )
            self._report(Rule.CONVERGED, at_ms, detail)
        if (
            due_changes == possible_changes
            and possible_changes[-1].is_invalid
            and key not in observed.rejected
        ):
            detail = f"{observed.name} rejected {key}, but its server does not know it"
            self._report(Rule.REJECTION_REPORTED, at_ms, detail)

    def _is_allowed_after(
        self,
        change: RequestedChange,
        possible_changes: list[RequestedChange],
        observed: IngressObservation,
        key: ResourceKey,
    ) -> bool:
        """Return whether the observed content of a resource is allowed after a change.

        After an invalid change, the ingress may have any older valid version or none.
        """
        body = observed.bodies.get(key)
        if not change.is_invalid:
            return body == change.body
        valid_bodies = {other.body for other in possible_changes if not other.is_invalid}
        return body is None or body in valid_bodies | self._earlier_valid_bodies.get(key, set())

    def on_change_accepted(self, at_ms: float, revision: int) -> None:
        """Record that a voter accepted a change; only the first voter at a revision counts."""
        if revision > (self._accepted_revisions[-1] if self._accepted_revisions else 0):
            self._accepted_revisions.append(revision)
            self._acceptance_times.append(at_ms)

    def check_within_bound(
        self, at_ms: float, name: str, revision: int, accepted_before: float
    ) -> None:
        """Check that the revision of an ingress covers all changes accepted before a time."""
        due_count = bisect_left(self._acceptance_times, accepted_before)
        if due_count and revision < self._accepted_revisions[due_count - 1]:
            due_revision = self._accepted_revisions[due_count - 1]
            detail = (
                f"{name} is at revision {revision}, "
                f"but {due_revision} was accepted before {accepted_before:.0f} ms"
            )
            self._report(Rule.WITHIN_BOUND, at_ms, detail)

    # Snapshot budget

    def on_snapshot_chunk(self, at_ms: float, server: str, incarnation: int, size: int) -> None:
        """Record that a server sends a chunk of a snapshot."""
        bucket = self._buckets.setdefault(
            _ServerIncarnation(server, incarnation), _LeakyBucket(at_ms)
        )
        drained_bytes = (at_ms - bucket.updated_at) * self._bytes_per_ms
        bucket.level = max(0.0, bucket.level - drained_bytes) + size
        bucket.updated_at = at_ms
        self.snapshot_bytes += size
        limit = self._burst_bytes + self._max_chunk_bytes
        if bucket.level > limit:
            detail = (
                f"{server} exceeded its rate by {bucket.level:.0f} bytes; {limit:.0f} are allowed"
            )
            self._report(Rule.SNAPSHOT_BUDGET, at_ms, detail)


def _describe_changes(changes: list[RequestedChange]) -> str:
    """Return the contents that the changes allow, as text for a violation."""
    return " or ".join(f"revision {change.revision} is {change.body!r}" for change in changes)
