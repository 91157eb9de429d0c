"""The bounded queue of reports for one receiver.

Counts are cumulative, so a report between two others says nothing that the later one does not; only
detail is lost with it. When the queue exceeds its bytes, every second report of the older half is
dropped first. Only when that half has a single report left is the oldest dropped. The newest report
always stays.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Reports delivered last that are kept: what a connection that breaks may have lost.
KEPT_DELIVERED = 2


@dataclass(frozen=True, slots=True)
class Report:
    """One report, encoded for one receiver.

    Attributes:
        seconds: The moment at which the values were read, in Unix time.
        chunks: The encoded bytes; each chunk is written by itself, in order.
    """

    seconds: float
    chunks: tuple[bytes, ...]

    @property
    def size(self) -> int:
        """The bytes of all chunks."""
        return sum(map(len, self.chunks))


class DeliveryQueue:
    """Reports that wait for one receiver, the oldest first.

    Attributes:
        max_size: The most bytes that wait; a single report may exceed it.
        size: The bytes that wait now.
        dropped: Reports dropped since the start for want of space.
    """

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self.size = 0
        self.dropped = 0
        self._waiting: deque[Report] = deque()
        self._delivered: deque[Report] = deque(maxlen=KEPT_DELIVERED)

    def __len__(self) -> int:
        return len(self._waiting)

    def enqueue(self, report: Report) -> None:
        """Append the newest report, and drop older ones if the queue exceeds its size."""
        self._waiting.append(report)
        self.size += report.size
        self._enforce_size()

    def _enforce_size(self) -> None:
        while self.size > self.max_size and len(self._waiting) > 1:
            self._thin_older_half()

    def _thin_older_half(self) -> None:
        """Drop every second report of the older half, the oldest first, until the size fits."""
        half = max(1, len(self._waiting) // 2)
        kept: list[Report] = []
        for index, report in enumerate(self._waiting):
            if index < half and index % 2 == 0 and self.size > self.max_size:
                self.size -= report.size
                self.dropped += 1
            else:
                kept.append(report)
        self._waiting = deque(kept)

    def peek(self) -> Report | None:
        """Return the oldest report, or None when the queue is empty."""
        return self._waiting[0] if self._waiting else None

    def mark_delivered(self, report: Report) -> None:
        """Remove a report that was written completely.

        It may have been dropped while it was written; then there is nothing to remove.
        """
        if self._waiting and self._waiting[0] is report:
            self._waiting.popleft()
            self.size -= report.size
        self._delivered.append(report)

    def requeue_delivered(self) -> None:
        """Queue the last delivered reports again, in order, after a connection broke.

        They may not have arrived. If they have, a point sent twice is stored once.
        """
        while self._delivered:
            report = self._delivered.pop()
            if not self._waiting or report.seconds < self._waiting[0].seconds:
                self._waiting.appendleft(report)
                self.size += report.size
        self._enforce_size()
