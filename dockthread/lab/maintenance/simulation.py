"""Planned maintenance on the simulated network: members with their participants, backends and staff.

Beside the faults of the raft simulation there are backends that fail for a while, and zones that
are overloaded. Each member sends requests to backends that it does not drain; a request lasts some
milliseconds, now and then long. An ingress that shuts down for its own restart is started again.
The seed decides everything: one seed, one course of events. Times are in milliseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from dockthread.lab.maintenance.checker import FinalState, Limits, MaintenanceChecker
from dockthread.lab.maintenance.reachability import Reachability
from dockthread.lab.maintenance.seeded_defects import PARTICIPANTS, SCHEDULERS
from dockthread.lab.maintenance.staff import STAFF_INTERVAL_MS, Staff
from dockthread.lab.raft.checker import Broken
from dockthread.lab.raft.simulation import FAULTY, Member, World
from dockthread.maintenance.aggregation import MemberObservation, ZoneObservation
from dockthread.maintenance.commands import MaintenanceCommand, MaintenanceRequest, RequestState
from dockthread.maintenance.model import ClusterView, MaintenanceOptions
from dockthread.maintenance.participant import MaintenanceParticipant
from dockthread.maintenance.reasons import GRANT_TIMEOUT_PREFIX
from dockthread.maintenance.scheduler import MaintenanceScheduler
from dockthread.maintenance.transitions import REVOCABLE_STATES
from dockthread.raft.actions import Role, Times
from dockthread.raft.messages import COMMAND, Entry

OPTIONS = MaintenanceOptions(
    backend_capacity=0.0, headroom=0.2, grant_timeout_ms=4_000.0, failure_timeout_ms=2_000.0
)
WARM_UP_MS = 800.0  # of a backend that comes back
CALM_MS = 40_000.0  # after all faults, in which every request has to be finished
BACKEND_COUNT = 6
ZONE_NAMES = "ab"
ZONE_OF = {f"m{index}": ZONE_NAMES[index % len(ZONE_NAMES)] for index in range(BACKEND_COUNT)}
UPDATE_INTERVAL_MS = 60.0  # between updates of a participant
SEND_INTERVAL_MS = 25.0  # mean time between requests of all members
FIRST_FAULT_MS = 400.0
SHORT_REQUEST_MS = 30.0  # mean time of most requests
SHORT_FRACTION = 0.95  # of the requests
LONG_REQUEST_MS = (200.0, 1_500.0)  # least and most time of the others
RESTART_MS = (300.0, 1_500.0)  # least and most time until an ingress is started again
FAILING_MS = (200.0, 4_000.0)  # least and most time for which a backend fails
OVERLOAD_MS = (100.0, 1_500.0)  # least and most time for which zones are overloaded
FAULTS = (
    "cut",
    "one-way",
    "loss",
    "delay",
    "double",
    "crash",
    "crash-all",
    "stall",
    "torn",
    "compact",
    "hand",
    "fail",
    "press",
)
FAULT_FRACTION = 0.4  # of the faults that a seed turns on
# Links on which members surely reach each other.
CALM_LOSS = 0.1
CALM_DELAY_MS = 50.0
CLOCK_SLACK_MS = 60.0  # by which times may differ that are told on the way


@dataclass(slots=True)
class Incarnation:
    """What a member has beside its log, in one life of its process."""

    participant: MaintenanceParticipant
    in_flight: Counter[str] = field(default_factory=Counter)  # own requests, by backend


class MaintenanceSimulation(World):
    """One seed's course of members, backends and staff.

    Attributes:
        maintenance_checker: Checks the rules of planned maintenance.
        incarnations: The latest incarnation of each member.
        failing: Backends that fail now.
        is_overloaded: Zones are overloaded now.
    """

    def __init__(
        self, seed: int, size: int, plant: str = "", faults: tuple[str, ...] | None = None
    ) -> None:
        super().__init__(seed, size, plant, faults)
        drawn = tuple(fault for fault in FAULTS if self.rng.random() < FAULT_FRACTION)
        self.faults = drawn if faults is None else faults
        self.checker.once = False  # a command proposed again is known by its identifier
        limits = Limits(
            max_unavailable=1,
            warm_up_ms=WARM_UP_MS,
            failure_timeout_ms=OPTIONS.failure_timeout_ms - CLOCK_SLACK_MS,
            grant_timeout_ms=OPTIONS.grant_timeout_ms - CLOCK_SLACK_MS,
        )
        self.maintenance_checker = MaintenanceChecker(ZONE_OF, limits, self.checker.broken)
        self.incarnations: dict[str, Incarnation] = {}
        self.failing: set[str] = set()
        self.is_overloaded = False
        self._staff = Staff(self, ZONE_OF, WARM_UP_MS, FAULTY)
        self._reachability = Reachability(UPDATE_INTERVAL_MS, OPTIONS.failure_timeout_ms)

    def run(self) -> list[Broken]:
        """Play the seed to its end, or to the first broken rule."""
        self.at(SEND_INTERVAL_MS, self._send_request)
        self.at(STAFF_INTERVAL_MS, self._staff.look)
        self.at(UPDATE_INTERVAL_MS, self._look_who_is_reachable)
        for name in self.voters:
            self._start(self.members[name])
        self.at(FIRST_FAULT_MS, self._fault)
        self._until(FAULTY)
        self._heal()
        self.failing = set()
        self.is_overloaded = False
        self._until(FAULTY + CALM_MS)
        self.maintenance_checker.on_end(self._final_state())
        return self.checker.broken

    def _final_state(self) -> FinalState:
        running = {
            name: incarnation.participant
            for name, incarnation in self.incarnations.items()
            if self.members[name].core is not None
        }
        first = next(iter(running.values()), None)
        return FinalState(
            at_ms=self.now,
            snapshots={name: one.scheduler.snapshot() for name, one in running.items()},
            drained={name: one.drained for name, one in running.items()},
            expected=first.scheduler.drained_backends() if first is not None else {},
            unfinished=self._staff.unfinished_targets(),
        )

    # What staff use

    def random_member(self) -> Member | None:
        """Return a running member; None where there is none, or the drawn one is stalled."""
        member = self._some()
        return None if member is None or member.stalled else member

    def scheduler_of(self, member: Member) -> MaintenanceScheduler:
        """Return the scheduler of a member."""
        return self.incarnations[member.name].participant.scheduler

    def in_flight_at(self, backend: str) -> dict[str, int]:
        """Return the requests in flight at a backend, by member."""
        return {name: one.in_flight[backend] for name, one in self.incarnations.items()}

    def unreachable_ms(self) -> dict[str, float]:
        """Return for how long of late each member was out of reach."""
        return {name: self._reachability.unreachable_ms(self.now, name) for name in self.voters}

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._note(text)

    def propose_to_leader(self, member: Member, command: MaintenanceCommand) -> None:
        """Send a command to whoever leads as far as a member knows; may be lost, late or doubled."""
        if member.core is None or not member.core.leader:
            return
        leader = member.core.leader
        if not self._arrives(member.name, leader):
            return
        data = msgspec.msgpack.encode(command)
        for _ in range(1 + (self.rng.random() < self.double)):
            self.at(self.rng.expovariate(1 / self.delay), self._propose_at, leader, data)

    # Members

    def _start(self, m: Member) -> None:
        if m.gone or m.core is not None:
            return
        scheduler = SCHEDULERS.get(self.plant, MaintenanceScheduler)()
        participant = PARTICIPANTS.get(self.plant, MaintenanceParticipant)(
            m.name, f"{m.name}/{m.life + 1}", OPTIONS, self.now, scheduler
        )
        self.incarnations[m.name] = Incarnation(participant)
        participant.recover(m.disk.state, *m.disk.told())
        super()._start(m)
        self.maintenance_checker.on_started(m.name)
        self._update_regularly(m, m.life)

    def _applied(self, m: Member, index: int, entry: Entry) -> None:
        super()._applied(m, index, entry)
        participant = self.incarnations[m.name].participant
        if entry.kind == COMMAND:
            scheduler = participant.scheduler
            before = {
                request.target: (request.state, request.epoch)
                for request in scheduler.requests.values()
            }
            participant.on_entry_applied(self.now, index, entry.data)
            for request in [*scheduler.requests.values(), *scheduler.finished]:
                self._check_request(request, before.get(request.target))
        participant.on_log_advanced(index, entry.term)
        self._update(m)

    def _check_request(
        self, request: MaintenanceRequest, before: tuple[RequestState, int] | None
    ) -> None:
        checker = self.maintenance_checker
        checker.on_maintenance_requested(self.now, request.comment, request.requested_index)
        if request.state is RequestState.GRANTED:
            checker.on_granted(self.now, request.target, request.epoch)
        if before is not None and _has_timed_out(request) and before[0] in REVOCABLE_STATES:
            checker.on_grant_timed_out(self.now, request.target, before[1])

    def _restored(self, m: Member, index: int, state: bytes) -> None:
        m.applied = index
        m.seen = []
        participant = self.incarnations[m.name].participant
        participant.on_state_restored(state)
        participant.on_log_advanced(index, 0)
        self.checker.reached(m.name, m.life, index)

    def _state(self, m: Member) -> bytes:
        return self.scheduler_of(m).snapshot()

    def _update_regularly(self, member: Member, life: int) -> None:
        if member.core is not None and member.life == life:
            self._update(member)
            self.at(UPDATE_INTERVAL_MS, self._update_regularly, member, life)

    def _update(self, member: Member) -> None:
        if member.core is None or member.stalled:
            return
        incarnation = self.incarnations[member.name]
        core = member.core
        cluster = ClusterView(
            leader=core.leader,
            members=self.voters,
            reachable=core.heard_within(Times().patience),
            idle_backends={
                backend
                for backend in incarnation.participant.drained
                if not incarnation.in_flight[backend]
            },
        )
        actions = incarnation.participant.update(self.now, cluster)
        if actions.send_observation:
            self._send_observation(member, core.leader)
        for command in actions.propose:
            self.propose_to_leader(member, command)
        if actions.report is not None:
            self._do(member, core.propose(self.now, msgspec.msgpack.encode(actions.report))[1])
        if actions.transfer_leadership and member.core is not None:
            self._do(member, core.hand_over(self.now))
        if actions.stop and member.core is not None:
            self.maintenance_checker.on_restart_begun(self.now, member.name)
            self._kill(member)
            self.at(self.rng.uniform(*RESTART_MS), self._start, member)

    def _arrives(self, sender: str, receiver: str) -> bool:
        """Draw whether a message arrives."""
        if (sender, receiver) in self.cuts:
            return False
        return sender == receiver or self.rng.random() >= self.loss

    def _send_observation(self, member: Member, leader: str) -> None:
        participant = self.incarnations[member.name].participant
        zone_by_backend = participant.zone_by_requested_backend()
        observation = MemberObservation(
            zones=tuple(
                self._observe(participant, zone) for zone in sorted(set(zone_by_backend.values()))
            ),
            listed=tuple(sorted(zone_by_backend)),
            latest_request_index=participant.latest_request_index(),
        )
        if self._arrives(member.name, leader):
            data = msgspec.msgpack.encode(observation)
            delay_ms = self.rng.expovariate(1 / self.delay)
            self.at(delay_ms, self._receive_observation, leader, member.name, data)

    def _observe(self, participant: MaintenanceParticipant, zone: str) -> ZoneObservation:
        ready = tuple(
            backend
            for backend in ZONE_OF
            if ZONE_OF[backend] == zone
            and backend not in self.maintenance_checker.switched_off
            and backend not in participant.drained
        )
        failing = tuple(backend for backend in ready if backend in self.failing)
        return ZoneObservation(zone, ready, failing, 0.0, self.is_overloaded)

    def _receive_observation(self, leader: str, sender: str, data: bytes) -> None:
        receiver = self.members[leader]
        if receiver.core is not None and not receiver.stalled:
            self.incarnations[leader].participant.on_observation(self.now, sender, data)

    def _propose_at(self, leader: str, data: bytes) -> None:
        receiver = self.members[leader]
        if receiver.core is None or receiver.stalled:
            return
        if receiver.core.role is Role.LEADER:
            self._do(receiver, receiver.core.propose(self.now, data)[1])

    # Requests

    def _send_request(self) -> None:
        self.at(self.rng.uniform(0.5, 1.5) * SEND_INTERVAL_MS, self._send_request)
        member = self.random_member()
        if member is None:
            return
        incarnation = self.incarnations[member.name]
        backend = self.rng.choice(sorted(ZONE_OF))
        if backend in incarnation.participant.drained:
            return
        self.maintenance_checker.on_request_sent(self.now, member.name, backend)
        incarnation.in_flight[backend] += 1
        is_short = self.rng.random() < SHORT_FRACTION
        duration_ms = (
            self.rng.expovariate(1 / SHORT_REQUEST_MS)
            if is_short
            else self.rng.uniform(*LONG_REQUEST_MS)
        )
        self.at(duration_ms, incarnation.in_flight.subtract, [backend])

    def _look_who_is_reachable(self) -> None:
        """Take note which members surely reach each other now."""
        self.at(UPDATE_INTERVAL_MS, self._look_who_is_reachable)
        if self.cuts or self.loss > CALM_LOSS or self.delay > CALM_DELAY_MS:
            return
        leaders = {member.name for member, _ in self._leaders()}
        for member in self.members.values():
            if member.core is None or member.stalled:
                continue
            if member.core.leader in leaders:
                self._reachability.on_reached(self.now, member.name)

    def _client(self) -> None:
        """Staff are the clients here."""

    # Faults of backends

    def _fail(self) -> None:
        backend = self.rng.choice(sorted(ZONE_OF))
        self.failing.add(backend)
        self.at(self.rng.uniform(*FAILING_MS), self.failing.discard, backend)

    def _press(self) -> None:
        self.is_overloaded = True
        self.at(self.rng.uniform(*OVERLOAD_MS), self._end_overload)

    def _end_overload(self) -> None:
        self.is_overloaded = False


def _has_timed_out(request: MaintenanceRequest) -> bool:
    """Return whether the last grant of a request timed out."""
    if request.state is RequestState.WAITING:
        return request.revocation_reason.startswith(GRANT_TIMEOUT_PREFIX)
    return request.state is RequestState.ABANDONED
