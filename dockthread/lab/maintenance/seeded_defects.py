"""Seeded defects of planned maintenance, each of which the checker has to find.

A simulation replaces the scheduler or the participant by one of these classes; the program never
does. The keys of the tables are words of the command line.
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
from dockthread.maintenance.model import ClusterView
from dockthread.maintenance.participant import MaintenanceParticipant, ParticipantActions
from dockthread.maintenance.scheduler import MaintenanceScheduler


class UnavailableAfterFirstConfirmation(MaintenanceScheduler):
    """Takes a backend for unavailable once the first member has drained it."""

    def confirming_members(self, request: MaintenanceRequest) -> set[str]:
        """Return who has drained it, in place of who has to."""
        if request.state is RequestState.DRAINING:
            return set(request.drained_by)
        return super().confirming_members(request)


class ReportAppliedTwice(MaintenanceScheduler):
    """Applies a report whatever its number."""

    def _apply_report(self, report: LeaderReport) -> None:
        super()._apply_report(msgspec.structs.replace(report, number=self.report_count + 1))


class WarmUpIgnored(MaintenanceScheduler):
    """Takes a backend for warm as soon as it is back."""

    def _advance(self, index: int) -> None:
        for request in self.requests.values():
            request.warm_up_ms = 0.0
        super()._advance(index)


class UnreachableCountsAsFailed(MaintenanceScheduler):
    """Does not wait for a member that was unreachable for a moment."""

    def confirming_members(self, request: MaintenanceRequest) -> set[str]:
        """Leave out whoever is unreachable now."""
        confirming = super().confirming_members(request)
        return {member for member in confirming if not self.unreachable_ms.get(member)}


class OneMoreUnavailable(MaintenanceScheduler):
    """Grants one more of a zone than allowed."""

    def max_unavailable(self, zone: str, kind: TargetKind = TargetKind.BACKEND) -> int:
        """Return one more than allowed."""
        return super().max_unavailable(zone, kind) + 1


class ElapsedSinceStart(MaintenanceParticipant):
    """Reports all the time since the leader started as elapsed."""

    def _report(self, now: float, cluster: ClusterView, actions: ParticipantActions) -> None:
        super()._report(now, cluster, actions)
        if actions.report is not None:
            report = msgspec.structs.replace(actions.report.report, elapsed_ms=now)
            actions.report = msgspec.structs.replace(actions.report, report=report)


class StartDrainsNothing(MaintenanceParticipant):
    """Drains nothing at a start until it is told how far the log is committed."""

    def recover(
        self,
        state: bytes,
        entries: Iterable[tuple[int, bytes]],
        committed: int,
        last_index: int,
        last_term: int,
    ) -> None:
        """Ignore what the disk holds."""


class ConfirmsWhileBusy(MaintenanceParticipant):
    """Says that it has drained a backend while its requests are in flight there."""

    def update(self, now: float, cluster: ClusterView) -> ParticipantActions:
        """Take every drained backend for idle."""
        drained = self.drained | set(self.scheduler.drained_backends())
        return super().update(now, replace(cluster, idle_backends=drained))


class ReleasesOverdue(MaintenanceParticipant):
    """Sends requests to a backend whose work takes longer than staff said."""

    def update(self, now: float, cluster: ClusterView) -> ParticipantActions:
        """Drop the overdue backends from what is drained."""
        actions = super().update(now, cluster)
        self.drained -= {
            request.target
            for request in self.scheduler.requests.values()
            if request.state is RequestState.OVERDUE
        }
        return actions


class RestartedInSameIncarnation(MaintenanceParticipant):
    """Says that it has restarted when it is about to stop."""

    def _handle_own_request(
        self,
        now: float,
        request: MaintenanceRequest,
        cluster: ClusterView,
        actions: ParticipantActions,
    ) -> None:
        super()._handle_own_request(now, request, cluster, actions)
        if actions.stop:
            self._propose(now, actions, CommandAction.RESTARTED, request)


SCHEDULERS: dict[str, type[MaintenanceScheduler]] = {
    "out-at-the-first-word": UnavailableAfterFirstConfirmation,
    "tick-twice": ReportAppliedTwice,
    "warm-is-back": WarmUpIgnored,
    "silent-is-dead": UnreachableCountsAsFailed,
    "one-more-out": OneMoreUnavailable,
}
PARTICIPANTS: dict[str, type[MaintenanceParticipant]] = {
    "ticks-of-a-life": ElapsedSinceStart,
    "start-holds-nothing": StartDrainsNothing,
    "held-while-busy": ConfirmsWhileBusy,
    "frees-what-is-overdue": ReleasesOverdue,
    "back-in-the-same-life": RestartedInSameIncarnation,
}
NAMES = (*SCHEDULERS, *PARTICIPANTS)
