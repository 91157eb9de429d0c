"""Seeded defects of planned maintenance that the checker has to find.

A simulation can replace the scheduler or the participant with one of these classes; the program
itself never uses them. The keys of `SCHEDULERS` and `PARTICIPANTS` are the names of the defects on
the command line.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import msgspec

from dockthread.maintenance.commands import (
    CommandAction,
    LeaderReport,
    MaintenanceRequest,
    RequestState,
    TargetKind,
)
from dockthread.maintenance.model import FleetView
from dockthread.maintenance.participant import MaintenanceParticipant, ParticipantActions
from dockthread.maintenance.scheduler import MaintenanceScheduler


class UnavailableAfterFirstConfirmation(MaintenanceScheduler):
    """Treats a backend as unavailable as soon as the first member has drained it."""

    def confirming_members(self, request: MaintenanceRequest) -> set[str]:
        """Return the members that have drained the backend instead of those that have to."""
        if request.state is RequestState.DRAINING:
            return set(request.drained_by)
        return super().confirming_members(request)


class ReportAppliedTwice(MaintenanceScheduler):
    """Applies every report, even if its number shows that it was applied before."""

    def _apply_report(self, report: LeaderReport) -> None:
        super()._apply_report(msgspec.structs.replace(report, number=self.report_count + 1))


class WarmUpIgnored(MaintenanceScheduler):
    """Treats a backend as warm as soon as it is back in service."""

    def _advance(self, index: int) -> None:
        for request in self.requests.values():
            request.warm_up_ms = 0.0
        super()._advance(index)


class UnreachableCountsAsFailed(MaintenanceScheduler):
    """Does not wait for the confirmation of a member that is unreachable for a moment."""

    def confirming_members(self, request: MaintenanceRequest) -> set[str]:
        """Return the confirming members without those that are unreachable now."""
        confirming = super().confirming_members(request)
        return {member for member in confirming if not self.unreachable_ms.get(member)}


class ExceedsMaxUnavailable(MaintenanceScheduler):
    """Grants maintenance to one more backend of a zone than allowed."""

    def max_unavailable(self, zone: str, kind: TargetKind = TargetKind.BACKEND) -> int:
        """Return the allowed number plus 1."""
        return super().max_unavailable(zone, kind) + 1


class ReportsTimeSinceStart(MaintenanceParticipant):
    """Reports the time since the leader started as elapsed, not the time since its last report."""

    def _report(self, now: float, fleet: FleetView, actions: ParticipantActions) -> None:
        super()._report(now, fleet, actions)
        if actions.report is not None:
            report = msgspec.structs.replace(actions.report.report, elapsed_ms=now)
            actions.report = msgspec.structs.replace(actions.report, report=report)


class RecoveryIgnoresDisk(MaintenanceParticipant):
    """Drains no backends after a start until the leader sends the commit index."""

    def recover(
        self,
        state: bytes,
        entries: Iterable[tuple[int, bytes]],
        committed: int,
        last_index: int,
        last_term: int,
    ) -> None:
        """Ignore the state on disk."""


class ConfirmsWhileBusy(MaintenanceParticipant):
    """Confirms that it has drained a backend while it still has requests in flight there."""

    def update(self, now: float, fleet: FleetView) -> ParticipantActions:
        """Treat every draining backend as idle."""
        drained = self.drained | set(self.scheduler.drained_backends())
        return super().update(now, replace(fleet, idle_backends=drained))


class SendsToOverdueBackends(MaintenanceParticipant):
    """Sends requests to a backend whose maintenance takes longer than staff announced."""

    def update(self, now: float, fleet: FleetView) -> ParticipantActions:
        """Remove the overdue backends from the drained backends."""
        actions = super().update(now, fleet)
        self.drained -= {
            request.target
            for request in self.scheduler.requests.values()
            if request.state is RequestState.OVERDUE
        }
        return actions


class ReportsRestartBeforeStop(MaintenanceParticipant):
    """Reports that it has restarted when it is only about to stop."""

    def _handle_own_request(
        self,
        now: float,
        request: MaintenanceRequest,
        fleet: FleetView,
        actions: ParticipantActions,
    ) -> None:
        super()._handle_own_request(now, request, fleet, actions)
        if actions.stop:
            self._propose(now, actions, CommandAction.RESTARTED, request)


SCHEDULERS: dict[str, type[MaintenanceScheduler]] = {
    "out-at-the-first-word": UnavailableAfterFirstConfirmation,
    "tick-twice": ReportAppliedTwice,
    "warm-is-back": WarmUpIgnored,
    "silent-is-dead": UnreachableCountsAsFailed,
    "one-more-out": ExceedsMaxUnavailable,
}
PARTICIPANTS: dict[str, type[MaintenanceParticipant]] = {
    "ticks-of-a-life": ReportsTimeSinceStart,
    "start-holds-nothing": RecoveryIgnoresDisk,
    "held-while-busy": ConfirmsWhileBusy,
    "frees-what-is-overdue": SendsToOverdueBackends,
    "back-in-the-same-life": ReportsRestartBeforeStop,
}
DEFECT_NAMES = (*SCHEDULERS, *PARTICIPANTS)
