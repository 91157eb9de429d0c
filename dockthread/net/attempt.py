"""One attempt of a request at one backend, from its start to its outcome."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from dockthread.net.resp import RequestCommand
from dockthread.policy import Outcome

if TYPE_CHECKING:
    from dockthread.net.backend_connection import BackendConnection


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
