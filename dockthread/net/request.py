"""A request in flight, and the interface through which the ingress finds its route."""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

from dockthread.net import resp
from dockthread.net.backend_connection import Attempt
from dockthread.net.connection_host import RequestSource, ResponseSlot
from dockthread.policy import NEVER_RAN, Route


class RequestState(Enum):
    """State of a request; the states follow one another in this order, and some may be skipped."""

    IN_FLIGHT = "in flight"
    RESPONDING = "responding"  # a long response is being passed on
    ANSWERED = "answered"  # its response was passed to the client connection
    ABANDONED = "abandoned"  # its client disconnected before the response was known


class Request(ResponseSlot):
    """A request, from its arrival until it is finished and has no attempt in flight.

    Times are in milliseconds on the ingress's clock.
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
        """Whether the request has been answered or abandoned."""
        return self.state in (RequestState.ANSWERED, RequestState.ABANDONED)

    @property
    def is_responding(self) -> bool:
        """Whether a long response is being passed on."""
        return self.state is RequestState.RESPONDING

    @property
    def may_have_run(self) -> bool:
        """Whether a backend may have executed the request."""
        return any(
            attempt.may_have_run and attempt.outcome not in NEVER_RAN for attempt in self.attempts
        )

    @property
    def last_outcome(self) -> str:
        """The outcome of the latest attempt, reported as the reason why the request failed.

        It is `no-node` if there was no attempt, and `time` if the latest attempt is in flight.
        """
        if not self.attempts:
            return "no-node"
        outcome = self.attempts[-1].outcome
        return "time" if outcome is None else outcome.value


class RequestRoute(Route, Protocol):
    """The route of a request, with the settings that the ingress itself enforces."""

    @property
    def timeout(self) -> float:
        """The maximum time in milliseconds for the request, including retries; 0 for no maximum."""
        ...


class RouteLookup(Protocol):
    """Finds a request's route. `usage_by_route` holds the usage of each route, for telemetry."""

    usage_by_route: dict[str, Any]

    def bounds(self, command: resp.RequestCommand) -> RequestRoute | None:
        """Return the route of a request; None if no route applies."""
        ...
