"""What a client connection needs of its ingress, and the place of a response on a connection."""

from __future__ import annotations

from typing import Protocol

from dockthread.clock import Clock
from dockthread.net import resp
from dockthread.net.event_loop_lag import EventLoopLagMonitor
from dockthread.observer import Traffic


class ResponseSlot:
    """The place of one command's response, in the order of its connection's commands.

    `response` is None until the response is known.
    """

    __slots__ = ("response",)

    def __init__(self, response: bytes | None = None) -> None:
        self.response = response


class RequestSource(Protocol):
    """The connection that a request came on, as the handler of requests sees it."""

    earliest_arrival_ms: float

    def flush(self) -> None:
        """Send the responses that are known and due."""
        ...


class RequestHandler(Protocol):
    """Takes the requests that client connections read."""

    def is_in_flight(self, wire_id: bytes) -> bool:
        """Return whether a request with this id is in flight."""
        ...

    def accept(self, connection: RequestSource, command: resp.RequestCommand) -> ResponseSlot:
        """Take a request; return the slot in which its response will stand."""
        ...

    def respond_without_policy(
        self, command: resp.RequestCommand, reason: str, response: bytes
    ) -> ResponseSlot:
        """Respond to a request that the policy engine does not see, and count it by `reason`."""
        ...

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        """Note that the client of a request without a response has disconnected."""
        ...


class ConnectionHost(Protocol):
    """The ingress, as its client connections see it."""

    clock: Clock
    request_parser: resp.RequestParser
    traffic: Traffic
    event_loop_lag: EventLoopLagMonitor

    @property
    def requests(self) -> RequestHandler:
        """Where requests go."""
        ...

    @property
    def ready(self) -> bool:
        """Whether requests are served."""
        ...

    @property
    def draining(self) -> bool:
        """Whether no new request is accepted."""
        ...
