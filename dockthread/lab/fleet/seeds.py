"""Many seeds of one scenario over processes, and one seed told again. Scenarios of the agreement by name."""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from dockthread.lab.fleet.checker import Broken
from dockthread.lab.fleet.turns_world import TurnsWorld
from dockthread.lab.fleet.world import FAULTS, World

CHUNK = 25  # seeds that a process plays before it tells


@dataclass(frozen=True, slots=True)
class Scenario:
    """`faults`: those that each seed draws from itself where None, else all of these on every seed."""

    about: str
    size: int
    faults: tuple[str, ...] | None = None
    world: type[World] = World


CRASHES, MOVES = ("crash", "crash-all", "torn", "stall"), ("crash", "forget", "voters", "compact")
LINKS = ("one-way", "loss", "delay", "double", "press", "fail", "torn", "stall")
SCENARIOS = {
    "work-agreement": Scenario("three voters, a random part of all faults a seed", 3),
    "work-agreement-five": Scenario("five voters, a random part of all faults a seed", 5),
    "work-agreement-cuts": Scenario("five voters, cuts both ways and one, loss and delay", 5, FAULTS[:4]),
    "work-agreement-crashes": Scenario("three voters killed at writes and votes", 3, CRASHES),
    "work-agreement-moves": Scenario("voters replaced while members die", 3, MOVES),
    "work-turns": Scenario("turns of work, a random part of all faults a seed", 3, None, TurnsWorld),
    "work-turns-five": Scenario("turns of work with five members", 5, None, TurnsWorld),
    "work-turns-links": Scenario("turns of work over links that lose, delay and double", 3, LINKS, TurnsWorld),
    "work-turns-crashes": Scenario("turns of work while members die and stall", 3, (*CRASHES, "fail"), TurnsWorld),
}


def play_seed(scenario: Scenario, seed: int, plant: str = "") -> tuple[list[Broken], list[str]]:
    """One seed: what broke, and its record, the same each time."""
    world = scenario.world(seed, scenario.size, plant, scenario.faults)
    return world.play(), [f"seed {seed}, faults: {', '.join(world.faults) or 'none'}", *world.record]


def _some(name: str, seeds: range, plant: str) -> list[tuple[int, Broken]]:
    found = ((seed, play_seed(SCENARIOS[name], seed, plant)[0]) for seed in seeds)
    return [(seed, broken[0]) for seed, broken in found if broken]


def many(name: str, seeds: range, jobs: int, plant: str = "") -> Iterator[tuple[int, list[tuple[int, Broken]]]]:
    """Seeds played so far and what broke in them, chunk by chunk, in the order of the seeds."""
    chunks = [seeds[i : i + CHUNK] for i in range(0, len(seeds), CHUNK)]
    if jobs == 1:
        for chunk in chunks:
            yield len(chunk), _some(name, chunk, plant)
        return
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        played = pool.map(_some, [name] * len(chunks), chunks, [plant] * len(chunks))
        for chunk, broken in zip(chunks, played, strict=True):
            yield len(chunk), broken
