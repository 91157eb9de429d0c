"""Measures for how long a subscriber has been missing a change of a table."""

from __future__ import annotations

from bisect import bisect_right
from typing import Final

from dockthread.control_plane.resource_table import ResourceTable

MAX_REVISIONS: Final = 4096
"""Maximum number of revisions whose arrival times are kept.

The arrival time of an older revision is taken to be that of the oldest one kept.
"""


class LagTracker:
    """Records when the revisions of one table were first observed. Times are in ms."""

    def __init__(self, now: float, table: ResourceTable) -> None:
        self._epoch = table.epoch
        self._revisions: list[int] = [table.revision] if table.revision else []
        self._arrival_times: list[float] = [now] if table.revision else []  # one per revision

    def observe(self, now: float, table: ResourceTable) -> None:
        """Record the revision of the table if it is new."""
        newest = self._revisions[-1] if self._revisions else 0
        if table.epoch == self._epoch and table.revision <= newest:
            return
        if table.epoch != self._epoch:
            self._epoch = table.epoch
            self._revisions = []
            self._arrival_times = []
        self._revisions.append(table.revision)
        self._arrival_times.append(now)
        if len(self._revisions) > MAX_REVISIONS:
            del self._revisions[: MAX_REVISIONS // 2]
            del self._arrival_times[: MAX_REVISIONS // 2]

    def lag(self, now: float, revision: int) -> float:
        """Return the time in ms for which a holder of `revision` has lacked a change; 0 if none."""
        first_missing = bisect_right(self._revisions, revision)
        if first_missing == len(self._arrival_times):
            return 0.0
        return now - self._arrival_times[first_missing]
