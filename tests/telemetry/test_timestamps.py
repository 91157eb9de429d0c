"""Timestamps when the system clock is set forward or back."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockthread.telemetry.timestamps import Timestamp, TimestampSource


def test_first_report_of_an_incarnation_is_on_a_later_second_than_the_previous_incarnation() -> (
    None
):
    first_incarnation = TimestampSource(100.2, 0.0)
    first_incarnation.next(100.2, 0.0)
    last_unix_seconds, second = first_incarnation.next(107.9, 7.7)
    assert (last_unix_seconds, second) == (107.9, 107)
    assert TimestampSource(108.1, 0.0).next(108.1, 0.0).whole_second == 109
    assert TimestampSource(107.92, 0.0).next(107.92, 0.0).whole_second > second
    assert first_incarnation.next(109.98, 9.78).whole_second == 110, (
        "a report slightly before a full second must be stamped with that second"
    )


@given(st.lists(st.tuples(st.floats(-5000, 5000), st.floats(0, 20)), max_size=30))
def test_timestamps_never_decrease_when_the_clock_is_set(steps: list[tuple[float, float]]) -> None:
    unix_now = monotonic_now = 1_000_000.0
    source = TimestampSource(unix_now, monotonic_now)
    previous = Timestamp(0.0, 0)
    for step, elapsed in steps:
        unix_now += step + elapsed
        monotonic_now += elapsed
        timestamp = source.next(unix_now, monotonic_now)
        assert timestamp.unix_seconds > previous.unix_seconds
        assert timestamp.whole_second >= previous.whole_second
        previous = timestamp


def test_timestamps_advance_at_half_speed_after_the_clock_is_set_back() -> None:
    source = TimestampSource(1000.0, 0.0)
    source.next(1000.0, 0.0)
    # 10 s have passed, and the clock was set back by 30 s.
    assert source.next(980.0, 10.0).unix_seconds == pytest.approx(1005.0, abs=0.01)
    assert source.next(1040.0, 70.0).unix_seconds == 1040.0
