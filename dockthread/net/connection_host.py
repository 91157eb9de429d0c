"""The interfaces through which client connections use their ingress."""

from __future__ import annotations

from typing import Protocol

from dockthread.clock import Clock
from dockthread.net import resp
from dockthread.net.block_pool import BlockPool
from dockthread.net.event_loop_lag import EventLoopLagMonitor
from dockthread.net.response_queue import BufferedResponses, ResponseSlot, ResponseStream
from dockthread.observer import Traffic

__all__ = ["ConnectionHost", "RequestHandler", "RequestSource", "ResponseSlot"]


class RequestSource(Protocol):
    """The connection on which a request arrived, as the request handler sees it."""

    @property
    def earliest_arrival_ms(self) -> float:
        """A lower bound on the arrival of the request's last bytes."""
        ...

    def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection, even if input is unread."""
        ...

    def close_soon(self) -> None:
        """Close the connection in a later iteration of the event loop."""
        ...

    def open_stream(self, slot: ResponseSlot) -> ResponseStream:
        """Begin to pass on a response in parts."""
        ...

    def abort_response(self) -> None:
        """End the connection within a response that cannot be completed."""
        ...

    def flush(self) -> None:
        """Send all responses up to the first one that is not known yet."""
        ...


class RequestHandler(Protocol):
    """Accepts the requests that client connections read."""

    def accept(self, connection: RequestSource, command: resp.RequestCommand) -> ResponseSlot:
        """Accept a request and return the slot that will hold its response."""
        ...

    def respond_without_policy(
        self, command: resp.RequestCommand, reason: str, response: bytes
    ) -> ResponseSlot:
        """Respond to a request without consulting the policy engine; count it under `reason`."""
        ...

    def reject_without_memory(self, command: resp.RequestCommand) -> ResponseSlot:
        """Reject a request whose body there is no memory for."""
        ...

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        """Handle the disconnection of a client whose request has no response yet."""
        ...


class ConnectionHost(Protocol):
    """The ingress, as its client connections see it."""

    clock: Clock
    request_parser: resp.RequestParser
    traffic: Traffic
    body_blocks: BlockPool
    buffered_responses: BufferedResponses
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
