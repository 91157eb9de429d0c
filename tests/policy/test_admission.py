"""Admission: quotas, priority under overload, the ceiling, and the cap on attempts in flight."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from dockthread.policy import (
    AttemptEnded,
    GossipReceived,
    Outcome,
    gossip_codec,
    queueing_delay,
)
from tests.policy.harness import (
    CEILING_PLAN,
    COUNTER_SETTINGS,
    RATE_PLAN,
    SAFE,
    SETTINGS,
    UNSAFE,
    IngressHarness,
    admitted_rate,
    customer_gossip,
)


def test_customer_far_beyond_its_quota_is_admitted_at_the_quota() -> None:
    assert admitted_rate(IngressHarness(), 200, 8.0) == pytest.approx(2.0, rel=0.15)


def test_quota_is_split_evenly_without_gossip() -> None:
    ingress = IngressHarness(replace(SETTINGS, may_gossip=False))
    assert admitted_rate(ingress, 300, 8.0, spread=2) == pytest.approx(1.0, rel=0.25)


def test_customer_within_its_quota_is_always_admitted() -> None:
    ingress = IngressHarness()
    assert admitted_rate(ingress, 100, 1.0) == pytest.approx(1.0, abs=0.02)


def test_high_priority_class_gets_a_larger_share_of_an_exceeded_quota() -> None:
    ingress, admitted = IngressHarness(), {SAFE: 0, UNSAFE: 0}
    for i in range(2000):
        ingress.run_until(ingress.now + 0.125)
        request_class = (SAFE, UNSAFE)[i % 2]
        request = ingress.send_request(request_class, RATE_PLAN)
        if ingress.is_admitted(request):
            admitted[request_class] += 1
            ingress.end_attempt(request, 0, Outcome.OK)
    assert admitted[UNSAFE] > 1.5 * admitted[SAFE]


def test_actual_units_are_taken_from_the_token_bucket() -> None:
    ingress = IngressHarness(replace(SETTINGS, charges_actual_units=True))
    request = ingress.send_request(UNSAFE, RATE_PLAN, units=1.0)
    ingress.end_attempt(request, 0, Outcome.OK, actual_units=5.0)
    assert ingress.engine.customers.by_number[7].quota.level == pytest.approx(3.0)


def test_request_beyond_the_in_flight_cap_is_rejected() -> None:
    ingress = IngressHarness()
    assert [ingress.is_admitted(ingress.send_request(SAFE, 3)) for _ in range(3)] == [
        True,
        True,
        False,
    ]


def test_ceiling_bucket_starts_empty_and_is_never_exceeded() -> None:
    ingress = IngressHarness(replace(SETTINGS, ingress_count=1))
    assert not ingress.is_admitted(ingress.send_request(SAFE, CEILING_PLAN, units=2.0))
    start, admitted = ingress.now, 0.0
    for _ in range(400):
        ingress.run_until(ingress.now + 0.05)
        if ingress.is_admitted(
            ingress.send_request(
                SAFE, CEILING_PLAN, units=2.0, customer=ingress.last_request % 1 + 9
            )
        ):
            admitted += 2
        assert admitted <= 4.0 * (ingress.now - start)


@pytest.mark.parametrize("all_failing", [False, True])
def test_late_responses_count_as_overload_only_if_all_backends_are_failing(
    all_failing: bool,
) -> None:
    ingress = IngressHarness()
    requests = [ingress.send_request(SAFE) for _ in range(6)]
    failing = {ingress.attempts[requests[0]][0].backend}
    for number, backend in ingress.engine.backends.by_number.items():
        backend.failure_fraction = 0.9 if all_failing or number in failing else 0.0
    ingress.run_until(ingress.now + 0.3)
    for request in requests:
        if ingress.attempts[request][0].backend in failing:
            ingress.end_attempt(request, 0, Outcome.OK, duration=3.0)
    delay = ingress.engine.delay
    is_overloaded = (
        delay.smoothed_latency > queueing_delay.MAX_DELAY_FRACTION * delay.tightest_objective
    )
    assert delay.is_overloaded is is_overloaded
    assert is_overloaded is all_failing, (
        "slow responses indicate overload only if all backends are failing"
    )


def test_spread_and_first_ingress_beyond_the_ingress_count_are_accepted() -> None:
    ingress = IngressHarness()
    assert ingress.is_admitted(ingress.send_request(SAFE, RATE_PLAN, spread=99, first_ingress=77))
    assert ingress.is_admitted(ingress.send_request(SAFE, RATE_PLAN, spread=0))
    ingress.run_until(ingress.now + 1)
    assert all(
        message.peer == 1 and len(message.data) <= gossip_codec.MAX_MESSAGE_BYTES
        for message in ingress.sent_gossip
    )


def test_lost_responses_do_not_count_as_overload() -> None:
    ingress = IngressHarness(backends=4)
    for _ in range(60):
        ingress.end_attempt(ingress.send_request(UNSAFE), 0, Outcome.OK)
        ingress.run_until(ingress.now + 0.05)
    for i in range(70):  # one request in three never gets a response
        request = ingress.send_request(UNSAFE)
        if i % 3 and ingress.is_admitted(request):
            ingress.end_attempt(request, 0, Outcome.OK)
        ingress.run_until(ingress.now + 0.05)
    assert ingress.is_admitted(ingress.send_request(SAFE))


def test_requests_are_shed_when_every_backend_is_at_capacity() -> None:
    ingress = IngressHarness(backends=6)
    for _ in range(40):  # every backend rejects every attempt, so there are no response times
        request = ingress.send_request(UNSAFE)
        for number in range(len(ingress.attempts.get(request, []))):
            ingress.end_attempt(request, number, Outcome.AT_CAPACITY)
        ingress.run_until(ingress.now + 0.05)
    attempts_before = sum(map(len, ingress.attempts.values()))
    for _ in range(10):
        ingress.send_request(UNSAFE)
    assert sum(map(len, ingress.attempts.values())) == attempts_before


def test_low_priority_requests_are_shed_first_under_overload() -> None:
    ingress = IngressHarness(backends=4)
    for _ in range(60):
        ingress.end_attempt(ingress.send_request(SAFE), 0, Outcome.OK)
        ingress.end_attempt(ingress.send_request(UNSAFE), 0, Outcome.OK)
    ingress.engine.delay.smoothed_latency = 0.4  # the latency objectives are 1 s
    assert not ingress.is_admitted(ingress.send_request(SAFE))
    assert ingress.is_admitted(ingress.send_request(UNSAFE))


def test_attempts_in_flight_at_peers_count_against_the_cap() -> None:
    ingress = IngressHarness()
    ingress.handle(GossipReceived(1, customer_gossip(7, 3, 2.0, 2.0, 0.0, in_flight=2)))
    assert not ingress.is_admitted(ingress.send_request(SAFE, 3, customer=7, spread=2))
    ingress.handle(GossipReceived(1, customer_gossip(7, 3, 2.0, 2.0, 0.0, in_flight=0)))
    assert ingress.is_admitted(ingress.send_request(SAFE, 3, customer=7, spread=2))


def test_smoothed_latency_decays_without_new_responses() -> None:
    ingress = IngressHarness(backends=2)
    ingress.engine.delay.smoothed_latency = 4.0
    assert not ingress.is_admitted(ingress.send_request(UNSAFE))
    ingress.run_until(ingress.now + 4.0)
    assert ingress.is_admitted(ingress.send_request(UNSAFE))


def test_new_ingress_lowers_its_token_bucket_to_the_level_that_a_peer_reports() -> None:
    ingress = IngressHarness()
    ingress.handle(GossipReceived(1, customer_gossip(7, RATE_PLAN, 500.0, 400.0, 1.0)))
    assert ingress.engine.customers.get(7, RATE_PLAN).quota.level <= 1.0


def test_usage_reports_determine_the_quota_share_while_the_counter_fails() -> None:
    def admitted(reported_usage: float | None) -> int:
        ingress, admitted_count = (
            IngressHarness(replace(COUNTER_SETTINGS, may_use_counter=True), seed=5),
            0,
        )
        ingress.engine.counter.circuit_open_until = math.inf
        for _ in range(400):
            ingress.run_until(ingress.now + 0.6)
            if ingress.is_admitted(request := ingress.send_request(plan=RATE_PLAN, spread=2)):
                admitted_count += 1
                send = ingress.attempts[request][0]
                ingress.handle(
                    AttemptEnded(
                        request, 0, send.backend, Outcome.OK, True, 0.1, 0.0, reported_usage
                    )
                )
        return admitted_count

    # The customer requests 1.7 units/s of its quota of 2 units/s, all of them from this ingress. An
    # even split between the two ingresses would admit only 1 unit/s.
    assert admitted(0.85) > 380 > 300 > admitted(None)
