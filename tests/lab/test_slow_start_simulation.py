"""Tests of slow start with the combined load of many ingresses, and of the slow-start checker."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

import pytest

from dockthread.lab.slow_start.checker import Overload, SlowStartChecker, WarmUpLimits
from dockthread.lab.slow_start.scenario import SLOW_KIND, TWO_KINDS, Scenario
from dockthread.lab.slow_start.seeds import SeedResult, run_seed
from dockthread.policy import SafetyLimits
from dockthread.policy.slow_start import RecoveryRamp
from tests.policy.harness import OPEN_PLAN, RATE_PLAN, SETTINGS, IngressHarness, endpoint


class ClusterSize(NamedTuple):
    """The number of ingresses and backends, and the number of seeds that a test runs with them."""

    ingress_count: int
    backend_count: int
    seed_count: int


LARGEST_SIZE = ClusterSize(200, 20, 1)
SIZES = (ClusterSize(3, 12, 8), ClusterSize(30, 12, 4), LARGEST_SIZE)
# All backends restart while requests wait for them, and more requests arrive than they can serve.
ALL_COLD = Scenario(
    3,
    12,
    cold_fraction=1.0,
    load=0.8,
    burst_factor=1.5,
    is_restart=True,
    downtime=5.0,
    late_fraction=0.1,
    traffic_deviation=1.0,
    kinds=SLOW_KIND,
)
HALF_COLD = Scenario(
    3,
    12,
    cold_fraction=0.5,
    load=0.5,
    burst_factor=1.5,
    is_restart=True,
    late_fraction=0.2,
    notification_delay=3.0,
    traffic_deviation=1.0,
    kinds=TWO_KINDS,
)


def run_seeds(scenario: Scenario, size: ClusterSize, seeded_defect: str = "") -> list[SeedResult]:
    scenario = replace(scenario, ingress_count=size.ingress_count, backend_count=size.backend_count)
    seeds = range(1, size.seed_count + 1)
    return [run_seed(seed, scenario, seeded_defect) for seed in seeds]


@pytest.mark.parametrize("plan", [OPEN_PLAN, RATE_PLAN])
def test_request_that_waits_for_a_backend_is_admitted_after_its_customer_state_expired(
    plan: int,
) -> None:
    ingress = IngressHarness(replace(SETTINGS, may_gossip=False), backends=0)
    request = ingress.send_request(plan=plan, remaining_time=30.0)
    # A token bucket of 8 units is full again after 4 s; then the state of its customer expires.
    ingress.run_until(ingress.now + 8.0)
    ingress.list_endpoints(endpoint(0))
    assert ingress.is_admitted(request)


@pytest.mark.parametrize("size", SIZES)
def test_backends_that_all_restart_cold_are_neither_overloaded_nor_idle(size: ClusterSize) -> None:
    for result in run_seeds(ALL_COLD, size):
        assert not result.overloads
        assert result.used_capacity > 0.3, "the cold backends are mostly idle"


@pytest.mark.parametrize("size", SIZES)
def test_cold_backends_beside_warm_ones_are_neither_overloaded_nor_idle(size: ClusterSize) -> None:
    for result in run_seeds(HALF_COLD, size):
        assert not result.overloads
        assert result.used_capacity > 0.2
        assert result.in_time > 0.5 * result.achievable_in_time


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("seeded_defect", ["warmth-ignored", "unbounded"])
def test_checker_finds_an_engine_without_slow_start(size: ClusterSize, seeded_defect: str) -> None:
    assert any(result.violations for result in run_seeds(ALL_COLD, size, seeded_defect))


def test_checker_finds_an_engine_that_uses_the_ramp_of_all_ingresses_alone() -> None:
    results = run_seeds(ALL_COLD, LARGEST_SIZE, "each-as-if-alone")
    assert any(result.violations for result in results)


TEST_LIMITS = WarmUpLimits(
    cold_capacity=0.25, warm_up_time=15.0, overload_multiple=2.0, overload_time=2.0
)


def overloads_of(arrival_times: list[float], was_sender_notified: bool = True) -> list[Overload]:
    """Return the overloads of a backend that starts at 100 s and serves 16 requests per second."""
    checker = SlowStartChecker(TEST_LIMITS)
    checker.on_backend_started(1, 100.0, 16.0)
    for at in arrival_times:
        checker.on_request_arrived(1, at, 1.0, was_sender_notified)
    return checker.overloads


def test_checker_compares_the_work_in_any_period_with_the_minimum_capacity() -> None:
    checker = SlowStartChecker(TEST_LIMITS)
    min_capacities = [checker.min_capacity(age) for age in (0.0, 5.0, 15.0, 99.0)]
    assert min_capacities == [0.25, 0.5, 1.0, 1.0]
    # At the start N is 2 x 0.25 x 16 requests per second x 2 s = 16, and 2 x 4 + 2 more requests are
    # attributed to random variation.
    assert not overloads_of([100.0] * 26)
    (overload,) = overloads_of([100.0] * 27)
    assert overload.allowed_work == pytest.approx(16.0)
    assert overload.violates_rule
    assert not overloads_of([100.0] * 26 + [102.0] * 26), (
        "requests from more than 2 s ago are counted"
    )
    assert not overloads_of([100.0] * 27, was_sender_notified=False)[0].violates_rule
    assert not overloads_of([115.0] * 999), "a warm backend is checked"


def attempts_allowed_to_all_ingresses(ingress_count: int, total_weight: float) -> float:
    """Return how many attempts the recovery ramps of all ingresses allow together in 3 s.

    Before that, 20 warm backends have served 200 requests per second for 60 s.
    """
    safety = SafetyLimits(
        cold_capacity=0.2, warm_up_time=10.0, overload_multiple=3.0, overload_time=3.0
    )
    ramp = RecoveryRamp(safety, ingress_count, 0.0)
    for response in range(1, 12_001):  # 60 s of responses, evenly distributed over the ingresses
        if response % ingress_count == 0:
            ramp.on_response(response / 200, 20.0, 0.3)
    sent = 0
    now = 60.0
    ramp.advance(now, total_weight, 0.3)
    while now < 63.0:
        now += 0.001
        ramp.advance(now, total_weight, 0.3)
        while ramp.available >= 1:
            ramp.available -= 1
            sent += 1
    return sent * ingress_count


def test_recovery_ramps_allow_the_same_total_for_any_number_of_ingresses() -> None:
    # Each of 20 backends served 10 requests per second. While all of them are cold, the allowed rate
    # is 3 times a fifth of that, over 3 s.
    budget = 3.0 * 0.2 * 20 * 10.0 * 3.0
    for ingress_count in (3, 30):
        allowed = attempts_allowed_to_all_ingresses(ingress_count, 0.2 * 20)
        assert 0.6 * budget < allowed <= budget + ingress_count
    assert attempts_allowed_to_all_ingresses(30, 0.0) <= 30, (
        "more than one attempt per ingress is allowed without a backend"
    )
