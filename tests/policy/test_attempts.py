"""Attempts: retries by effect, hedges, waiting for a backend, and one answer in time."""

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
from tests.policy.harness import BASE, KEYED, SAFE, UNSAFE, Drive, entry


def test_no_worker_means_a_refusal_in_time() -> None:
    drive = Drive(workers=0)
    request = drive.ask()
    drive.run(drive.now + 4.0)
    assert drive.final[request] == ["refused"]


def test_held_request_goes_out_when_a_worker_comes() -> None:
    drive = Drive(workers=0)
    request = drive.ask(UNSAFE)
    drive.listed(entry(4))
    assert drive.sent[request][0].backend == 1004


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED]
)
def test_unsafe_that_may_have_run_only_fails(outcome: Outcome) -> None:
    drive = Drive()
    request = drive.ask(UNSAFE)
    drive.end(request, 0, outcome)
    assert len(drive.sent[request]) == 1
    assert drive.final[request] == ["failed"]


@pytest.mark.parametrize("outcome", [Outcome.AT_CAPACITY, Outcome.UNREACHABLE])
def test_unsafe_that_never_ran_goes_elsewhere(outcome: Outcome) -> None:
    drive = Drive()
    request = drive.ask(UNSAFE)
    drive.end(request, 0, outcome)
    first, second = drive.sent[request]
    assert first.backend != second.backend


def test_keyed_repeat_stays_in_its_cell_and_window() -> None:
    drive = Drive(workers=0)
    drive.listed(entry(0, cell=1), entry(1, cell=2), entry(2, cell=2), entry(3, cell=1))
    cells = {1000: 1, 1001: 2, 1002: 2, 1003: 1}
    for _ in range(10):
        request = drive.ask(KEYED)
        drive.end(request, 0, Outcome.ERROR)
        first, second = drive.sent[request]
        assert cells[first.backend] == cells[second.backend]
        assert first.backend != second.backend
        assert first.start_deadline == math.inf
        assert second.start_deadline == pytest.approx(drive.now + 3.0 - BASE.clock_tick)
    drive.end(again := drive.ask(SAFE), 0, Outcome.ERROR)
    assert [send.start_deadline for send in drive.sent[again]] == [math.inf] * 2
    late = drive.ask(KEYED)
    drive.now += 3.0
    drive.end(late, 0, Outcome.ERROR)
    assert len(drive.sent[late]) == 1


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2), st.floats(0.0, 0.7)), max_size=60),
    st.booleans(),
)
def test_one_answer_in_time_and_no_effect_twice(
    steps: list[tuple[int, int, float]], copies: bool
) -> None:
    drive = Drive(replace(BASE, may_hedge=copies), workers=4)
    asked: dict[int, tuple[int, float]] = {}
    ended: dict[int, dict[int, Outcome]] = {}
    outcomes = (Outcome.OK, Outcome.ERROR, Outcome.AT_CAPACITY, Outcome.UNREACHABLE)
    for what, which, pause in steps:
        drive.run(drive.now + pause)
        every = [(r, n) for r, sends in drive.sent.items() for n in range(len(sends))]
        out = [(r, n) for r, n in every if n not in ended.get(r, {})]
        for request, number in [x for x in out if x in drive.cancelled]:
            ended.setdefault(request, {})[number] = Outcome.CANCELLED
            drive.end(request, number, Outcome.CANCELLED)
        out = [(r, n) for r, n in out if n not in ended.get(r, {})]
        if what < 2 or not out:
            request = drive.ask(which)
            asked[request] = (which, drive.now + 4.0)
        else:
            request, number = out[which % len(out)]
            outcome = outcomes[what - 1]
            ended.setdefault(request, {})[number] = outcome
            if outcome is Outcome.OK and drive.final.get(request):
                outcome = Outcome.CANCELLED
            drive.end(request, number, outcome)
        for request, (cls, _) in asked.items():
            sends = drive.sent.get(request, [])
            gone = ended.get(request, {})
            unproven = [n for n in range(len(sends)) if gone.get(n) not in NEVER_RAN]
            assert len(drive.final.get(request, [])) <= 1
            if cls == UNSAFE:
                assert len(unproven) <= 1
                assert all(n == len(sends) - 1 for n in unproven)
                assert not (unproven and drive.final.get(request) == ["refused"])
            if cls == KEYED and unproven:
                assert drive.final.get(request) != ["refused"]
            if not copies:
                assert sum(n not in gone for n in range(len(sends))) <= 1
    drive.run(drive.now + 5)
    assert all(len(drive.final.get(r, [])) == 1 for r in asked)


def test_nothing_is_sent_for_a_finished_request() -> None:
    drive = Drive()
    request = drive.ask()
    drive.give(ClientDisconnected(request))
    drive.give(AttemptEnded(request, 0, drive.sent[request][0].backend, Outcome.ERROR, False, 0.1))
    drive.run(drive.now + 5)
    assert len(drive.sent[request]) == 1
    assert request not in drive.final


def test_slow_answers_are_not_copied_while_the_worker_answers() -> None:
    drive = Drive(workers=1)
    slow = drive.ask(SAFE)
    for _ in range(20):
        request = drive.ask(SAFE)
        drive.run(drive.now + 0.1)
        drive.end(request, 0, Outcome.OK)
    drive.listed(entry(1))
    assert len(drive.sent[slow]) == 1


def test_what_no_worker_can_be_given_is_refused_before_half_its_time_is_over() -> None:
    drive = Drive(workers=0)
    request = drive.ask(left=4.0)
    drive.run(drive.now + 1.5)
    assert not drive.final.get(request)
    drive.run(drive.now + 0.6)
    assert drive.final[request] == ["refused"]
