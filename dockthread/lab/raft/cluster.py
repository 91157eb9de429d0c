"""The simulated members, and what faults and clients may do with them."""

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
    """One identity in the cluster; its disk outlives its process.

    Attributes:
        core: None while the process is down.
        disk: what a restart finds.
        unsynced: writes that have not reached the disk; only a seeded defect leaves any.
        incarnation: counts starts of the process.
        applied_commands: the state of its state machine, all commands in order.
        is_stalled: the process neither runs nor reads messages.
        is_removed: the identity is gone for good, as its disk is lost.
        inbox: messages that came while it was stalled.
        tick_deadline: time in ms for which its next tick is scheduled.
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
    """What faults and clients need of a simulation.

    Attributes:
        now: simulated time in ms.
        rng: the source of all that is random in this run.
        members: every identity that ever was, by name.
        faults: names of the faults that may happen in this run.
        seeded_defect: name of the defect that this run has, or empty.
    """

    now: float
    rng: random.Random
    network: SimulatedNetwork
    members: dict[str, SimulatedMember]
    faults: tuple[str, ...]
    seeded_defect: str

    def schedule(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Run a callback later in simulated time."""

    def record_event(self, text: str) -> None:
        """Add a line to the record of the run."""

    def start_member(self, member: SimulatedMember, /) -> None:
        """Start a member's process from its disk, unless it runs or is removed."""

    def kill_member(self, member: SimulatedMember, /) -> None:
        """End a member's process without warning."""

    def tick_member(self, member: SimulatedMember, incarnation: int, /) -> None:
        """Let a member's core handle its timers."""

    def deliver(self, to: str, message: Message, /) -> None:
        """Hand a message to a member's core, or to its inbox while it is stalled."""

    def carry_out(self, member: SimulatedMember, actions: list[Action], /) -> None:
        """Carry out what a member's core returned."""

    def snapshot_of(self, member: SimulatedMember, /) -> bytes:
        """Return a snapshot of a member's state machine."""

    def running_leaders(self) -> list[tuple[SimulatedMember, RaftCore]]:
        """Return all members that believe that they lead and are not stalled."""

    def random_running_member(self) -> SimulatedMember | None:
        """Return a random member whose process is up, or None."""

    def newest_voters(self) -> tuple[str, ...]:
        """Return the voters as the member that applied most knows them."""
