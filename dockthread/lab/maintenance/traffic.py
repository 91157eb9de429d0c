"""Simulated requests: members send them to backends that they do not drain."""

from __future__ import annotations

from collections.abc import Sequence

from dockthread.lab.maintenance.environment import SimulationEnvironment

SEND_INTERVAL_MS = 25.0  # mean time between requests of all members
SHORT_REQUEST_MS = 30.0  # mean time of most requests
SHORT_FRACTION = 0.95  # of the requests
LONG_REQUEST_MS = (200.0, 1_500.0)  # least and most time of the others


class Traffic:
    """The requests of all members.

    Args:
        simulation: Whose members send requests.
        backends: Where they go.
    """

    def __init__(self, simulation: SimulationEnvironment, backends: Sequence[str]) -> None:
        self._simulation = simulation
        self._backends = backends

    def send_request(self) -> None:
        """Let a random member send a request, and schedule the next."""
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
        if rng.random() < SHORT_FRACTION:
            return rng.expovariate(1 / SHORT_REQUEST_MS)
        return rng.uniform(*LONG_REQUEST_MS)
