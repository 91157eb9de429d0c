"""Events: what the policy engine is notified of. Times and durations are in seconds."""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.policy.model import Endpoint, EndpointListKind, Outcome
from dockthread.policy.route import Route


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """A list of workers, or changes of it."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request has been read. `time_left`: s until its client waits no more."""

    request: int
    request_class: int
    plan: int
    customer: int
    remaining_time: float
    units: float = 1.0
    spread: int = 1
    first_ingress: int = 0
    route: Route | None = None


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer of an attempt has begun to pass on to the client."""

    request: int
    attempt: int
    backend: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """`finished`: the request has its final answer. `metered`: the customer's use by all gateways
    over the meter's last period as a share of its limit, or None. `load` follows
    Settings.load_names, or is empty.
    """

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    is_final: bool
    duration: float
    actual_units: float = 0.0
    reported_usage: float | None = None
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has closed its connection."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a `SetTimer` has come."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The end of a `Probe`."""

    backend: int
    outcome: Outcome
    duration: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message of another gateway."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """The end of a `Count`. OK: `total` is what the number is now. FULL, UNREACHABLE and NOT_SENT:
    nothing was added. Anything else: the amount counts as added.
    """

    name: int
    outcome: Outcome
    total: float = 0.0


Event = (
    EndpointsListed
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | GossipReceived
    | CounterReplied
)
