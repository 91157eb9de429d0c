"""Scenarios of the simulated distribution, and one seed of one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from dockthread.lab.control_plane.simulation import World
from dockthread.lab.seeds import PlayedSeed


@dataclass(frozen=True, slots=True)
class Scenario:
    """`single`: one fault at a time, with the bound held meanwhile; `hour`: regions are cut for an
    hour beside the drawn faults.
    """

    about: str
    single: bool = False
    hour: bool = False


SCENARIOS: Final = {
    "drawn": Scenario("a random part of all faults a seed, at once; the bound holds after them"),
    "single": Scenario("one fault at a time; the bound holds meanwhile", single=True),
    "hour": Scenario("regions cut for an hour, changes meanwhile", hour=True),
}


def play_seed(name: str, seed: int, plant: str = "") -> PlayedSeed:
    """Play one seed of a scenario."""
    scenario = SCENARIOS[name]
    world = World(seed, plant, single=scenario.single, hour=scenario.hour)
    broken = world.play()
    return PlayedSeed(
        tuple(broken), (f"seed {seed}, faults: {', '.join(world.faults) or 'none'}", *world.record)
    )
