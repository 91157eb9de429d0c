"""Events: what the policy engine is notified of; times and durations are in seconds.

Requests, backends and customers are named by number. A request's attempts are numbered from 0 in
the order sent.
"""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.policy.model import Endpoint, EndpointListKind, Outcome
from dockthread.policy.route import Route


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """A list of endpoints, or changes of it, was received.

    Attributes:
        kind: how the list is to be read.
        endpoints: the listed endpoints.
    """

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read from a client.

    Attributes:
        request: the request's number.
        request_class: position of its class in the settings.
        plan: position of its customer's plan in the settings.
        customer: the customer's number.
        remaining_time: s until the client no longer waits.
        units: units that the request is expected to cost.
        spread: how many ingresses the customer's requests are spread over.
        first_ingress: the first of these; the others follow it in number.
        route: limits beyond the deployment's own; None for none.
    """

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
    """The response of an attempt began to be passed on to the client.

    Attributes:
        request: the request's number.
        attempt: the attempt's number.
        backend: the backend that responds.
    """

    request: int
    attempt: int
    backend: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        request: the request's number.
        attempt: the attempt's number.
        backend: the backend that it was sent to.
        outcome: how it ended.
        is_final: whether the request has its final answer now.
        duration: s from sending the attempt to its end.
        actual_units: units that the request cost; 0 where that is unknown.
        reported_usage: usage of the customer at all ingresses over the last usage report period,
            as a fraction of its limit; None where it was not reported.
        load_report: the numbers that `PolicySettings.load_report_fields` names; empty for none.
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
    """A client closed its connection before the final answer.

    Attributes:
        request: the request's number.
    """

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a `SetTimer` action has come.

    Attributes:
        token: the timer's token.
    """

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check ended.

    Attributes:
        backend: the backend checked.
        outcome: how the check ended.
        duration: s from sending the check to its end.
        load_report: as in `AttemptEnded`.
    """

    backend: int
    outcome: Outcome
    duration: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A gossip message of a peer was received.

    Attributes:
        peer: the number of the ingress that sent it.
        data: the message as `gossip_codec` encodes it.
    """

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """A call of the shared counter ended.

    With the outcome OK the amount was added; with one of `NEVER_RAN` it was not; with any other it
    counts as added.

    Attributes:
        name: the name of the total.
        outcome: how the call ended.
        total: with OK, the total after the call, in units.
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
