"""Finds the customers that request the most units in an interval, in bounded memory.

The algorithm is Metwally's space-saving sketch (Metwally, Agrawal, El Abbadi: "Efficient
Computation of Frequent and Top-k Elements in Data Streams", 2005, section 3). With a capacity of k
entries, any customer that requested more than 1/k of all units has an entry. An entry may
overestimate the requested units by at most its `error`: the requested units of the entry that it
replaced.

A table covers one interval only, so customers that appear once do not accumulate over the process's
lifetime.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heapreplace, nlargest
from typing import TypeAlias

# The policy engine's index of a plan, and the ID of a customer of that plan. It is a plain tuple
# because one is created for every request, and creating a named tuple takes several times as long.
CustomerKey: TypeAlias = tuple[int, int]
# A heap entry: the requested units of a customer when the heap entry was last updated, and the
# customer. The current number of units may be higher.
_LowerBound: TypeAlias = tuple[float, CustomerKey]


@dataclass(slots=True)
class CustomerUsage:
    """Units of one customer within one interval.

    Attributes:
        requested: Upper bound of the units of its completed or abandoned requests.
        forwarded: Units of requests that were forwarded to backends.
        rejected: Units of requests that were rejected.
        error: Maximum amount by which `requested` may be too high.
    """

    requested: float
    forwarded: float = 0.0
    rejected: float = 0.0
    error: float = 0.0


class HeavyHitters:
    """Usage of the customers that request the most units.

    Attributes:
        capacity: Maximum number of entries in the table; at least 1.
        usage: The entries of the table, by customer.
    """

    __slots__ = ("_lower_bounds", "capacity", "usage")

    def __init__(self, capacity: int) -> None:
        self.capacity = max(1, capacity)
        self.usage: dict[CustomerKey, CustomerUsage] = {}
        # A heap, built the first time that an entry must be replaced.
        self._lower_bounds: list[_LowerBound] | None = None

    def add_requested(self, plan: int, customer: int, units: float) -> None:
        """Add the units of a request, and create an entry for its customer if there is none."""
        key = (plan, customer)
        usage = self.usage.get(key)
        if usage is not None:
            usage.requested += units
        elif len(self.usage) < self.capacity:
            self.usage[key] = CustomerUsage(units)
        else:
            self._replace_smallest(key, units)

    def _replace_smallest(self, key: CustomerKey, units: float) -> None:
        """Replace the smallest entry by one for a new customer, with the old units as its error."""
        if self._lower_bounds is None:
            self._lower_bounds = [
                (usage.requested, entry_key) for entry_key, usage in self.usage.items()
            ]
            heapify(self._lower_bounds)
        heap = self._lower_bounds
        # An outdated bound is raised to the current value. This happens at most once for each
        # request, so the amortized number of iterations is constant.
        while True:
            bound, smallest_key = heap[0]
            requested = self.usage[smallest_key].requested
            if requested <= bound:
                break
            heapreplace(heap, (requested, smallest_key))
        del self.usage[smallest_key]
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
        """Return the `count` customers that requested the most units, largest first."""
        return nlargest(count, self.usage.items(), key=lambda entry: entry[1].requested)
