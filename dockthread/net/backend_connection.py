"""A connection to a backend, and the attempt that runs on it.

An attempt is one try to have a request served by one backend, from its start to its outcome.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from enum import Enum
from math import inf

from dockthread.net.connection_host import RequestSource
from dockthread.net.endpoint_list import BackendRecord
from dockthread.net.resp import RequestCommand
from dockthread.policy import Outcome


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of one request; `number` counts the attempts of the request from 0.

    Times are in milliseconds on the ingress's clock. `start_deadline_ms` is the latest time at
    which the first byte may be sent; it is finite for a retry of an attempt that may have run.
    """

    request_number: int
    number: int
    backend: int
    command: RequestCommand
    started_ms: float
    deadline_ms: float
    start_deadline_ms: float = inf
    source: RequestSource | None = None  # the client's connection; None if there is none
    has_started: bool = False  # the first byte may have been sent; counts as forwarded
    may_have_run: bool = False  # the last byte may have been sent, so the backend may run it
    is_written: bool = False  # the last byte has been sent
    response_started_ms: float | None = None  # since when its value is being passed on
    is_response_complete: bool = False  # its value was passed on whole
    outcome: Outcome | None = None  # None while the attempt is in flight
    connection: BackendConnection | None = None


class BackendConnectionState(Enum):
    """State of a backend connection: CONNECTING -> IN_USE, then IN_USE <-> IDLE until closed."""

    CONNECTING = "connecting"
    IN_USE = "in use"
    IDLE = "idle"


class BackendConnection:
    """One connection to a backend, which runs one attempt at a time.

    Attempts are not pipelined: a second attempt would wait for the reply to the first, and
    cancelling the first closes the connection, which would end the second as well.

    The constructor raises OSError if the system cannot create a socket.
    """

    __slots__ = (
        "_address_text",
        "attempt",
        "backend",
        "backend_started_ms",
        "endpoint",
        "idle_since_ms",
        "reused",
        "sock",
        "stalled_since_ms",
        "state",
        "task",
    )

    def __init__(self, backend: BackendRecord, attempt: Attempt) -> None:
        self.backend = backend
        self.endpoint = backend.address
        self._address_text = backend.address_text
        self.backend_started_ms = backend.started_ms
        self.sock = self.endpoint.new_socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.state = BackendConnectionState.CONNECTING
        self.attempt: Attempt | None = attempt  # None while the connection is idle
        self.idle_since_ms = 0.0
        # Since when the rest of a reply that has begun is awaited, or None.
        self.stalled_since_ms: float | None = None
        self.reused: asyncio.Future[None] | None = None  # done when an idle connection is reused
        self.task: asyncio.Task[None] | None = None

    @property
    def is_current(self) -> bool:
        """Whether the backend process it is connected to is still listed and accepts requests."""
        backend = self.backend
        return (
            backend.is_ready
            and backend.address_text == self._address_text
            and backend.started_ms == self.backend_started_ms
        )

    def is_broken(self) -> bool:
        """Return whether an idle connection was closed by the backend or has unexpected input.

        Both make its socket readable.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True
