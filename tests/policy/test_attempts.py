"""Attempts: retries by effect, hedges, waiting for a backend, and exactly one answer in time."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dockthread.policy import (
    NEVER_RAN,
    AttemptEnded,
    ClientDisconnected,
    Outcome,
)
from tests.policy.harness import KEYED, SAFE, SETTINGS, UNSAFE, IngressHarness, endpoint


def test_request_without_any_backend_is_rejected_before_its_deadline() -> None:
    ingress = IngressHarness(backends=0)
    request = ingress.send_request()
    ingress.run_until(ingress.now + 4.0)
    assert ingress.answers[request] == ["refused"]


def test_waiting_request_is_sent_when_a_backend_is_listed() -> None:
    ingress = IngressHarness(backends=0)
    request = ingress.send_request(UNSAFE)
    ingress.list_endpoints(endpoint(4))
    assert ingress.attempts[request][0].backend == 1004


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED]
)
def test_unsafe_request_that_may_have_run_is_not_retried(outcome: Outcome) -> None:
    ingress = IngressHarness()
    request = ingress.send_request(UNSAFE)
    ingress.end_attempt(request, 0, outcome)
    assert len(ingress.attempts[request]) == 1
    assert ingress.answers[request] == ["failed"]


@pytest.mark.parametrize("outcome", [Outcome.AT_CAPACITY, Outcome.UNREACHABLE])
def test_unsafe_request_that_never_ran_is_retried_on_another_backend(outcome: Outcome) -> None:
    ingress = IngressHarness()
    request = ingress.send_request(UNSAFE)
    ingress.end_attempt(request, 0, outcome)
    first, second = ingress.attempts[request]
    assert first.backend != second.backend


def test_keyed_retry_stays_in_its_cell_and_deduplication_window() -> None:
    ingress = IngressHarness(backends=0)
    ingress.list_endpoints(
        endpoint(0, cell=1), endpoint(1, cell=2), endpoint(2, cell=2), endpoint(3, cell=1)
    )
    cells = {1000: 1, 1001: 2, 1002: 2, 1003: 1}
    for _ in range(10):
        request = ingress.send_request(KEYED)
        ingress.end_attempt(request, 0, Outcome.ERROR)
        first, second = ingress.attempts[request]
        assert cells[first.backend] == cells[second.backend]
        assert first.backend != second.backend
        assert first.start_deadline == math.inf
        assert second.start_deadline == pytest.approx(ingress.now + 3.0 - SETTINGS.clock_tick)
    ingress.end_attempt(safe_request := ingress.send_request(SAFE), 0, Outcome.ERROR)
    assert [send.start_deadline for send in ingress.attempts[safe_request]] == [math.inf] * 2
    late_request = ingress.send_request(KEYED)
    ingress.now += 3.0
    ingress.end_attempt(late_request, 0, Outcome.ERROR)
    assert len(ingress.attempts[late_request]) == 1


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2), st.floats(0.0, 0.7)), max_size=60),
    st.booleans(),
)
def test_each_request_gets_exactly_one_answer_and_takes_effect_at_most_once(
    steps: list[tuple[int, int, float]], may_hedge: bool
) -> None:
    ingress = IngressHarness(replace(SETTINGS, may_hedge=may_hedge), backends=4)
    arrived: dict[int, tuple[int, float]] = {}
    ended: dict[int, dict[int, Outcome]] = {}
    outcomes = (Outcome.OK, Outcome.ERROR, Outcome.AT_CAPACITY, Outcome.UNREACHABLE)
    for action, choice, pause in steps:
        ingress.run_until(ingress.now + pause)
        sent = [
            (request, number)
            for request, sends in ingress.attempts.items()
            for number in range(len(sends))
        ]
        in_flight = [
            (request, number) for request, number in sent if number not in ended.get(request, {})
        ]
        for request, number in [attempt for attempt in in_flight if attempt in ingress.cancelled]:
            ended.setdefault(request, {})[number] = Outcome.CANCELLED
            ingress.end_attempt(request, number, Outcome.CANCELLED)
        in_flight = [
            (request, number)
            for request, number in in_flight
            if number not in ended.get(request, {})
        ]
        if action < 2 or not in_flight:
            request = ingress.send_request(choice)
            arrived[request] = (choice, ingress.now + 4.0)
        else:
            request, number = in_flight[choice % len(in_flight)]
            outcome = outcomes[action - 1]
            ended.setdefault(request, {})[number] = outcome
            if outcome is Outcome.OK and ingress.answers.get(request):
                outcome = Outcome.CANCELLED
            ingress.end_attempt(request, number, outcome)
        for request, (request_class, _) in arrived.items():
            sends = ingress.attempts.get(request, [])
            outcome_of = ended.get(request, {})
            may_have_run = [
                number for number in range(len(sends)) if outcome_of.get(number) not in NEVER_RAN
            ]
            assert len(ingress.answers.get(request, [])) <= 1
            if request_class == UNSAFE:
                assert len(may_have_run) <= 1
                assert all(number == len(sends) - 1 for number in may_have_run)
                assert not (may_have_run and ingress.answers.get(request) == ["refused"])
            if request_class == KEYED and may_have_run:
                assert ingress.answers.get(request) != ["refused"]
            if not may_hedge:
                assert sum(number not in outcome_of for number in range(len(sends))) <= 1
    ingress.run_until(ingress.now + 5)
    assert all(len(ingress.answers.get(request, [])) == 1 for request in arrived)


def test_no_attempt_is_sent_after_the_client_disconnected() -> None:
    ingress = IngressHarness()
    request = ingress.send_request()
    ingress.handle(ClientDisconnected(request))
    ingress.handle(
        AttemptEnded(request, 0, ingress.attempts[request][0].backend, Outcome.ERROR, False, 0.1)
    )
    ingress.run_until(ingress.now + 5)
    assert len(ingress.attempts[request]) == 1
    assert request not in ingress.answers


def test_slow_request_is_not_hedged_while_its_backend_responds() -> None:
    ingress = IngressHarness(backends=1)
    slow_request = ingress.send_request(SAFE)
    for _ in range(20):
        request = ingress.send_request(SAFE)
        ingress.run_until(ingress.now + 0.1)
        ingress.end_attempt(request, 0, Outcome.OK)
    ingress.list_endpoints(endpoint(1))
    assert len(ingress.attempts[slow_request]) == 1


def test_request_without_any_backend_is_rejected_after_about_half_of_its_time() -> None:
    ingress = IngressHarness(backends=0)
    request = ingress.send_request(remaining_time=4.0)
    ingress.run_until(ingress.now + 1.5)
    assert not ingress.answers.get(request)
    ingress.run_until(ingress.now + 0.6)
    assert ingress.answers[request] == ["refused"]
