"""One ingress's part in planned maintenance, free of I/O: events in, actions out.

`update` compares what the replicated scheduler wants with what this ingress does, whenever the
state has changed and from time to time, and returns what is to be done. Only the time of each
proposal is remembered, so a lost one is proposed again:

| the scheduler has | this ingress | does |
| --- | --- | --- |
| a backend drained | does not drain it | drains it |
| a backend drained | drains it, and has nothing in flight there | proposes `DRAINED` under its epoch |
| a backend not drained | drains it | releases it, to warm up |
| a backend returning | does not drain it | proposes `RELEASED` |
| this ingress granted or draining | leads | transfers leadership |
| the same | follows | proposes `DRAINED`, with its incarnation |
| this ingress unavailable, in its own incarnation | - | shuts down gracefully |
| this ingress unavailable, in another incarnation | serves | proposes `RESTARTED` |
| any request | knows a leader | sends it its observation |
| any request | leads, and a majority has sent observations | proposes a report |

A start drains, before anything is committed, whatever its log on disk holds drained at any index
from the one up to which it is known to be committed: a backend at which staff work may be used by
nobody, also not in the second until a leader says how far the log is committed. A backend released
meanwhile is released here once the log on disk is known to be committed, or replaced.
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
from dockthread.maintenance.model import ClusterView, MaintenanceOptions
from dockthread.maintenance.scheduler import MaintenanceScheduler
from dockthread.maintenance.transitions import (
    DRAINED_STATES,
    REVOCABLE_STATES,
    UNAVAILABLE_STATES,
)

PROPOSAL_RETRY_MS = 1_500.0  # after which a proposal without effect is made again
# Between observations while a request has not been evaluated: staff wait for the answer.
FIRST_OBSERVATION_INTERVAL_MS = REPORT_INTERVAL_MS / 5


@dataclass(slots=True)
class ParticipantActions:
    """What is to be done, in the order of the fields.

    Attributes:
        drain: Backends to which no new request is sent from now on.
        release: Backends that take requests again, and warm up.
        propose: Commands to propose to the cluster.
        report: A report that this leader proposes by itself; None where none is due.
        send_observation: The leader is to be sent what this ingress observes.
        transfer_leadership: Another member is to lead.
        stop: This ingress shuts down gracefully.
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
    """The last entry of the log on disk at a start."""

    index: int = 0
    term: int = 0


class ProposalKey(NamedTuple):
    """What a proposal is about: the same one is not made again for a while."""

    action: CommandAction
    target: str
    epoch: int


