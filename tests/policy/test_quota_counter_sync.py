"""The shared counter: when it is called, and what its totals decide."""

from __future__ import annotations

import pytest

from dockthread.policy import (
    CounterReplied,
    Outcome,
    Reject,
    RequestArrived,
    quota_counter_sync,
)
from tests.policy.harness import RATE, SAFE, SHARED, Drive, counts, settle, spend, total


@pytest.mark.parametrize(("others", "let_in"), [(0.0, True), (50.0, False)])
def test_beyond_an_even_split_the_counters_total_decides(others: float, let_in: bool) -> None:
    drive = Drive(SHARED)
    request, call = spend(drive)
    assert not drive.final.get(request)  # it waits, and no longer than the counter may take
    drive.give(total(drive, call, others))
    assert drive.let_in(request) is let_in
    assert drive.final.get(request) == (None if let_in else ["refused"])


def test_a_store_known_to_be_empty_refuses_without_a_call() -> None:
    drive = Drive(SHARED)
    _, call = spend(drive)
    drive.give(CounterReplied(call.name, Outcome.OK, 1000.0))
    actions = drive.give(RequestArrived(900, SAFE, RATE, 7, 4.0, 1.0, 2, 0))
    assert not counts(actions)
    assert any(isinstance(a, Reject) for a in actions)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.AT_CAPACITY, Outcome.ERROR])
def test_without_the_counters_word_all_is_decided_and_it_is_left_alone(outcome: Outcome) -> None:
    drive = Drive(SHARED)
    request, call = spend(drive)
    drive.gateway.counter.failures = quota_counter_sync.FAILURES_TO_OPEN - 0.25
    drive.give(CounterReplied(call.name, outcome))
    assert drive.let_in(request) or drive.final[request] == ["refused"]
    assert not counts([a for n in range(901, 920) for a in drive.give(
        RequestArrived(n, SAFE, RATE, 7, 4.0, 1.0, 2, 0))])  # fmt: skip
    c = drive.gateway.customers.by_number[7]
    # nothing was added: told next time
    assert (c.uncounted_units >= call.amount) or outcome is not Outcome.AT_CAPACITY


def test_a_spoilt_answer_of_the_counter_is_asked_for_again_before_anything_is_decided() -> None:
    drive = Drive(SHARED)
    request, call = spend(drive)
    again = counts(drive.give(CounterReplied(call.name, Outcome.ERROR)))
    assert [c.amount for c in again] == [0.0]  # what the first one added is not added twice
    assert not drive.final.get(request)
    drive.give(CounterReplied(call.name, Outcome.OK, 1000.0))
    assert drive.final[request] == ["refused"]


def test_a_request_that_waits_for_the_counter_is_answered_in_its_time() -> None:
    drive = Drive(SHARED)
    spend(drive)  # a call is out, and its answer does not come
    drive.next, drive.now = drive.next + 1, drive.now + 0.01
    drive.give(RequestArrived(drive.next, SAFE, RATE, 7, 0.03, 1.0, 2, 0))
    drive.run(drive.now + 0.03)
    assert drive.final[drive.next] == ["refused"]


def test_what_ran_over_a_full_store_covers_what_the_others_used_meanwhile() -> None:
    drive = Drive(SHARED)
    _, call = spend(drive)
    settle(drive, [call], 3.0)
    c = drive.gateway.customers.by_number[7]
    for others, left in ((8.0, 8.0), (40.0, 0.0)):
        drive.run(drive.now + 8)  # 16 units came in, and the store holds 8
        drive.gateway.customers.get(7, RATE)
        drive.gateway.context.actions = []
        drive.gateway.counter.send(7, c)
        settle(drive, counts(drive.gateway.actions), others)
        assert c.quota.level == pytest.approx(left, abs=1.5)
