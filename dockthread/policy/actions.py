"""Actions: what the policy engine asks its host to carry out. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start the request's next attempt; attempts are numbered 0, 1, 2... in the order sent. One
    whose first byte has not gone out at `begin_by`, as its connection comes up late, is not sent:
    it would repeat what may have run outside the window for repeats.
    """

    request: int
    backend: int
    timeout: float
    start_deadline: float = inf


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: turned away, harmless to try again, best after `retry_after` (0: no advice).

    `reason`: what turned it away at its arrival (`quota`, `cap`, `pressed`, `ceiling`), or
    empty.
    """

    request: int
    retry_after: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise either way."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give up an attempt that is out."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Tell `TimerFired` at a time on the module's clock."""

    at: float
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask a worker how it is, without a request."""

    backend: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send bytes (at most 256) to one peer, or to every one where `peer` is None."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a number that the counter keeps for all gateways. It starts at 0 and is forgotten when
    the `life` of its first call is over. Each call is answered by one `Counted`.
    """

    name: int
    amount: float
    lifetime: float


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Ask to be sent the list of workers and its changes."""


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
