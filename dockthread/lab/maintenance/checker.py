"""Checks planned maintenance from the actions of backends, members and staff.

The checker shares no code with the maintenance scheduler and the participants that it checks. The
rules, by name:

- `zone`: no more backends of a zone than allowed are switched off by staff or warming up;
- `used`: a member that has confirmed that it drained a backend sends no request to it while the
  backend is switched off;
- `idle`: a member that has confirmed that it drained a backend has no request in flight there when
  the backend is switched off;
- `dead`: if a backend is switched off without the confirmation of a member, that member has been
  unreachable for at least the failure timeout;
- `once`: a request that staff made once appears in the log as one maintenance request;
- `early`: no grant times out before the grant timeout;
- `ingresses`: at most one ingress at a time is down for its own restart;
- `alike`: at the end all members have the same state and drain the backends that the state lists;
- `progress`: at the end no maintenance request is unfinished.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from dockthread.lab.raft.checker import RuleViolation


@dataclass(frozen=True, slots=True)
class MaintenanceLimits:
    """The limits that the rules check.

    Attributes:
        max_unavailable: Maximum number of unavailable backends in a zone.
        warm_up_ms: Time for which a backend counts as unavailable after it is switched on.
        failure_timeout_ms: Minimum time that a member must be unreachable before a backend may be
            switched off without its confirmation.
        grant_timeout_ms: Minimum time between a grant and its timeout.
    """

    max_unavailable: int
    warm_up_ms: float
    failure_timeout_ms: float
    grant_timeout_ms: float


@dataclass(frozen=True, slots=True)
class SwitchOffEvent:
    """The event that staff switch a backend off.

    Attributes:
        at_ms: Time of the event.
        backend: The backend that is switched off.
        drained_by: Members that have confirmed that they drained the backend.
        members: All members.
        in_flight: Number of requests in flight at the backend, by member.
        unreachable_ms: How long each member has recently been down, stalled or hard to reach.
    """

    at_ms: float
    backend: str
    drained_by: Collection[str]
    members: Collection[str]
    in_flight: Mapping[str, int]
    unreachable_ms: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class FinalState:
    """The state of members and staff at the end of a run.

    Attributes:
        at_ms: Time of the end.
        snapshots: Snapshot of each member's state.
        drained: The backends that each member drains.
        expected_drained: The backends that have to be drained according to the replicated state.
        unfinished: Targets of maintenance requests that are not finished.
    """

    at_ms: float
    snapshots: Mapping[str, bytes]
    drained: Mapping[str, Collection[str]]
    expected_drained: Collection[str]
    unfinished: Collection[str]


class MaintenanceChecker:
    """Receives the events of a run and records each rule violation.

    Args:
        zone_of: Zone of each backend.
        limits: The limits that the rules check.
        violations: List to which rule violations are appended.

    Attributes:
        switched_off: Backends that are switched off, each with the members that have drained it.
    """

    def __init__(
        self, zone_of: Mapping[str, str], limits: MaintenanceLimits, violations: list[RuleViolation]
    ) -> None:
        self._zone_of = zone_of
        self._limits = limits
        self._violations = violations
        self.switched_off: dict[str, Collection[str]] = {}
        # End of the warm-up of each backend that was switched on again.
        self._warm_up_ends: dict[str, float] = {}
        # Log index of each maintenance request, by the comment of staff.
        self._request_index: dict[str, int] = {}
        # Time of each grant, by target and epoch.
        self._granted_at: dict[tuple[str, int], float] = {}
        self._restarting: set[str] = set()

    def _report_violation(self, rule: str, at_ms: float, detail: str) -> None:
        self._violations.append(RuleViolation(rule, at_ms, detail))

    def on_switched_off(self, event: SwitchOffEvent) -> None:
        """Check the rules `zone`, `idle` and `dead` when staff switch a backend off."""
        self.switched_off[event.backend] = event.drained_by
        self._check_zone(event.at_ms, self._zone_of[event.backend])
        for member in event.members:
            has_drained = member in event.drained_by
            if has_drained and event.in_flight.get(member):
                self._report_violation(
                    "idle",
                    event.at_ms,
                    f"{member} has {event.in_flight[member]} requests in flight at"
                    f" {event.backend}, which is switched off",
                )
            unreachable_ms = event.unreachable_ms.get(member, 0.0)
            if not has_drained and unreachable_ms < self._limits.failure_timeout_ms:
                self._report_violation(
                    "dead",
                    event.at_ms,
                    f"{event.backend} is switched off without a confirmation from {member},"
                    " which was reachable",
                )

    def _check_zone(self, at_ms: float, zone: str) -> None:
        warming_up = {
            backend for backend, warm_up_end in self._warm_up_ends.items() if warm_up_end > at_ms
        }
        unavailable = sorted(
            backend
            for backend in {*self.switched_off, *warming_up}
            if self._zone_of[backend] == zone
        )
        limit = self._limits.max_unavailable
        if len(unavailable) > limit:
            self._report_violation(
                "zone",
                at_ms,
                f"{', '.join(unavailable)} in zone {zone} are unavailable, but at most {limit} may be",
            )

    def on_switched_on(self, at_ms: float, backend: str) -> None:
        """Record that staff have switched a backend on again."""
        self.switched_off.pop(backend, None)
        self._warm_up_ends[backend] = at_ms + self._limits.warm_up_ms

    def on_request_sent(self, at_ms: float, member: str, backend: str) -> None:
        """Check the rule `used` when a member sends a request to a backend."""
        if member in self.switched_off.get(backend, ()):
            self._report_violation(
                "used",
                at_ms,
                f"{member} sends a request to {backend}, which it has confirmed as drained",
            )

    def on_maintenance_requested(self, at_ms: float, comment: str, index: int) -> None:
        """Check the rule `once` when a member has applied a maintenance request at a log index."""
        first_index = self._request_index.setdefault(comment, index)
        if first_index != index:
            self._report_violation(
                "once", at_ms, f"{comment} is a request at log index {first_index} and at {index}"
            )

    def on_granted(self, at_ms: float, target: str, epoch: int) -> None:
        """Record the time of a grant."""
        self._granted_at.setdefault((target, epoch), at_ms)

    def on_grant_timed_out(self, at_ms: float, target: str, epoch: int) -> None:
        """Check the rule `early` when a grant times out."""
        lasted_ms = at_ms - self._granted_at.get((target, epoch), at_ms)
        limit_ms = self._limits.grant_timeout_ms
        if lasted_ms < limit_ms:
            self._report_violation(
                "early",
                at_ms,
                f"the grant of {target} timed out after {lasted_ms:.0f} ms,"
                f" before the timeout of {limit_ms:.0f} ms",
            )

    def on_restart_started(self, at_ms: float, ingress: str) -> None:
        """Check the rule `ingresses` when an ingress shuts down for its own restart."""
        self._restarting.add(ingress)
        if len(self._restarting) > 1:
            names = ", ".join(sorted(self._restarting))
            self._report_violation("ingresses", at_ms, f"{names} restart at the same time")

    def on_started(self, ingress: str) -> None:
        """Record that an ingress has started."""
        self._restarting.discard(ingress)

    def on_end(self, final: FinalState) -> None:
        """Check the rules `alike` and `progress` at the end of the run."""
        if len(set(final.snapshots.values())) > 1:
            names = ", ".join(final.snapshots)
            self._report_violation("alike", final.at_ms, f"the states of {names} differ")
        for member, drained in final.drained.items():
            if set(drained) != set(final.expected_drained):
                expected = sorted(final.expected_drained)
                self._report_violation(
                    "alike",
                    final.at_ms,
                    f"{member} drains {sorted(drained)} instead of {expected}",
                )
        if final.unfinished:
            names = ", ".join(sorted(final.unfinished))
            self._report_violation(
                "progress", final.at_ms, f"requests for {names} are not finished"
            )
