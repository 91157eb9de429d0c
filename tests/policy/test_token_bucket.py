"""The token bucket of a customer whose usage both gossip and the counter report."""

from __future__ import annotations

import pytest

from dockthread.policy.token_bucket import QuotaBucket


@pytest.mark.parametrize(
    ("reported", "expected_level"),
    [
        ([("gossip", 3.0)], 5.0),
        ([("counter", 3.0)], 5.0),
        ([("gossip", 3.0), ("counter", 3.0)], 5.0),
        ([("counter", 3.0), ("gossip", 3.0)], 5.0),
        ([("gossip", 1.0), ("counter", 3.0), ("gossip", 2.0), ("counter", 1.0)], 4.0),
        ([("gossip", 2.0), ("gossip", 2.0), ("counter", 3.0), ("counter", 1.0)], 4.0),
        ([("gossip", 50.0), ("counter", 50.0)], 0.0),
    ],
)
def test_usage_reported_by_gossip_and_counter_is_taken_once(
    reported: list[tuple[str, float]], expected_level: float
) -> None:
    bucket = QuotaBucket(rate=2.0, burst=8.0, now=0.0)
    counter_total = 0.0
    for source, units in reported:
        if source == "gossip":
            bucket.apply_gossip(units, elapsed=0.0)
        else:
            counter_total += units
            bucket.apply_counter(8.0 - counter_total)
    assert bucket.level == pytest.approx(expected_level)
