"""Time stamps of reports: they follow the system's clock and never go back within a life.

Graphite keeps whole seconds. A life's first report takes the second that begins next, its later
ones the one that has begun: so a life's zeros never fall on the second of the life before, which
ended earlier. Collectd keeps 2^-30 s and refuses a value that is not newer than its series' last:
there every stamp is later than the one before.

Where the system's clock steps forward the stamps step with it. Where it steps back they go on at
half the pace of time until the clock has caught up.
"""

from __future__ import annotations

from math import ceil, floor

EARLY = 0.05  # s by which a report on a full second may be stamped before it, by the system's clock
STEP = 0.001  # s by which two stamps differ at least


class Stamps:
    def __init__(self, unix: float, monotonic: float) -> None:
        """Both in seconds."""
        self._last, self._at = unix, monotonic
        self._second = ceil(unix)
        self._begun = False

    def next(self, unix: float, monotonic: float) -> tuple[float, int]:
        """A stamp in seconds, and the whole second for Graphite."""
        passed = max(0.0, monotonic - self._at)
        stamp = max(unix, self._last + passed / 2)
        self._last, self._at = max(stamp, self._last + STEP), monotonic
        if self._begun:
            self._second = max(self._second, floor(self._last + EARLY))
        self._begun = True
        return self._last, self._second
