"""Backends that fail or don't respond get fewer requests, until they recover."""

from __future__ import annotations

from dataclasses import replace

from dockthread.policy import (
    Outcome,
)
from tests.policy.harness import (
    RATE_PLAN,
    SAFE,
    SETTINGS,
    UNSAFE,
    IngressHarness,
    endpoint,
    leave_unanswered,
)


def test_silent_backend_is_avoided_and_its_safe_requests_are_hedged() -> None:
    ingress = IngressHarness(backends=5)
    leave_unanswered(ingress, 1000, 60)
    unanswered = [
        unanswered_request
        for unanswered_request, sends in ingress.attempts.items()
        if sends[0].backend == 1000
    ]
    assert any(len(ingress.attempts[unanswered_request]) > 1 for unanswered_request in unanswered)
    sent_before = len(unanswered)
    leave_unanswered(ingress, 1000, 50)
    sent_in_total = sum(sends[0].backend == 1000 for sends in ingress.attempts.values())
    # An even share of the last 50 requests would be 10; the silent backend gets less than half.
    assert sent_in_total - sent_before < 50 / 5 / 2


def test_a_slow_response_does_not_count_as_a_failure_until_the_backend_is_silent() -> None:
    """A response that is merely slow must not be counted as missing.

    The usual response time is 0.2 s with a mean deviation of 0.1 s. One response in fifty takes
    more than four deviations longer, and one in 2,000 more than nine.
    """
    ingress = IngressHarness(replace(SETTINGS, may_hedge=False))
    request = ingress.send_request(UNSAFE)
    backend = ingress.engine.backends.by_number[ingress.attempts[request][0].backend]
    ingress.run_until(ingress.now + 0.2 + 8 * 0.1)
    assert backend.failure_fraction == 0.0
    ingress.run_until(ingress.now + 0.2)
    assert backend.failure_fraction > 0.4, "after nine deviations the backend counts as silent"


def test_failing_backend_is_avoided_and_recovers() -> None:
    ingress = IngressHarness(backends=5)

    def count_sent_to_backend_1000(outcome: Outcome, count: int) -> int:
        sent_count = 0
        for _ in range(count):
            request = ingress.send_request(SAFE)
            is_target = ingress.attempts[request][0].backend == 1000
            sent_count += is_target
            ingress.end_attempt(request, 0, outcome if is_target else Outcome.OK)
            for number in range(1, len(ingress.attempts[request])):
                ingress.end_attempt(request, number, Outcome.OK)
            ingress.run_until(ingress.now + 0.1)
        return sent_count

    assert count_sent_to_backend_1000(Outcome.ERROR, 200) < 30
    count_sent_to_backend_1000(Outcome.OK, 150)
    assert count_sent_to_backend_1000(Outcome.OK, 200) > 20


def test_backend_at_capacity_does_not_count_as_failing() -> None:
    ingress = IngressHarness(backends=3)
    for _ in range(10):
        ingress.engine.delay.smoothed_latency = 0.0  # no rejection because of the expected wait
        ingress.end_attempt(ingress.send_request(SAFE), 0, Outcome.AT_CAPACITY)
    assert all(
        backend.failure_fraction == 0 for backend in ingress.engine.backends.by_number.values()
    )


def test_backend_is_marked_at_capacity_only_for_the_plan_that_it_rejected() -> None:
    ingress = IngressHarness(backends=1)
    ingress.end_attempt(ingress.send_request(SAFE, RATE_PLAN), 0, Outcome.AT_CAPACITY)
    ingress.list_endpoints(endpoint(0), endpoint(1))
    backend = ingress.engine.backends.by_number[1000]
    assert backend.at_capacity_until.keys() == {RATE_PLAN}


def test_an_overdue_attempt_is_in_flight_at_its_backend_but_not_for_the_queueing_delay() -> None:
    ingress = IngressHarness(backends=1)
    ingress.send_request(UNSAFE)
    backend = ingress.engine.backends.by_number[1000]
    ingress.run_until(ingress.now + 3)
    assert (backend.in_flight, ingress.engine.delay.in_flight) == (1, 0)
    ingress.end_attempt(1, 0, Outcome.OK)
    assert (backend.in_flight, ingress.engine.delay.in_flight) == (0, 0)
