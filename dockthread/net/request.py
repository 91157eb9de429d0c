"""A request as the ingress holds it, and what the ingress asks of its route."""

from __future__ import annotations

from typing import Any, Protocol

from dockthread.net import resp
from dockthread.net.inbound import Inbound, Slot
from dockthread.net.outbound import OutboundCall
from dockthread.policy import Route


class Request(Slot):
    """A request from its arrival until it is answered and no call of it is out."""

    __slots__ = (
        "ask",
        "calls",
        "connection",
        "deadline",
        "gone",
        "guarded",
        "number",
        "out",
        "taken",
    )

    def __init__(
        self,
        number: int,
        connection: Inbound,
        ask: resp.RequestCommand,
        deadline: float,
        left: float,
    ) -> None:
        super().__init__()
        self.taken = deadline - left
        self.number, self.connection, self.ask, self.deadline = number, connection, ask, deadline
        self.calls: list[OutboundCall] = []
        self.out = 0
        self.gone = self.guarded = False

    @property
    def finished(self) -> bool:
        """Whether it has its answer, or nobody waits for one."""
        return self.gone or self.answer is not None

    @property
    def last_outcome(self) -> str:
        """Why the module gave the request up, as far as its calls tell."""
        if not self.calls:
            return "no-node"
        outcome = self.calls[-1].outcome
        return "time" if outcome is None else outcome.value


class Bounds(Route, Protocol):
    """What a request's route adds for the ingress itself; in milliseconds, 0 for none."""

    @property
    def timeout(self) -> float:
        """ms that the whole request may take."""
        ...


class Routes(Protocol):
    """Where a request's route is found; `spent` is what each has used, for whoever counts."""

    spent: dict[str, Any]

    def bounds(self, ask: resp.RequestCommand) -> Bounds | None:
        """What the request's route adds; None where it has none."""
        ...
