"""Tests of the whole policy engine: settings, determinism, expiry, and polling for endpoints."""

from __future__ import annotations

import math
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

from dockthread.policy import (
    Action,
    EndpointListKind,
    EndpointsListed,
    Outcome,
    Plan,
    PollEndpoints,
    RequestArrived,
    TimerFired,
)
from tests.policy.harness import (
    COUNTER_SETTINGS,
    RATE_PLAN,
    SETTINGS,
    UNSAFE,
    IngressHarness,
    endpoint,
)


@pytest.mark.parametrize("change", [{"ingress_count": 1}, {"may_gossip": False}, {"plans": ()}])
def test_engine_runs_as_the_only_ingress_without_gossip_or_without_plans(
    change: dict[str, object],
) -> None:
    settings = replace(SETTINGS, **{"plans": (Plan(),), **change})  # type: ignore[arg-type]
    ingress = IngressHarness(settings)
    ingress.run_until(ingress.now + 1)
    assert not ingress.sent_gossip or settings.ingress_count > 1
    if settings.plans:
        assert ingress.is_admitted(ingress.send_request())


def test_same_seed_and_events_give_the_same_actions() -> None:
    def run_engine() -> list[list[Action]]:
        ingress = IngressHarness(seed=3)
        return [
            ingress.handle(RequestArrived(number, number % 3, number % 4, number % 5, 4.0))
            for number in range(1, 80)
        ]

    assert run_engine() == run_engine()


def test_files_listed_as_policy_exist_and_are_short() -> None:
    root = Path(__file__).parents[2]
    policy_files = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
    assert len(policy_files) == len(set(policy_files))
    for file in policy_files:
        lines = (root / file).read_text().splitlines()
        assert sum(bool(line.strip()) for line in lines) <= 400, file
        assert max(map(len, lines)) <= 100, file


def test_failed_endpoint_list_is_polled_again() -> None:
    ingress = IngressHarness(replace(SETTINGS, must_poll_endpoints=True))
    ingress.handle(EndpointsListed(EndpointListKind.FAILED, ()))
    is_polled = False
    while ingress.timers and not is_polled and ingress.now < 110:
        due_timer = min(ingress.timers)
        ingress.timers.remove(due_timer)
        ingress.now = due_timer[0]
        is_polled = PollEndpoints() in ingress.handle(TimerFired(due_timer[1]))
    assert is_polled
    assert ingress.is_admitted(ingress.send_request())


def test_delisted_backends_and_idle_customers_expire_and_a_restart_resets_backend_state() -> None:
    ingress = IngressHarness(COUNTER_SETTINGS)
    for customer in range(500):
        ingress.end_attempt(ingress.send_request(plan=RATE_PLAN, customer=customer), 0, Outcome.OK)
    request = ingress.send_request(UNSAFE, plan=RATE_PLAN, customer=1000)
    backend = ingress.engine.backends.by_number[ingress.attempts[request][0].backend]
    backend.failure_fraction, backend.at_capacity_until = 0.9, {RATE_PLAN: math.inf}
    ingress.list_endpoints(replace(backend.endpoint, started_at=ingress.now))
    assert (backend.failure_fraction, backend.at_capacity_until) == (0.0, {})
    ingress.list_endpoints(endpoint(50), kind=EndpointListKind.FULL)
    ingress.run_until(ingress.now + 40)
    # The delisted backend with an attempt in flight is kept.
    assert set(ingress.engine.backends.by_number) == {backend.endpoint.backend, 1050}
    assert set(ingress.engine.customers.by_number) == {1000}
    ingress.end_attempt(request, 0, Outcome.OK)
    ingress.run_until(ingress.now + 10)
    assert set(ingress.engine.backends.by_number) == {1050}
    assert not ingress.engine.customers.by_number
