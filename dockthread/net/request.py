"""A request as the ingress holds it, and what the ingress asks of its route."""

from __future__ import annotations

from typing import Any, Protocol

from dockthread.net import resp
from dockthread.net.client_connection import ClientConnection, ResponseSlot
from dockthread.net.connection_pool import Attempt
from dockthread.policy import Route


class Request(ResponseSlot):
    """A request from its arrival until it is answered and no call of it is out."""

    __slots__ = (
        "arrived_ms",
        "attempts",
        "attempts_in_flight",
        "command",
        "connection",
        "deadline_ms",
        "has_deadline_timer",
        "is_abandoned",
        "number",
    )

    def __init__(
        self,
        number: int,
        connection: ClientConnection,
        ask: resp.RequestCommand,
        deadline: float,
        left: float,
    ) -> None:
        super().__init__()
        self.arrived_ms = deadline - left
        self.number, self.connection, self.command, self.deadline_ms = (
            number,
            connection,
            ask,
            deadline,
        )
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.is_abandoned = self.has_deadline_timer = False

    @property
    def finished(self) -> bool:
        """Whether it has its answer, or nobody waits for one."""
        return self.is_abandoned or self.response is not None

    @property
    def last_outcome(self) -> str:
        """Why the module gave the request up, as far as its calls tell."""
        if not self.attempts:
            return "no-node"
        outcome = self.attempts[-1].outcome
        return "time" if outcome is None else outcome.value


class RouteBounds(Route, Protocol):
    """What a request's route adds for the ingress itself; in milliseconds, 0 for none."""

    @property
    def timeout(self) -> float:
        """ms that the whole request may take."""
        ...


class RouteLookup(Protocol):
    """Where a request's route is found; `spent` is what each has used, for whoever counts."""

    spent: dict[str, Any]

    def bounds(self, ask: resp.RequestCommand) -> RouteBounds | None:
        """What the request's route adds; None where it has none."""
        ...
