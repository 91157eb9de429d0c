"""The one clock: milliseconds as floats, from a start of its own, never going back."""

from __future__ import annotations

import time


class Clock:
    """The system's monotonic clock, and a fixed offset to Unix time taken once.

    One offset for the whole life: if it followed the system's adjustments, an unchanged `boot_ms`
    would move and read as a restart of the backend.
    """

    __slots__ = ("_unix_offset",)

    def __init__(self) -> None:
        self._unix_offset = time.time() * 1000.0 - self.now()

    def now(self) -> float:
        return time.monotonic() * 1000.0

    @property
    def unix_offset(self) -> float:
        """What makes a time on this clock Unix time, which all machines read alike."""
        return self._unix_offset

    def unix(self) -> float:
        """What the system's clock says now, steps and all: for time stamps that people read."""
        return time.time() * 1000.0

    def from_unix(self, unix_ms: float) -> float:
        """A Unix time on this clock; 0 stays 0, which stands for 'long ago'."""
        return unix_ms - self._unix_offset if unix_ms else 0.0


class ManualClock(Clock):
    """A clock that stands until it is set: for tests and rehearsals."""

    __slots__ = ("_now",)

    def __init__(self, now: float = 1_000_000.0, unix: float = 1_700_000_000_000.0) -> None:
        self._now, self._unix_offset = now, unix - now

    def now(self) -> float:
        return self._now

    def unix(self) -> float:
        return self._now + self._unix_offset

    def set(self, now: float) -> None:
        self._now = now

    def advance(self, ms: float) -> None:
        self._now += ms
