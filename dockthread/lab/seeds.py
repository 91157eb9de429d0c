"""Runs a simulated scenario with many seeds over processes, and says which violated a rule."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Final, TypeAlias

from dockthread.lab.raft.checker import RuleViolation

# Seeds that a process runs before it reports, unless the caller says otherwise.
DEFAULT_CHUNK_SIZE: Final = 10


@dataclass(frozen=True, slots=True)
class PlayedSeed:
    """What one seed gave, the same each time.

    Attributes:
        violations: the rules that it violated, in the order in which they were found.
        record: what happened, line by line.
    """

    violations: tuple[RuleViolation, ...]
    record: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ViolatingSeed:
    """A seed and the first rule that it violated."""

    seed: int
    violation: RuleViolation


@dataclass(frozen=True, slots=True)
class SeedChunk:
    """Seeds that one process ran: how many, and those that violated a rule."""

    seed_count: int
    violating_seeds: tuple[ViolatingSeed, ...]


# Runs a seed: the scenario's name, the seed, and the name of a seeded defect or "".
PlaySeed: TypeAlias = Callable[[str, int, str], PlayedSeed]


def _play_chunk(play_seed: PlaySeed, scenario: str, seeds: range, seeded_defect: str) -> SeedChunk:
    played = [(seed, play_seed(scenario, seed, seeded_defect)) for seed in seeds]
    violating_seeds = tuple(
        ViolatingSeed(seed, result.violations[0]) for seed, result in played if result.violations
    )
    return SeedChunk(len(seeds), violating_seeds)


def play_seeds(  # noqa: PLR0913  callers of several scenarios name the last ones
    play_seed: PlaySeed,
    scenario: str,
    seeds: range,
    jobs: int,
    seeded_defect: str = "",
    chunk_size: int = DEFAULT_CHUNK_SIZE,
) -> Iterator[SeedChunk]:
    """Run seeds of a scenario and yield chunk by chunk, in the order of the seeds.

    Args:
        play_seed: runs one seed; a function of a module, as other processes import it.
        scenario: the scenario's name.
        seeds: the seeds.
        jobs: how many processes run them; 1 runs them in this one.
        seeded_defect: the name of a seeded defect, or "".
        chunk_size: seeds that a process runs before it reports.
    """
    chunks = [seeds[start : start + chunk_size] for start in range(0, len(seeds), chunk_size)]
    if jobs == 1:
        for chunk in chunks:
            yield _play_chunk(play_seed, scenario, chunk, seeded_defect)
        return
    count = len(chunks)
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(
            _play_chunk, [play_seed] * count, [scenario] * count, chunks, [seeded_defect] * count
        )
