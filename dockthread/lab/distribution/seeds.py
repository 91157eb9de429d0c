"""Many seeds of one scenario over processes, and one seed told again."""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Final

from dockthread.lab.distribution.world import World
from dockthread.lab.fleet.checker import Broken

CHUNK: Final = 10  # seeds that a process plays before it tells


@dataclass(frozen=True, slots=True)
class Scenario:
    """`single`: one fault at a time, with the bound held meanwhile; `hour`: regions are cut for an hour beside the
    drawn faults."""

    about: str
    single: bool = False
    hour: bool = False


SCENARIOS: Final = {
    "drawn": Scenario("a random part of all faults a seed, at once; the bound holds after them"),
    "single": Scenario("one fault at a time; the bound holds meanwhile", single=True),
    "hour": Scenario("regions cut for an hour, changes meanwhile", hour=True),
}


@dataclass(frozen=True, slots=True)
class Found:
    """The first rule that a seed broke."""

    seed: int
    broken: Broken


@dataclass(frozen=True, slots=True)
class Chunk:
    """So many seeds were played."""

    played: int
    found: tuple[Found, ...]


@dataclass(frozen=True, slots=True)
class PlayedSeed:
    """One seed: what broke, and its record, the same each time."""

    broken: tuple[Broken, ...]
    record: tuple[str, ...]


def play_seed(name: str, seed: int, plant: str = "") -> PlayedSeed:
    """Play one seed of a scenario."""
    scenario = SCENARIOS[name]
    world = World(seed, plant, single=scenario.single, hour=scenario.hour)
    broken = world.play()
    return PlayedSeed(tuple(broken), (f"seed {seed}, faults: {', '.join(world.faults) or 'none'}", *world.record))


def _play(name: str, seeds: range, plant: str) -> Chunk:
    played = [(seed, play_seed(name, seed, plant)) for seed in seeds]
    return Chunk(len(seeds), tuple(Found(seed, one.broken[0]) for seed, one in played if one.broken))


def many(name: str, seeds: range, jobs: int, plant: str = "") -> Iterator[Chunk]:
    """Chunk by chunk, in the order of the seeds."""
    chunks = [seeds[start : start + CHUNK] for start in range(0, len(seeds), CHUNK)]
    if jobs == 1:
        for chunk in chunks:
            yield _play(name, chunk, plant)
        return
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield from pool.map(_play, [name] * len(chunks), chunks, [plant] * len(chunks))
