"""The replicated maintenance scheduler: a state machine that grants maintenance requests.

Every member applies the same commands of the replicated log in the same order, so all members have
the same state. The scheduler is deterministic: it reads no clock, file, network or random numbers.

A maintenance request names a target: a backend or an ingress. The request waits until every
constraint allows it and is then granted. Each member that has not failed drains the target, and the
target is unavailable once all of them have confirmed that with the epoch of the grant. From the
grant until it has warmed up again after maintenance, the target counts as out of service.
`transitions.py` defines the states.

Time is replicated through the log: each leader report carries the milliseconds since the previous
report, never more than have passed on the leader's clock. Reports are numbered, so a report that is
proposed twice is applied once. The time in a state is counted from the first report after the
transition, and a member's unreachable time from the first report that lists it as unreachable. A
timeout by this clock may fire late, by one report interval or during a change of leader, but never
early.

A backend's request is granted if a majority of the members list the backend, no other backend of
its zone is failing, the zone is not overloaded, the remaining backends can carry the load, and the
number of the zone's targets out of service is below the lowest `max_unavailable` of its requests:
if the members' settings differ, the strictest one applies. An ingress's request is granted only
while no other ingress is unreachable or out of service. Waiting requests are granted in order of
urgency, then of age. A target has at most one request; requesting it again changes nothing.

A member that proposes a command again, because the leader failed before it responded, uses the same
`command_id`, so the command is applied once.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from dockthread.maintenance.commands import (
    CommandAction,
    LeaderReport,
    MaintenanceCommand,
    MaintenanceRequest,
    MalformedCommandError,
    RequestState,
    TargetKind,
    decode_command,
)
from dockthread.maintenance.constraints import grant_obstacle, safety_obstacle
from dockthread.maintenance.reasons import (
    GrantTimedOut,
    Obstacle,
    Revocation,
    ZoneBecameUnsafe,
)
from dockthread.maintenance.transitions import (
    DRAINED_STATES,
    REVOCABLE_STATES,
    TRANSITIONS,
    UNAVAILABLE_STATES,
    RequestEvent,
)

MAX_FINISHED_REQUESTS = 64  # number of finished requests that a listing shows
MAX_COMMAND_IDS = 256  # number of recent command identifiers kept to recognize duplicates
MAX_COMMENT_LENGTH = 200  # maximum number of characters of an operator's comment
MAX_GRANT_TIMEOUTS = 3  # number of grant timeouts after which a request is abandoned
NOT_TIMED_MS = -1.0  # `state_since_ms` until the first report after the state began
# Unreachable time of a member that a report lists as unreachable for the first time. The member may
# have been reachable until just before the report, so this is almost 0; 0 means reachable.
FIRST_UNREACHABLE_MS = 0.001
# One, because a customer may be served by only two ingresses.
MAX_INGRESSES_UNAVAILABLE = 1


class SchedulerSnapshot(NamedTuple):
    """The scheduler's encoded state; the order of the fields is part of the format."""

    requests: list[MaintenanceRequest]
    finished: list[MaintenanceRequest]
    applied_command_ids: list[str]
    clock_ms: float
    report_count: int
    unreachable_ms: dict[str, float]
    last_report: LeaderReport


