"""Judges what a distribution did, from plain facts. Shares no code with what it judges.

Rules, by name: `once`: a token has one outcome, each revision one token, and no revision is without
one; `expected`: what was accepted replaced the revision that its publisher named; `no-older`: in
one history a process never comes from a revision to an older one, neither its table nor a single
resource, nor back to a history that it left; `in-force`: at the end of the bound an ingress has in
force exactly what was last published, but for what it refused, where it may keep an older good one
(of the history before, too) or none; `told`: what it refused is told by the server that serves it;
`within`: a change is in force within the bound at every ingress that the faults leave alone;
`budget`: parts of snapshots of one life of a server keep to its burst and its rate over any time;
`progress`: what was asked for has an outcome at the end.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from dockthread.lab.raft.checker import RuleViolation

Key = tuple[str, str]


class Named(Protocol):
    """A resource as an ingress is given it."""

    @property
    def kind(self) -> str: ...
    @property
    def name(self) -> str: ...
    @property
    def revision(self) -> int: ...
    @property
    def body(self) -> bytes | None: ...


@dataclass(slots=True)
class Asked:
    """A change as its publisher wants it; `revision` once it was told: 0 for refused."""

    kind: str
    name: str
    body: bytes | None
    expected: int
    revision: int | None = None
    told_at: float = 0.0


@dataclass(slots=True)
class Held:
    """One process: what it came to."""

    epoch: str = ""
    revision: int = 0
    resources: dict[Key, int] = field(default_factory=dict)
    left: set[str] = field(default_factory=set)  # epochs


@dataclass(slots=True)
class Bucket:
    """What of a burst is used up."""

    at: float
    level: float = 0.0


@dataclass(frozen=True, slots=True)
class Seen:
    """What an ingress had in force; `rejected`: what it refused, as the server that serves it
    knows.
    """

    name: str
    bodies: Mapping[Key, bytes]
    rejected: Collection[Key]


def is_bad(change: Asked) -> bool:
    """Whether ingresses refuse it."""
    return change.body is not None and change.body.startswith(b"bad")


def worded(changes: list[Asked]) -> str:
    """For a play."""
    return " or ".join(f"revision {one.revision} is {one.body!r}" for one in changes)


class Checker:
    """`burst` in bytes, `rate` in bytes a second, `part`: the most bytes of one part."""

    def __init__(self, burst: float, rate: float, part: float) -> None:
        self._burst, self._rate, self._part = burst, rate / 1000.0, part
        self.broken: list[RuleViolation] = []
        self.asked: dict[str, Asked] = {}  # by token
        self._token_of: dict[int, str] = {}  # by revision
        self._good_before: dict[Key, set[bytes | None]] = {}  # bodies of the history before
        self._held: dict[str, Held] = {}
        self._buckets: dict[tuple[str, int], Bucket] = {}
        self.snapshot_bytes = 0
        self._revisions: list[int] = []
        self._accepted_at: list[float] = []  # of these revisions, anywhere

    def _break(self, rule: str, at: float, detail: str) -> None:
        self.broken.append(RuleViolation(rule, at, detail))

    # Publishing

    def ask(self, token: str, change: Asked) -> None:
        self.asked.setdefault(token, change)

    def told(self, at: float, token: str, revision: int) -> None:
        """A publisher is answered: 0 for refused."""
        asked = self.asked[token]
        if asked.revision is not None and asked.revision != revision:
            self._break("once", at, f"{token} is {asked.revision}, and then {revision}")
        if asked.revision is None:
            asked.revision, asked.told_at = revision, at
        if revision > 0 and self._token_of.setdefault(revision, token) != token:
            self._break(
                "once", at, f"revision {revision} is of {self._token_of[revision]} and of {token}"
            )

    def began_anew(self) -> None:
        """The voters lost all that was agreed on: what was accepted before counts no more."""
        for key, changes in self.published().items():
            self._good_before.setdefault(key, set()).update(
                one.body for one in changes if not is_bad(one)
            )
        self.asked = {token: one for token, one in self.asked.items() if one.revision is None}
        self._token_of, self._revisions, self._accepted_at = {}, [], []

    def published(self) -> dict[Key, list[Asked]]:
        """Accepted changes by resource, the oldest first."""
        found: dict[Key, list[Asked]] = {}
        for revision in sorted(self._token_of):
            one = self.asked[self._token_of[revision]]
            found.setdefault((one.kind, one.name), []).append(one)
        return found

    def log_ended(self, at: float, last: int) -> None:
        """`last`: revision of the voters, when nothing is under way."""
        waiting = [token for token, one in self.asked.items() if one.revision is None]
        if waiting:
            self._break("progress", at, f"{', '.join(waiting[:5])} have no outcome")
            return
        if sorted(self._token_of) != list(range(1, last + 1)):
            missing = [r for r in range(1, last + 1) if r not in self._token_of]
            self._break(
                "once",
                at,
                f"voters are at {last}, of {len(self._token_of)} known; nobody's: {missing[:5]}",
            )
        for key, changes in self.published().items():
            self._check_expected(at, key, changes)

    def _check_expected(self, at: float, key: Key, changes: list[Asked]) -> None:
        there = 0
        for one in changes:
            if one.expected >= 0 and one.expected != there:
                self._break(
                    "expected", at, f"{key} at {there} was replaced by a change for {one.expected}"
                )
            there = 0 if one.body is None else one.revision or 0

    # Receiving

    def started(self, name: str, epoch: str, revision: int, resources: Mapping[Key, int]) -> None:
        """A process begins a life, with what its disk held."""
        self._held[name] = Held(epoch, revision, dict(resources))

    def table(self, at: float, name: str, epoch: str, revision: int) -> None:
        """A process took a table up to there."""
        held = self._held[name]
        if held.epoch == epoch and revision < held.revision:
            self._break("no-older", at, f"{name} came from revision {held.revision} to {revision}")
        if epoch in held.left:
            self._break("no-older", at, f"{name} came from history {held.epoch} back to {epoch}")
        if held.epoch not in ("", epoch):
            held.left.add(held.epoch)
            held.resources.clear()
        held.epoch, held.revision = epoch, revision

    def in_force(self, at: float, name: str, resource: Named) -> None:
        """An ingress puts a resource in force, or deletes it."""
        held, key = self._held[name], (resource.kind, resource.name)
        if resource.revision < held.resources.get(key, 0):
            detail = f"{name} puts {key} of revision {resource.revision} over {held.resources[key]}"
            self._break("no-older", at, detail)
        held.resources[key] = resource.revision

    def converged(self, at: float, seen: Seen, due: int, latest: int) -> None:
        """What an ingress had in force at `at`, judged once all outcomes are known: every resource
        as its last change up to revision `due` left it, or one of those behind it up to `latest`,
        which were under way.
        """
        published = self.published()
        for key, changes in published.items():
            known = [one for one in changes if (one.revision or 0) <= latest]
            settled = [one for one in known if (one.revision or 0) <= due]
            allowed = known[max(0, len(settled) - 1) :]
            if settled and not any(self._left_by(one, known, seen, key) for one in allowed):
                self._break(
                    "in-force",
                    at,
                    f"{seen.name} has {seen.bodies.get(key)!r} as {key}: {worded(allowed)}",
                )
            if settled and settled == known and is_bad(known[-1]) and key not in seen.rejected:
                self._break("told", at, f"{seen.name} refused {key}, and its server does not know")
        unknown = [key for key in seen.bodies if key not in published]
        if unknown:
            self._break("in-force", at, f"{seen.name} has {unknown[:3]}, which nobody published")

    def _left_by(self, change: Asked, known: list[Asked], seen: Seen, key: Key) -> bool:
        """Whether an ingress may have this after that change: of a bad one an older good one, or
        none.
        """
        body = seen.bodies.get(key)
        if not is_bad(change):
            return body == change.body
        good = {one.body for one in known if not is_bad(one)} | self._good_before.get(key, set())
        return body is None or body in good

    def accepted(self, at: float, revision: int) -> None:
        """A voter applied a change: the first to come to that revision counts."""
        if revision > (self._revisions[-1] if self._revisions else 0):
            self._revisions.append(revision)
            self._accepted_at.append(at)

    def has_all(self, at: float, name: str, revision: int, since: float) -> None:
        """An ingress that was left alone has come to `revision`; it must have come to all accepted
        before `since`.
        """
        count = bisect_left(self._accepted_at, since)
        if count and revision < self._revisions[count - 1]:
            due = self._revisions[count - 1]
            self._break(
                "within",
                at,
                f"{name} is at {revision}, and {due} was accepted before {since:.0f} ms",
            )

    # Cost

    def snapshot_part(self, at: float, server: str, life: int, size: int) -> None:
        """A server sends a part of a snapshot."""
        bucket = self._buckets.setdefault((server, life), Bucket(at))
        bucket.level = max(0.0, bucket.level - (at - bucket.at) * self._rate) + size
        bucket.at = at
        self.snapshot_bytes += size
        most = self._burst + self._part
        if bucket.level > most:
            self._break(
                "budget",
                at,
                f"{server} sent {bucket.level:.0f} bytes beyond its rate, {most:.0f} may be",
            )
