"""A request as the ingress holds it, and what the ingress asks of its route."""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

from dockthread.net import resp
from dockthread.net.backend_connection import Attempt
from dockthread.net.connection_host import RequestSource, ResponseSlot
from dockthread.policy import Route


class RequestState(Enum):
    """The states of a request: IN_FLIGHT -> ANSWERED, or IN_FLIGHT -> ABANDONED."""

    IN_FLIGHT = "in flight"
    ANSWERED = "answered"  # its response was given to its connection
    ABANDONED = "abandoned"  # its client has disconnected before the response


class Request(ResponseSlot):
    """A request, from its arrival until it is finished and has no attempt in flight.

    Times are in milliseconds of the ingress's clock.
    """

    __slots__ = (
        "arrived_ms",
        "attempts",
        "attempts_in_flight",
        "command",
        "connection",
        "deadline_ms",
        "has_deadline_timer",
        "number",
        "state",
    )

    def __init__(
        self,
        number: int,
        connection: RequestSource,
        command: resp.RequestCommand,
        deadline_ms: float,
        time_left_ms: float,
    ) -> None:
        super().__init__()
        self.number = number
        self.connection = connection
        self.command = command
        self.arrived_ms = deadline_ms - time_left_ms
        self.deadline_ms = deadline_ms
        self.state = RequestState.IN_FLIGHT
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.has_deadline_timer = False

    @property
    def is_finished(self) -> bool:
        """Whether it has its response, or no client waits for one."""
        return self.state is not RequestState.IN_FLIGHT

    @property
    def last_outcome(self) -> str:
        """Why the policy engine gave the request up, as far as its attempts tell."""
        if not self.attempts:
            return "no-node"
        outcome = self.attempts[-1].outcome
        return "time" if outcome is None else outcome.value


class RouteBounds(Route, Protocol):
    """What a request's route adds for the ingress itself."""

    @property
    def timeout(self) -> float:
        """Milliseconds that the whole request may take; 0 for no bound."""
        ...


class RouteLookup(Protocol):
    """Finds the route of a request. `spent` is each route's use, for telemetry."""

    spent: dict[str, Any]

    def bounds(self, ask: resp.RequestCommand) -> RouteBounds | None:
        """Return what the request's route adds; None where it has no route."""
        ...
