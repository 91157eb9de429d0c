"""Types that describe a deployment: request classes, plans, limits, costs and listed endpoints.

Times and durations are in seconds on one monotonic clock. Backends and customers are plain integers
that carry identity only; positions count from 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a request does to the world, and so how it may be repeated."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which workers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class BackendState(Enum):
    """Whether a worker takes requests, finishes those it has, or is gone."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """How a list of workers is to be read."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended. FULL, UNREACHABLE and NOT_SENT prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    AT_CAPACITY = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    # counted by outcome on every call: Enum's own, in Python, costs five times as much
    __hash__ = object.__hash__


NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What requests of one class are worth, and by when. Times in seconds."""

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
    """A quota of each customer of the plan, over all gateways together. 0 stands for 'no such
    limit'.
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
        """What a request of these units counts as: one attempt, where there is no quota and only a
        cap on them.
        """
        return units if self.rate else 1.0


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """Figures of the rules. Times in seconds."""

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold_capacity: float = 1.0
    warm_up_time: float = 0.0
    overload_multiple: float = 1.0
    overload_time: float = 1.0
    poll_interval: float = 10.0


@dataclass(frozen=True, slots=True)
class CostWeights:
    """Costs, each as a share of the worth asked for."""

    cross_zone: float = 0.0
    waste: float = 0.0
    health_check: float = 0.0
    gossip: float = 0.0
    late_failure: float = 0.0
    handshake: float = 0.0  # of each new connection to a worker


# of `Settings.conn_idle`, the latest at which a worker closes: when an ingress closes it itself
IDLE_CLOSE_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """All that a gateway is told before its first event. Times in seconds."""

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
    clock_offset: float = (
        0.0  # of this gateway's clock: what makes it the one that all gateways read
    )
    conn_idle: float = 15.0  # after which a worker closes an idle connection
    load_report_fields: tuple[str, ...] = ()
    has_load_reports: bool = False
    must_poll_endpoints: bool = False


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One worker as it is listed. `started`: s on the module's clock, 0 for long ago."""

    backend: int
    state: BackendState
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0
