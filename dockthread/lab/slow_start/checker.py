"""Judges what a fleet sends to backends that warm up; shares no code with what it judges.

Let N be the work that the limits allow a backend in `overload_time`: `overload_multiple` times what
it can serve then, if it warms up as slowly as the limits say. The backend is overloaded when more
than N + 2 * sqrt(N) + 2 arrives in that time; the terms after N allow for chance. The rule is
violated by an overload of which more than two thirds came from ingresses that had been notified of
the backend's start. Other overloads are only counted.

Work is measured in requests of mean work, time in seconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

# Share of an overload's work, from ingresses that were notified, above which the rule is violated.
MAX_NOTIFIED_SHARE: Final = 2 / 3
# Standard deviations of a Poisson count that are put down to chance.
CHANCE_DEVIATIONS: Final = 2
# Requests beyond those that are put down to chance, as small counts are not normally distributed.
CHANCE_REQUESTS: Final = 2


@dataclass(frozen=True, slots=True)
class WarmUpLimits:
    """What the settings say of backends that warm up.

    Attributes:
        cold_capacity: the fraction of its capacity that a backend has at its start.
        warm_up_time: seconds until it has all of it.
        overload_multiple: how many times what it can serve it may be sent.
        overload_time: seconds over which that is counted.
    """

    cold_capacity: float = 0.22
    warm_up_time: float = 16.0
    overload_multiple: float = 3.0
    overload_time: float = 3.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a backend, from an ingress that was notified of its start or not."""

    at: float
    work: float
    was_sender_notified: bool


@dataclass(frozen=True, slots=True)
class Overload:
    """The first time that a backend was sent more than it is allowed.

    Attributes:
        at: when.
        backend: its number.
        work: what arrived within `overload_time`.
        allowed_work: N.
        notified_share: the share of `work` from ingresses that were notified of the start.
    """

    at: float
    backend: int
    work: float
    allowed_work: float
    notified_share: float

    @property
    def violates_rule(self) -> bool:
        """Whether ingresses that knew of the start caused it."""
        return self.notified_share > MAX_NOTIFIED_SHARE


@dataclass(slots=True)
class WarmingBackend:
    """A backend from its start on.

    Attributes:
        started_at: when.
        capacity: requests of mean work that it serves in a second, once warm.
        arrivals: those of the last `overload_time`.
        overload: the first one, if there was any.
        peak_load: the most work that arrived within `overload_time`, divided by N.
    """

    started_at: float
    capacity: float
    arrivals: deque[Arrival] = field(default_factory=deque)
    overload: Overload | None = None
    peak_load: float = 0.0


class SlowStartChecker:
    """Counts the work that arrives at backends while they warm up.

    Attributes:
        limits: what the settings allow.
        backends: those that started, by number.
    """

    def __init__(self, limits: WarmUpLimits) -> None:
        self.limits = limits
        self.backends: dict[int, WarmingBackend] = {}

    def backend_started(self, backend: int, at: float, capacity: float) -> None:
        """A backend starts to warm up; `capacity` in requests of mean work in a second."""
        self.backends[backend] = WarmingBackend(at, capacity)

    def least_capacity(self, age: float) -> float:
        """Return the fraction of its capacity that a backend of this age has at least."""
        gained = (1 - self.limits.cold_capacity) * age / self.limits.warm_up_time
        return min(1.0, self.limits.cold_capacity + gained)

    def allowed_work(self, backend: WarmingBackend, at: float) -> float:
        """Return N for the `overload_time` that ends at a time.

        The least capacity rises in a straight line, so its mean is that of its two ends.
        """
        age = at - backend.started_at
        age_at_begin = max(0.0, age - self.limits.overload_time)
        mean_capacity = (self.least_capacity(age_at_begin) + self.least_capacity(age)) / 2
        return (
            self.limits.overload_multiple
            * mean_capacity
            * backend.capacity
            * self.limits.overload_time
        )

    def request_arrived(
        self, backend_number: int, at: float, work: float, was_sender_notified: bool
    ) -> None:
        """Count a request at a backend; ignored unless the backend warms up."""
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
        if backend.overload is None and total_work > _most_by_chance(allowed_work):
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


def _most_by_chance(allowed_work: float) -> float:
    return allowed_work + CHANCE_DEVIATIONS * math.sqrt(allowed_work) + CHANCE_REQUESTS
