"""Many seeds of one simulated scenario over processes; what a seed found, and its record."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from dockthread.lab.raft.checker import RuleViolation


@dataclass(frozen=True, slots=True)
class PlayedSeed:
    """One seed: what broke, and its record, the same each time."""

    broken: tuple[RuleViolation, ...]
    record: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Found:
    """The first rule that a seed broke."""

    seed: int
    broken: RuleViolation


@dataclass(frozen=True, slots=True)
class Chunk:
    """So many seeds were played."""

    played: int
    found: tuple[Found, ...]


# a scenario's name, a seed, a planted bug's name or nothing
PlaySeed = Callable[[str, int, str], PlayedSeed]


def _play_chunk(play: PlaySeed, name: str, seeds: range, plant: str) -> Chunk:
    played = [(seed, play(name, seed, plant)) for seed in seeds]
    return Chunk(
        len(seeds), tuple(Found(seed, one.broken[0]) for seed, one in played if one.broken)
    )


def play_many(
    play: PlaySeed, name: str, seeds: range, jobs: int, plant: str = "", chunk_size: int = 10
) -> Iterator[Chunk]:
    """Chunk by chunk, in the order of the seeds. `play`: a function of a module, as other processes
    import it. `chunk_size`: seeds that a process plays before it tells.
    """
    chunks = [seeds[start : start + chunk_size] for start in range(0, len(seeds), chunk_size)]
    if jobs == 1:
        for chunk in chunks:
            yield _play_chunk(play, name, chunk, plant)
        return
    many = len(chunks)
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(_play_chunk, [play] * many, [name] * many, chunks, [plant] * many)
