"""A simulated backend: a queue before some cores, which work slowly while it warms up."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from dockthread.lab.slow_start.scenario import BackendKind

# Requests that a backend holds for each core, waiting ones too; it rejects those beyond.
MAX_REQUESTS_PER_CORE: Final = 24


@dataclass(slots=True)
class SimulatedBackend:
    """A backend and its queue. Times in seconds.

    Attributes:
        number: its number in the endpoint list.
        kind: its cores and their speed.
        core_free_at: for each core, when it is done with what it has.
        in_flight: requests that it works on or that wait.
        incarnation: how often its process was restarted.
        is_up: it can be reached.
        served_work: requests of mean work that it served since the cold backends' start.
    """

    number: int
    kind: BackendKind
    core_free_at: list[float]
    in_flight: int = 0
    incarnation: int = 0
    is_up: bool = True
    served_work: float = 0.0

    @property
    def is_at_capacity(self) -> bool:
        """Whether it rejects the next request."""
        return self.in_flight >= MAX_REQUESTS_PER_CORE * self.kind.cores

    def restart(self, now: float) -> None:
        """Start a new process with an empty queue."""
        self.core_free_at = [now] * self.kind.cores
        self.in_flight = 0
        self.is_up = True
        self.incarnation += 1

    def enqueue(self, now: float, work: float, capacity_at: Callable[[float], float]) -> float:
        """Take a request and return when it is served.

        Args:
            now: the present time.
            work: seconds that a core of speed 1 needs for it.
            capacity_at: the fraction of its capacity that the backend has at a time.
        """
        self.in_flight += 1
        core = min(range(self.kind.cores), key=self.core_free_at.__getitem__)
        begin = max(now, self.core_free_at[core])
        self.core_free_at[core] = begin + work / (self.kind.speed * capacity_at(begin))
        return self.core_free_at[core]

    def load_report(self) -> tuple[float, float, float]:
        """Return requests in flight, capacity in requests a second, and requests that wait."""
        waiting = max(0, self.in_flight - self.kind.cores)
        return float(self.in_flight), self.kind.capacity, float(waiting)
