"""Faults of the network and of processes, injected at random times.

The simulation uses swarm testing (Groce et al., 2012): each seed enables a random subset of the
faults, so that rare combinations occur. All random choices come from the simulation's generator.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Final

from dockthread.lab.raft.cluster import SimulatedCluster, SimulatedMember
from dockthread.lab.raft.membership import MembershipFaults


class Fault(StrEnum):
    """Kinds of faults.

    Their order determines which random draw enables each fault, so it must stay the same.
    """

    CUT = "cut"
    ONE_WAY_CUT = "one-way"
    LOSS = "loss"
    DELAY = "delay"
    DUPLICATION = "double"
    CRASH = "crash"
    CRASH_ALL = "crash-all"
    STALL = "stall"
    TORN_WRITE = "torn"
    DISK_LOSS = "forget"
    COMPACTION = "compact"
    VOTER_CHANGE = "voters"
    LEADERSHIP_TRANSFER = "hand"


FAULTS: Final = tuple(Fault)
NETWORK_FAULTS: Final = (Fault.CUT, Fault.ONE_WAY_CUT, Fault.LOSS, Fault.DELAY)

FAULT_PHASE_MS: Final = 20_000.0  # duration of the initial phase of a run in which faults occur
MEAN_FAULT_INTERVAL_MS: Final = 400.0
# Probability that a one-way cut drops messages from a given sender to a given receiver.
ONE_WAY_CUT_PROBABILITY: Final = 0.3
CUT_DURATION_RANGE_MS: Final = (200, 4000)
LOSS_RATES: Final = (0.0, 0.1, 0.3, 0.6)
MEAN_DELAYS_MS: Final = (1.0, 5.0, 50.0, 200.0)
DUPLICATION_RATES: Final = (0.0, 0.3)
CRASH_DURATION_RANGE_MS: Final = (10, 3000)
CRASH_ALL_DURATION_RANGE_MS: Final = (10, 1500)
STALL_DURATION_RANGE_MS: Final = (100, 5000)
COMPACTION_PROBABILITY: Final = 0.5  # probability that a member compacts its log
MAX_RESTART_DELAYS_MS: Final = (2.0, 20.0, 2000.0)  # for crashes during a write


class FaultInjector:
    """Injects faults into a simulated cluster until the fault phase ends.

    Attributes:
        handlers: Functions that inject the faults, by fault name; a simulation may add its own.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self._rng = cluster.rng
        membership = MembershipFaults(cluster)
        self.handlers: dict[str, Callable[[], None]] = {
            Fault.CUT: self._partition,
            Fault.ONE_WAY_CUT: self._cut_one_way,
            Fault.LOSS: self._set_loss_rate,
            Fault.DELAY: self._set_mean_delay,
            Fault.DUPLICATION: self._set_duplication_rate,
            Fault.CRASH: self._crash_random_member,
            Fault.CRASH_ALL: self._crash_all,
            Fault.STALL: self._stall_random_member,
            Fault.DISK_LOSS: membership.lose_disk,
            Fault.COMPACTION: self._compact_logs,
            Fault.VOTER_CHANGE: membership.change_voters,
            Fault.LEADERSHIP_TRANSFER: self._transfer_leadership,
        }

    def inject(self) -> None:
        """Inject a random fault and schedule the next, unless the fault phase has ended."""
        cluster = self._cluster
        if cluster.now >= FAULT_PHASE_MS:
            return
        cluster.schedule(self._rng.expovariate(1 / MEAN_FAULT_INTERVAL_MS), self.inject)
        if cluster.faults:
            fault = self._rng.choice(cluster.faults)
            cluster.record_event(f"fault {fault}")
            if fault != Fault.TORN_WRITE:  # it crashes members during writes instead
                self.handlers[fault]()

    def end_all(self) -> None:
        """End all faults: heal the network, and resume and start all members."""
        cluster = self._cluster
        cluster.record_event("all faults end")
        cluster.network.heal()
        for member in list(cluster.members.values()):
            if member.is_stalled:
                self._resume(member, member.incarnation)
            cluster.start_member(member)

    def draw_torn_write(self, probability: float) -> bool:
        """Return True with the given probability while the fault `torn` can occur."""
        return (
            Fault.TORN_WRITE in self._cluster.faults
            and self._cluster.now < FAULT_PHASE_MS
            and self._rng.random() < probability
        )

    def crash_at_write(self, member: SimulatedMember) -> None:
        """Kill a member during a write, and start it again later."""
        self._cluster.kill_member(member)
        delay = self._rng.choice(MAX_RESTART_DELAYS_MS) * self._rng.random()
        self._cluster.schedule(delay, self._cluster.start_member, member)

    # The network

    def _partition(self) -> None:
        """Partition the members into two random sides."""
        names = list(self._cluster.members)
        one_side: set[str] = set()
        if len(names) > 1:
            one_side = set(self._rng.sample(names, self._rng.randrange(1, len(names))))
        network = self._cluster.network
        network.cuts = {
            (sender, receiver)
            for sender in names
            for receiver in names
            if (sender in one_side) != (receiver in one_side)
        }
        self._cluster.schedule(self._rng.uniform(*CUT_DURATION_RANGE_MS), network.cuts.clear)

    def _cut_one_way(self) -> None:
        """Cut random directions between pairs of members."""
        names = list(self._cluster.members)
        cut_directions = {
            (sender, receiver)
            for sender in names
            for receiver in names
            if sender != receiver and self._rng.random() < ONE_WAY_CUT_PROBABILITY
        }
        cuts = self._cluster.network.cuts
        cuts |= cut_directions
        self._cluster.schedule(
            self._rng.uniform(*CUT_DURATION_RANGE_MS), cuts.difference_update, cut_directions
        )

    def _set_loss_rate(self) -> None:
        self._cluster.network.loss_rate = self._rng.choice(LOSS_RATES)

    def _set_mean_delay(self) -> None:
        self._cluster.network.mean_delay_ms = self._rng.choice(MEAN_DELAYS_MS)

    def _set_duplication_rate(self) -> None:
        self._cluster.network.duplication_rate = self._rng.choice(DUPLICATION_RATES)

    # Processes

    def _crash_random_member(self) -> None:
        if member := self._cluster.random_running_member():
            self._cluster.kill_member(member)
            delay = self._rng.uniform(*CRASH_DURATION_RANGE_MS)
            self._cluster.schedule(delay, self._cluster.start_member, member)

    def _crash_all(self) -> None:
        for member in list(self._cluster.members.values()):
            self._cluster.kill_member(member)
            delay = self._rng.uniform(*CRASH_ALL_DURATION_RANGE_MS)
            self._cluster.schedule(delay, self._cluster.start_member, member)

    def _stall_random_member(self) -> None:
        member = self._cluster.random_running_member()
        if member is not None and not member.is_stalled:
            member.is_stalled = True
            delay = self._rng.uniform(*STALL_DURATION_RANGE_MS)
            self._cluster.schedule(delay, self._resume, member, member.incarnation)

    def _resume(self, member: SimulatedMember, incarnation: int) -> None:
        """Resume a stalled member and deliver its inbox, unless its process has ended meanwhile."""
        if member.incarnation != incarnation or not member.is_stalled or member.core is None:
            return
        inbox = member.inbox
        member.is_stalled = False
        member.inbox = []
        for message in inbox:
            self._cluster.deliver(member.name, message)
        member.tick_deadline = self._cluster.now
        self._cluster.tick_member(member, incarnation)

    # The log

    def _compact_logs(self) -> None:
        """Let random members replace their applied entries with a snapshot."""
        cluster = self._cluster
        for member in list(cluster.members.values()):
            core = member.core
            if core is None or member.is_stalled or self._rng.random() >= COMPACTION_PROBABILITY:
                continue
            snapshot = cluster.snapshot_of(member)
            cluster.carry_out(member, core.compact(member.applied_index, snapshot))

    def _transfer_leadership(self) -> None:
        for member, core in self._cluster.running_leaders():
            self._cluster.carry_out(member, core.transfer_leadership(self._cluster.now))
