"""The queue of the requests that wait for a route's concurrency limit."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import NamedTuple


class QueueEntry(NamedTuple):
    """One request that waits; entries compare in the order in which they are taken.

    Attributes:
        negated_weight: Minus its priority weight, as a heap gives its least entry first.
        arrival: The number of its arrival; of equal weights the longest waiting goes first.
        request: The request's number.
    """

    negated_weight: float
    arrival: int
    request: int


class WaitQueue:
    """A bounded priority queue of requests: the greatest weight first, then the longest waiting.

    Attributes:
        max_length: How many requests may wait.
    """

    __slots__ = ("_arrivals", "_heap", "_removed", "max_length")

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self._heap: list[QueueEntry] = []
        # Requests that are still in the heap and wait no longer. It is empty for most queues, which
        # then share one object.
        self._removed: frozenset[int] = frozenset()
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._heap) - len(self._removed)

    def put(self, request: int, priority_weight: float) -> int | None:
        """Let a request wait.

        Returns:
            The request to reject, as the queue is full: the one of the least weight, which may be
            the new one. None where there is capacity.
        """
        self._arrivals += 1
        entry = QueueEntry(-priority_weight, self._arrivals, request)
        if self.max_length <= 0:
            return request
        if len(self) < self.max_length:
            heappush(self._heap, entry)
            return None
        self._drop_removed()
        last = max(self._heap)
        if entry >= last:
            return request
        self._heap.remove(last)
        heapify(self._heap)
        heappush(self._heap, entry)
        return last.request

    def remove(self, request: int) -> None:
        """Take out a request that waits no longer; it need not be in the queue."""
        if any(entry.request == request for entry in self._heap):
            self._removed |= {request}

    def pop(self) -> int | None:
        """Take out the request that is next; None where none waits."""
        while self._heap:
            request = heappop(self._heap).request
            if request not in self._removed:
                return request
            self._removed -= {request}
        return None

    def _drop_removed(self) -> None:
        if self._removed:
            self._heap = [entry for entry in self._heap if entry.request not in self._removed]
            self._removed = frozenset()
            heapify(self._heap)
