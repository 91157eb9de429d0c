"""Reports that wait for one receiver, in bounded memory.

Counts are cumulative, so a report between two others says nothing that the later one does not; what
is lost with it is only detail. Where bytes run short the older half gives up every second report
first, and only when it has none left to halve the oldest goes. The newest always stays.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

KEPT_SENT = 2  # reports handed over last: what a connection that breaks may have swallowed


@dataclass(frozen=True, slots=True)
class Report:
    """One report as worded for one receiver; `chunks` are handed over one after another."""

    seconds: float  # the moment at which it was true, Unix time
    chunks: tuple[bytes, ...]

    @property
    def size(self) -> int:
        return sum(map(len, self.chunks))


class Backlog:
    def __init__(self, most: int) -> None:
        self.most = most
        self._waiting: deque[Report] = deque()
        self._sent: deque[Report] = deque(maxlen=KEPT_SENT)
        self.size = 0
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, report: Report) -> None:
        self._waiting.append(report)
        self.size += report.size
        while self.size > self.most and len(self._waiting) > 1:
            self._thin()

    def _thin(self) -> None:
        """Every second of the older half goes, the oldest first; of two left, the older."""
        half = max(1, len(self._waiting) // 2)
        kept: list[Report] = []
        for number, report in enumerate(self._waiting):
            if number < half and number % 2 == 0 and self.size > self.most:
                self.size -= report.size
                self.dropped += 1
            else:
                kept.append(report)
        self._waiting = deque(kept)

    def first(self) -> Report | None:
        return self._waiting[0] if self._waiting else None

    def handed(self, report: Report) -> None:
        """The report was handed over whole. It may have been thinned out meanwhile."""
        if self._waiting and self._waiting[0] is report:
            self._waiting.popleft()
            self.size -= report.size
        self._sent.append(report)

    def again(self) -> None:
        """A connection broke: what it was handed last may not have arrived, and goes once more, in
        its order. The same point sent twice is the same point.
        """
        while self._sent:
            report = self._sent.pop()
            if not self._waiting or report.seconds < self._waiting[0].seconds:
                self._waiting.appendleft(report)
                self.size += report.size
        while self.size > self.most and len(self._waiting) > 1:
            self._thin()

    def confirmed(self) -> None:
        """The other end has told that it took all it was handed."""
        self._sent.clear()
