"""What staff, traffic and faults of backends need of the simulation that they take part in."""

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
    """One life of a member's process."""

    @property
    def participant(self) -> MaintenanceParticipant:
        """The member's participant."""
        ...

    @property
    def in_flight(self) -> Counter[str]:
        """The member's requests in flight, by backend."""
        ...


class SimulationEnvironment(Protocol):
    """The simulation; times are in milliseconds of its clock."""

    rng: random.Random
    now: float
    voters: tuple[str, ...]
    maintenance_checker: MaintenanceChecker

    @property
    def incarnations(self) -> Mapping[str, MemberIncarnation]:
        """The present incarnation of each member."""
        ...

    def schedule(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Run a callback later in simulated time."""
        ...

    def record_event(self, text: str) -> None:
        """Append a line to the record."""
        ...

    def random_member(self) -> SimulatedMember | None:
        """Return a running member; None where none runs."""
        ...

    def scheduler_of(self, member: SimulatedMember) -> MaintenanceScheduler:
        """Return the member's replica of the scheduler."""
        ...

    def propose_to_leader(self, member: SimulatedMember, command: MaintenanceCommand) -> None:
        """Propose a command as staff at a member do."""
        ...

    def in_flight_at(self, backend: str) -> dict[str, int]:
        """Return the requests in flight at a backend, by member."""
        ...

    def unreachable_ms(self) -> dict[str, float]:
        """Return for each member how long it has been unreachable."""
        ...
