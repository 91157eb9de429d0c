"""Timestamps of reports, which follow the system's clock and never go back within a life.

A life is the time from the start of counting to its end. Graphite stores whole seconds. The first
report of a life is given the next full second, and later ones the current second. The zeros of a
life therefore never fall on the second of the previous life, which ended earlier. Collectd stores
2^-30 s and rejects a value that is not newer than the last one of its series, so there each
timestamp is later than the one before.

When the system's clock steps forward, the timestamps follow. When it steps back, they go on at half
the pace of time until the clock has caught up.
"""

from __future__ import annotations

from math import ceil, floor
from typing import NamedTuple

# Seconds by which a report made on a full second may come early by the system's clock.
FULL_SECOND_TOLERANCE = 0.05
# Seconds by which two timestamps differ at least.
MIN_STEP = 0.001
# Pace of the timestamps while the system's clock is behind them, as a part of the pace of time.
CATCH_UP_PACE = 0.5


class Timestamp(NamedTuple):
    """One moment in Unix time, for both kinds of receivers.

    Attributes:
        seconds: For collectd; strictly increasing.
        whole_second: For Graphite; never decreasing.
    """

    seconds: float
    whole_second: int


class TimestampSource:
    """Gives the timestamps of one life."""

    def __init__(self, unix: float, monotonic: float) -> None:
        """Start a life at the present readings of both clocks, in seconds."""
        self._last_seconds = unix
        self._last_monotonic = monotonic
        self._whole_second = ceil(unix)
        self._has_given_first = False

    def next(self, unix: float, monotonic: float) -> Timestamp:
        """Return the timestamp for the present readings of both clocks, in seconds."""
        elapsed = max(0.0, monotonic - self._last_monotonic)
        seconds = max(unix, self._last_seconds + elapsed * CATCH_UP_PACE)
        self._last_seconds = max(seconds, self._last_seconds + MIN_STEP)
        self._last_monotonic = monotonic
        if self._has_given_first:
            current_second = floor(self._last_seconds + FULL_SECOND_TOLERANCE)
            self._whole_second = max(self._whole_second, current_second)
        self._has_given_first = True
        return Timestamp(self._last_seconds, self._whole_second)
