"""Runs the slow-start simulation with one seed, or with many seeds in several processes."""

from __future__ import annotations

import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from dockthread.lab.slow_start.checker import Overload
from dockthread.lab.slow_start.scenario import Scenario, draw_scenario
from dockthread.lab.slow_start.seeded_defects import DEFECTIVE_ENGINES
from dockthread.lab.slow_start.simulation import OBSERVATION_TIME, SlowStartSimulation
from dockthread.policy import PolicyEngine


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of a scenario with one seed.

    Attributes:
        seed: the seed.
        scenario: the scenario.
        cold_count: number of backends that started cold.
        overloads: overloads that the checker found.
        peak_load: the maximum work that any backend received in the checker's `overload_time`,
            divided by the allowed work N.
        used_capacity: work that the cold backends served, divided by the work they could serve.
        in_time: the fraction of requests that were answered within the latency objective.
        achievable_in_time: the maximum of `in_time` that the capacity of all backends allows.
    """

    seed: int
    scenario: Scenario
    cold_count: int
    overloads: tuple[Overload, ...]
    peak_load: float
    used_capacity: float
    in_time: float
    achievable_in_time: float

    @property
    def violations(self) -> list[Overload]:
        """The overloads that violate the checker's rule."""
        return [overload for overload in self.overloads if overload.violates_rule]


def run_seed(seed: int, scenario: Scenario, seeded_defect: str = "") -> SeedResult:
    """Run a scenario with one seed, and with a seeded defect unless its name is "".

    Raises:
        KeyError: no seeded defect has this name.
    """
    engine_class = DEFECTIVE_ENGINES[seeded_defect] if seeded_defect else PolicyEngine
    simulation = SlowStartSimulation(seed, scenario, engine_class=engine_class)
    checker = simulation.run()
    mean_capacity = (checker.min_capacity(0.0) + checker.min_capacity(OBSERVATION_TIME)) / 2
    full_capacity_seconds = mean_capacity * OBSERVATION_TIME
    cold_capacity = sum(backend.kind.capacity for backend in simulation.cold_backends)
    cold_work = cold_capacity * full_capacity_seconds
    warm_work = (simulation.capacity - cold_capacity) * OBSERVATION_TIME
    arrived = max(1, simulation.counts.arrived)
    return SeedResult(
        seed,
        scenario,
        len(simulation.cold_backends),
        tuple(checker.overloads),
        max(backend.peak_load for backend in checker.backends.values()),
        sum(backend.served_work for backend in simulation.cold_backends) / cold_work,
        simulation.counts.in_time / arrived,
        min(1.0, (cold_work + warm_work) / arrived),
    )


def _draw_and_run(
    seed: int, ingress_count: int, cold_fraction: float | None, seeded_defect: str
) -> SeedResult:
    return run_seed(seed, draw_scenario(seed, ingress_count, cold_fraction), seeded_defect)


def run_seeds(
    seeds: range, ingress_count: int, cold_fraction: float | None, seeded_defect: str, jobs: int
) -> list[SeedResult]:
    """Draw and run a scenario for each seed in `jobs` processes; results are ordered by seed."""
    count = len(seeds)
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        results = pool.map(
            _draw_and_run,
            seeds,
            [ingress_count] * count,
            [cold_fraction] * count,
            [seeded_defect] * count,
        )
        return list(results)
