"""The actions that the policy engine asks its host to carry out; times are in seconds.

Requests and backends are identified by number. The attempts of a request are numbered from 0 in the
order in which they are sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request's next attempt.

    If the connection is established so late that the first byte cannot be sent by `start_deadline`,
    the attempt must not be sent: it might repeat, after the deduplication window, a request that
    has already run.

    Attributes:
        request: the request's number.
        backend: the backend to send it to.
        timeout: longest time that the attempt may take, s.
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
        retry_after: time after which a retry is advised, s; 0 for no advice.
        reason: the check that rejected the request at its arrival (`quota`, `cap`, `pressed`,
            `ceiling`), or empty.
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
    """Notify the engine with a `TimerFired` event at a given time.

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
        data: the message, of at most 256 bytes.
        peer: the number of the ingress to send it to; None for every peer.
    """

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a total of the shared counter; each call results in one `CounterReplied` event.

    A total starts at 0 with the first call for its name.

    Attributes:
        name: the name of the total.
        amount: units to add; may be 0 to read the total, and below 0 to correct it.
        lifetime: time after the first call at which the counter drops the total, s.
    """

    name: int
    amount: float
    lifetime: float


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Request the endpoint list and its changes from discovery."""


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
