"""Types that describe a deployment: request classes, plans, limits, costs and listed endpoints.

Times and durations are in seconds on one monotonic clock, the engine's. Backends and customers are
plain integers that carry identity only; positions in a tuple count from 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# The fraction of `PolicySettings.conn_idle`, the latest at which a backend closes an idle
# connection, after which an ingress closes it itself: a request must not meet the closing.
IDLE_CLOSE_FRACTION = 0.5


class Effect(Enum):
    """What a request changes, and so how it may be retried.

    SAFE requests are idempotent, KEYED ones are idempotent with an idempotency key that backends
    remember for a while, and UNSAFE ones are not idempotent.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which backends drop the duplicates of a keyed request: all, or those of one zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class BackendState(Enum):
    """Whether a backend takes requests, only finishes those that it has, or is gone."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """How a list of endpoints is to be read.

    CHANGES lists what changed, FULL replaces everything listed before, CACHED is a list of an
    earlier run, and FAILED says that there is no list.
    """

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended; those in `NEVER_RAN` prove that the backend did not run it."""

    OK = "ok"
    ERROR = "error"
    AT_CAPACITY = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    # Outcomes are counted on every attempt; Enum's own hash, in Python, costs five times as much.
    __hash__ = object.__hash__


# The outcomes after which an attempt has certainly not run, so that any request may be retried.
NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What requests of one class are worth, and by when they need an answer.

    Attributes:
        latency_objective: s within which an answer has its full worth.
        deadline: s after its arrival by which a request is to have its final answer.
        priority_weight: worth of an answer, relative to other classes.
        late_weight: worth of an answer after the objective; read, and not used.
        effect: how a request of the class may be retried.
        deduplication_scope: which backends drop duplicates of a keyed request.
        deduplication_window: s for which these remember an idempotency key.
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
    """The quota of each customer of a plan, over all ingresses; 0 stands for "no such limit".

    Attributes:
        rate: refill of the customer's token bucket, units/s.
        burst: size of the token bucket, units.
        max_in_flight: attempts of a customer in flight at once.
        priority_multiplier: factor on the priority weight of the customer's requests.
        over_quota_weight: worth of an answer beyond the quota; read, and not used.
        over_quota_cost: cost of an answer beyond the quota; read, and not used.
        ceiling_rate: refill of a second bucket that is never exceeded, units/s.
        ceiling_burst: size of the second bucket, units.
        ceiling_slack: units by which the ceiling may be exceeded; read, and not used.
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
        """Return what a request of `units` counts as: one where the plan only caps attempts."""
        return units if self.rate else 1.0


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """Limits that protect backends and clients.

    Attributes:
        answer_slack: s by which an answer may come after the deadline; read, and not used.
        drain_grace: s for which attempts may still be sent to a backend that began to drain.
        cold_capacity: fraction of its capacity that a backend has at its start.
        warm_up_time: s after its start at which a backend has its full capacity.
        overload_multiple: multiple of its capacity that overloads a backend.
        overload_time: s for which a backend withstands that.
        poll_interval: s within which a lost endpoint list is to be polled again.
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
    """Costs, each as a fraction of the worth of the request concerned.

    Attributes:
        cross_zone: cost of an attempt in another zone.
        waste: cost of an attempt whose answer is not needed; read, and not used.
        health_check: cost of a health check; read, and not used.
        gossip: cost of a gossip message; read, and not used.
        late_failure: cost of a request that fails late; read, and not used.
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
    """All that an ingress's policy engine is given before its first event.

    Attributes:
        ingress_number: this ingress's number, from 0.
        ingress_count: how many ingresses the deployment has.
        classes: request classes, by position.
        plans: customers' plans, by position.
        zone: the zone of this ingress.
        clock_tick: resolution of timers, s.
        safety: limits that protect backends and clients.
        costs: what attempts and messages cost.
        max_attempts: attempts of a request at the most.
        may_hedge: whether a second attempt may run beside a slow first one.
        may_cancel: whether an attempt may be cancelled.
        may_check_health: whether health checks may be sent; the engine sends none.
        may_gossip: whether gossip may be sent to peers.
        max_retry_after: longest advice to a rejected client when to retry, s.
        gossip_intake_rate: messages/s that an ingress can take in.
        max_request_units: units of the largest request.
        settles_units: whether the actual units of a request are charged at its end.
        usage_report_period: s over which reported usage is measured; 0 where none is reported.
        may_use_counter: whether there is a counter that all ingresses share.
        clock_offset: s to add to this ingress's clock to get the one that all ingresses share.
        conn_idle: s after which a backend closes an idle connection.
        load_report_fields: names of the numbers in a load report, in order.
        has_load_reports: whether answers carry load reports.
        must_poll_endpoints: whether the engine has to ask for the endpoint list.
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
    settles_units: bool = False
    usage_report_period: float = 0.0
    may_use_counter: bool = False
    clock_offset: float = 0.0
    conn_idle: float = 15.0
    load_report_fields: tuple[str, ...] = ()
    has_load_reports: bool = False
    must_poll_endpoints: bool = False


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One backend as it is listed.

    Attributes:
        backend: the backend's number.
        state: whether it may be sent requests.
        zone: the zone that it is in.
        kind: its hardware kind; backends of one kind are assumed alike at first.
        cell: its cell, within which keyed requests may be deduplicated.
        weight: its capacity relative to other backends.
        started_at: when its process started, s on the engine's clock; 0 for long ago.
    """

    backend: int
    state: BackendState
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0
