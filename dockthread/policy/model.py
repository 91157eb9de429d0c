"""Types that describe a deployment: request classes, plans, limits, costs and listed endpoints.

Times and durations are in seconds on one monotonic clock, the engine's. Backends and customers are
plain integers that serve only as identifiers; positions in a tuple count from 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# An ingress closes an idle connection after this fraction of `PolicySettings.connection_idle_time`,
# the time after which the backend closes it. Otherwise a request could be sent on a connection that
# the backend is closing.
IDLE_CLOSE_FRACTION = 0.5


class Effect(Enum):
    """Whether a request is idempotent, which determines how it may be retried.

    SAFE requests are idempotent, KEYED requests are idempotent with an idempotency key that
    backends remember for a while, and UNSAFE requests are not idempotent.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which backends drop duplicates of a keyed request: all, or those of one zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class BackendState(Enum):
    """Whether a backend accepts requests, only finishes those in flight, or was removed."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """How to interpret a list of endpoints.

    CHANGES contains only changed endpoints, FULL replaces the previous list, CACHED is a list saved
    by an earlier run, and FAILED means that no list could be obtained.
    """

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended; an outcome in `NEVER_RAN` proves that the backend did not run it."""

    OK = "ok"
    ERROR = "error"
    AT_CAPACITY = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    # Outcomes are hashed for every attempt; Enum's own hash is written in Python and takes five
    # times as long.
    __hash__ = object.__hash__


# Outcomes that prove that an attempt did not run, so that any request may be retried.
NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Priority, latency requirements and retry rules of the requests of one class.

    Attributes:
        latency_objective: time within which an answer has its full value, s.
        deadline: time from its arrival within which a request must have its final answer, s.
        priority_weight: value of an answer, relative to other classes.
        late_weight: value of an answer after the objective; read from the settings but not used.
        effect: how a request of the class may be retried.
        deduplication_scope: which backends drop duplicates of a keyed request.
        deduplication_window: time for which these backends remember an idempotency key, s.
        is_stream: whether an answer is passed on to the client while it arrives.
    """

    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    late_weight: float = 0.0
    effect: Effect = Effect.UNSAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    is_stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """The limits of each customer of a plan, over all ingresses; 0 means that there is no limit.

    Attributes:
        rate: refill rate of the customer's token bucket, units/s.
        burst: size of the token bucket, units.
        max_in_flight: maximum number of a customer's attempts in flight.
        priority_multiplier: factor on the priority weight of the customer's requests.
        over_quota_weight: value of an answer beyond the quota; read from the settings but not used.
        over_quota_cost: cost of an answer beyond the quota; read from the settings but not used.
        ceiling_rate: refill rate of a second token bucket, which is never exceeded, units/s.
        ceiling_burst: size of the second token bucket, units.
        ceiling_slack: units by which the ceiling may be exceeded; read from the settings but not
            used.
    """

    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    priority_multiplier: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def charged_units(self, units: float) -> float:
        """Return the units that a request is charged: 1 if the plan only caps attempts."""
        return units if self.rate else 1.0


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """Limits that protect backends and clients.

    Attributes:
        answer_slack: time by which an answer may come after the deadline, s; read from the settings
            but not used.
        drain_grace: time for which attempts may still be sent to a backend that has begun to drain,
            s.
        cold_capacity: fraction of its capacity that a backend has when it starts.
        warm_up_time: time after its start until a backend has its full capacity, s.
        overload_multiple: load that overloads a backend, as a multiple of its capacity.
        overload_time: time for which a backend withstands such an overload, s.
        poll_interval: time within which a lost endpoint list must be polled again, s.
    """

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold_capacity: float = 1.0
    warm_up_time: float = 0.0
    overload_multiple: float = 1.0
    overload_time: float = 1.0
    poll_interval: float = 10.0


@dataclass(frozen=True, slots=True)
class CostWeights:
    """Costs, each as a fraction of the value of the request concerned.

    Attributes:
        cross_zone: cost of an attempt in another zone.
        waste: cost of an attempt whose answer is not needed; read from the settings but not used.
        health_check: cost of a health check; read from the settings but not used.
        gossip: cost of a gossip message; read from the settings but not used.
        late_failure: cost of a request that fails late; read from the settings but not used.
        handshake: cost of a new connection to a backend.
    """

    cross_zone: float = 0.0
    waste: float = 0.0
    health_check: float = 0.0
    gossip: float = 0.0
    late_failure: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """The settings of an ingress's policy engine.

    Attributes:
        ingress_number: this ingress's number, from 0.
        ingress_count: number of ingresses in the deployment.
        classes: request classes, by position.
        plans: customers' plans, by position.
        zone: the zone of this ingress.
        clock_tick: resolution of timers, s.
        safety: limits that protect backends and clients.
        costs: costs of attempts and messages.
        max_attempts: maximum number of attempts of a request.
        may_hedge: whether a second attempt may be sent while a slow first one is in flight.
        may_cancel: whether an attempt may be cancelled.
        may_check_health: whether health checks may be sent; the engine sends none.
        may_gossip: whether gossip may be sent to peers.
        max_retry_after: longest wait that a rejected client is advised before a retry, s.
        gossip_intake_rate: rate at which an ingress can receive gossip messages, messages/s.
        max_request_units: units of the largest request.
        charges_actual_units: whether a request is charged its actual units when it ends.
        usage_report_period: period over which reported usage is measured, s; 0 if usage is not
            reported.
        may_use_counter: whether there is a counter that all ingresses share.
        clock_offset: offset of the clock that all ingresses share from this ingress's clock, s.
        connection_idle_time: time after which a backend closes an idle connection, s.
        load_report_fields: names of the numbers in a load report, in order.
        has_load_reports: whether answers carry load reports.
        must_poll_endpoints: whether the engine must request the endpoint list.
        max_customers: maximum number of customers whose state is kept; 0 for no maximum.
    """

    ingress_number: int
    ingress_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    clock_tick: float = 0.001
    safety: SafetyLimits = SafetyLimits()
    costs: CostWeights = CostWeights()
    max_attempts: int = 1
    may_hedge: bool = False
    may_cancel: bool = False
    may_check_health: bool = False
    may_gossip: bool = False
    max_retry_after: float = 0.0
    gossip_intake_rate: float = 60.0
    max_request_units: float = 1.0
    charges_actual_units: bool = False
    usage_report_period: float = 0.0
    may_use_counter: bool = False
    clock_offset: float = 0.0
    connection_idle_time: float = 15.0
    load_report_fields: tuple[str, ...] = ()
    has_load_reports: bool = False
    must_poll_endpoints: bool = False
    max_customers: int = 0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The entry of one backend in the endpoint list.

    Attributes:
        backend: the backend's number.
        state: whether it may be sent requests.
        zone: the zone that it is in.
        kind: its hardware kind; backends of one kind are initially assumed to perform alike.
        cell: its cell, within which keyed requests may be deduplicated.
        weight: its capacity relative to other backends.
        started_at: time at which its process started, s on the engine's clock; 0 if that is long
            past.
    """

    backend: int
    state: BackendState
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0