class MaintenanceParticipant:
    """One ingress's part: it follows the scheduler, and reports where it leads.

    Args:
        name: Name of this ingress.
        incarnation: Differs in each life of the process.
        options: Settings of the operator's INI file.
        now: Time in milliseconds.
        scheduler: The state machine; a new one where None.

    Attributes:
        name: Name of this ingress.
        incarnation: Differs in each life of the process.
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
        # Drained since the start, until the log on disk is known to be committed.
        self._drained_at_start: set[str] = set()
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
        """Take over what the disk holds, before anything is known to be committed by this life.

        Nobody knows yet how much further the log was committed, and what follows may be replaced:
        so whatever was drained at any index from `committed` on is drained.

        Args:
            state: The snapshot.
            entries: The commands after it, with their indexes.
            committed: The index up to which the log is known to be committed.
            last_index: The index of the last entry of the log.
            last_term: The term of the last entry of the log.
        """
        self._log_end = LogEnd(last_index, last_term)
        scheduler = MaintenanceScheduler()
        scheduler.restore(state)
        self._drained_at_start = set(scheduler.drained_backends())
        for index, data in entries:
            scheduler.apply(index, data)
            earlier = self._drained_at_start if index > committed else set()
            self._drained_at_start = set(scheduler.drained_backends()) | earlier

    def on_entry_applied(self, now: float, index: int, data: bytes) -> None:
        """Apply a committed entry."""
        report_count = self.scheduler.report_count
        self.scheduler.apply(index, data)
        if self.scheduler.report_count != report_count:
            self._reporter.on_report_applied(now)

    def on_log_advanced(self, index: int, term: int) -> None:
        """Take note that the log is committed and applied up to an index.

        Once that is beyond what the disk held at the start, or by a later leader, the state says by
        itself what is drained.
        """
        if index >= self._log_end.index or term > self._log_end.term:
            self._drained_at_start = set()

    def on_state_restored(self, state: bytes) -> None:
        """Replace the state by a snapshot."""
        self.scheduler.restore(state)

    def on_observation(self, now: float, member: str, data: bytes) -> None:
        """Take note of what a member observes.

        Raises:
            MalformedObservationError: The bytes are no observation.
        """
        self._reporter.on_observation(now, member, decode_observation(member, data))

    def on_proposal_failed(self, command: MaintenanceCommand) -> None:
        """Let a command that was not committed in time be proposed again at once."""
        key = ProposalKey(command.action, command.target, command.epoch)
        self._proposed_at.pop(key, None)

    # What others ask

    @property
    def has_active_requests(self) -> bool:
        """Whether a request waits or is on its way; else its target stays out until staff act."""
        return has_active_requests(self.scheduler)

    def zone_by_requested_backend(self) -> dict[str, str]:
        """Return the zone of each requested backend, which an observation has to cover."""
        return {
            request.target: request.zone
            for request in self.scheduler.requests.values()
            if request.kind is not TargetKind.INGRESS
        }

    def latest_request_index(self) -> int:
        """Return the log's index of the latest request; 0 where there is none."""
        return latest_request_index(self.scheduler)

    # Actions

    def update(self, now: float, cluster: ClusterView) -> ParticipantActions:
        """Return what is to be done now; it counts as done."""
        actions = ParticipantActions()
        wanted = set(self.scheduler.drained_backends()) | self._drained_at_start
        actions.drain = sorted(wanted - self.drained)
        actions.release = sorted(self.drained - wanted)
        self.drained = wanted
        for request in self.scheduler.requests.values():
            if request.kind is not TargetKind.INGRESS:
                self._confirm_backend(now, request, cluster, actions)
            elif request.target == self.name:
                self._handle_own_request(now, request, cluster, actions)
        is_leader = cluster.leader == self.name
        if is_leader and not self._is_leader:
            self._reporter.on_leadership_gained(now)
        self._is_leader = is_leader
        if self.scheduler.requests and cluster.leader:
            if self._is_observation_due(now):
                actions.send_observation = True
                self._last_observation_at = now
            if is_leader:
                self._report(now, cluster, actions)
        return actions

    def _confirm_backend(
        self,
        now: float,
        request: MaintenanceRequest,
        cluster: ClusterView,
        actions: ParticipantActions,
    ) -> None:
        if request.state in DRAINED_STATES and self.name not in request.drained_by:
            is_idle = request.target in cluster.idle_backends
            if is_idle and request.target not in actions.drain:
                self._propose(now, actions, CommandAction.DRAINED, request)
        elif request.state is RequestState.RETURNING and self.name not in request.released_by:
            self._propose(now, actions, CommandAction.RELEASED, request)

    def _handle_own_request(
        self,
        now: float,
        request: MaintenanceRequest,
        cluster: ClusterView,
        actions: ParticipantActions,
    ) -> None:
        if request.state in REVOCABLE_STATES:
            if cluster.leader != self.name or len(cluster.members) <= 1:
                self._propose(now, actions, CommandAction.DRAINED, request)
            elif now - self._last_transfer_at >= REPORT_INTERVAL_MS:
                actions.transfer_leadership = True
                self._last_transfer_at = now
        elif request.state in UNAVAILABLE_STATES:
            if request.incarnation == self.incarnation:
                actions.stop = True
            elif cluster.is_serving:
                self._propose(now, actions, CommandAction.RESTARTED, request)

    def _propose(
        self,
        now: float,
        actions: ParticipantActions,
        action: CommandAction,
        request: MaintenanceRequest,
    ) -> None:
        """Propose a command on a request, unless the same was proposed a short time ago."""
        key = ProposalKey(action, request.target, request.epoch)
        if now - self._proposed_at.get(key, NEVER_MS) < PROPOSAL_RETRY_MS:
            return
        self._proposed_at = {
            earlier: proposed_at
            for earlier, proposed_at in self._proposed_at.items()
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

    def _report(self, now: float, cluster: ClusterView, actions: ParticipantActions) -> None:
        actions.report = self._reporter.next_report(now, cluster, self.scheduler)
