"""Checks the load that ingresses send to backends that warm up.

The checker shares no code with the policy engine that it checks. Let N be the work that the limits
allow a backend to receive in `overload_time`: `overload_multiple` times the work that it can serve
in this time if it warms up as slowly as the limits assume. The backend is overloaded if more than
N + 2 * sqrt(N) + 2 arrives in this time; the terms after N allow for random variation. An overload
violates the rule if more than two thirds of it come from ingresses that had been notified of the
backend's start. Other overloads are only counted.

The unit of work is a request of mean work; times are in seconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

# Maximum share of an overload's work that may come from ingresses that were notified of the start.
MAX_NOTIFIED_SHARE: Final = 2 / 3
# Standard deviations of a Poisson count that are attributed to random variation.
CHANCE_DEVIATIONS: Final = 2
# Additional requests that are attributed to random variation, because small counts are not normally
# distributed.
CHANCE_REQUESTS: Final = 2


@dataclass(frozen=True, slots=True)
class WarmUpLimits:
    """The settings for backends that warm up.

    Attributes:
        cold_capacity: the fraction of its full capacity that a backend has at its start.
        warm_up_time: seconds until a backend has its full capacity.
        overload_multiple: maximum ratio of the work sent to a backend to the work it can serve.
        overload_time: seconds over which this work is summed.
    """

    cold_capacity: float = 0.22
    warm_up_time: float = 16.0
    overload_multiple: float = 3.0
    overload_time: float = 3.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived at a backend.

    Attributes:
        at: the time of arrival.
        work: the request's work.
        was_sender_notified: whether the ingress had been notified of the backend's start.
    """

    at: float
    work: float
    was_sender_notified: bool


@dataclass(frozen=True, slots=True)
class Overload:
    """The first overload of a backend.

    Attributes:
        at: the time at which the overload was found.
        backend: the backend's number.
        work: the work that arrived within `overload_time`.
        allowed_work: the work N that the limits allow.
        notified_share: the share of `work` from ingresses that were notified of the start.
    """

    at: float
    backend: int
    work: float
    allowed_work: float
    notified_share: float

    @property
    def violates_rule(self) -> bool:
        """Whether ingresses that had been notified of the start caused the overload."""
        return self.notified_share > MAX_NOTIFIED_SHARE


@dataclass(slots=True)
class WarmingBackend:
    """A backend that has started cold.

    Attributes:
        started_at: the time of the start.
        capacity: requests of mean work that the backend serves per second when it is warm.
        arrivals: the requests that arrived within the last `overload_time`.
        overload: the first overload, or None.
        peak_load: the maximum work that arrived within `overload_time`, divided by N.
    """

    started_at: float
    capacity: float
    arrivals: deque[Arrival] = field(default_factory=deque)
    overload: Overload | None = None
    peak_load: float = 0.0


class SlowStartChecker:
    """Sums the work that arrives at backends while they warm up, and finds overloads.

    Attributes:
        limits: the settings for backends that warm up.
        backends: the backends that have started cold, by number.
    """

    def __init__(self, limits: WarmUpLimits) -> None:
        self.limits = limits
        self.backends: dict[int, WarmingBackend] = {}

    def on_backend_started(self, backend: int, at: float, capacity: float) -> None:
        """Record that a backend starts cold; `capacity` is in requests of mean work per second."""
        self.backends[backend] = WarmingBackend(at, capacity)

    def min_capacity(self, age: float) -> float:
        """Return the minimum fraction of its full capacity that a backend has at this age."""
        gained_capacity = (1 - self.limits.cold_capacity) * age / self.limits.warm_up_time
        return min(1.0, self.limits.cold_capacity + gained_capacity)

    def allowed_work(self, backend: WarmingBackend, at: float) -> float:
        """Return N for the period of `overload_time` that ends at `at`.

        The minimum capacity rises linearly, so its mean is the mean of its values at both ends of
        the period.
        """
        age = at - backend.started_at
        age_at_start = max(0.0, age - self.limits.overload_time)
        mean_capacity = (self.min_capacity(age_at_start) + self.min_capacity(age)) / 2
        return (
            self.limits.overload_multiple
            * mean_capacity
            * backend.capacity
            * self.limits.overload_time
        )

    def on_request_arrived(
        self, backend_number: int, at: float, work: float, was_sender_notified: bool
    ) -> None:
        """Count a request that arrives at a backend; ignored unless the backend is warming up."""
        backend = self.backends.get(backend_number)
        if backend is None or not 0.0 <= at - backend.started_at < self.limits.warm_up_time:
            return
        arrivals = backend.arrivals
        arrivals.append(Arrival(at, work, was_sender_notified))
        while arrivals[0].at <= at - self.limits.overload_time:
            arrivals.popleft()
        total_work = sum(arrival.work for arrival in arrivals)
        allowed_work = self.allowed_work(backend, at)
        backend.peak_load = max(backend.peak_load, total_work / allowed_work)
        if backend.overload is None and total_work > _overload_threshold(allowed_work):
            notified_work = sum(arrival.work for arrival in arrivals if arrival.was_sender_notified)
            backend.overload = Overload(
                at, backend_number, total_work, allowed_work, notified_work / total_work
            )

    @property
    def overloads(self) -> list[Overload]:
        """The first overload of each backend that had one."""
        return [
            backend.overload for backend in self.backends.values() if backend.overload is not None
        ]


def _overload_threshold(allowed_work: float) -> float:
    return allowed_work + CHANCE_DEVIATIONS * math.sqrt(allowed_work) + CHANCE_REQUESTS
