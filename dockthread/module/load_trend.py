"""How far answer times grow with the load that requests meet at their workers. Decides nothing.

Theory of operation. An answer's time is the work's own and the wait for others' work. On a quiet day nearly all of
it is the work's own, and to refuse cheap requests because answers take long helps nobody; in a jam nearly all of it
is waiting. No report tells the two apart by itself, but the slope of log(answer time) over log(load) does: it is 0
where a fuller worker answers as fast as an empty one, and 1 where answers take twice as long at twice the load. It is
a regression over the latest answers, and leans on the mean load where loads hardly differ: workers that are met empty
make nobody wait.
"""

from __future__ import annotations

import math

from dockthread.module.estimates import OWN_ROOM

STEP = 0.003  # least weight of one more answer: the regression looks back over some 300
FIRST = 10  # answers that the first one is averaged with, so that it does not set the means alone
IMAGINED_VARIANCE = 0.03  # of log(load): the weight of the mean load's word beside the variance seen
MOST_TIMES = 8.0  # an answer counts as that many usual times at the most, and as one part in as many at the least


class LoadTrend:
    """The slope of log(answer time) over log(load), by exponentially decayed moments."""

    __slots__ = ("_covariance", "_mean_load", "_mean_time", "_seen", "_variance")

    def __init__(self) -> None:
        self._mean_load = self._mean_time = 0.0
        self._variance = self._covariance = 0.0
        self._seen = 0

    def answered(self, load: float, time: float) -> None:
        """One more answer. `load`: that the request met, in usual loads; `time`: in usual times of its class."""
        self._seen += 1
        step = max(STEP, 1 / (self._seen + FIRST))
        load_off = math.log(load) - self._mean_load
        time_off = math.log(min(MOST_TIMES, max(1 / MOST_TIMES, time))) - self._mean_time
        self._mean_load += step * load_off
        self._mean_time += step * time_off
        self._variance += step * (load_off * load_off - self._variance)
        self._covariance += step * (load_off * time_off - self._covariance)

    def waiting_part(self, usual_load: float) -> float:
        """The part of answer times that is waiting, from 0 to 1. `usual_load`: requests that one usually meets at its
        worker, and `OWN_ROOM`."""
        imagined = IMAGINED_VARIANCE * (1 - OWN_ROOM / usual_load)
        slope = (self._covariance + imagined) / (self._variance + IMAGINED_VARIANCE)
        return min(1.0, max(0.0, slope))
