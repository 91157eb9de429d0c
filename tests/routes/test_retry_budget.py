"""Retry budgets limit retries under a steady load and after an idle period."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockthread.routes.retry_budget import CAPACITY_PERIOD, RetryBudget

TOLERANCE = 1e-6  # tokens; allows for the rounding errors of floating-point sums


@given(
    st.floats(0, 1),
    st.floats(0, 5),
    st.lists(st.tuples(st.floats(0, 3), st.integers(0, 4)), max_size=80),
)
def test_a_budget_never_grants_more_tokens_than_its_bound(
    ratio: float, floor: float, gaps_and_draws: list[tuple[float, int]]
) -> None:
    budget = RetryBudget(ratio, floor, 0.0)
    now = 0.0
    initial_tokens = max(2.0 * bool(ratio or floor), floor * CAPACITY_PERIOD)
    for first_attempts, (gap, draws) in enumerate(gaps_and_draws, 1):
        now += gap
        budget.on_first_attempt(now)
        for _ in range(draws):
            budget.try_take_token(now)
        assert budget.tokens >= 0
        assert (
            budget.tokens_taken <= ratio * first_attempts + floor * now + initial_tokens + TOLERANCE
        )


def test_tokens_saved_in_an_idle_hour_are_limited_to_the_capacity() -> None:
    budget = RetryBudget(0.2, 1.0, 0.0)
    tokens_taken = sum(budget.try_take_token(3600.0) for _ in range(1000))
    assert tokens_taken <= CAPACITY_PERIOD


def test_a_budget_allows_its_ratio_under_a_steady_load() -> None:
    budget = RetryBudget(0.2, 0.0, 0.0)
    tokens_taken = -2  # offsets the two tokens that the bucket holds initially
    for number in range(10_000):
        now = number / 100
        budget.on_first_attempt(now)
        tokens_taken += budget.try_take_token(now)
    assert tokens_taken / 10_000 == pytest.approx(0.2, abs=0.01)
