"""Timestamps of reports, which follow the system clock and never decrease within an incarnation.

A telemetry incarnation lasts from the start of counting to its end. Graphite stores whole seconds.
The first report of an incarnation is stamped with the next full second, and later reports with the
current second. The initial zeros of an incarnation therefore never overwrite the last values of the
previous incarnation, which ended before that second. Collectd stores times in units of 2^-30 s and
rejects a value that is not newer than the last value of its series, so timestamps for collectd
strictly increase.

When the system clock is set forward, the timestamps jump with it. When it is set back, the
timestamps advance at half speed until the clock has caught up.
"""

from __future__ import annotations

from math import ceil, floor
from typing import NamedTuple

# Seconds by which a report that is due on a full second may be early by the system clock.
FULL_SECOND_TOLERANCE_SECONDS = 0.05
# Minimum difference between two timestamps in seconds.
MIN_STEP_SECONDS = 0.001
# Speed of the timestamps relative to real time while the system clock is behind them.
CATCH_UP_SPEED = 0.5


class Timestamp(NamedTuple):
    """The time of a report, in the precision that each kind of receiver stores.

    Attributes:
        unix_seconds: The time for collectd; strictly increasing.
        whole_second: The time for Graphite; never decreasing.
    """

    unix_seconds: float
    whole_second: int


class TimestampSource:
    """Generates the timestamps of one incarnation."""

    def __init__(self, unix_now: float, monotonic_now: float) -> None:
        """Start an incarnation at the current values of both clocks, in seconds."""
        self._last_unix_seconds = unix_now
        self._last_monotonic = monotonic_now
        self._whole_second = ceil(unix_now)
        self._has_emitted_first = False

    def next(self, unix_now: float, monotonic_now: float) -> Timestamp:
        """Return the timestamp for the current values of both clocks, in seconds."""
        elapsed = max(0.0, monotonic_now - self._last_monotonic)
        unix_seconds = max(unix_now, self._last_unix_seconds + elapsed * CATCH_UP_SPEED)
        self._last_unix_seconds = max(unix_seconds, self._last_unix_seconds + MIN_STEP_SECONDS)
        self._last_monotonic = monotonic_now
        if self._has_emitted_first:
            current_second = floor(self._last_unix_seconds + FULL_SECOND_TOLERANCE_SECONDS)
            self._whole_second = max(self._whole_second, current_second)
        self._has_emitted_first = True
        return Timestamp(self._last_unix_seconds, self._whole_second)
