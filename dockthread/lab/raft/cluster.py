"""Simulated members, and the interface of the cluster to faults and clients."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from dockthread.lab.raft.network import SimulatedNetwork
from dockthread.raft.actions import Action, PersistEntries, PersistentState, PersistSnapshot
from dockthread.raft.core import RaftCore
from dockthread.raft.messages import Message


@dataclass(slots=True)
class SimulatedMember:
    """A member of the cluster; its disk outlives its process.

    Attributes:
        name: Name of the member.
        core: Its Raft core; None while the process is down.
        disk: Content of its disk, from which it restarts.
        unsynced: Writes that have not reached the disk; only a seeded defect delays writes.
        incarnation: Number of times that the process was started.
        applied_commands: State of its state machine: all applied commands in order.
        applied_index: Index of the last applied entry.
        is_stalled: Whether the process is paused; it then neither runs timers nor reads messages.
        is_removed: Whether the member is gone permanently because its disk was lost.
        inbox: Messages that arrived while it was stalled.
        tick_deadline: Time for which its next tick is scheduled, in ms.
    """

    name: str
    core: RaftCore | None = None
    disk: PersistentState = field(default_factory=PersistentState)
    unsynced: list[PersistEntries | PersistSnapshot] = field(default_factory=list)
    incarnation: int = 0
    applied_commands: list[bytes] = field(default_factory=list)
    applied_index: int = 0
    is_stalled: bool = False
    is_removed: bool = False
    inbox: list[Message] = field(default_factory=list)
    tick_deadline: float = -1.0


class SimulatedCluster(Protocol):
    """Interface of a simulation to its faults and clients.

    Attributes:
        now: Simulated time in ms.
        rng: Source of all randomness in this run.
        network: Network between the members.
        members: All members by name, including removed ones.
        faults: Names of the faults that may occur in this run.
        seeded_defect: Name of the seeded defect of this run, or empty.
    """

    now: float
    rng: random.Random
    network: SimulatedNetwork
    members: dict[str, SimulatedMember]
    faults: tuple[str, ...]
    seeded_defect: str

    def schedule(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback after a delay in simulated time."""

    def record_event(self, text: str) -> None:
        """Add a line with the current time to the record of the run."""

    def start_member(self, member: SimulatedMember, /) -> None:
        """Start a member's process from its disk, unless it is running or removed."""

    def kill_member(self, member: SimulatedMember, /) -> None:
        """Kill a member's process abruptly."""

    def tick_member(self, member: SimulatedMember, incarnation: int, /) -> None:
        """Let a member's core handle its due timers."""

    def deliver(self, to: str, message: Message, /) -> None:
        """Pass a message to a member's core, or to its inbox if the member is stalled."""

    def carry_out(self, member: SimulatedMember, actions: list[Action], /) -> None:
        """Carry out the actions that a member's core returned."""

    def snapshot_of(self, member: SimulatedMember, /) -> bytes:
        """Return a snapshot of a member's state machine."""

    def running_leaders(self) -> list[tuple[SimulatedMember, RaftCore]]:
        """Return all members that consider themselves leader and are not stalled."""

    def random_running_member(self) -> SimulatedMember | None:
        """Return a random member whose process is up, or None."""

    def newest_voters(self) -> tuple[str, ...]:
        """Return the voters according to the running member with the highest applied index."""
