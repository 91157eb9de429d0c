"""A token bucket that gossip and the counter both correct."""

from __future__ import annotations

import pytest

from dockthread.policy.token_bucket import QuotaStore


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
def test_a_store_takes_what_both_sources_tell_once(
    told: list[tuple[str, float]], left: float
) -> None:
    store, by_the_counter = QuotaStore(2.0, 8.0, 0.0), 0.0
    for source, units in told:
        if source == "messages":
            store.messages_told(units, 0.0)
        else:
            by_the_counter += units
            store.counter_told(8.0 - by_the_counter)
    assert store.level == pytest.approx(left)
