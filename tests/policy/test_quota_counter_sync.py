"""The shared counter: when it is called, and how its totals affect admission."""

from __future__ import annotations

import pytest

from dockthread.policy import (
    CounterReplied,
    Outcome,
    Reject,
    RequestArrived,
    quota_counter_sync,
)
from tests.policy.harness import (
    COUNTER_SETTINGS,
    RATE_PLAN,
    SAFE,
    IngressHarness,
    answer_counter_calls,
    counter_calls,
    counter_reply,
    request_beyond_even_split,
)


@pytest.mark.parametrize(("other_units", "is_admitted"), [(0.0, True), (50.0, False)])
def test_counter_total_decides_on_a_request_beyond_an_even_split(
    other_units: float, is_admitted: bool
) -> None:
    ingress = IngressHarness(COUNTER_SETTINGS)
    request, call = request_beyond_even_split(ingress)
    assert not ingress.answers.get(request)  # the request waits for the counter's reply
    ingress.handle(counter_reply(ingress, call, other_units))
    assert ingress.is_admitted(request) is is_admitted
    assert ingress.answers.get(request) == (None if is_admitted else ["refused"])


def test_an_empty_token_bucket_rejects_without_a_counter_call() -> None:
    ingress = IngressHarness(COUNTER_SETTINGS)
    _, call = request_beyond_even_split(ingress)
    ingress.handle(CounterReplied(call.name, Outcome.OK, 1000.0))
    actions = ingress.handle(RequestArrived(900, SAFE, RATE_PLAN, 7, 4.0, 1.0, 2, 0))
    assert not counter_calls(actions)
    assert any(isinstance(action, Reject) for action in actions)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.AT_CAPACITY, Outcome.ERROR])
def test_requests_are_decided_and_the_circuit_opens_when_the_counter_fails(
    outcome: Outcome,
) -> None:
    ingress = IngressHarness(COUNTER_SETTINGS)
    request, call = request_beyond_even_split(ingress)
    ingress.engine.counter.failures = quota_counter_sync.CIRCUIT_FAILURE_THRESHOLD - 0.25
    ingress.handle(CounterReplied(call.name, outcome))
    assert ingress.is_admitted(request) or ingress.answers[request] == ["refused"]
    assert not counter_calls(
        [
            action
            for number in range(901, 920)
            for action in ingress.handle(RequestArrived(number, SAFE, RATE_PLAN, 7, 4.0, 1.0, 2, 0))
        ]
    )
    customer = ingress.engine.customers.by_number[7]
    # With AT_CAPACITY the amount was not added, so it is sent with the next call.
    assert (customer.uncounted_units >= call.amount) or outcome is not Outcome.AT_CAPACITY


def test_a_counter_call_is_repeated_after_an_error_reply_before_any_decision() -> None:
    ingress = IngressHarness(COUNTER_SETTINGS)
    request, call = request_beyond_even_split(ingress)
    repeated_calls = counter_calls(ingress.handle(CounterReplied(call.name, Outcome.ERROR)))
    # The first call may have added its amount, so the repeated call adds nothing.
    assert [call.amount for call in repeated_calls] == [0.0]
    assert not ingress.answers.get(request)
    ingress.handle(CounterReplied(call.name, Outcome.OK, 1000.0))
    assert ingress.answers[request] == ["refused"]


def test_a_request_that_waits_for_the_counter_is_answered_before_its_deadline() -> None:
    ingress = IngressHarness(COUNTER_SETTINGS)
    request_beyond_even_split(ingress)  # makes a counter call that is never answered
    ingress.last_request += 1
    ingress.now += 0.01
    ingress.handle(RequestArrived(ingress.last_request, SAFE, RATE_PLAN, 7, 0.03, 1.0, 2, 0))
    ingress.run_until(ingress.now + 0.03)
    assert ingress.answers[ingress.last_request] == ["refused"]


def test_refill_that_overflowed_the_local_bucket_covers_usage_at_other_ingresses() -> None:
    ingress = IngressHarness(COUNTER_SETTINGS)
    _, call = request_beyond_even_split(ingress)
    answer_counter_calls(ingress, [call], 3.0)
    customer = ingress.engine.customers.by_number[7]
    for other_units, expected_level in ((8.0, 8.0), (40.0, 0.0)):
        ingress.run_until(ingress.now + 8)  # 16 units are refilled, and the bucket holds 8
        ingress.engine.customers.get(7, RATE_PLAN)
        ingress.engine.context.actions = []
        ingress.engine.counter.send(7, customer)
        answer_counter_calls(ingress, counter_calls(ingress.engine.actions), other_units)
        assert customer.quota.level == pytest.approx(expected_level, abs=1.5)
