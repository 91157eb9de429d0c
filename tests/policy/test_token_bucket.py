"""A token bucket that gossip and the counter both correct."""

from __future__ import annotations

import pytest

from dockthread.policy.token_bucket import QuotaBucket


@pytest.mark.parametrize(
    ("told", "left"),
    [
        ([("messages", 3.0)], 5.0),
        ([("counter", 3.0)], 5.0),
        ([("messages", 3.0), ("counter", 3.0)], 5.0),
        ([("counter", 3.0), ("messages", 3.0)], 5.0),
        ([("messages", 1.0), ("counter", 3.0), ("messages", 2.0), ("counter", 1.0)], 4.0),
        ([("messages", 2.0), ("messages", 2.0), ("counter", 3.0), ("counter", 1.0)], 4.0),
        ([("messages", 50.0), ("counter", 50.0)], 0.0),
    ],
)
def test_usage_reported_by_gossip_and_counter_is_taken_once(
    told: list[tuple[str, float]], left: float
) -> None:
    store, by_the_counter = QuotaBucket(2.0, 8.0, 0.0), 0.0
    for source, units in told:
        if source == "messages":
            store.apply_gossip(units, 0.0)
        else:
            by_the_counter += units
            store.apply_counter(8.0 - by_the_counter)
    assert store.level == pytest.approx(left)
