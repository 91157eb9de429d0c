"""Timestamps when the system clock is set forward or back."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockthread.telemetry.timestamps import Timestamp, TimestampSource


def test_the_first_report_of_a_life_is_on_a_later_second_than_the_life_before() -> None:
    first_life = TimestampSource(100.2, 0.0)
    first_life.next(100.2, 0.0)
    last_seconds, second = first_life.next(107.9, 7.7)
    assert (last_seconds, second) == (107.9, 107)
    assert TimestampSource(108.1, 0.0).next(108.1, 0.0).whole_second == 109
    assert TimestampSource(107.92, 0.0).next(107.92, 0.0).whole_second > second
    assert first_life.next(109.98, 9.78).whole_second == 110, (
        "a report slightly before a full second must be stamped with that second"
    )


@given(st.lists(st.tuples(st.floats(-5000, 5000), st.floats(0, 20)), max_size=30))
def test_timestamps_never_go_back_when_the_clock_steps(steps: list[tuple[float, float]]) -> None:
    unix = monotonic = 1_000_000.0
    source = TimestampSource(unix, monotonic)
    last = Timestamp(0.0, 0)
    for step, passed in steps:
        unix += step + passed
        monotonic += passed
        timestamp = source.next(unix, monotonic)
        assert timestamp.seconds > last.seconds
        assert timestamp.whole_second >= last.whole_second
        last = timestamp


def test_timestamps_go_on_at_half_pace_after_a_step_back_until_the_clock_catches_up() -> None:
    source = TimestampSource(1000.0, 0.0)
    source.next(1000.0, 0.0)
    assert source.next(980.0, 10.0).seconds == pytest.approx(
        1005.0, abs=0.01
    )  # 10 s later; the clock was set back by 30 s
    assert source.next(1040.0, 70.0).seconds == 1040.0
