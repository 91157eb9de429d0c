"""Scenarios of the simulated slow start, and their draw from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

# Seconds that a core of speed 1 works on a mean request.
MEAN_WORK: Final = 0.25


@dataclass(frozen=True, slots=True)
class BackendKind:
    """Backends that are alike: their cores, and how fast each works (1 is usual)."""

    cores: int
    speed: float

    @property
    def capacity(self) -> float:
        """Requests of mean work in a second, once warm."""
        return self.cores * self.speed / MEAN_WORK


ONE_KIND: Final = (BackendKind(4, 1.15),)
TWO_KINDS: Final = (BackendKind(4, 1.5), BackendKind(3, 0.95))
SLOW_KIND: Final = (BackendKind(2, 0.85),)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet before backends of which some start cold, all at one moment. Times in seconds.

    Attributes:
        ingress_count: ingresses of the fleet.
        backend_count: backends, cold ones and warm ones.
        cold_fraction: the probability of each backend that it is one that starts cold.
        load: requested work divided by what all backends serve once warm.
        burst_factor: factor of the load from the start of the cold backends on.
        is_restart: the cold backends served before, under the same number.
        downtime: how long they were unreachable before, if so.
        latency_objective: time within which an answer is wanted.
        late_fraction: the probability of each ingress that it is notified late of the start.
        notification_delay: how late these are notified.
        traffic_deviation: standard deviation of an ingress's traffic, divided by its mean.
        has_load_reports: responses hold load reports.
        kinds: the kinds of backends, in turn.
    """

    ingress_count: int
    backend_count: int
    cold_fraction: float = 0.3
    load: float = 0.6
    burst_factor: float = 1.0
    is_restart: bool = False
    downtime: float = 0.0
    latency_objective: float = 2.5
    late_fraction: float = 0.0
    notification_delay: float = 4.0
    traffic_deviation: float = 0.8
    has_load_reports: bool = True
    kinds: tuple[BackendKind, ...] = ONE_KIND


# How many backends a drawn scenario has, by the number of ingresses.
BACKEND_COUNTS: Final = {3: 12, 30: 30, 200: 100}
# Fewest backends of any other number of ingresses.
MIN_BACKEND_COUNT: Final = 12
COLD_FRACTIONS: Final = (0.1, 0.3, 0.6, 0.9, 1.0)
# Keeps seeds of different fleet sizes apart.
SEED_STRIDE: Final = 1_000


def draw_scenario(seed: int, ingress_count: int, cold_fraction: float | None = None) -> Scenario:
    """Draw a scenario; `cold_fraction` is drawn too where it is None."""
    rng = random.Random(seed * SEED_STRIDE + ingress_count)
    is_restart = rng.random() < 0.6
    drawn_fraction = rng.choice(COLD_FRACTIONS)
    # The order of the arguments is that of the draws: another one would change every seed.
    return Scenario(
        ingress_count,
        BACKEND_COUNTS.get(ingress_count, max(MIN_BACKEND_COUNT, ingress_count // 2)),
        cold_fraction=drawn_fraction if cold_fraction is None else cold_fraction,
        load=rng.uniform(0.3, 0.9),
        burst_factor=rng.choice((1.0, 1.5)),
        is_restart=is_restart,
        downtime=rng.choice((0.0, 5.0)),
        latency_objective=rng.choice((1.5, 2.5, 5.0)),
        late_fraction=rng.choice((0.0, 0.1, 0.3)),
        notification_delay=rng.uniform(1.0, 6.0),
        traffic_deviation=rng.uniform(0.3, 1.5),
        has_load_reports=rng.random() < 0.7,
        kinds=rng.choice((ONE_KIND, TWO_KINDS, SLOW_KIND)),
    )
