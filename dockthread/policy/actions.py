"""Actions: what the policy engine asks its host to carry out; times are in seconds.

Requests and backends are named by number. A request's attempts are numbered from 0 in the order
sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request's next attempt.

    An attempt whose first byte has not been sent by `start_deadline`, as its connection comes up
    late, is not to be sent: it would repeat what may have run outside the deduplication window.

    Attributes:
        request: the request's number.
        backend: the backend to send it to.
        timeout: s that the attempt may take.
        start_deadline: the latest time at which it may start, s on the engine's clock.
    """

    request: int
    backend: int
    timeout: float
    start_deadline: float = inf


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer a request with a rejection, which promises that it did not run.

    Attributes:
        request: the request's number.
        retry_after: s after which a retry is advised; 0 for no advice.
        reason: what rejected the request at its arrival (`quota`, `cap`, `pressed`, `ceiling`), or
            empty.
    """

    request: int
    retry_after: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a request with a failure, which promises nothing about whether it ran.

    Attributes:
        request: the request's number.
    """

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight.

    Attributes:
        request: the request's number.
        attempt: the attempt's number.
    """

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Notify the engine by `TimerFired` at a time.

    Attributes:
        at: the time, s on the engine's clock.
        token: the timer's token.
    """

    at: float
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a backend.

    Attributes:
        backend: the backend to check.
    """

    backend: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip message to a peer.

    Attributes:
        data: the message, of 256 bytes at the most.
        peer: the number of the ingress to send it to; None for every peer.
    """

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a total of the shared counter; each call is answered by one `CounterReplied`.

    A total starts at 0 with the first call for its name.

    Attributes:
        name: the name of the total.
        amount: units to add; may be 0 to read the total, and below 0 to correct it.
        lifetime: s after the first call at which the counter drops the total.
    """

    name: int
    amount: float
    lifetime: float


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Ask discovery for the endpoint list and its changes."""


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | CheckHealth
    | SendGossip
    | AddToCounter
    | PollEndpoints
)
