"""Runs Raft members on a simulated network, with simulated disks and clocks.

All randomness comes from the seed, and the event queue provides the time, so two runs of one seed
write the same record. A write to disk is atomic, and a member may be killed before or after any
write. Times are in ms.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Final

from dockthread.lab.event_queue import EventQueue
from dockthread.lab.raft.checker import RaftChecker, RuleViolation
from dockthread.lab.raft.client import MEAN_REQUEST_INTERVAL_MS, SimulatedClient
from dockthread.lab.raft.cluster import SimulatedMember
from dockthread.lab.raft.faults import (
    FAULT_PHASE_MS,
    FAULTS,
    MEAN_FAULT_INTERVAL_MS,
    Fault,
    FaultInjector,
)
from dockthread.lab.raft.network import SimulatedNetwork
from dockthread.lab.raft.seeded_defects import DEFECTIVE_CORES
from dockthread.raft.actions import (
    Action,
    ApplyEntry,
    PersistEntries,
    PersistSnapshot,
    RaftTiming,
    ReadIndexReady,
    RestoreSnapshot,
    Role,
    RoleChanged,
    SendMessage,
)
from dockthread.raft.core import RaftCore
from dockthread.raft.messages import Entry, EntryKind, Message, VoteResponse

RECOVERY_PHASE_MS: Final = 6_000.0  # time after the faults in which the cluster must recover
FAULT_PROBABILITY: Final = 0.4  # probability that a seed enables a fault
TORN_WRITE_PROBABILITY: Final = 0.006  # probability of a crash during a write
CRASH_AFTER_VOTE_PROBABILITY: Final = 0.15  # probability of a crash right after a vote is sent
SYNC_PROBABILITY: Final = 0.3  # probability that a write is synced, with defect `fsync-left-out`
COMMAND_SEPARATOR: Final = b"\x00"  # between the commands in a snapshot


class RaftSimulation(EventQueue):
    """One run of a cluster under faults, with the checker that checks the rules of Raft.

    Subclasses replace the state machine by overriding `on_entry_applied`, `on_snapshot_restored`
    and `snapshot_of`, and add faults to `fault_injector.handlers`.

    Attributes:
        rng: Source of all randomness in this run.
        seeded_defect: Name of the seeded defect of this run, or empty.
        voters: Names of the initial voters.
        members: All members by name, including removed ones.
        checker: Checker of the rules of Raft.
        faults: Names of the faults that may occur in this run.
        network: Network between the members.
        fault_injector: Injects the faults.
        client: Sends requests to the cluster.
        record: Events of the run, one line per event with its time in ms.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        seeded_defect: str = "",
        faults: tuple[str, ...] | None = None,
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.seeded_defect = seeded_defect
        self.voters = tuple(f"n{number}" for number in range(size))
        self.members = {name: SimulatedMember(name) for name in self.voters}
        self.checker = RaftChecker(self.voters)
        drawn_faults = tuple(fault for fault in FAULTS if self.rng.random() < FAULT_PROBABILITY)
        self.faults: tuple[str, ...] = drawn_faults if faults is None else faults
        changes_voters = {Fault.VOTER_CHANGE, Fault.DISK_LOSS} & set(self.faults)
        self.checker.voters_are_fixed = not changes_voters
        self.network = SimulatedNetwork(self, self.rng)
        self.fault_injector = FaultInjector(self)
        self.client = SimulatedClient(self, self.checker)
        self.record: list[str] = []

    def run_recording_crashes(self) -> list[RuleViolation]:
        """Run until the end or the first violation; an exception of a core is a violation too."""
        try:
            return self.run()
        except (IndexError, ValueError, KeyError, AssertionError) as error:
            violation = RuleViolation("crash", self.now, f"the core raised {error!r}")
            self.checker.violations.append(violation)
            return self.checker.violations

    def run(self) -> list[RuleViolation]:
        """Start all members, inject faults, let the cluster recover, and check its progress."""
        for name in self.voters:
            self.start_member(self.members[name])
        self.schedule(MEAN_REQUEST_INTERVAL_MS, self.client.send_request)
        self.schedule(MEAN_FAULT_INTERVAL_MS, self.fault_injector.inject)
        self.run_until(FAULT_PHASE_MS)
        self.fault_injector.end_all()
        self.run_until(FAULT_PHASE_MS + RECOVERY_PHASE_MS / 2)
        # The cluster has recovered: all voters must apply the commands proposed from here on.
        last_command_number = self.client.command_count
        self.run_until(FAULT_PHASE_MS + RECOVERY_PHASE_MS)
        voters = self.newest_voters()
        applied_by_member = {
            member.name: member.applied_index
            for member in self.members.values()
            if member.core and member.name in voters
        }
        command = self.client.first_command_after(
            last_command_number, self.now - RECOVERY_PHASE_MS / 4
        )
        self.checker.check_progress(self.now, command or b"no command", applied_by_member)
        return self.checker.violations

    def should_stop(self) -> bool:
        """Return whether a rule has been violated."""
        return bool(self.checker.violations)

    def record_event(self, text: str) -> None:
        """Add a line with the current time to the record."""
        self.record.append(f"{self.now:10.3f} {text}")

    # Members

    def start_member(self, member: SimulatedMember) -> None:
        """Start a member's process from its disk, unless it is running or removed."""
        if member.is_removed or member.core is not None:
            return
        member.incarnation += 1
        member.is_stalled = False
        member.inbox = []
        member.tick_deadline = -1.0
        stored_state = replace(member.disk, entries=list(member.disk.entries))
        core_type = DEFECTIVE_CORES.get(self.seeded_defect, RaftCore)
        rng = random.Random(self.rng.random())
        voters = self.voters if member.name in self.voters else ()
        member.core = core_type(member.name, voters, stored_state, RaftTiming(), rng, self.now)
        self.on_snapshot_restored(member, stored_state.snapshot_index, stored_state.snapshot)
        last_index = member.core.log.last_index
        self.record_event(f"{member.name} starts, term {stored_state.term}, {last_index} entries")
        self.tick_member(member, member.incarnation)

    def kill_member(self, member: SimulatedMember) -> None:
        """Kill a member's process abruptly; its unsynced writes are lost."""
        if member.core is not None:
            self.record_event(f"{member.name} is killed")
            member.core = None
            member.unsynced = []

    def tick_member(self, member: SimulatedMember, incarnation: int) -> None:
        """Let a member's core handle its due timers, and schedule the next tick."""
        if member.core is None or member.incarnation != incarnation or member.is_stalled:
            return
        if member.core.next_deadline() <= self.now:
            self.carry_out(member, member.core.tick(self.now))
        if member.core is None or member.incarnation != incarnation:
            return
        if member.tick_deadline <= self.now:
            member.tick_deadline = max(member.core.next_deadline(), self.now + 1.0)
            delay = member.tick_deadline - self.now
            self.schedule(delay, self.tick_member, member, incarnation)

    def deliver(self, to: str, message: Message) -> None:
        """Pass a message to a member's core, or to its inbox if the member is stalled."""
        member = self.members[to]
        if member.core is None:
            return
        if member.is_stalled:
            member.inbox.append(message)
        else:
            self.carry_out(member, member.core.step(self.now, message))

    def running_leaders(self) -> list[tuple[SimulatedMember, RaftCore]]:
        """Return all members that consider themselves leader and are not stalled."""
        return [
            (member, member.core)
            for member in self.members.values()
            if member.core is not None and not member.is_stalled and member.core.role is Role.LEADER
        ]

    def random_running_member(self) -> SimulatedMember | None:
        """Return a random member whose process is up, or None."""
        running = [member for member in self.members.values() if member.core is not None]
        return self.rng.choice(running) if running else None

    def newest_voters(self) -> tuple[str, ...]:
        """Return the voters according to the running member with the highest applied index."""
        running = [member for member in self.members.values() if member.core is not None]
        newest = max(running, key=lambda member: member.applied_index, default=None)
        if newest is None or newest.core is None:
            return ()
        return newest.core.log.voters_at(newest.applied_index)

    # Actions of the Raft core

    def carry_out(self, member: SimulatedMember, actions: list[Action]) -> None:
        """Carry out the actions that a member's core returned, until its process ends."""
        incarnation = member.incarnation
        if self.seeded_defect == "sent-before-kept":
            actions = sorted(actions, key=lambda action: not isinstance(action, SendMessage))
        for action in actions:
            if member.core is None or member.incarnation != incarnation:
                return
            self._carry_out_action(member, action)
        if member.core is not None and member.core.next_deadline() < member.tick_deadline:
            member.tick_deadline = max(member.core.next_deadline(), self.now)
            delay = member.tick_deadline - self.now
            self.schedule(delay, self.tick_member, member, member.incarnation)

    def _carry_out_action(self, member: SimulatedMember, action: Action) -> None:
        match action:
            case PersistEntries() | PersistSnapshot():
                self._persist(member, action)
            case SendMessage(to, message):
                self._send_message(member, to, message)
            case ApplyEntry(index, entry):
                self.on_entry_applied(member, index, entry)
            case RestoreSnapshot(index, snapshot):
                self.on_snapshot_restored(member, index, snapshot)
            case ReadIndexReady(token, index):
                self.checker.read_answered(self.now, member.name, token, index)
            case RoleChanged(role, term, _):
                self.record_event(f"{member.name} is {role.value} in term {term}")
                if role is Role.LEADER:
                    self.checker.leader_elected(self.now, member.name, term)

    def _send_message(self, member: SimulatedMember, to: str, message: Message) -> None:
        is_vote_response = isinstance(message, VoteResponse) and not message.pre_vote
        if isinstance(message, VoteResponse) and is_vote_response and message.granted:
            self.checker.vote_granted(self.now, member.name, message.term, to)
        if to in self.members:
            self.network.send(member.name, to, message, self.deliver)
        if is_vote_response and self.fault_injector.draw_torn_write(CRASH_AFTER_VOTE_PROBABILITY):
            self.fault_injector.crash_at_write(member)

    def on_entry_applied(self, member: SimulatedMember, index: int, entry: Entry) -> None:
        """Apply a committed entry to a member's state machine."""
        command = entry.data if entry.kind == EntryKind.COMMAND else b""
        term_and_command = (entry.term, command)
        terms_on_disk: dict[str, dict[int, int]] = {}
        if index not in self.checker.log and self.checker.voters_are_fixed:
            terms_on_disk = {name: _terms_on_disk(other) for name, other in self.members.items()}
        self.checker.entry_applied(
            self.now, member.name, member.incarnation, index, term_and_command, terms_on_disk
        )
        member.applied_index = index
        if command:
            member.applied_commands = [*member.applied_commands, command]
        self.record_event(f"{member.name} applies {index} {term_and_command}")

    def on_snapshot_restored(self, member: SimulatedMember, index: int, snapshot: bytes) -> None:
        """Replace the state of a member's state machine with a snapshot."""
        commands = [command for command in snapshot.split(COMMAND_SEPARATOR) if command]
        member.applied_index = index
        member.applied_commands = commands
        self.checker.snapshot_restored(
            self.now, member.name, member.incarnation, index, tuple(commands)
        )

    def snapshot_of(self, member: SimulatedMember) -> bytes:
        """Return a snapshot of a member's state machine."""
        return COMMAND_SEPARATOR.join(member.applied_commands)

    # Disks

    def _persist(self, member: SimulatedMember, write: PersistEntries | PersistSnapshot) -> None:
        """Write to a member's disk; the process may crash before or after the write."""
        crashes = self.fault_injector.draw_torn_write(TORN_WRITE_PROBABILITY)
        if crashes and self.rng.random() < 0.5:  # it crashes before the write takes effect
            self.fault_injector.crash_at_write(member)
            return
        member.unsynced.append(write)
        if self.seeded_defect != "fsync-left-out" or self.rng.random() < SYNC_PROBABILITY:
            for unsynced in member.unsynced:
                self._sync_write(member, unsynced)
            member.unsynced = []
        if crashes:
            self.fault_injector.crash_at_write(member)

    def _sync_write(self, member: SimulatedMember, write: PersistEntries | PersistSnapshot) -> None:
        if isinstance(write, PersistEntries):
            self.checker.term_persisted(self.now, member.name, write.term)
            member.disk.persist_entries(write)
        else:
            member.disk.persist_snapshot(write)


def _terms_on_disk(member: SimulatedMember) -> dict[int, int]:
    """Return the term of each entry on a member's disk, by index."""
    first_index = member.disk.snapshot_index + 1
    return {index: entry.term for index, entry in enumerate(member.disk.entries, first_index)}
