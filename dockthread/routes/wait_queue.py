"""The queue of requests that wait for admission under a route's concurrency limit."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import NamedTuple


class QueueEntry(NamedTuple):
    """A waiting request; entries sort in the order in which they leave the queue.

    Attributes:
        negated_weight: The negated priority weight, because a heap returns its least entry first.
        arrival: The arrival number, which makes the queue first-in, first-out for equal weights.
        request: The request's number.
    """

    negated_weight: float
    arrival: int
    request: int


class WaitQueue:
    """A bounded priority queue of requests: greatest weight first, then longest waiting first.

    Attributes:
        max_length: The largest number of waiting requests.
    """

    __slots__ = ("_arrival_count", "_heap", "_removed", "max_length")

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self._heap: list[QueueEntry] = []
        # Requests that have left the queue but are still in the heap. This is an immutable set
        # because it is empty for most queues, and all empty ones share one object.
        self._removed: frozenset[int] = frozenset()
        self._arrival_count = 0

    def __len__(self) -> int:
        return len(self._heap) - len(self._removed)

    def put(self, request: int, priority_weight: float) -> int | None:
        """Add a request to the queue.

        Returns:
            None if the queue has room for the request; otherwise the request to reject, which is
            the one with the least weight and may be the new one.
        """
        self._arrival_count += 1
        entry = QueueEntry(-priority_weight, self._arrival_count, request)
        if self.max_length <= 0:
            return request
        if len(self) < self.max_length:
            heappush(self._heap, entry)
            return None
        self._purge_removed()
        lowest = max(self._heap)
        if entry >= lowest:
            return request
        self._heap.remove(lowest)
        heapify(self._heap)
        heappush(self._heap, entry)
        return lowest.request

    def remove(self, request: int) -> None:
        """Remove a request; does nothing if it is not in the queue."""
        if any(entry.request == request for entry in self._heap):
            self._removed |= {request}

    def pop(self) -> int | None:
        """Remove and return the next request, or return None if the queue is empty."""
        while self._heap:
            request = heappop(self._heap).request
            if request not in self._removed:
                return request
            self._removed -= {request}
        return None

    def _purge_removed(self) -> None:
        if self._removed:
            self._heap = [entry for entry in self._heap if entry.request not in self._removed]
            self._removed = frozenset()
            heapify(self._heap)
