"""Checks planned maintenance by what backends, members and staff did; shares no code with what it checks.

The rules, by name:

- `zone`: backends of one zone that staff have switched off, or that warm up, are never more than
  allowed;
- `used`: a member that says it has drained a backend sends nothing there while it is switched off;
- `idle`: nor has it a request in flight there when the backend is switched off;
- `dead`: a member whose confirmation was not awaited had been unreachable for long;
- `once`: what staff requested once is one request;
- `early`: no grant times out before its time;
- `ingresses`: one ingress at a time is away for its own restart;
- `alike`: at the end all members hold the same state, and drain what it says;
- `progress`: at the end no request of staff is unfinished.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from dockthread.lab.raft.checker import RuleViolation


@dataclass(frozen=True, slots=True)
class Limits:
    """What the rules allow.

    Attributes:
        max_unavailable: Backends of a zone that may be away at once.
        warm_up_ms: For how long a backend that is back counts as away.
        failure_timeout_ms: Least time for which a member that was not awaited was unreachable.
        grant_timeout_ms: Least time after which a grant may time out.
    """

    max_unavailable: int
    warm_up_ms: float
    failure_timeout_ms: float
    grant_timeout_ms: float


@dataclass(frozen=True, slots=True)
class SwitchOff:
    """Staff switch a backend off.

    Attributes:
        at_ms: When.
        backend: Which.
        drained_by: Members that say they have drained it.
        members: All members.
        in_flight: Requests in flight there, by member.
        unreachable_ms: For how long of late each member was down, stalled or hard to reach.
    """

    at_ms: float
    backend: str
    drained_by: Collection[str]
    members: Collection[str]
    in_flight: Mapping[str, int]
    unreachable_ms: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class FinalState:
    """What the members and staff hold at the end.

    Attributes:
        at_ms: When.
        snapshots: Snapshot of each member's state.
        drained: What each member drains.
        expected: What the state says is drained.
        unfinished: Targets of requests of staff that are not finished.
    """

    at_ms: float
    snapshots: Mapping[str, bytes]
    drained: Mapping[str, Collection[str]]
    expected: Collection[str]
    unfinished: Collection[str]


class MaintenanceChecker:
    """Takes note of what happens, and of each rule that is broken.

    Args:
        zone_of: Zone of each backend.
        limits: What the rules allow.
        violations: Where violations of rules are added.

    Attributes:
        switched_off: Backends that are switched off, each with the members that have drained it.
    """

    def __init__(
        self, zone_of: Mapping[str, str], limits: Limits, violations: list[RuleViolation]
    ) -> None:
        self._zone_of = zone_of
        self._limits = limits
        self._violations = violations
        self.switched_off: dict[str, Collection[str]] = {}
        self._warm_at: dict[str, float] = {}  # by backend that has come back
        self._request_index: dict[str, int] = {}  # by staff's comment
        self._granted_at: dict[tuple[str, int], float] = {}  # by backend and epoch
        self._restarting: set[str] = set()

    def _break(self, rule: str, at_ms: float, detail: str) -> None:
        self._violations.append(RuleViolation(rule, at_ms, detail))

    def on_switched_off(self, event: SwitchOff) -> None:
        """Check the rules `zone`, `idle` and `dead` as staff switch a backend off."""
        self.switched_off[event.backend] = event.drained_by
        self._check_zone(event.at_ms, self._zone_of[event.backend])
        for member in event.members:
            has_drained = member in event.drained_by
            if has_drained and event.in_flight.get(member):
                self._break(
                    "idle",
                    event.at_ms,
                    f"{member} has {event.in_flight[member]} out at {event.backend}, which is pulled",
                )
            unreachable_ms = event.unreachable_ms.get(member, 0.0)
            if not has_drained and unreachable_ms < self._limits.failure_timeout_ms:
                self._break(
                    "dead", event.at_ms, f"{event.backend} is out without {member}, which was there"
                )

    def _check_zone(self, at_ms: float, zone: str) -> None:
        warming_up = {backend for backend, warm_at in self._warm_at.items() if warm_at > at_ms}
        away = sorted(
            backend
            for backend in {*self.switched_off, *warming_up}
            if self._zone_of[backend] == zone
        )
        limit = self._limits.max_unavailable
        if len(away) > limit:
            self._break("zone", at_ms, f"{', '.join(away)} of {zone} are away, and {limit} may be")

    def on_switched_on(self, at_ms: float, backend: str) -> None:
        """Take note that staff have switched a backend on again."""
        self.switched_off.pop(backend, None)
        self._warm_at[backend] = at_ms + self._limits.warm_up_ms

    def on_request_sent(self, at_ms: float, member: str, backend: str) -> None:
        """Check the rule `used` as a member sends a request to a backend."""
        if member in self.switched_off.get(backend, ()):
            self._break("used", at_ms, f"{member} sends to {backend}, which it said it holds")

    def on_maintenance_requested(self, at_ms: float, comment: str, index: int) -> None:
        """Check the rule `once` as a member knows a request of staff at an index of the log."""
        known = self._request_index.setdefault(comment, index)
        if known != index:
            self._break("once", at_ms, f"{comment} is a request at {known} and at {index}")

    def on_granted(self, at_ms: float, target: str, epoch: int) -> None:
        """Take note of a grant."""
        self._granted_at.setdefault((target, epoch), at_ms)

    def on_grant_timed_out(self, at_ms: float, target: str, epoch: int) -> None:
        """Check the rule `early` as a grant times out."""
        lasted_ms = at_ms - self._granted_at.get((target, epoch), at_ms)
        limit_ms = self._limits.grant_timeout_ms
        if lasted_ms < limit_ms:
            self._break(
                "early", at_ms, f"{target}'s turn lapses after {lasted_ms:.0f} ms of {limit_ms:.0f}"
            )

    def on_restart_begun(self, at_ms: float, ingress: str) -> None:
        """Check the rule `ingresses` as an ingress shuts down for its own restart."""
        self._restarting.add(ingress)
        if len(self._restarting) > 1:
            names = ", ".join(sorted(self._restarting))
            self._break("ingresses", at_ms, f"{names} are away in their turns")

    def on_started(self, ingress: str) -> None:
        """Take note that an ingress runs again."""
        self._restarting.discard(ingress)

    def on_end(self, final: FinalState) -> None:
        """Check the rules `alike` and `progress` at the end."""
        if len(set(final.snapshots.values())) > 1:
            names = ", ".join(final.snapshots)
            self._break("alike", final.at_ms, f"the orders of {names} differ")
        for member, drained in final.drained.items():
            if set(drained) != set(final.expected):
                expected = sorted(final.expected)
                self._break(
                    "alike",
                    final.at_ms,
                    f"{member} holds {sorted(drained)}, and {expected} are out",
                )
        if final.unfinished:
            names = ", ".join(sorted(final.unfinished))
            self._break("progress", final.at_ms, f"{names} came to no end")
