"""The decision module of one ingress: it turns events into actions and does no I/O.

`PolicyEngine.handle` takes one of the events in `events` and returns actions, defined in `actions`,
that its host must carry out in order. `model` defines the settings, enums and endpoints that events
and actions refer to.
"""

from dockthread.policy.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CheckHealth,
    Fail,
    PollEndpoints,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
)
from dockthread.policy.engine import PolicyEngine
from dockthread.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsListed,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from dockthread.policy.model import (
    IDLE_CLOSE_FRACTION,
    NEVER_RAN,
    BackendState,
    CostWeights,
    DeduplicationScope,
    Effect,
    Endpoint,
    EndpointListKind,
    Outcome,
    Plan,
    PolicySettings,
    RequestClass,
    SafetyLimits,
)
from dockthread.policy.route import Route

__all__ = [
    "IDLE_CLOSE_FRACTION",
    "NEVER_RAN",
    "Action",
    "AddToCounter",
    "AttemptEnded",
    "BackendState",
    "CancelAttempt",
    "CheckHealth",
    "ClientDisconnected",
    "CostWeights",
    "CounterReplied",
    "DeduplicationScope",
    "Effect",
    "Endpoint",
    "EndpointListKind",
    "EndpointsListed",
    "Event",
    "Fail",
    "GossipReceived",
    "HealthCheckEnded",
    "Outcome",
    "Plan",
    "PolicyEngine",
    "PolicySettings",
    "PollEndpoints",
    "Reject",
    "RequestArrived",
    "RequestClass",
    "ResponseStarted",
    "Route",
    "SafetyLimits",
    "SendAttempt",
    "SendGossip",
    "SetTimer",
    "TimerFired",
]
