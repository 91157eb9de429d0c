"""The interface of the simulation for simulated staff, traffic and backend faults."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from dockthread.lab.maintenance.checker import MaintenanceChecker
from dockthread.lab.raft.cluster import SimulatedMember
from dockthread.maintenance.commands import MaintenanceCommand
from dockthread.maintenance.participant import MaintenanceParticipant
from dockthread.maintenance.scheduler import MaintenanceScheduler


class MemberIncarnation(Protocol):
    """One incarnation of a member: the period from a start of its process to the next start."""

    @property
    def participant(self) -> MaintenanceParticipant:
        """The member's maintenance participant."""
        ...

    @property
    def in_flight(self) -> Counter[str]:
        """Number of the member's requests in flight, by backend."""
        ...


class SimulationEnvironment(Protocol):
    """The simulation as seen by its components; times are in simulated milliseconds."""

    rng: random.Random
    now: float
    voters: tuple[str, ...]
    maintenance_checker: MaintenanceChecker

    @property
    def incarnations(self) -> Mapping[str, MemberIncarnation]:
        """The latest incarnation of each member."""
        ...

    def schedule(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback with these arguments after a delay from now."""
        ...

    def record_event(self, text: str) -> None:
        """Append a line to the record of events."""
        ...

    def random_member(self) -> SimulatedMember | None:
        """Return a random running member, or None if no member can be used."""
        ...

    def scheduler_of(self, member: SimulatedMember) -> MaintenanceScheduler:
        """Return a member's replica of the scheduler."""
        ...

    def propose_to_leader(self, member: SimulatedMember, command: MaintenanceCommand) -> None:
        """Propose a command through a member, which forwards it to its leader."""
        ...

    def in_flight_at(self, backend: str) -> dict[str, int]:
        """Return the number of requests in flight at a backend, by member."""
        ...

    def unreachable_ms(self) -> dict[str, float]:
        """Return how long each member has recently been unreachable."""
        ...
