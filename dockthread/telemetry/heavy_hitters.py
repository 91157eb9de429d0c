"""The customers that request most units in an interval, found in bounded memory.

The algorithm is Metwally's space-saving sketch (Metwally, Agrawal, El Abbadi: "Efficient
Computation of Frequent and Top-k Elements in Data Streams", 2005, section 3). With a capacity of k
entries, any customer that requested more than 1/k of all units has an entry. An entry's requested
units are too high by at most its `error`, which is the smallest entry at the time it was made.

A table covers one interval and not the whole life of the process, so thousands of customers that
appear only once leave nothing behind.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heapreplace, nlargest
from typing import TypeAlias

# The policy engine's number of a plan, and a customer of that plan. A plain tuple, because one is
# made for every request and a named tuple takes several times as long to make.
CustomerKey: TypeAlias = tuple[int, int]
# A heap entry: a customer's requested units at the time at which it was last looked at.
_LowerBound: TypeAlias = tuple[float, CustomerKey]


@dataclass(slots=True)
class CustomerUsage:
    """Units of one customer within one interval.

    Attributes:
        requested: Units of its completed or abandoned requests; an upper bound.
        forwarded: Units of those that were forwarded to backends.
        rejected: Units of those that were rejected.
        error: The most by which `requested` is too high.
    """

    requested: float
    forwarded: float = 0.0
    rejected: float = 0.0
    error: float = 0.0


class HeavyHitters:
    """Usage of the customers that request most.

    Attributes:
        capacity: The most entries of the table; at least 1.
        usage: The entries.
    """

    __slots__ = ("_lower_bounds", "capacity", "usage")

    def __init__(self, capacity: int) -> None:
        self.capacity = max(1, capacity)
        self.usage: dict[CustomerKey, CustomerUsage] = {}
        # A heap, built when the table is full for the first time.
        self._lower_bounds: list[_LowerBound] | None = None

    def add_requested(self, plan: int, customer: int, units: float) -> None:
        """Add the units of a request; make an entry for its customer if it has none."""
        key = (plan, customer)
        usage = self.usage.get(key)
        if usage is not None:
            usage.requested += units
        elif len(self.usage) < self.capacity:
            self.usage[key] = CustomerUsage(units)
        else:
            self._replace_smallest(key, units)

    def _replace_smallest(self, key: CustomerKey, units: float) -> None:
        """Give the smallest entry's place to a new customer, with its units as the error."""
        if self._lower_bounds is None:
            self._lower_bounds = [
                (usage.requested, present) for present, usage in self.usage.items()
            ]
            heapify(self._lower_bounds)
        heap = self._lower_bounds
        # An outdated bound is raised to the present value. That happens to a customer at most as
        # often as it made requests, so the loop's cost is constant on average.
        while True:
            bound, smallest = heap[0]
            requested = self.usage[smallest].requested
            if requested <= bound:
                break
            heapreplace(heap, (requested, smallest))
        del self.usage[smallest]
        self.usage[key] = CustomerUsage(requested + units, 0.0, 0.0, requested)
        heapreplace(heap, (requested + units, key))

    def add_forwarded(self, plan: int, customer: int, units: float) -> None:
        """Add forwarded units, if the customer has an entry."""
        usage = self.usage.get((plan, customer))
        if usage is not None:
            usage.forwarded += units

    def add_rejected(self, plan: int, customer: int, units: float) -> None:
        """Add rejected units, if the customer has an entry."""
        usage = self.usage.get((plan, customer))
        if usage is not None:
            usage.rejected += units

    def top(self, count: int) -> list[tuple[CustomerKey, CustomerUsage]]:
        """Return the `count` customers that requested most, the largest first."""
        return nlargest(count, self.usage.items(), key=lambda entry: entry[1].requested)
