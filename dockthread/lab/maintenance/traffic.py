"""Simulates the requests that members send to backends that they do not drain."""

from __future__ import annotations

from collections.abc import Sequence

from dockthread.lab.maintenance.environment import SimulationEnvironment

SEND_INTERVAL_MS = 25.0  # Mean time between two requests, counted over all members.
MEAN_SHORT_REQUEST_MS = 30.0  # Mean duration of a short request.
SHORT_PROBABILITY = 0.95  # Probability that a request is short.
LONG_REQUEST_MS = (200.0, 1_500.0)  # Minimum and maximum duration of a long request.


class Traffic:
    """Generates the requests of all members.

    Args:
        simulation: The simulation whose members send requests.
        backends: Backends to which requests are sent.
    """

    def __init__(self, simulation: SimulationEnvironment, backends: Sequence[str]) -> None:
        self._simulation = simulation
        self._backends = backends

    def send_request(self) -> None:
        """Send a request from a random member, and schedule the next request."""
        simulation = self._simulation
        rng = simulation.rng
        simulation.schedule(rng.uniform(0.5, 1.5) * SEND_INTERVAL_MS, self.send_request)
        member = simulation.random_member()
        if member is None:
            return
        incarnation = simulation.incarnations[member.name]
        backend = rng.choice(self._backends)
        if backend in incarnation.participant.drained:
            return
        simulation.maintenance_checker.on_request_sent(simulation.now, member.name, backend)
        incarnation.in_flight[backend] += 1
        simulation.schedule(self._draw_duration_ms(), incarnation.in_flight.subtract, [backend])

    def _draw_duration_ms(self) -> float:
        rng = self._simulation.rng
        if rng.random() < SHORT_PROBABILITY:
            return rng.expovariate(1 / MEAN_SHORT_REQUEST_MS)
        return rng.uniform(*LONG_REQUEST_MS)
