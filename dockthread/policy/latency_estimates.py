"""What a gateway estimates of workers from few answers. Decides nothing.

Theory of operation. With many gateways each sees little of any worker: some three answers a minute,
where three gateways saw a hundred. A figure smoothed from nothing with a small step never leaves
its start then, and a report is old before the next comes. So the estimate of one worker leans on
what is known of its kind (`KindStats`): the mean of one worker's few answers is drawn towards its
kind's by a fixed number of imagined answers (shrinkage), and counts alone once there are many. A
report's news fades back to the kind's mean, not to nothing: a worker not heard of is as busy as the
others, and not a free one that draws all.
"""

from __future__ import annotations

import math

IMAGINED = 2.0  # answers like its kind's that a worker is taken to have given
MOST_PACE = 8.0  # the slowest answer that counts, in usual ones
# least weight of one more answer in a worker's figures; in its kind's
PACE_STEP, KIND_STEP = 0.05, 0.05
FEW = 3.0  # gateways for which the weight of one failure, and the time that it lasts, were set
FIELDS = ("rif", "busy", "rate", "lat_ms", "q")  # of load reports, on the wire
BUSY = 1.0  # requests that a node's use of all its cores counts as, beside the own ones there
# requests that take no longer than one does; weight of one more in the usual
OWN_ROOM, CROWD_STEP = 2.0, 0.02
CLIPPED = 3.0  # deviations beyond the usual time that one answer can tell


def scarcity(gateways: int) -> float:
    """How much more one failure tells, and for how much longer, where more gateways see fewer
    answers of a worker each: one that fails at once costs each of them as many requests as it takes
    to be told.
    """
    return max(1.0, math.sqrt(gateways / FEW))


class KindStats:
    """What the workers of one kind have in common: answer time in usual ones, requests of others
    there.
    """

    __slots__ = ("others", "pace", "reports", "seen")

    def __init__(self) -> None:
        self.pace, self.seen = 1.0, 0
        self.others, self.reports = 0.0, 0

    def answered(self, pace: float) -> None:
        """A worker of the kind answered, in `pace` usual times."""
        self.seen += 1
        self.pace += max(KIND_STEP, 1 / self.seen) * (pace - self.pace)

    def reported(self, others: float) -> None:
        """A worker of the kind told of `others` requests there."""
        self.reports += 1
        self.others += max(KIND_STEP, 1 / self.reports) * (others - self.others)


class Rounds:
    """Rounds of housekeeping gone by, each of which leaves a part of what answer times told."""

    __slots__ = ("count", "part")

    def __init__(self) -> None:
        self.count, self.part = 0, 1.0

    def end(self, part: float) -> None:
        """One more round; `part` of what was told is left after it."""
        self.count, self.part = self.count + 1, part

    def left(self, since: int) -> float:
        """The part that is left of what was told at the round `since`."""
        return self.part ** (self.count - since)


class Pace:
    """One worker's answer time in usual ones, leaning on its kind's. It fades by the rounds gone by
    whenever it is looked at, for most workers of a long list have one and few are looked at in a
    round.
    """

    __slots__ = ("_at", "_mean", "_rounds", "_seen")

    def __init__(self, rounds: Rounds) -> None:
        self._mean, self._seen = 1.0, 0.0
        self._rounds, self._at = rounds, rounds.count

    @property
    def seen(self) -> float:
        """Answers that it counts as."""
        return self._seen * self._rounds.left(self._at)

    def answered(self, pace: float) -> None:
        """One more answer, in `pace` usual times."""
        self._seen, self._at = min(self.seen + 1, 1 / PACE_STEP), self._rounds.count
        self._mean += (pace - self._mean) / self._seen

    def estimate(self, kind: KindStats) -> float:
        """The worker's pace, leaning on its kind's."""
        seen = self.seen
        return (IMAGINED * kind.pace + seen * self._mean) / (IMAGINED + seen)


class Crowds:
    """How crowded a worker is held to be beside what requests usually meet: 1 is as usual.

    A worker's pace is to tell how fast it is, not how full it was. Without this a worker that was
    spared while it was cold looked four times as fast as the loaded ones, was given sixty requests
    to their fifteen as soon as it was warm, and jammed (3 ingresses and 17 nodes, pool-bern).
    """

    __slots__ = ("usual",)

    def __init__(self) -> None:
        self.usual = OWN_ROOM

    def met(self, load: float) -> float:
        """One more request meets `load` others at its worker."""
        here = load + OWN_ROOM
        self.usual += CROWD_STEP * (here - self.usual)
        return here / self.usual


class Reports:
    """Reads load reports, whichever of the wire's fields a site has: requests at a worker that are
    not from here.

    The first of these that the report has: `rif`, the requests there; `busy`, the part of the cores
    in use, which counts as up to one request (to learn what it stands for, and count it whole, has
    gateways run together to where late reports saw room); `rate`, requests served a second, by the
    usual answer time; `lat_ms`, in usual answer times. `q`, the requests in its waiting room, comes
    on top of all but the first. None where it tells nothing.
    """

    __slots__ = ("at",)

    def __init__(self, names: tuple[str, ...]) -> None:
        self.at = {name: names.index(name) for name in FIELDS if name in names}

    def others(self, report: tuple[float, ...], out: int, usual: float) -> float | None:
        """Requests of others there. `out`: own attempts there, without the one whose answer brought
        the report; `usual`: s that an answer takes.
        """
        told = {name: report[i] for name, i in self.at.items() if i < len(report)}
        if "rif" in told:
            return max(0.0, told["rif"] - out - 1)
        queue = told.get("q", 0.0)
        if "busy" in told:
            return BUSY * max(0.0, told["busy"]) + queue
        if "rate" in told:
            return max(0.0, told["rate"] * usual - out) + queue
        if "lat_ms" in told:
            return max(0.0, told["lat_ms"] / 1000 / usual - out) + queue
        return queue if told else None


def smoothed(usual: float, deviation: float, took: float, step: float) -> tuple[float, float]:
    """The usual time and its deviation after one more answer. One that took far longer, at a worker
    that is ill, is clipped: it would make all that come late later look usual.
    """
    took = min(took, usual + CLIPPED * max(deviation, usual / 4))
    deviation += step * (abs(took - usual) - deviation)
    return usual + step * (took - usual), deviation
