"""The clock of an ingress: monotonic time in milliseconds, as a float with an arbitrary origin."""

from __future__ import annotations

import time

MS_PER_S = 1000.0


class Clock:
    """The system's monotonic clock, with a fixed offset to Unix time.

    The offset is measured once per process. If it followed adjustments of the system time, an
    unchanged `boot_ms` of a backend would map to a different time and look like a restart.
    """

    __slots__ = ("_unix_offset",)

    def __init__(self) -> None:
        self._unix_offset = time.time() * MS_PER_S - self.now()

    def now(self) -> float:
        """Return the current time in milliseconds."""
        return time.monotonic() * MS_PER_S

    @property
    def unix_offset(self) -> float:
        """The milliseconds to add to a time on this clock to get Unix time.

        Unlike times on this clock, Unix time can be compared between machines.
        """
        return self._unix_offset

    def unix(self) -> float:
        """Return the system's Unix time in ms, for display; it follows clock adjustments."""
        return time.time() * MS_PER_S

    def from_current_unix(self, unix_ms: float) -> float:
        """Convert a Unix time of the machines' present clock, which may have been stepped.

        The result is at most now: nothing has happened in the future. 0, an unknown time, stays 0.
        """
        if not unix_ms:
            return 0.0
        now = self.now()
        return min(now, unix_ms - (self.unix() - now))


class ManualClock(Clock):
    """A clock that changes only when it is set, for tests and simulations; times in ms."""

    __slots__ = ("_now",)

    def __init__(self, now: float = 1_000_000.0, unix: float = 1_700_000_000_000.0) -> None:
        self._now = now
        self._unix_offset = unix - now

    def now(self) -> float:
        """Return the time that was set last."""
        return self._now

    def unix(self) -> float:
        """Return the time that was set last, as Unix time."""
        return self._now + self._unix_offset

    def set(self, now: float) -> None:
        """Set the time."""
        self._now = now

    def advance(self, ms: float) -> None:
        """Advance the time by `ms` milliseconds."""
        self._now += ms
