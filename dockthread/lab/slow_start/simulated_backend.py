"""A simulated backend: a queue and several cores, which are slower while the backend warms up."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from dockthread.lab.slow_start.scenario import BackendKind

# Maximum number of in-flight requests per core, including waiting ones; more are rejected.
MAX_REQUESTS_PER_CORE: Final = 24


@dataclass(slots=True)
class SimulatedBackend:
    """A backend and its queue. Times are in seconds.

    Attributes:
        number: the backend's number in the endpoint list.
        kind: number and speed of the cores.
        core_free_at: for each core, the time at which it will have served its assigned requests.
        in_flight: number of requests that are being served or are waiting.
        incarnation: number of restarts of the backend's process.
        is_up: whether the backend is reachable.
        served_work: work that the backend served since the start of the cold backends, in requests
            of mean work.
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
        """Whether the backend rejects the next request."""
        return self.in_flight >= MAX_REQUESTS_PER_CORE * self.kind.cores

    def restart(self, now: float) -> None:
        """Restart the backend's process, with an empty queue."""
        self.core_free_at = [now] * self.kind.cores
        self.in_flight = 0
        self.is_up = True
        self.incarnation += 1

    def enqueue(self, now: float, work: float, capacity_at: Callable[[float], float]) -> float:
        """Accept a request and return the time at which it will have been served.

        Args:
            now: the current time.
            work: seconds that a core of speed 1 needs for the request.
            capacity_at: returns the fraction of its full capacity that the backend has at a time.
        """
        self.in_flight += 1
        core = min(range(self.kind.cores), key=self.core_free_at.__getitem__)
        start = max(now, self.core_free_at[core])
        self.core_free_at[core] = start + work / (self.kind.speed * capacity_at(start))
        return self.core_free_at[core]

    def load_report(self) -> tuple[float, float, float]:
        """Return requests in flight, capacity in requests per second, and waiting requests."""
        waiting_count = max(0, self.in_flight - self.kind.cores)
        return float(self.in_flight), self.kind.capacity, float(waiting_count)
