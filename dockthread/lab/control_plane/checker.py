"""Judges what a simulated control plane did. Shares no code with what it judges.

The rules, by the names that a violation has:

* `once`: a token has one outcome, each revision belongs to one token, and no revision to none.
* `expected`: an accepted change replaced the revision that its publisher expected.
* `no-older`: within one history neither a process's table nor any of its resources goes back to an
  older revision, and no process returns to a history that it left.
* `in-force`: at the end of the bound an ingress has applied exactly what was last published, except
  for what it rejected: there it may have an older valid version (of the history before as well) or
  none.
* `told`: the server of an ingress knows what the ingress rejected.
* `within`: a change is applied within the bound at every ingress that no fault concerns.
* `budget`: the snapshot chunks that one incarnation of a server sends keep to its burst and rate.
* `progress`: every published change has an outcome at the end.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple, Protocol

from dockthread.lab.control_plane.settings import INVALID_PREFIX
from dockthread.lab.raft.checker import RuleViolation

MS_PER_SECOND: Final = 1_000.0
SHOWN_ITEMS: Final = 5
"""Items of a list that a violation names."""
SHOWN_UNKNOWN: Final = 3
"""Unknown resources that a violation names."""


class Rule(StrEnum):
    """Names of the rules, as they are reported."""

    ONCE = "once"
    EXPECTED = "expected"
    NO_OLDER = "no-older"
    IN_FORCE = "in-force"
    TOLD = "told"
    WITHIN = "within"
    BUDGET = "budget"
    PROGRESS = "progress"


class Key(NamedTuple):
    """Kind and name of a resource."""

    kind: str
    name: str


class AppliedResource(Protocol):
    """A resource as an ingress is given it."""

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
        """Content; None where it was deleted."""


@dataclass(slots=True)
class RequestedChange:
    """A change as its publisher requested it.

    Attributes:
        kind: Kind of the resource.
        name: Name of the resource.
        body: Content; None deletes the resource.
        expected: Revision that it replaces; -1 for any.
        revision: Outcome: its revision, 0 for a rejection, None while it is not known.
    """

    kind: str
    name: str
    body: bytes | None
    expected: int
    revision: int | None = None

    @property
    def key(self) -> Key:
        """Key of the resource."""
        return Key(self.kind, self.name)

    @property
    def is_invalid(self) -> bool:
        """Whether ingresses reject it."""
        return self.body is not None and self.body.startswith(INVALID_PREFIX)


@dataclass(slots=True)
class _ProcessState:
    """How far a process has come.

    Attributes:
        epoch: History of its table.
        revision: Revision of its table.
        resources: Revisions of the applied resources.
        left_epochs: Histories that it left.
    """

    epoch: str = ""
    revision: int = 0
    resources: dict[Key, int] = field(default_factory=dict)
    left_epochs: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Bucket:
    """How much of a burst is used up."""

    at: float
    level: float = 0.0


class _ServerIncarnation(NamedTuple):
    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class IngressObservation:
    """What an ingress has applied.

    Attributes:
        name: Name of the ingress.
        bodies: Applied content.
        rejected: What it rejected, as its server knows.
    """

    name: str
    bodies: Mapping[Key, bytes]
    rejected: Collection[Key]


class ConvergenceRange(NamedTuple):
    """Which changes an ingress must and may have applied.

    Attributes:
        due: Changes up to this revision must be applied.
        latest: Changes up to this revision may be.
    """

    due: int
    latest: int


class Checker:
    """Collects facts and the violations that they show.

    `burst` is in bytes, `rate` in bytes a second, `chunk` the most bytes of one snapshot chunk.

    Attributes:
        violations: The rules that were broken.
        requested: Requested changes by token.
        snapshot_bytes: Bytes of all snapshot chunks.
    """

    def __init__(self, burst: float, rate: float, chunk: float) -> None:
        self._burst = burst
        self._rate = rate / MS_PER_SECOND
        self._chunk = chunk
        self.violations: list[RuleViolation] = []
        self.requested: dict[str, RequestedChange] = {}
        self.snapshot_bytes = 0
        self._token_of: dict[int, str] = {}  # by revision
        self._earlier_valid: dict[Key, set[bytes | None]] = {}  # bodies of earlier histories
        self._processes: dict[str, _ProcessState] = {}
        self._buckets: dict[_ServerIncarnation, _Bucket] = {}
        self._accepted_revisions: list[int] = []
        self._accepted_at: list[float] = []  # of these revisions, by the first voter

    def _report(self, rule: Rule, at: float, detail: str) -> None:
        self.violations.append(RuleViolation(rule, at, detail))

    # Publishing

    def on_request(self, token: str, change: RequestedChange) -> None:
        """Record that a change is requested."""
        self.requested.setdefault(token, change)

    def on_response(self, at: float, token: str, revision: int) -> None:
        """Record the outcome that a publisher received: a revision, or 0 for a rejection."""
        change = self.requested[token]
        if change.revision is not None and change.revision != revision:
            self._report(Rule.ONCE, at, f"{token} is {change.revision}, and then {revision}")
        if change.revision is None:
            change.revision = revision
        if revision > 0 and self._token_of.setdefault(revision, token) != token:
            other = self._token_of[revision]
            self._report(Rule.ONCE, at, f"revision {revision} is of {other} and of {token}")

    def on_history_lost(self) -> None:
        """Record that the voters lost the log: what was accepted before counts no more."""
        for key, changes in self._accepted_changes().items():
            bodies = {change.body for change in changes if not change.is_invalid}
            self._earlier_valid.setdefault(key, set()).update(bodies)
        self.requested = {
            token: change for token, change in self.requested.items() if change.revision is None
        }
        self._token_of = {}
        self._accepted_revisions = []
        self._accepted_at = []

    def _accepted_changes(self) -> dict[Key, list[RequestedChange]]:
        """Return the accepted changes by resource, the oldest first."""
        found: dict[Key, list[RequestedChange]] = {}
        for revision in sorted(self._token_of):
            change = self.requested[self._token_of[revision]]
            found.setdefault(change.key, []).append(change)
        return found

    def check_log(self, at: float, last_revision: int) -> None:
        """Check the outcomes when no change is under way."""
        waiting = [token for token, one in self.requested.items() if one.revision is None]
        if waiting:
            shown = ", ".join(waiting[:SHOWN_ITEMS])
            self._report(Rule.PROGRESS, at, f"{shown} have no outcome")
            return
        revisions = range(1, last_revision + 1)
        if sorted(self._token_of) != list(revisions):
            missing = [revision for revision in revisions if revision not in self._token_of]
            self._report(
                Rule.ONCE,
                at,
                f"voters are at {last_revision}, of {len(self._token_of)} known; "
                f"without a token: {missing[:SHOWN_ITEMS]}",
            )
        for key, changes in self._accepted_changes().items():
            self._check_expected(at, key, changes)

    def _check_expected(self, at: float, key: Key, changes: list[RequestedChange]) -> None:
        current = 0
        for change in changes:
            if change.expected >= 0 and change.expected != current:
                detail = f"{key} at {current} was replaced by a change for {change.expected}"
                self._report(Rule.EXPECTED, at, detail)
            current = 0 if change.body is None else change.revision or 0

    # Receiving

    def on_started(
        self, name: str, epoch: str, revision: int, resources: Mapping[Key, int]
    ) -> None:
        """Record that a process starts, with what its disk holds."""
        self._processes[name] = _ProcessState(epoch, revision, dict(resources))

    def on_table(self, at: float, name: str, epoch: str, revision: int) -> None:
        """Record that a process received a table up to a revision."""
        state = self._processes[name]
        if state.epoch == epoch and revision < state.revision:
            detail = f"{name} came from revision {state.revision} to {revision}"
            self._report(Rule.NO_OLDER, at, detail)
        if epoch in state.left_epochs:
            detail = f"{name} came from history {state.epoch} back to {epoch}"
            self._report(Rule.NO_OLDER, at, detail)
        if state.epoch not in ("", epoch):
            state.left_epochs.add(state.epoch)
            state.resources.clear()
        state.epoch = epoch
        state.revision = revision

    def on_resource_applied(self, at: float, name: str, resource: AppliedResource) -> None:
        """Record that an ingress applies a resource, or deletes it."""
        applied = self._processes[name].resources
        key = Key(resource.kind, resource.name)
        if resource.revision < applied.get(key, 0):
            detail = f"{name} applies {key} of revision {resource.revision} over {applied[key]}"
            self._report(Rule.NO_OLDER, at, detail)
        applied[key] = resource.revision

    def check_convergence(
        self, at: float, observed: IngressObservation, expected: ConvergenceRange
    ) -> None:
        """Check what an ingress had applied at a time, once all outcomes are known.

        Each resource is as its last change up to `expected.due` left it, or as one of those behind
        it up to `expected.latest`, which were under way.
        """
        accepted = self._accepted_changes()
        for key, changes in accepted.items():
            self._check_resource(at, observed, expected, key, changes)
        unknown = [key for key in observed.bodies if key not in accepted]
        if unknown:
            detail = f"{observed.name} has {unknown[:SHOWN_UNKNOWN]}, which nobody published"
            self._report(Rule.IN_FORCE, at, detail)

    def _check_resource(
        self,
        at: float,
        observed: IngressObservation,
        expected: ConvergenceRange,
        key: Key,
        changes: list[RequestedChange],
    ) -> None:
        known = [change for change in changes if (change.revision or 0) <= expected.latest]
        settled = [change for change in known if (change.revision or 0) <= expected.due]
        if not settled:
            return
        allowed = known[len(settled) - 1 :]
        if not any(self._may_follow(change, known, observed, key) for change in allowed):
            body = observed.bodies.get(key)
            detail = f"{observed.name} has {body!r} as {key}: {_describe(allowed)}"
            self._report(Rule.IN_FORCE, at, detail)
        if settled == known and known[-1].is_invalid and key not in observed.rejected:
            detail = f"{observed.name} rejected {key}, and its server does not know"
            self._report(Rule.TOLD, at, detail)

    def _may_follow(
        self,
        change: RequestedChange,
        known: list[RequestedChange],
        observed: IngressObservation,
        key: Key,
    ) -> bool:
        """Return whether an ingress may have this content after a change.

        After an invalid one it may have an older valid version, or none.
        """
        body = observed.bodies.get(key)
        if not change.is_invalid:
            return body == change.body
        valid = {one.body for one in known if not one.is_invalid}
        return body is None or body in valid | self._earlier_valid.get(key, set())

    def on_accepted(self, at: float, revision: int) -> None:
        """Record that a voter accepted a change; the first to reach a revision counts."""
        if revision > (self._accepted_revisions[-1] if self._accepted_revisions else 0):
            self._accepted_revisions.append(revision)
            self._accepted_at.append(at)

    def check_within_bound(self, at: float, name: str, revision: int, since: float) -> None:
        """Check that an ingress at `revision` has every change accepted before `since`."""
        count = bisect_left(self._accepted_at, since)
        if count and revision < self._accepted_revisions[count - 1]:
            due = self._accepted_revisions[count - 1]
            detail = f"{name} is at {revision}, and {due} was accepted before {since:.0f} ms"
            self._report(Rule.WITHIN, at, detail)

    # Cost

    def on_snapshot_chunk(self, at: float, server: str, incarnation: int, size: int) -> None:
        """Record that a server sends a chunk of a snapshot."""
        bucket = self._buckets.setdefault(_ServerIncarnation(server, incarnation), _Bucket(at))
        drained = (at - bucket.at) * self._rate
        bucket.level = max(0.0, bucket.level - drained) + size
        bucket.at = at
        self.snapshot_bytes += size
        limit = self._burst + self._chunk
        if bucket.level > limit:
            detail = f"{server} sent {bucket.level:.0f} bytes beyond its rate, {limit:.0f} may be"
            self._report(Rule.BUDGET, at, detail)


def _describe(changes: list[RequestedChange]) -> str:
    """Return changes as text."""
    return " or ".join(f"revision {change.revision} is {change.body!r}" for change in changes)
