"""The interfaces through which client connections use their ingress."""

from __future__ import annotations

from typing import Protocol

from dockthread.clock import Clock
from dockthread.net import resp
from dockthread.net.event_loop_lag import EventLoopLagMonitor
from dockthread.observer import Traffic


class ResponseSlot:
    """Holds the response to one command; `response` is None until it is known.

    A connection keeps one slot per command and sends the responses in that order.
    """

    __slots__ = ("response",)

    def __init__(self, response: bytes | None = None) -> None:
        self.response = response


class RequestSource(Protocol):
    """The connection on which a request arrived, as the request handler sees it."""

    earliest_arrival_ms: float

    def flush(self) -> None:
        """Send all responses up to the first one that is not known yet."""
        ...


class RequestHandler(Protocol):
    """Accepts the requests that client connections read."""

    def is_in_flight(self, wire_id: bytes) -> bool:
        """Return whether a request with this id is in flight."""
        ...

    def accept(self, connection: RequestSource, command: resp.RequestCommand) -> ResponseSlot:
        """Accept a request and return the slot that will hold its response."""
        ...

    def respond_without_policy(
        self, command: resp.RequestCommand, reason: str, response: bytes
    ) -> ResponseSlot:
        """Respond to a request without consulting the policy engine; count it under `reason`."""
        ...

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        """Handle the disconnection of a client whose request has no response yet."""
        ...


class ConnectionHost(Protocol):
    """The ingress, as its client connections see it."""

    clock: Clock
    request_parser: resp.RequestParser
    traffic: Traffic
    event_loop_lag: EventLoopLagMonitor

    @property
    def requests(self) -> RequestHandler:
        """The handler of the requests that are read."""
        ...

    @property
    def ready(self) -> bool:
        """Whether the ingress serves requests."""
        ...

    @property
    def draining(self) -> bool:
        """Whether the ingress drains and accepts no new requests."""
        ...