class MaintenanceScheduler:
    """State machine of maintenance requests, driven by the replicated log.

    Attributes:
        requests: Unfinished requests, by target.
        finished: The most recently finished requests, oldest first.
        applied_command_ids: Identifiers of the most recently applied commands.
        clock_ms: The replicated time.
        report_count: Number of applied reports.
        unreachable_ms: Time for which each member has been unreachable; 0 if it is reachable.
        last_report: The most recently applied report.
    """

    def __init__(self) -> None:
        self.requests: dict[str, MaintenanceRequest] = {}
        self.finished: list[MaintenanceRequest] = []
        self.applied_command_ids: list[str] = []
        self.clock_ms = 0.0
        self.report_count = 0
        self.unreachable_ms: dict[str, float] = {}
        self.last_report = LeaderReport()

    # Commands

    def apply(self, index: int, data: bytes) -> None:
        """Apply a log entry; data that is not a valid command is ignored."""
        try:
            command = decode_command(data)
        except MalformedCommandError:
            return
        if command.command_id:
            if command.command_id in self.applied_command_ids:
                return
            command_ids = [*self.applied_command_ids, command.command_id]
            self.applied_command_ids = command_ids[-MAX_COMMAND_IDS:]
        request = self.requests.get(command.target)
        if command.action is CommandAction.REPORT:
            self._apply_report(command.report)
        elif command.action is CommandAction.REQUEST:
            if request is None:
                self.requests[command.target] = _new_request(command, index)
        elif request is not None:
            self._apply_to_request(request, command)
        self._advance(index)

    def _apply_to_request(self, request: MaintenanceRequest, command: MaintenanceCommand) -> None:
        is_current = command.epoch == request.epoch
        is_drained = request.state in DRAINED_STATES
        match command.action:
            case CommandAction.DRAINED if is_current and is_drained:
                self._on_member_drained(request, command)
            case CommandAction.RELEASED if is_current and request.state is RequestState.RETURNING:
                request.released_by = tuple(sorted({*request.released_by, command.sender}))
            case CommandAction.RESTARTED if is_current and request.state in UNAVAILABLE_STATES:
                self._start_return(request, RequestState.DONE)
            case CommandAction.COMPLETE if is_drained:
                self._start_return(request, RequestState.DONE)
            case CommandAction.WITHDRAW if request.state is RequestState.WAITING:
                self._finish(request, RequestEvent.WITHDRAWN)
            case CommandAction.WITHDRAW if is_drained and not _is_restarting(request):
                self._start_return(request, RequestState.WITHDRAWN)
            case _:
                pass

    def _on_member_drained(self, request: MaintenanceRequest, command: MaintenanceCommand) -> None:
        request.drained_by = tuple(sorted({*request.drained_by, command.sender}))
        if request.state in REVOCABLE_STATES:
            _transition(request, RequestEvent.MEMBER_DRAINED)
            is_ingress = request.kind is TargetKind.INGRESS
            request.incarnation = command.incarnation if is_ingress else ""

    def _start_return(self, request: MaintenanceRequest, final_state: RequestState) -> None:
        _transition(request, RequestEvent.RETURN_STARTED)
        request.final_state = final_state
        request.released_by = ()

    def _finish(self, request: MaintenanceRequest, event: RequestEvent) -> None:
        _transition(request, event)
        del self.requests[request.target]
        self.finished = [*self.finished, request][-MAX_FINISHED_REQUESTS:]

    # Reports

    def _apply_report(self, report: LeaderReport) -> None:
        if report.number != self.report_count + 1:  # a duplicate, or from an outdated leader
            return
        self.report_count = report.number
        self.clock_ms += max(0.0, report.elapsed_ms)
        self.last_report = report
        self.unreachable_ms = {
            member: _unreachable_after(self.unreachable_ms.get(member, 0.0), report, member)
            for member in report.members
        }
        for request in list(self.requests.values()):
            request.is_evaluated = True
            # The state began at an unknown time after the previous report; measure from this one.
            if request.state_since_ms == NOT_TIMED_MS:
                request.state_since_ms = self.clock_ms
            self._apply_timeouts(request)

    def _apply_timeouts(self, request: MaintenanceRequest) -> None:
        if request.state in REVOCABLE_STATES:
            revocation = self._revocation(request)
            if revocation is not None:
                self._revoke(request, revocation)
        elif request.state is RequestState.UNAVAILABLE:
            if request.duration_ms and _has_elapsed(request, self.clock_ms, request.duration_ms):
                _transition(request, RequestEvent.DURATION_EXCEEDED)
        elif request.state is RequestState.WARMING_UP and _has_elapsed(
            request, self.clock_ms, request.warm_up_ms
        ):
            self._finish(request, _warmed_up_event(request))

    def _revocation(self, request: MaintenanceRequest) -> Revocation | None:
        """Return why a grant has to be revoked; None if it remains valid."""
        if _has_elapsed(request, self.clock_ms, self.last_report.grant_timeout_ms):
            missing = self.confirming_members(request) - set(request.drained_by)
            return GrantTimedOut(tuple(sorted(missing)))
        if request.kind is TargetKind.INGRESS:
            return None
        obstacle = safety_obstacle(self, request)
        return None if obstacle is None else ZoneBecameUnsafe(obstacle)

    def _revoke(self, request: MaintenanceRequest, revocation: Revocation) -> None:
        _transition(request, RequestEvent.REVOKED)
        request.revocation_reason = str(revocation)
        request.drained_by = ()
        request.incarnation = ""
        if isinstance(revocation, GrantTimedOut):
            request.timeout_count += 1
        if request.timeout_count >= MAX_GRANT_TIMEOUTS:
            self._finish(request, RequestEvent.ABANDONED)

    # Transitions after each command

    def _advance(self, index: int) -> None:
        """Advance requests that all awaited members have confirmed, then grant waiting requests."""
        for request in list(self.requests.values()):
            if request.state is RequestState.DRAINING and self._is_drained(request):
                _transition(request, RequestEvent.ALL_DRAINED)
                request.state_since_ms = NOT_TIMED_MS
            elif request.state is RequestState.RETURNING and self._is_released(request):
                _transition(request, RequestEvent.ALL_RELEASED)
                request.state_since_ms = NOT_TIMED_MS
        for request in sorted(self.requests.values(), key=_grant_order):
            if request.state is RequestState.WAITING and self.obstacle(request) is None:
                self._grant(request, index)

    def _is_drained(self, request: MaintenanceRequest) -> bool:
        confirming = self.confirming_members(request)
        return bool(confirming) and confirming <= set(request.drained_by)

    def _is_released(self, request: MaintenanceRequest) -> bool:
        if request.kind is TargetKind.INGRESS:
            return True
        return self.confirming_members(request) <= set(request.released_by)

    def _grant(self, request: MaintenanceRequest, index: int) -> None:
        _transition(request, RequestEvent.GRANTED)
        request.epoch = index
        request.state_since_ms = NOT_TIMED_MS
        request.revocation_reason = ""
        request.released_by = ()

    def confirming_members(self, request: MaintenanceRequest) -> set[str]:
        """Return the members whose confirmation a request needs.

        For an ingress this is the ingress itself; for a backend, every member that has been
        unreachable for less than the failure timeout.
        """
        if request.kind is TargetKind.INGRESS:
            return {request.target}
        limit_ms = self.last_report.failure_timeout_ms
        return {
            member
            for member, unreachable_ms in self.unreachable_ms.items()
            if unreachable_ms < limit_ms
        }

    # Constraints

    def obstacle(self, request: MaintenanceRequest) -> Obstacle | None:
        """Return why a waiting request cannot be granted; None if it can."""
        return grant_obstacle(self, request)

    def max_unavailable(self, zone: str, kind: TargetKind = TargetKind.BACKEND) -> int:
        """Return how many targets of a zone may be out of service at once.

        For backends this is the lowest limit of the zone's requests.
        """
        if kind is TargetKind.INGRESS:
            return MAX_INGRESSES_UNAVAILABLE
        limits = (
            request.max_unavailable
            for request in self.requests.values()
            if request.zone == zone and request.kind is kind
        )
        return min(limits, default=1)

    def drained_backends(self) -> dict[str, int]:
        """Return the backends that members must not send requests to, with their grants' epochs."""
        return {
            request.target: request.epoch
            for request in self.requests.values()
            if request.state in DRAINED_STATES and request.kind is not TargetKind.INGRESS
        }

    # Snapshots

    def snapshot(self) -> bytes:
        """Encode the complete state."""
        return msgspec.msgpack.encode(
            SchedulerSnapshot(
                requests=list(self.requests.values()),
                finished=self.finished,
                applied_command_ids=self.applied_command_ids,
                clock_ms=self.clock_ms,
                report_count=self.report_count,
                unreachable_ms=self.unreachable_ms,
                last_report=self.last_report,
            )
        )

    def restore(self, state: bytes) -> None:
        """Replace the state with a snapshot; empty bytes mean the initial state.

        Raises:
            msgspec.MsgspecError: The bytes are not a snapshot.
        """
        state = state or MaintenanceScheduler().snapshot()
        snapshot = msgspec.msgpack.decode(state, type=SchedulerSnapshot)
        self.requests = {request.target: request for request in snapshot.requests}
        self.finished = snapshot.finished
        self.applied_command_ids = snapshot.applied_command_ids
        self.clock_ms = snapshot.clock_ms
        self.report_count = snapshot.report_count
        self.unreachable_ms = snapshot.unreachable_ms
        self.last_report = snapshot.last_report


