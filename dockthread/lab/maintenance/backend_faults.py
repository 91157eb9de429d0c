"""Injects temporary faults of simulated backends: failing backends and overloaded zones."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from dockthread.lab.maintenance.environment import SimulationEnvironment

BACKEND_FAILURE = "fail"  # Name of the fault in which a backend fails temporarily.
OVERLOAD = "press"  # Name of the fault in which all zones are overloaded temporarily.
FAILURE_DURATION_MS = (200.0, 4_000.0)  # Minimum and maximum duration of a backend failure.
OVERLOAD_DURATION_MS = (100.0, 1_500.0)  # Minimum and maximum duration of an overload.


class BackendFaults:
    """Injects faults and ends each of them after a random time.

    Args:
        simulation: The simulation in which faults are scheduled.
        backends: Backends that may fail.

    Attributes:
        handlers: The function that injects each fault, by the fault's name.
        failing: Backends that are failing now.
        is_overloaded: Whether the zones are overloaded now.
    """

    def __init__(self, simulation: SimulationEnvironment, backends: Sequence[str]) -> None:
        self._simulation = simulation
        self._backends = backends
        self.handlers: dict[str, Callable[[], None]] = {
            BACKEND_FAILURE: self._fail_backend,
            OVERLOAD: self._overload_zones,
        }
        self.failing: set[str] = set()
        self.is_overloaded = False

    def end_all(self) -> None:
        """End all faults."""
        self.failing.clear()
        self._end_overload()

    def _fail_backend(self) -> None:
        rng = self._simulation.rng
        backend = rng.choice(self._backends)
        self.failing.add(backend)
        self._simulation.schedule(rng.uniform(*FAILURE_DURATION_MS), self.failing.discard, backend)

    def _overload_zones(self) -> None:
        self.is_overloaded = True
        duration_ms = self._simulation.rng.uniform(*OVERLOAD_DURATION_MS)
        self._simulation.schedule(duration_ms, self._end_overload)

    def _end_overload(self) -> None:
        self.is_overloaded = False
