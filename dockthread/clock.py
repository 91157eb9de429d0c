"""The clock of an ingress: milliseconds as floats, from an arbitrary start, never going back."""

from __future__ import annotations

import time

MILLISECONDS = 1000.0  # in a second


class Clock:
    """The system's monotonic clock, with an offset to Unix time that is taken once.

    The offset stays for the life of the process. If it followed the system's adjustments, the same
    `boot_ms` of a backend would become another time here, and read as a restart of the backend.
    """

    __slots__ = ("_unix_offset",)

    def __init__(self) -> None:
        self._unix_offset = time.time() * MILLISECONDS - self.now()

    def now(self) -> float:
        """Return the time in milliseconds."""
        return time.monotonic() * MILLISECONDS

    @property
    def unix_offset(self) -> float:
        """The milliseconds to add to a time of this clock for Unix time, which all machines share."""
        return self._unix_offset

    def unix(self) -> float:
        """Return the system's Unix time in milliseconds, with its adjustments, for people to read."""
        return time.time() * MILLISECONDS

    def from_unix(self, unix_ms: float) -> float:
        """Return a Unix time as a time of this clock; 0 stays 0, which stands for 'long ago'."""
        return unix_ms - self._unix_offset if unix_ms else 0.0


class ManualClock(Clock):
    """A clock that stands until it is set, for tests and simulations. Times in milliseconds."""

    __slots__ = ("_now",)

    def __init__(self, now: float = 1_000_000.0, unix: float = 1_700_000_000_000.0) -> None:
        self._now = now
        self._unix_offset = unix - now

    def now(self) -> float:
        """Return the time that was set."""
        return self._now

    def unix(self) -> float:
        """Return the time that was set as Unix time."""
        return self._now + self._unix_offset

    def set(self, now: float) -> None:
        """Set the time."""
        self._now = now

    def advance(self, ms: float) -> None:
        """Let `ms` milliseconds pass."""
        self._now += ms
