"""Since when a table holds what: how long a subscriber has lacked something."""

from __future__ import annotations

from bisect import bisect_right
from typing import Final

from dockthread.control_plane.resource_table import ResourceTable

# remembered: what came before counts as having come with the oldest of them
MOST_ARRIVALS: Final = 4096


class LagTracker:
    """When revisions of one table were noticed."""

    def __init__(self, now: float, table: ResourceTable) -> None:
        self._epoch = table.epoch
        self._revisions: list[int] = [table.revision] if table.revision else []
        self._times: list[float] = [now] if table.revision else []

    def notice(self, now: float, table: ResourceTable) -> None:
        """The table may have changed."""
        last = self._revisions[-1] if self._revisions else 0
        if table.epoch == self._epoch and table.revision <= last:
            return
        if table.epoch != self._epoch:
            self._epoch, self._revisions, self._times = table.epoch, [], []
        self._revisions.append(table.revision)
        self._times.append(now)
        if len(self._revisions) > MOST_ARRIVALS:
            del self._revisions[: MOST_ARRIVALS // 2], self._times[: MOST_ARRIVALS // 2]

    def behind(self, now: float, revision: int) -> float:
        """ms since the first thing came that a holder of `revision` lacks; 0 where it lacks
        nothing.
        """
        first = bisect_right(self._revisions, revision)
        return now - self._times[first] if first < len(self._times) else 0.0
