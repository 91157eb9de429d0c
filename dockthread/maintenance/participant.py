"""One ingress's part in planned maintenance, without I/O: events in, actions out.

`update` runs after each change of the replicated state and periodically. It compares the state that
the scheduler requires with the state of this ingress, and returns the actions that make them equal.
Apart from that it remembers only the time of each proposal, to propose it again if it was lost:

| state in the scheduler | state of this ingress | action |
| --- | --- | --- |
| backend drained | not drained here | drain it |
| backend drained | drained here, no request in flight to it | propose `DRAINED` with its epoch |
| backend not drained | drained here | release it, to warm up |
| backend returning | not drained here | propose `RELEASED` |
| this ingress granted or draining | leader | transfer leadership |
| this ingress granted or draining | follower | propose `DRAINED` with its incarnation |
| this ingress unavailable, same incarnation | any | shut down gracefully |
| this ingress unavailable, another incarnation | serving | propose `RESTARTED` |
| any request | a leader is known | send it the observation |
| any request | leader, a majority has sent observations | propose a report |

Right after a start, the ingress does not know how far its log is committed. It therefore drains
every backend that is drained at any index of the log on disk from the last known commit index on:
no ingress may use a backend while operators work on it, not even in the second until a leader
reports the commit index. A backend that has been released in the meantime is released here once the
log on disk is known to be committed or has been replaced.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from dockthread.maintenance.aggregation import decode_observation
from dockthread.maintenance.commands import (
    CommandAction,
    MaintenanceCommand,
    MaintenanceRequest,
    RequestState,
    TargetKind,
)
from dockthread.maintenance.leader import (
    NEVER_MS,
    REPORT_INTERVAL_MS,
    LeaderReporter,
    has_active_requests,
    has_unevaluated_requests,
    latest_request_index,
    report_interval_ms,
)
from dockthread.maintenance.model import FleetView, MaintenanceOptions
from dockthread.maintenance.scheduler import MaintenanceScheduler
from dockthread.maintenance.transitions import (
    DRAINED_STATES,
    REVOCABLE_STATES,
    UNAVAILABLE_STATES,
)

PROPOSAL_RETRY_MS = 1_500.0  # time after which a proposal without effect is repeated
# Interval of observations while a request has not been evaluated and an operator waits for it.
FIRST_OBSERVATION_INTERVAL_MS = REPORT_INTERVAL_MS / 5


@dataclass(slots=True)
class ParticipantActions:
    """Actions to carry out.

    Attributes:
        drain: Backends that receive no new requests from now on.
        release: Backends that receive requests again and warm up.
        propose: Commands to propose to the fleet.
        report: Report that this leader proposes; None if none is due.
        send_observation: Whether to send this ingress's observation to the leader.
        transfer_leadership: Whether to transfer leadership to another member.
        stop: Whether to shut this ingress down gracefully.
    """

    drain: list[str] = field(default_factory=list)
    release: list[str] = field(default_factory=list)
    propose: list[MaintenanceCommand] = field(default_factory=list)
    report: MaintenanceCommand | None = None
    send_observation: bool = False
    transfer_leadership: bool = False
    stop: bool = False


@dataclass(frozen=True, slots=True)
class LogEnd:
    """The last entry of the log on disk at startup."""

    index: int = 0
    term: int = 0


class ProposalKey(NamedTuple):
    """Identifies a proposal, so that the same one is not repeated too soon."""

    action: CommandAction
    target: str
    epoch: int


class MaintenanceParticipant:
    """Decides what one ingress does to follow the scheduler, and its reports as leader.

    Args:
        name: Name of this ingress.
        incarnation: Identifier of this run of the process.
        options: Settings from the operator's INI file.
        now: Current time in milliseconds.
        scheduler: The state machine; None to create one.

    Attributes:
        name: Name of this ingress.
        incarnation: Identifier of this run of the process.
        scheduler: The replicated state machine.
        drained: Backends to which this ingress sends no new requests.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        options: MaintenanceOptions,
        now: float,
        scheduler: MaintenanceScheduler | None = None,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.scheduler = scheduler or MaintenanceScheduler()
        self.drained: set[str] = set()
        # Backends that are drained until the log on disk is known to be committed.
        self._drained_until_committed: set[str] = set()
        self._log_end = LogEnd()
        self._proposed_at: dict[ProposalKey, float] = {}
        self._last_observation_at = NEVER_MS
        self._last_transfer_at = NEVER_MS
        self._reporter = LeaderReporter(name, options, now)
        self._is_leader = False

    # Events

    def recover(
        self,
        state: bytes,
        entries: Iterable[tuple[int, bytes]],
        committed: int,
        last_index: int,
        last_term: int,
    ) -> None:
        """Load the state on disk before this process knows how far the log is committed.

        Entries after `committed` may be committed already or may be replaced, so every backend that
        is drained at any index from `committed` on is drained.

        Args:
            state: The snapshot.
            entries: The commands after the snapshot, with their indexes.
            committed: Index of the last entry that is known to be committed.
            last_index: Index of the last entry of the log.
            last_term: Term of the last entry of the log.
        """
        self._log_end = LogEnd(last_index, last_term)
        scheduler = MaintenanceScheduler()
        scheduler.restore(state)
        self._drained_until_committed = set(scheduler.drained_backends())
        for index, data in entries:
            scheduler.apply(index, data)
            drained_before = self._drained_until_committed if index > committed else set()
            self._drained_until_committed = set(scheduler.drained_backends()) | drained_before

    def on_entry_applied(self, now: float, index: int, data: bytes) -> None:
        """Apply a committed entry."""
        report_count = self.scheduler.report_count
        self.scheduler.apply(index, data)
        if self.scheduler.report_count != report_count:
            self._reporter.on_report_applied(now)

    def on_log_advanced(self, index: int, term: int) -> None:
        """Record that the log is committed and applied up to an index.

        Once this reaches the end of the log that was on disk at startup, or an entry of a later
        leader, the scheduler's state alone determines which backends are drained.
        """
        if index >= self._log_end.index or term > self._log_end.term:
            self._drained_until_committed = set()

    def on_state_restored(self, state: bytes) -> None:
        """Replace the state with a snapshot."""
        self.scheduler.restore(state)

    def on_observation(self, now: float, member: str, data: bytes) -> None:
        """Store a member's observation.

        Raises:
            MalformedObservationError: The bytes are not an observation.
        """
        self._reporter.on_observation(now, member, decode_observation(member, data))

    def on_proposal_failed(self, command: MaintenanceCommand) -> None:
        """Allow a command that was not committed in time to be proposed again at once."""
        key = ProposalKey(command.action, command.target, command.epoch)
        self._proposed_at.pop(key, None)

    # Queries

    @property
    def has_active_requests(self) -> bool:
        """Whether a request can progress without an operator: its target is not unavailable."""
        return has_active_requests(self.scheduler)

    def zone_by_requested_backend(self) -> dict[str, str]:
        """Return the zone of each requested backend; an observation has to cover these zones."""
        return {
            request.target: request.zone
            for request in self.scheduler.requests.values()
            if request.kind is not TargetKind.INGRESS
        }

    def latest_request_index(self) -> int:
        """Return the log index of the latest request; 0 if there is none."""
        return latest_request_index(self.scheduler)

    # Actions

    def update(self, now: float, fleet: FleetView) -> ParticipantActions:
        """Return the actions to carry out now; later updates assume that they were carried out."""
        actions = ParticipantActions()
        required = set(self.scheduler.drained_backends()) | self._drained_until_committed
        actions.drain = sorted(required - self.drained)
        actions.release = sorted(self.drained - required)
        self.drained = required
        for request in self.scheduler.requests.values():
            if request.kind is not TargetKind.INGRESS:
                self._confirm_backend(now, request, fleet, actions)
            elif request.target == self.name:
                self._handle_own_request(now, request, fleet, actions)
        is_leader = fleet.leader == self.name
        if is_leader and not self._is_leader:
            self._reporter.on_leadership_gained(now)
        self._is_leader = is_leader
        if self.scheduler.requests and fleet.leader:
            if self._is_observation_due(now):
                actions.send_observation = True
                self._last_observation_at = now
            if is_leader:
                self._report(now, fleet, actions)
        return actions

    def _confirm_backend(
        self,
        now: float,
        request: MaintenanceRequest,
        fleet: FleetView,
        actions: ParticipantActions,
    ) -> None:
        if request.state in DRAINED_STATES and self.name not in request.drained_by:
            is_idle = request.target in fleet.idle_backends
            if is_idle and request.target not in actions.drain:
                self._propose(now, actions, CommandAction.DRAINED, request)
        elif request.state is RequestState.RETURNING and self.name not in request.released_by:
            self._propose(now, actions, CommandAction.RELEASED, request)

    def _handle_own_request(
        self,
        now: float,
        request: MaintenanceRequest,
        fleet: FleetView,
        actions: ParticipantActions,
    ) -> None:
        if request.state in REVOCABLE_STATES:
            if fleet.leader != self.name or len(fleet.members) <= 1:
                self._propose(now, actions, CommandAction.DRAINED, request)
            elif now - self._last_transfer_at >= REPORT_INTERVAL_MS:
                actions.transfer_leadership = True
                self._last_transfer_at = now
        elif request.state in UNAVAILABLE_STATES:
            if request.incarnation == self.incarnation:
                actions.stop = True
            elif fleet.is_serving:
                self._propose(now, actions, CommandAction.RESTARTED, request)

    def _propose(
        self,
        now: float,
        actions: ParticipantActions,
        action: CommandAction,
        request: MaintenanceRequest,
    ) -> None:
        """Propose a command for a request unless the same one was proposed recently."""
        key = ProposalKey(action, request.target, request.epoch)
        if now - self._proposed_at.get(key, NEVER_MS) < PROPOSAL_RETRY_MS:
            return
        self._proposed_at = {
            recent_key: proposed_at
            for recent_key, proposed_at in self._proposed_at.items()
            if now - proposed_at < PROPOSAL_RETRY_MS
        }
        self._proposed_at[key] = now
        actions.propose.append(
            MaintenanceCommand(
                action,
                request.target,
                sender=self.name,
                epoch=request.epoch,
                incarnation=self.incarnation,
            )
        )

    def _is_observation_due(self, now: float) -> bool:
        age_ms = now - self._last_observation_at
        if has_unevaluated_requests(self.scheduler) and age_ms >= FIRST_OBSERVATION_INTERVAL_MS:
            return True
        return age_ms >= report_interval_ms(self.scheduler)

    def _report(self, now: float, fleet: FleetView, actions: ParticipantActions) -> None:
        actions.report = self._reporter.next_report(now, fleet, self.scheduler)
