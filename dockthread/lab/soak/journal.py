"""What happened to each request of a soak, at the client and at the backends."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import Enum

WIRE_ID_LENGTH = 16


class Ending(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    CLOSED = "closed without an answer"
    CUT = "cut off within the answer"
    MISSING = "without an answer"
    UNREACHABLE = "not connected"
    LEFT = "abandoned by its client"


class AnswerPace(Enum):
    """How a backend writes its answer."""

    AT_ONCE = "at once"
    LUMPS = "in lumps"
    LATE_BODY = "head first, body late"
    SLOWLY = "slowly"


@dataclass(slots=True)
class BackendRun:
    """A command that a backend received; times are on the monotonic clock, in seconds.

    Attributes:
        backend: The uid of the backend.
        began_at: When its first bytes arrived.
        completed_at: When its last byte arrived; None if it never did.
        answered_bytes: How many bytes of the value were written.
        is_answered: Whether the answer was written to its end.
    """

    backend: str
    began_at: float
    completed_at: float | None = None
    answered_bytes: int = 0
    is_answered: bool = False


@dataclass(slots=True)
class RequestRecord:
    """One request of a sound client.

    Attributes:
        wire_id: Its id, 16 hex digits.
        is_unsafe: Whether it must not run twice.
        deadline_s: How long its client waits, from its last byte.
        body_bytes: The size of its body.
        value_bytes: The size of the value that backends make for it.
        pace: How backends write their answer.
        service_time_s: How long a backend works on it.
        backend_read_rate: At how many bytes per second backends read it; 0 for at once.
        written_at: When its last byte was written.
        first_byte_at: When the first byte of the answer arrived.
        ended_at: When its answer was complete.
        left_at: When its client closed the connection before the answer.
        is_expendable: Whether its client opened a connection into a crowd, where new connections
            may be closed unread.
        is_read_slowly: Whether its client reads the answer slowly.
        is_repeated: Whether another client sends a request with the same id.
    """

    wire_id: str
    is_unsafe: bool
    deadline_s: float
    body_bytes: int = 0
    value_bytes: int = 100
    pace: AnswerPace = AnswerPace.AT_ONCE
    service_time_s: float = 0.01
    backend_read_rate: float = 0.0
    written_at: float | None = None
    first_byte_at: float | None = None
    ended_at: float | None = None
    left_at: float | None = None
    is_expendable: bool = False
    is_read_slowly: bool = False
    is_repeated: bool = False
    ending: Ending = Ending.MISSING
    detail: str = ""
    runs: list[BackendRun] = field(default_factory=list)

    def value(self) -> bytes:
        """Return the value that a backend makes for this request."""
        return value_of(self.wire_id, self.value_bytes)


def value_of(wire_id: str, size: int) -> bytes:
    """Return `size` bytes that no other request gets."""
    return (wire_id.encode() * (size // WIRE_ID_LENGTH + 1))[:size]


class Journal:
    """All requests of a soak by id, and violations that were seen while it ran."""

    def __init__(self) -> None:
        self.requests: dict[str, RequestRecord] = {}
        self.violations: list[str] = []
        self.started_at = time.monotonic()
        self.lags: list[tuple[float, float]] = []  # when the event loop was late, and by how much

    def lag_s(self, begins_at: float, ends_at: float) -> float:
        """Return how late the soak's own event loop was at most between two times."""
        return max(
            (lag for at, lag in self.lags if begins_at <= at and at - lag <= ends_at), default=0.0
        )

    def add(self, record: RequestRecord) -> RequestRecord:
        """Add a request."""
        self.requests[record.wire_id] = record
        return record

    def since_start(self, at: float | None) -> str:
        """Return a time of the journal as text, in seconds since the start."""
        return "-" if at is None else f"{at - self.started_at:.3f}"
