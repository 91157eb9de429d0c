"""Scenarios of the slow-start simulation, and their random generation from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

# Seconds that a core of speed 1 needs for a request of mean work.
MEAN_WORK: Final = 0.25


@dataclass(frozen=True, slots=True)
class BackendKind:
    """A kind of backend: the number of its cores, and their speed relative to a normal core."""

    cores: int
    speed: float

    @property
    def capacity(self) -> float:
        """Requests of mean work that a warm backend serves per second."""
        return self.cores * self.speed / MEAN_WORK


ONE_KIND: Final = (BackendKind(4, 1.15),)
TWO_KINDS: Final = (BackendKind(4, 1.5), BackendKind(3, 0.95))
SLOW_KIND: Final = (BackendKind(2, 0.85),)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Ingresses and backends, of which some start cold at the same time. Times are in seconds.

    Attributes:
        ingress_count: number of ingresses.
        backend_count: number of all backends, cold and warm.
        cold_fraction: probability that a backend starts cold.
        load: requested work divided by the work that all backends serve when they are warm.
        burst_factor: factor by which the load increases at the start of the cold backends.
        is_restart: whether the cold backends served before, under the same number.
        downtime: time for which restarted backends were unreachable before their start.
        latency_objective: latency objective of the request class.
        late_fraction: probability that an ingress is notified late of the start.
        notification_delay: delay of late notifications.
        traffic_deviation: standard deviation of an ingress's traffic, divided by its mean.
        has_load_reports: whether responses contain load reports.
        kinds: kinds of backends, which are assigned in rotation.
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


# Number of backends in a drawn scenario, by the number of ingresses.
BACKEND_COUNTS: Final = {3: 12, 30: 30, 200: 100}
# Minimum number of backends for any other number of ingresses.
MIN_BACKEND_COUNT: Final = 12
COLD_FRACTIONS: Final = (0.1, 0.3, 0.6, 0.9, 1.0)
# Factor that gives different random seeds to different numbers of ingresses.
SEED_STRIDE: Final = 1_000


def draw_scenario(seed: int, ingress_count: int, cold_fraction: float | None = None) -> Scenario:
    """Draw a scenario; if `cold_fraction` is None, it is drawn, too."""
    rng = random.Random(seed * SEED_STRIDE + ingress_count)
    is_restart = rng.random() < 0.6
    drawn_fraction = rng.choice(COLD_FRACTIONS)
    # The arguments are evaluated in the order of the random draws; another order would change the
    # scenario of every seed.
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
