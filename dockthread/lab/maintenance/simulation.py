"""Simulates planned maintenance on the simulated network, with members, backends and staff.

In addition to the faults of the Raft simulation, backends fail and zones are overloaded temporarily.
Members send requests to backends that they do not drain; most requests take some milliseconds, a few
much longer. An ingress that shuts down for its own restart is started again. A run depends only on
its seed. Times are in milliseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from dockthread.lab.maintenance.backend_faults import BACKEND_FAILURE, OVERLOAD, BackendFaults
from dockthread.lab.maintenance.checker import FinalState, MaintenanceChecker, MaintenanceLimits
from dockthread.lab.maintenance.reachability import Reachability
from dockthread.lab.maintenance.seeded_defects import PARTICIPANTS, SCHEDULERS
from dockthread.lab.maintenance.staff import STAFF_POLL_INTERVAL_MS, Staff
from dockthread.lab.maintenance.traffic import SEND_INTERVAL_MS, Traffic
from dockthread.lab.raft.checker import RuleViolation
from dockthread.lab.raft.cluster import SimulatedMember
from dockthread.lab.raft.faults import FAULT_PHASE_MS, Fault
from dockthread.lab.raft.simulation import RaftSimulation
from dockthread.maintenance.aggregation import MemberObservation, ZoneObservation
from dockthread.maintenance.commands import MaintenanceCommand, MaintenanceRequest, RequestState
from dockthread.maintenance.model import FleetView, MaintenanceOptions
from dockthread.maintenance.participant import MaintenanceParticipant
from dockthread.maintenance.reasons import GRANT_TIMEOUT_PREFIX
from dockthread.maintenance.scheduler import MaintenanceScheduler
from dockthread.maintenance.transitions import REVOCABLE_STATES
from dockthread.raft.actions import RaftTiming, Role
from dockthread.raft.messages import Entry, EntryKind

OPTIONS = MaintenanceOptions(
    backend_capacity=0.0, headroom=0.2, grant_timeout_ms=4_000.0, failure_timeout_ms=2_000.0
)
WARM_UP_MS = 800.0  # Warm-up time of a backend that is switched on again.
COMPLETION_MS = 40_000.0  # Time after the last fault within which every request has to be finished.
BACKEND_COUNT = 6
ZONE_NAMES = "ab"
ZONE_OF = {f"m{index}": ZONE_NAMES[index % len(ZONE_NAMES)] for index in range(BACKEND_COUNT)}
UPDATE_INTERVAL_MS = 60.0  # Interval between two updates of a participant.
FIRST_FAULT_MS = 400.0  # Time of the first fault.
RESTART_DOWNTIME_MS = (300.0, 1_500.0)  # Minimum and maximum downtime of an ingress that restarts.
# The order decides which random draw enables each fault, so a new order changes every seed.
FAULTS = (
    Fault.CUT,
    Fault.ONE_WAY_CUT,
    Fault.LOSS,
    Fault.DELAY,
    Fault.DUPLICATION,
    Fault.CRASH,
    Fault.CRASH_ALL,
    Fault.STALL,
    Fault.TORN_WRITE,
    Fault.COMPACTION,
    Fault.LEADERSHIP_TRANSFER,
    BACKEND_FAILURE,
    OVERLOAD,
)
FAULT_PROBABILITY = 0.4  # Probability that a seed enables a fault.
# Running members that know the leader count as reachable up to this loss rate and mean delay.
MAX_RELIABLE_LOSS_RATE = 0.1
MAX_RELIABLE_DELAY_MS = 50.0
# Tolerance of the checker for times that members measure from messages, which arrive with a delay.
CLOCK_SLACK_MS = 60.0


@dataclass(slots=True)
class Incarnation:
    """The state of a member in one incarnation of its process, except for its log.

    Attributes:
        participant: The member's maintenance participant.
        in_flight: Number of the member's requests in flight, by backend.
    """

    participant: MaintenanceParticipant
    in_flight: Counter[str] = field(default_factory=Counter)


class MaintenanceSimulation(RaftSimulation):
    """A simulation run of members, backends and staff with one seed.

    Attributes:
        maintenance_checker: Checks the rules of planned maintenance.
        incarnations: The latest incarnation of each member.
        backend_faults: Faults of backends and zones.
    """

    def __init__(
        self, seed: int, size: int, seeded_defect: str = "", faults: tuple[str, ...] | None = None
    ) -> None:
        super().__init__(seed, size, seeded_defect, faults)
        drawn_faults = tuple(fault for fault in FAULTS if self.rng.random() < FAULT_PROBABILITY)
        self.faults = drawn_faults if faults is None else faults
        # A retried command may appear in the log twice; the scheduler detects it by its id.
        self.checker.commands_are_unique = False
        limits = MaintenanceLimits(
            max_unavailable=1,
            warm_up_ms=WARM_UP_MS,
            failure_timeout_ms=OPTIONS.failure_timeout_ms - CLOCK_SLACK_MS,
            grant_timeout_ms=OPTIONS.grant_timeout_ms - CLOCK_SLACK_MS,
        )
        self.maintenance_checker = MaintenanceChecker(ZONE_OF, limits, self.checker.violations)
        self.incarnations: dict[str, Incarnation] = {}
        self.backend_faults = BackendFaults(self, sorted(ZONE_OF))
        self.fault_injector.handlers.update(self.backend_faults.handlers)
        self._traffic = Traffic(self, sorted(ZONE_OF))
        self._staff = Staff(self, ZONE_OF, WARM_UP_MS, FAULT_PHASE_MS)
        self._reachability = Reachability(UPDATE_INTERVAL_MS, OPTIONS.failure_timeout_ms)

    def run(self) -> list[RuleViolation]:
        """Run the simulation to its end or to the first rule violation."""
        self.schedule(SEND_INTERVAL_MS, self._traffic.send_request)
        self.schedule(STAFF_POLL_INTERVAL_MS, self._staff.poll)
        self.schedule(UPDATE_INTERVAL_MS, self._check_reachability)
        for name in self.voters:
            self.start_member(self.members[name])
        self.schedule(FIRST_FAULT_MS, self.fault_injector.inject)
        self.run_until(FAULT_PHASE_MS)
        self.fault_injector.end_all()
        self.backend_faults.end_all()
        self.run_until(FAULT_PHASE_MS + COMPLETION_MS)
        self.maintenance_checker.on_end(self._final_state())
        return self.checker.violations

    def _final_state(self) -> FinalState:
        running = {
            name: incarnation.participant
            for name, incarnation in self.incarnations.items()
            if self.members[name].core is not None
        }
        first_participant = next(iter(running.values()), None)
        return FinalState(
            at_ms=self.now,
            snapshots={
                name: participant.scheduler.snapshot() for name, participant in running.items()
            },
            drained={name: participant.drained for name, participant in running.items()},
            expected_drained=first_participant.scheduler.drained_backends()
            if first_participant is not None
            else {},
            unfinished=self._staff.unfinished_targets(),
        )

    # Interface for staff and traffic

    def random_member(self) -> SimulatedMember | None:
        """Return a random running member, or None if there is none or the drawn one is stalled."""
        member = self.random_running_member()
        return None if member is None or member.is_stalled else member

    def scheduler_of(self, member: SimulatedMember) -> MaintenanceScheduler:
        """Return a member's replica of the scheduler."""
        return self.incarnations[member.name].participant.scheduler

    def in_flight_at(self, backend: str) -> dict[str, int]:
        """Return the number of requests in flight at a backend, by member."""
        return {
            name: incarnation.in_flight[backend] for name, incarnation in self.incarnations.items()
        }

    def unreachable_ms(self) -> dict[str, float]:
        """Return how long each member has recently been unreachable."""
        return {name: self._reachability.unreachable_ms(self.now, name) for name in self.voters}

    def propose_to_leader(self, member: SimulatedMember, command: MaintenanceCommand) -> None:
        """Send a command to the leader that a member knows.

        The message may be lost, delayed or duplicated.
        """
        if member.core is None or not member.core.leader_id:
            return
        leader = member.core.leader_id
        if not self._is_delivered(member.name, leader):
            return
        data = msgspec.msgpack.encode(command)
        for _ in range(1 + (self.rng.random() < self.network.duplication_rate)):
            self.schedule(
                self.rng.expovariate(1 / self.network.mean_delay_ms), self._propose_at, leader, data
            )

    # Members

    def start_member(self, member: SimulatedMember) -> None:
        """Start a member with a new participant that recovers from the member's disk."""
        if member.is_removed or member.core is not None:
            return
        scheduler = SCHEDULERS.get(self.seeded_defect, MaintenanceScheduler)()
        participant = PARTICIPANTS.get(self.seeded_defect, MaintenanceParticipant)(
            member.name, f"{member.name}/{member.incarnation + 1}", OPTIONS, self.now, scheduler
        )
        self.incarnations[member.name] = Incarnation(participant)
        participant.recover(member.disk.snapshot, *member.disk.command_replay())
        super().start_member(member)
        self.maintenance_checker.on_started(member.name)
        self._update_periodically(member, member.incarnation)

    def on_entry_applied(self, member: SimulatedMember, index: int, entry: Entry) -> None:
        """Apply a committed entry to a member's participant, and check the changed requests."""
        super().on_entry_applied(member, index, entry)
        participant = self.incarnations[member.name].participant
        if entry.kind == EntryKind.COMMAND:
            scheduler = participant.scheduler
            previous_states = {
                request.target: (request.state, request.epoch)
                for request in scheduler.requests.values()
            }
            participant.on_entry_applied(self.now, index, entry.data)
            for request in [*scheduler.requests.values(), *scheduler.finished]:
                _report_request(
                    self.maintenance_checker, self.now, request, previous_states.get(request.target)
                )
        participant.on_log_advanced(index, entry.term)
        self._update(member)

    def on_snapshot_restored(self, member: SimulatedMember, index: int, snapshot: bytes) -> None:
        """Replace a member's state with a snapshot."""
        member.applied_index = index
        member.applied_commands = []
        participant = self.incarnations[member.name].participant
        participant.on_state_restored(snapshot)
        participant.on_log_advanced(index, 0)
        self.checker.snapshot_restored_unchecked(member.name, member.incarnation, index)

    def snapshot_of(self, member: SimulatedMember) -> bytes:
        """Return a snapshot of a member's state."""
        return self.scheduler_of(member).snapshot()

    def _update_periodically(self, member: SimulatedMember, number: int) -> None:
        if member.core is not None and member.incarnation == number:
            self._update(member)
            self.schedule(UPDATE_INTERVAL_MS, self._update_periodically, member, number)

    def _update(self, member: SimulatedMember) -> None:
        if member.core is None or member.is_stalled:
            return
        incarnation = self.incarnations[member.name]
        core = member.core
        fleet = FleetView(
            leader=core.leader_id,
            members=self.voters,
            reachable=core.responded_within(RaftTiming().election_timeout_ms),
            idle_backends={
                backend
                for backend in incarnation.participant.drained
                if not incarnation.in_flight[backend]
            },
        )
        actions = incarnation.participant.update(self.now, fleet)
        if actions.send_observation:
            self._send_observation(member, core.leader_id)
        for command in actions.propose:
            self.propose_to_leader(member, command)
        if actions.report is not None:
            self.carry_out(
                member, core.propose(self.now, msgspec.msgpack.encode(actions.report))[1]
            )
        if actions.transfer_leadership and member.core is not None:
            self.carry_out(member, core.transfer_leadership(self.now))
        if actions.stop and member.core is not None:
            self.maintenance_checker.on_restart_started(self.now, member.name)
            self.kill_member(member)
            self.schedule(self.rng.uniform(*RESTART_DOWNTIME_MS), self.start_member, member)

    def _is_delivered(self, sender: str, receiver: str) -> bool:
        """Return whether a message arrives; the loss of messages is random."""
        if (sender, receiver) in self.network.cuts:
            return False
        return sender == receiver or self.rng.random() >= self.network.loss_rate

    def _send_observation(self, member: SimulatedMember, leader: str) -> None:
        participant = self.incarnations[member.name].participant
        zone_by_backend = participant.zone_by_requested_backend()
        observation = MemberObservation(
            zones=tuple(
                self._observe_zone(participant, zone)
                for zone in sorted(set(zone_by_backend.values()))
            ),
            listed=tuple(sorted(zone_by_backend)),
            latest_request_index=participant.latest_request_index(),
        )
        if self._is_delivered(member.name, leader):
            data = msgspec.msgpack.encode(observation)
            delay_ms = self.rng.expovariate(1 / self.network.mean_delay_ms)
            self.schedule(delay_ms, self._receive_observation, leader, member.name, data)

    def _observe_zone(self, participant: MaintenanceParticipant, zone: str) -> ZoneObservation:
        ready = tuple(
            backend
            for backend in ZONE_OF
            if ZONE_OF[backend] == zone
            and backend not in self.maintenance_checker.switched_off
            and backend not in participant.drained
        )
        failing = tuple(backend for backend in ready if backend in self.backend_faults.failing)
        return ZoneObservation(zone, ready, failing, 0.0, self.backend_faults.is_overloaded)

    def _receive_observation(self, leader: str, sender: str, data: bytes) -> None:
        receiver = self.members[leader]
        if receiver.core is not None and not receiver.is_stalled:
            self.incarnations[leader].participant.on_observation(self.now, sender, data)

    def _propose_at(self, leader: str, data: bytes) -> None:
        receiver = self.members[leader]
        if receiver.core is None or receiver.is_stalled:
            return
        if receiver.core.role is Role.LEADER:
            self.carry_out(receiver, receiver.core.propose(self.now, data)[1])

    # Reachability

    def _check_reachability(self) -> None:
        """Record which members are known to be reachable now."""
        self.schedule(UPDATE_INTERVAL_MS, self._check_reachability)
        if (
            self.network.cuts
            or self.network.loss_rate > MAX_RELIABLE_LOSS_RATE
            or self.network.mean_delay_ms > MAX_RELIABLE_DELAY_MS
        ):
            return
        leaders = {member.name for member, _ in self.running_leaders()}
        for member in self.members.values():
            if member.core is None or member.is_stalled:
                continue
            if member.core.leader_id in leaders:
                self._reachability.on_reachable(self.now, member.name)


def _report_request(
    checker: MaintenanceChecker,
    now: float,
    request: MaintenanceRequest,
    previous: tuple[RequestState, int] | None,
) -> None:
    """Report a request to the checker after an entry was applied.

    `previous` is the state and epoch of the request before the entry, or None if there was no request.
    """
    checker.on_maintenance_requested(now, request.comment, request.requested_index)
    if request.state is RequestState.GRANTED:
        checker.on_granted(now, request.target, request.epoch)
    if previous is not None and _has_timed_out(request) and previous[0] in REVOCABLE_STATES:
        checker.on_grant_timed_out(now, request.target, previous[1])


def _has_timed_out(request: MaintenanceRequest) -> bool:
    """Return whether the last grant of a request timed out."""
    if request.state is RequestState.WAITING:
        return request.revocation_reason.startswith(GRANT_TIMEOUT_PREFIX)
    return request.state is RequestState.ABANDONED
