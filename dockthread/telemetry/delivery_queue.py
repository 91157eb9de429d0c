"""The bounded queue of reports for one receiver.

Counts are cumulative, so dropping a report loses time resolution but no counts: the next report
includes them. When the queue exceeds its size limit, every second report of its older half is
dropped, the oldest first, until the queue fits. Once that half has shrunk to a single report, the
oldest report is dropped. The newest report is never dropped.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Number of delivered reports kept for resending, because a broken connection may have lost them.
MAX_REDELIVERED_REPORTS = 2


@dataclass(frozen=True, slots=True)
class Report:
    """One report, encoded for one receiver.

    Attributes:
        unix_seconds: The Unix time at which the values were read.
        chunks: The encoded bytes; chunks are written one at a time, in order.
    """

    unix_seconds: float
    chunks: tuple[bytes, ...]

    @property
    def size(self) -> int:
        """The total size of all chunks in bytes."""
        return sum(map(len, self.chunks))


class DeliveryQueue:
    """Reports that wait for one receiver, the oldest first.

    Attributes:
        max_size: The size limit of the queue in bytes; a single report may exceed it.
        size: The size of the waiting reports in bytes.
        dropped: Number of reports dropped so far because the queue was full.
    """

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self.size = 0
        self.dropped = 0
        self._waiting: deque[Report] = deque()
        self._delivered: deque[Report] = deque(maxlen=MAX_REDELIVERED_REPORTS)

    def __len__(self) -> int:
        return len(self._waiting)

    def enqueue(self, report: Report) -> None:
        """Append the newest report, and drop older ones if the queue exceeds its size limit."""
        self._waiting.append(report)
        self.size += report.size
        self._enforce_size()

    def _enforce_size(self) -> None:
        while self.size > self.max_size and len(self._waiting) > 1:
            self._thin_older_half()

    def _thin_older_half(self) -> None:
        """Drop every second report of the older half, oldest first, until the queue fits."""
        half_length = max(1, len(self._waiting) // 2)
        kept: list[Report] = []
        for index, report in enumerate(self._waiting):
            if index < half_length and index % 2 == 0 and self.size > self.max_size:
                self.size -= report.size
                self.dropped += 1
            else:
                kept.append(report)
        self._waiting = deque(kept)

    def peek(self) -> Report | None:
        """Return the oldest report, or None when the queue is empty."""
        return self._waiting[0] if self._waiting else None

    def mark_delivered(self, report: Report) -> None:
        """Remove a report that was written completely, and keep it in case the connection breaks.

        The report may already have been dropped from the queue while it was being written.
        """
        if self._waiting and self._waiting[0] is report:
            self._waiting.popleft()
            self.size -= report.size
        self._delivered.append(report)

    def requeue_delivered(self) -> None:
        """Queue the last delivered reports again, in order, after a connection broke.

        They may not have arrived. If they did, sending them twice is harmless, because a receiver
        stores one value for each series and timestamp.
        """
        while self._delivered:
            report = self._delivered.pop()
            if not self._waiting or report.unix_seconds < self._waiting[0].unix_seconds:
                self._waiting.appendleft(report)
                self.size += report.size
        self._enforce_size()
