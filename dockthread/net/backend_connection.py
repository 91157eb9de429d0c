"""One connection to a backend, and the attempt that it carries.

The connection has its socket, its state, and says whether it may carry an attempt; an attempt is
one try of a request at one backend, from its start to its outcome.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from enum import Enum
from math import inf

from dockthread.net.endpoint_list import BackendRecord
from dockthread.net.resp import RequestCommand
from dockthread.policy import Outcome


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of one request; `number` counts a request's attempts from 0.

    Times are in milliseconds of the ingress's clock. `start_deadline_ms` is the latest for its
    first byte, where it repeats an attempt that may have run.
    """

    request_number: int
    number: int
    backend: int
    command: RequestCommand
    started_ms: float
    deadline_ms: float
    start_deadline_ms: float = inf
    has_started: bool = False  # its first byte may have gone out: it counts as forwarded
    is_written: bool = False  # its last byte has gone out: from here on the backend may run it
    outcome: Outcome | None = None  # None while it is in flight
    connection: BackendConnection | None = None


class BackendConnectionState(Enum):
    """The states of a connection: CONNECTING -> IN_USE, then IN_USE <-> IDLE until it closes."""

    CONNECTING = "connecting"
    IN_USE = "in use"
    IDLE = "idle"


class BackendConnection:
    """One connection to a backend, and the task that carries its attempts one after another.

    There is one attempt at a time: a second one would wait for the reply to the first, and to give
    the first up means to close the connection, which would end the second with it.

    The constructor raises OSError where the system has no socket to give.
    """

    __slots__ = (
        "attempt",
        "backend",
        "backend_started_ms",
        "endpoint",
        "idle_since_ms",
        "reused",
        "sock",
        "state",
        "task",
    )

    def __init__(self, backend: BackendRecord, attempt: Attempt) -> None:
        self.backend = backend
        self.endpoint = backend.address
        self.backend_started_ms = backend.started_ms
        self.sock = self.endpoint.new_socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.state = BackendConnectionState.CONNECTING
        self.attempt: Attempt | None = attempt  # None while it is idle
        self.idle_since_ms = 0.0
        self.reused: asyncio.Future[None] | None = None  # done once an idle connection is reused
        self.task: asyncio.Task[None] | None = None

    @property
    def is_current(self) -> bool:
        """Whether it leads to the process that is listed now, and that one takes requests."""
        backend = self.backend
        return (
            backend.is_ready
            and backend.address == self.endpoint
            and backend.started_ms == self.backend_started_ms
        )

    def is_broken(self) -> bool:
        """Return whether an idle connection was closed, or has bytes that answer no request.

        Either makes its socket readable.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True
