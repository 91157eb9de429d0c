"""Size limit and error bound of the heavy hitters table."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockthread.telemetry.heavy_hitters import HeavyHitters


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(1, 9)), max_size=300))
def test_table_size_is_bounded_and_each_estimate_is_within_its_error(
    requests: list[tuple[int, int]],
) -> None:
    actual: dict[int, int] = {}
    heavy_hitters = HeavyHitters(8)
    for customer, units in requests:
        heavy_hitters.add_requested(0, customer, units)
        actual[customer] = actual.get(customer, 0) + units
    assert len(heavy_hitters.usage) <= 8
    for (_, customer), usage in heavy_hitters.usage.items():
        assert actual[customer] <= usage.requested <= actual[customer] + usage.error
    for customer, units in actual.items():
        if units > sum(actual.values()) / 8:
            assert (0, customer) in heavy_hitters.usage
