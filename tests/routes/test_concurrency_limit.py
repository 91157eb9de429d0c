"""Adaptive concurrency limits: adaptation to a changing capacity, and the bounds of the limit."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockthread.routes.concurrency_limit import ConcurrencyLimit

ANSWER_TIME = 0.1  # s, while the requests in flight do not exceed the capacity


def run_closed_loop(limit: ConcurrencyLimit, capacity: float, seconds: float, now: float) -> float:
    """Keep as many requests in flight as the limit allows and return the time at the end.

    If more requests are in flight than `capacity`, they take proportionally longer.
    """
    end = now + seconds
    while now < end:
        in_flight = int(limit.limit)
        duration = ANSWER_TIME * max(1.0, in_flight / capacity)
        limit.admitted = in_flight
        for _ in range(in_flight):
            limit.on_answer(duration, now)
        now += duration
    return now


def test_an_adaptive_limit_adapts_within_seconds_when_capacity_halves_and_recovers() -> None:
    limit = ConcurrencyLimit(None, 4, 400, adaptive=True)
    now = run_closed_loop(limit, 80, 20, 0.0)
    full_capacity_limit = limit.limit
    assert 60 <= full_capacity_limit <= 200
    now = run_closed_loop(limit, 40, 5, now)
    assert limit.limit < 0.75 * full_capacity_limit
    run_closed_loop(limit, 80, 10, now)
    assert limit.limit > 0.85 * full_capacity_limit


@given(st.lists(st.tuples(st.booleans(), st.floats(0.001, 30.0)), max_size=300))
def test_an_adaptive_limit_never_leaves_its_minimum_and_maximum(
    attempts: list[tuple[bool, float]],
) -> None:
    limit = ConcurrencyLimit(None, 7, 50, adaptive=True)
    now = 0.0
    for succeeded, duration in attempts:
        now += duration
        limit.admitted = 50
        if succeeded:
            limit.on_answer(duration, now)
        else:
            limit.on_overload(now)
        assert 7 <= limit.limit <= 50


def test_an_adaptive_limit_does_not_grow_while_most_of_it_is_unused() -> None:
    limit = ConcurrencyLimit(None, 4, 400, adaptive=True)
    initial_limit = limit.limit
    for number in range(1000):
        limit.admitted = 1
        limit.on_answer(0.1, number / 10)
    assert limit.limit == initial_limit
