"""Limits on a route's requests at once, fixed or adaptive, with a queue by worth. No I/O; times in
seconds.

The adaptive one follows the gradient of the answer time (Netflix concurrency-limits, Gradient):

    gradient = clamp(TOLERANCE * best / now, 0.5, 1)
    limit    = (1 - SMOOTH) * limit + SMOOTH * (limit * gradient + sqrt(limit))

once each `WINDOW` seconds. `now` is a short mean of answer times; `best` the least of these, which
rises by `LEAK` a second. A long mean in its place (Gradient2) follows a jam upward and lets the
limit grow to its end: seen here, 400 for a capacity of 80. An attempt that was turned away or timed
out cuts the limit by a tenth, once each `CUT_APART` seconds. While less than half of the limit is
in use it does not grow: the answer times say nothing of a load that is not there. It never leaves
`least..most`.
"""

from __future__ import annotations

import math
from heapq import heapify, heappop, heappush

TOLERANCE, SMOOTH = 1.5, 0.4
WINDOW = 0.1  # s between moves: answers of one round trip tell of one limit
# weight of one more answer in the mean; a second, by which the best is forgotten
SHORT, LEAK = 0.2, 0.01
CUT, CUT_APART = 0.9, 0.1
LEAST, MOST, START = 4, 1000, 20


class Limit:
    """Requests at once. `most` is None where there is none."""

    __slots__ = (
        "_at",
        "_best",
        "_cut_at",
        "_moved_at",
        "_short",
        "adaptive",
        "inside",
        "least",
        "limit",
        "most",
    )

    def __init__(
        self, fixed: int | None, least: int = LEAST, most: int = MOST, adaptive: bool = False
    ) -> None:
        self.adaptive, self.least, self.most = adaptive, least, most
        self.limit: float = math.inf if fixed is None else fixed
        if adaptive:
            self.limit = min(max(START, least), most)
        self.inside = 0
        self._short = self._best = self._at = 0.0
        self._moved_at = -math.inf
        self._cut_at = -math.inf

    def set(self, fixed: int | None, least: int, most: int, adaptive: bool) -> None:
        """New figures after a reload; an adaptive limit goes on from where it stands."""
        self.least, self.most = least, most
        if adaptive:
            self.limit = min(max(self.limit if self.adaptive else START, least), most)
        else:
            self.limit = math.inf if fixed is None else fixed
        self.adaptive = adaptive

    @property
    def room(self) -> bool:
        return self.inside < int(self.limit) if self.limit != math.inf else True

    def answered(self, took: float, now: float) -> None:
        if not self.adaptive:
            return
        self._short = took if not self._short else self._short + SHORT * (took - self._short)
        older = self._best * (1.0 + LEAK * max(0.0, now - self._at))
        self._best, self._at = min(older or self._short, self._short), now
        if now - self._moved_at < WINDOW:
            return
        self._moved_at = now
        gradient = min(1.0, max(0.5, TOLERANCE * self._best / max(self._short, 1e-9)))
        if gradient >= 1.0 and self.inside < self.limit / 2:
            return
        aim = self.limit * gradient + math.sqrt(self.limit)
        self._put((1 - SMOOTH) * self.limit + SMOOTH * aim)

    def pushed_back(self, now: float) -> None:
        """A node turned an attempt away, or it timed out."""
        if self.adaptive and now - self._cut_at >= CUT_APART:
            self._cut_at = now
            self._put(self.limit * CUT)

    def _put(self, limit: float) -> None:
        self.limit = min(float(self.most), max(float(self.least), limit))


class Queue:
    """Requests that wait for room, the dearest first, then the longest waiting. Bounded: of too
    many the cheapest goes, or the newcomer where it is no dearer.
    """

    __slots__ = ("_gone", "_heap", "_order", "most")

    def __init__(self, most: int) -> None:
        self.most = most
        self._heap: list[tuple[float, int, int]] = []  # minus worth, order, request
        self._gone: frozenset[int] = frozenset()  # mostly empty, and then one object for all queues
        self._order = 0

    def __len__(self) -> int:
        return len(self._heap) - len(self._gone)

    def put(self, request: int, worth: float) -> int | None:
        """The request that goes for it: itself, another, or None."""
        self._order += 1
        entry = (-worth, self._order, request)
        if self.most <= 0:
            return request
        if len(self) < self.most:
            heappush(self._heap, entry)
            return None
        self._tidy()
        worst = max(self._heap)
        if entry >= worst:
            return request
        self._heap.remove(worst)
        heapify(self._heap)
        heappush(self._heap, entry)
        return worst[2]

    def leave(self, request: int) -> None:
        """A request that waits no longer."""
        if any(entry[2] == request for entry in self._heap):
            self._gone |= {request}

    def take(self) -> int | None:
        while self._heap:
            _, _, request = heappop(self._heap)
            if request not in self._gone:
                return request
            self._gone -= {request}
        return None

    def _tidy(self) -> None:
        if self._gone:
            self._heap = [entry for entry in self._heap if entry[2] not in self._gone]
            self._gone = frozenset()
            heapify(self._heap)
