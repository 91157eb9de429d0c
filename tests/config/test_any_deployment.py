"""Properties of several ingresses with random settings, simulated under one clock."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from dockthread.policy import (
    AttemptEnded,
    DeduplicationScope,
    Effect,
    Outcome,
    Plan,
    PolicySettings,
    RequestClass,
    SafetyLimits,
)
from tests.config.ingress_cluster import START, IngressCluster, RequestKey, random_requests

DURATION = 24.0  # s during which the customer sends requests
CLASSES = (
    RequestClass(0.6, 2.0, priority_weight=1, effect=Effect.SAFE),
    RequestClass(
        0.6,
        2.5,
        priority_weight=3,
        effect=Effect.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=2.5,
    ),
    RequestClass(0.6, 2.5, priority_weight=2, effect=Effect.UNSAFE),
)
LOAD_REPORT_FIELDS = ("rif", "busy", "rate", "lat_ms", "q", "fail_rate")
MAX_LOAD_REPORT_FIELDS = 4


def _build_plan(rate: float, burst_seconds: float, has_ceiling: bool) -> Plan:
    plan = Plan(rate=rate, burst=max(8.0, rate * burst_seconds), over_quota_cost=0.6)
    if not has_ceiling:
        return plan
    return replace(
        plan, ceiling_rate=2 * plan.rate, ceiling_burst=2 * plan.burst, ceiling_slack=4.0
    )


def _build_settings(
    ingress_count: int,
    may_gossip: bool,
    may_use_counter: bool,
    has_usage_reports: bool,
    plan: Plan,
    load_report_fields: list[str],
) -> PolicySettings:
    return PolicySettings(
        ingress_number=0,
        ingress_count=ingress_count,
        classes=CLASSES,
        plans=(plan,),
        max_attempts=3,
        may_cancel=True,
        safety=SafetyLimits(0.016, 0.25, 0.2, 16.0, 3.0, 2.0),
        may_gossip=may_gossip,
        may_use_counter=may_use_counter,
        usage_report_period=1.0 if has_usage_reports else 0.0,
        max_request_units=4,
        load_report_fields=tuple(load_report_fields[:MAX_LOAD_REPORT_FIELDS]),
        has_load_reports=bool(load_report_fields),
        clock_tick=0.004,
    )


def deployments() -> st.SearchStrategy[PolicySettings]:
    plans = st.builds(
        _build_plan,
        st.sampled_from([4.0, 10.0, 30.0]),
        st.sampled_from([1.0, 2.0, 4.0]),
        st.booleans(),
    )
    return st.builds(
        _build_settings,
        st.integers(1, 4),
        st.booleans(),
        st.booleans(),
        st.booleans(),
        plans,
        st.lists(st.sampled_from(LOAD_REPORT_FIELDS), unique=True),
    )


@settings(
    max_examples=40, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
@given(deployments(), st.integers(1, 1000))
def test_excess_demand_is_limited_to_about_the_quota_and_each_request_is_answered_once(
    policy_settings: PolicySettings, seed: int
) -> None:
    """One customer sends three times its quota.

    If the ingresses learn of each other's usage by gossip or from the counter, together they admit
    0.7 to 1.25 times the quota. Otherwise they admit at least half of it: the quota is split evenly
    over the ingresses, and an ingress with little demand leaves a part of its share unused.
    """
    cluster = IngressCluster(policy_settings, seed)
    plan = policy_settings.plans[0]
    spread = policy_settings.ingress_count
    for planned_request in random_requests(cluster, spread, 3.0, DURATION):
        cluster.request(
            planned_request.ingress, planned_request.units, planned_request.request_class, spread
        )
    admitted = cluster.admitted_units()
    quota = plan.burst + plan.rate * DURATION
    is_usage_shared = spread == 1 or policy_settings.may_gossip or policy_settings.may_use_counter
    slack = policy_settings.max_request_units * spread
    assert admitted <= 1.25 * quota + slack
    assert admitted >= (0.7 if is_usage_shared else 0.5) * quota - slack
    cluster.run_until(cluster.now + 4.0)
    assert all(len(answers) == 1 for answers in cluster.answers.values())


@settings(
    max_examples=25, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
@given(deployments(), st.integers(1, 1000))
def test_admitted_units_never_exceed_a_ceiling_when_gossip_is_lost(
    policy_settings: PolicySettings, seed: int
) -> None:
    ceiling_rate = 3.0
    ceiling_burst = 24.0
    plan = replace(
        policy_settings.plans[0],
        rate=60.0,  # so high that the ceiling is reached before the quota
        burst=200.0,
        ceiling_rate=ceiling_rate,
        ceiling_burst=ceiling_burst,
        ceiling_slack=4.0,
    )
    cluster = IngressCluster(replace(policy_settings, plans=(plan,)), seed, gossip_loss=0.2)
    spread = policy_settings.ingress_count
    for planned_request in random_requests(cluster, spread, 0.4, DURATION):
        cluster.request(
            planned_request.ingress, planned_request.units, planned_request.request_class, spread
        )
    token_balance = ceiling_burst
    refilled_at = START
    for first in cluster.first_attempts.values():
        refilled_balance = token_balance + ceiling_rate * (first.sent_at - refilled_at)
        token_balance = min(ceiling_burst, refilled_balance) - first.units
        refilled_at = first.sent_at
        assert token_balance >= -plan.ceiling_slack


@pytest.mark.parametrize("may_gossip", [True, False])
def test_a_plan_enforces_both_its_rate_and_its_limit_of_requests_in_flight(
    may_gossip: bool,
) -> None:
    plan = Plan(rate=20.0, burst=40.0, max_in_flight=3)
    policy_settings = PolicySettings(
        0,
        3,
        CLASSES,
        (plan,),
        max_attempts=3,
        may_gossip=may_gossip,
        may_use_counter=True,
        max_request_units=4,
    )
    cluster = IngressCluster(policy_settings, 4)
    in_flight: list[int] = []
    for planned_request in random_requests(cluster, 3, 3.0, DURATION):
        cluster.request(
            planned_request.ingress, planned_request.units, planned_request.request_class, 3
        )
        in_flight.append(
            sum(
                customer.in_flight
                for engine in cluster.engines
                for customer in engine.customers.by_number.values()
            )
        )
    above_cap = sum(count > plan.max_in_flight for count in in_flight) / len(in_flight)
    assert cluster.admitted_units() <= 1.25 * (plan.burst + plan.rate * DURATION)
    assert above_cap < (0.12 if may_gossip else 1.0), (
        "ingresses learn of attempts in flight elsewhere only by gossip"
    )
    assert max(in_flight) >= plan.max_in_flight, "the cap is reached"


def test_a_silent_backend_counts_as_failed_after_a_share_of_the_latency_objective() -> None:
    """The failure is detected between 1.05 and 1.15 times the latency objective.

    Before the first response, the policy engine assumes a response time of 0.2 times the latency
    objective with a mean deviation of 0.1 times the objective, and nine deviations count as silent.
    """
    for latency_objective in (0.6, 1.5, 3.0):
        classes = (RequestClass(latency_objective, 4 * latency_objective, effect=Effect.UNSAFE),)
        policy_settings = PolicySettings(0, 1, classes, (Plan(),), may_cancel=True)
        cluster = IngressCluster(policy_settings, 1, backends_answer=False)
        cluster.request(0, 1.0, 0, 1)
        backend = cluster.engines[0].backends.by_number[cluster.attempted_backends[0]]
        cluster.run_until(START + 1.05 * latency_objective)
        assert backend.failure_fraction == 0.0
        cluster.run_until(START + 1.15 * latency_objective)
        assert backend.failure_fraction > 0.4


@pytest.mark.parametrize(("reset_after", "is_retried"), [(0.1, True), (2.4, True), (2.6, False)])
def test_a_keyed_request_is_retried_only_in_its_zone_and_within_its_window(
    reset_after: float, is_retried: bool
) -> None:
    keyed = RequestClass(
        1.25,
        5.0,
        effect=Effect.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=2.5,
    )
    policy_settings = PolicySettings(0, 1, (keyed,), (Plan(),), max_attempts=3)
    for seed in range(8):
        cluster = IngressCluster(policy_settings, seed, backends_answer=False)
        cluster.request(0, 1.0, 0, 1)
        cluster.run_until(START + reset_after)
        (key,) = cluster.answers
        backend = cluster.attempted_backends[0]
        reset_event = AttemptEnded(key.request, 0, backend, Outcome.RESET, False, reset_after)
        cluster.handle(0, reset_event)
        assert len(cluster.attempted_backends) == 1 + is_retried
        zones = {backend_number % 2 for backend_number in cluster.attempted_backends}
        assert len(zones) == 1, "the backends of the other zone do not know the key"
        assert cluster.answers[RequestKey(0, key.request)] == ([] if is_retried else ["no"])
