"""Runs a simulated scenario with many seeds in several processes, and reports rule violations."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Final, TypeAlias

from dockthread.lab.raft.checker import RuleViolation

# Default number of seeds that a process runs before it reports.
DEFAULT_CHUNK_SIZE: Final = 10


@dataclass(frozen=True, slots=True)
class SeedRun:
    """The result of one seed, which is the same in each run.

    Attributes:
        violations: the rule violations, in the order in which they were found.
        record: the recorded events, one per line.
    """

    violations: tuple[RuleViolation, ...]
    record: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ViolatingSeed:
    """A seed and its first rule violation."""

    seed: int
    violation: RuleViolation


@dataclass(frozen=True, slots=True)
class SeedChunk:
    """The result of a chunk of seeds, which one process ran."""

    seed_count: int
    violating_seeds: tuple[ViolatingSeed, ...]


# Function that runs one seed; its arguments are the scenario's name, the seed, and the name of a
# seeded defect or "".
SeedRunner: TypeAlias = Callable[[str, int, str], SeedRun]


def _run_chunk(run_seed: SeedRunner, scenario: str, seeds: range, seeded_defect: str) -> SeedChunk:
    results = [(seed, run_seed(scenario, seed, seeded_defect)) for seed in seeds]
    violating_seeds = tuple(
        ViolatingSeed(seed, result.violations[0]) for seed, result in results if result.violations
    )
    return SeedChunk(len(seeds), violating_seeds)


def run_seeds(  # noqa: PLR0913  the last two have defaults
    run_seed: SeedRunner,
    scenario: str,
    seeds: range,
    jobs: int,
    seeded_defect: str = "",
    chunk_size: int = DEFAULT_CHUNK_SIZE,
) -> Iterator[SeedChunk]:
    """Run seeds of a scenario and yield the result of each chunk, in the order of the seeds.

    Args:
        run_seed: runs one seed; must be a module-level function, because it is pickled for the
            processes.
        scenario: the scenario's name.
        seeds: the seeds to run.
        jobs: number of processes; with 1 the seeds run in the current process.
        seeded_defect: the name of a seeded defect, or "".
        chunk_size: number of seeds that a process runs before it reports.
    """
    chunks = [seeds[start : start + chunk_size] for start in range(0, len(seeds), chunk_size)]
    if jobs == 1:
        for chunk in chunks:
            yield _run_chunk(run_seed, scenario, chunk, seeded_defect)
        return
    count = len(chunks)
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(
            _run_chunk, [run_seed] * count, [scenario] * count, chunks, [seeded_defect] * count
        )