def _transition(request: MaintenanceRequest, event: RequestEvent) -> None:
    request.state = TRANSITIONS[request.state, event]


def _new_request(command: MaintenanceCommand, index: int) -> MaintenanceRequest:
    return MaintenanceRequest(
        target=command.target,
        zone=command.zone,
        comment=command.comment[:MAX_COMMENT_LENGTH],
        requested_by=command.sender,
        urgency=command.urgency,
        max_unavailable=max(1, command.max_unavailable),
        requested_index=index,
        kind=command.kind,
        duration_ms=command.duration_ms,
        warm_up_ms=command.warm_up_ms,
    )


def _has_elapsed(request: MaintenanceRequest, clock_ms: float, duration_ms: float) -> bool:
    return clock_ms >= request.state_since_ms + duration_ms


def _unreachable_after(previous_ms: float, report: LeaderReport, member: str) -> float:
    """Return a member's unreachable time as of a report; 0 if the member is reachable."""
    if member in report.reachable:
        return 0.0
    return previous_ms + report.elapsed_ms if previous_ms else FIRST_UNREACHABLE_MS


def _warmed_up_event(request: MaintenanceRequest) -> RequestEvent:
    is_done = request.final_state == RequestState.DONE
    return RequestEvent.WARMED_UP if is_done else RequestEvent.WARMED_UP_AFTER_WITHDRAWAL


def _is_restarting(request: MaintenanceRequest) -> bool:
    """Return whether the target is an ingress that is shutting down or has not restarted yet."""
    return request.kind is TargetKind.INGRESS and request.state in UNAVAILABLE_STATES


def _grant_order(request: MaintenanceRequest) -> tuple[int, int]:
    return -request.urgency, request.requested_index
