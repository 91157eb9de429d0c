"""The probability with which a request of a customer is admitted (rakelimit's algorithm).

rakelimit (Cloudflare's rate limiter on count-min sketches) admits each request with the probability
`quota / arrival rate`, so that the admitted requests add up to the quota. Here each ingress applies
its share of the quota to its own arrivals. When it knows the usage of the other ingresses, it also
adjusts the probability by the level of the customer's token bucket.
"""

from __future__ import annotations

from dockthread.policy.context import Context
from dockthread.policy.customer import Customer
from dockthread.policy.gossip import GossipProtocol
from dockthread.policy.model import Plan, RequestClass
from dockthread.policy.rate_sketch import RateSketch
from dockthread.policy.usual_latency import UsualLatencies

# Reserve in the token bucket, as a fraction of the burst, for the class of the highest priority,
# and the additional reserve for a class of priority 0.
RESERVE = 0.15
LOW_PRIORITY_RESERVE = 0.35
# The same two reserves when gossip reports what the other ingresses admit.
GOSSIP_RESERVE = 0.05
GOSSIP_LOW_PRIORITY_RESERVE = 0.2
# Average fraction of a cap on attempts in flight that may be used: random variation fills the
# remainder at times.
CAP_UTILIZATION = 0.5
# A usage report is ignored when it is older than this many usage report periods.
USAGE_REPORT_MAX_PERIODS = 2.5


class AdmissionProbability:
    """Computes the probability with which each request is admitted.

    Attributes:
        highest_priority_weight: the largest priority weight of all classes.
    """

    __slots__ = ("_context", "_gossip", "_latencies", "highest_priority_weight")

    def __init__(self, context: Context, gossip: GossipProtocol, latencies: UsualLatencies) -> None:
        self._context = context
        self._gossip = gossip
        self._latencies = latencies
        self.highest_priority_weight = 0.0
        self.apply_classes(context.settings.classes)

    def apply_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Derive the highest priority weight from the current classes."""
        self.highest_priority_weight = max(
            request_class.priority_weight for request_class in classes
        )

    def of_request(
        self,
        units: float,
        priority_weight: float,
        customer: Customer,
        plan: Plan,
        sketch: RateSketch,
    ) -> float:
        """Return the probability with which a request of `units` is admitted.

        This ingress's share of the quota is proportional to its share of the arrivals if the other
        ingresses report theirs by gossip. Otherwise it is proportional to its share of the admitted
        units, according to the counter or, failing that, the usage report. The share is never less
        than an even split, which applies when there is no information. When the usage of the other
        ingresses is known, the probability also depends on the token bucket.
        """
        is_peer_usage_known = self._gossip.knows_peer_usage(customer)
        may_use_counter = self._context.settings.may_use_counter
        if is_peer_usage_known or (not may_use_counter and self._gossip.has_recent_message()):
            return self._by_gossip(
                units, priority_weight, customer, plan, sketch, is_peer_usage_known
            )
        # One attempt at each ingress that serves the customer would already exceed the cap.
        is_crowded = 0 < plan.max_in_flight < customer.spread and not plan.rate
        min_share = 0.0 if is_crowded else units / sketch.window
        share = max(self._limit_rate(plan) / customer.spread, min_share)
        if not may_use_counter or not plan.rate:
            return min(1.0, share / customer.arrival_rate)
        return self._by_counter(units, priority_weight, customer, plan, sketch, share)

    def _by_gossip(  # noqa: PLR0913  a parameter object would cost an allocation per request
        self,
        units: float,
        priority_weight: float,
        customer: Customer,
        plan: Plan,
        sketch: RateSketch,
        is_peer_usage_known: bool,
    ) -> float:
        """Return the probability based on the arrivals that the other ingresses report."""
        if not plan.rate and is_peer_usage_known:
            return 1.0  # only the cap on attempts in flight applies, and peers report theirs
        rate = self._limit_rate(plan)
        gap = self._context.now - customer.gossip_at
        peer_rate = sketch.decayed_rate(customer.peer_arrival_rate, 0.0, gap)
        proportional_share = rate * customer.arrival_rate / (customer.arrival_rate + peer_rate)
        share = max(proportional_share, rate / customer.spread)
        probability = min(1.0, share / customer.arrival_rate)
        unreported_units = customer.peer_admission_rate * min(gap, self._gossip.full_round_time)
        return self._adjust_by_bucket_level(
            units, priority_weight, customer, probability, unreported_units, is_peer_usage_known
        )

    def _by_counter(  # noqa: PLR0913  a parameter object would cost an allocation per request
        self,
        units: float,
        priority_weight: float,
        customer: Customer,
        plan: Plan,
        sketch: RateSketch,
        share: float,
    ) -> float:
        """Return the probability based on the counter or the usage report."""
        now = self._context.now
        gap = now - customer.counter_at
        is_counter_fresh = gap <= sketch.window
        local_rate = sketch.decayed_rate(customer.local_rate, 0.0, now - customer.local_rate_at)
        if is_counter_fresh:
            remote_rate = customer.remote_rate
        else:
            remote_rate = max(0.0, customer.reported_usage * plan.rate - local_rate)
        if local_rate and (is_counter_fresh or self._is_usage_report_fresh(customer)):
            share = max(share, plan.rate * local_rate / (local_rate + remote_rate))
        probability = min(1.0, share / customer.arrival_rate)
        if is_counter_fresh:
            unreported_units = customer.remote_rate * gap
            return self._adjust_by_bucket_level(
                units, priority_weight, customer, probability, unreported_units, False
            )
        return probability if customer.quota.level >= units else 0.0

    def _is_usage_report_fresh(self, customer: Customer) -> bool:
        age = self._context.now - customer.reported_usage_at
        return age < USAGE_REPORT_MAX_PERIODS * self._context.settings.usage_report_period

    def _adjust_by_bucket_level(  # noqa: PLR0913  an object would cost an allocation per request
        self,
        units: float,
        priority_weight: float,
        customer: Customer,
        probability: float,
        unreported_units: float,
        is_peer_usage_known: bool,
    ) -> float:
        """Adjust a probability by the level of the customer's token bucket.

        The probability is unchanged when the level equals a reserve. Above the reserve it rises to
        1, because the units in the bucket are within the quota, and below it falls to 0. The
        reserve is larger for classes of lower priority, which leaves units for the other classes.

        Args:
            units: units of the request.
            priority_weight: priority weight of the request's class.
            customer: the request's customer.
            probability: the probability to adjust.
            unreported_units: units that the other ingresses are expected to have taken since their
                last report.
            is_peer_usage_known: whether the usage of all other ingresses is known by gossip.
        """
        plan = self._context.settings.plans[customer.plan_number]
        if not plan.rate:
            return probability
        priority_deficit = 1 - priority_weight / self.highest_priority_weight
        if is_peer_usage_known:
            reserve = GOSSIP_RESERVE + GOSSIP_LOW_PRIORITY_RESERVE * priority_deficit
        else:
            reserve = RESERVE + LOW_PRIORITY_RESERVE * priority_deficit
        relative_level = (customer.quota.level - unreported_units - units) / plan.burst / reserve
        if relative_level < 1:
            return probability * max(0.0, relative_level)
        return probability + (1 - probability) * min(1.0, relative_level - 1)

    def _limit_rate(self, plan: Plan) -> float:
        """Return the plan's limit in units per second.

        It is the quota. For a plan that only caps attempts in flight it is, by Little's law, the
        rate that the cap allows at the usual response time.
        """
        return plan.rate or CAP_UTILIZATION * plan.max_in_flight / self._latencies.mean()
