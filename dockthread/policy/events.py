"""The events that the policy engine handles; times and durations are in seconds.

Requests, backends and customers are identified by number. The attempts of a request are numbered
from 0 in the order in which they are sent.
"""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.policy.model import Endpoint, EndpointListKind, Outcome
from dockthread.policy.route import Route


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """A list of endpoints, or changes to it, was received.

    Attributes:
        kind: how to interpret the list.
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
        remaining_time: time until the client stops waiting, s.
        units: units that the request is expected to cost.
        spread: number of ingresses that serve the customer's requests.
        first_ingress: number of the first of these ingresses; the others have the numbers after it.
        route: the request's route, which adds limits to those of the deployment; None if there is
            no route.
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
    """The ingress began to pass the response of an attempt on to the client.

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
        is_final: whether the request now has its final answer.
        duration: time from sending the attempt to its end, s.
        actual_units: units that the request cost; 0 if that is unknown.
        reported_usage: usage of the customer at all ingresses over the last usage report period,
            as a fraction of its limit; None if it was not reported.
        load_report: values of the fields in `PolicySettings.load_report_fields`; empty if there was
            no report.
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
    """The time of a `SetTimer` action was reached.

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
        duration: time from sending the check to its end, s.
        load_report: load report in the format of `AttemptEnded.load_report`.
    """

    backend: int
    outcome: Outcome
    duration: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A gossip message from a peer was received.

    Attributes:
        peer: the number of the ingress that sent it.
        data: the message as `gossip_codec` encodes it.
    """

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """A call to the shared counter ended.

    With the outcome OK the amount was added, and with an outcome in `NEVER_RAN` it was not. With
    any other outcome it is assumed to have been added.

    Attributes:
        name: the name of the total.
        outcome: how the call ended.
        total: the total after the call if the outcome is OK, in units.
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
