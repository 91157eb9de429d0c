"""Faults of simulated backends: some fail for a while, and zones are overloaded for a while."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from dockthread.lab.maintenance.environment import SimulationEnvironment

BACKEND_FAILURE = "fail"  # a fault: a backend fails for a while
OVERLOAD = "press"  # a fault: zones are overloaded for a while
FAILING_MS = (200.0, 4_000.0)  # least and most time for which a backend fails
OVERLOAD_MS = (100.0, 1_500.0)  # least and most time for which zones are overloaded


class BackendFaults:
    """Injects the faults and ends each after a random time.

    Args:
        simulation: Where they are scheduled.
        backends: Backends that may fail.

    Attributes:
        handlers: What injects each fault, by its name.
        failing: Backends that fail now.
        is_overloaded: Zones are overloaded now.
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
        self._simulation.schedule(rng.uniform(*FAILING_MS), self.failing.discard, backend)

    def _overload_zones(self) -> None:
        self.is_overloaded = True
        duration_ms = self._simulation.rng.uniform(*OVERLOAD_MS)
        self._simulation.schedule(duration_ms, self._end_overload)

    def _end_overload(self) -> None:
        self.is_overloaded = False
