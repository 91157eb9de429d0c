"""Scenarios of the simulated agreement and of turns of work, and one seed of one."""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.lab.maintenance.simulation import MaintenanceSimulation
from dockthread.lab.raft.simulation import FAULTS, World
from dockthread.lab.seeds import PlayedSeed


@dataclass(frozen=True, slots=True)
class Scenario:
    """`faults`: those that each seed draws from itself where None, else all of these on every
    seed.
    """

    about: str
    size: int
    faults: tuple[str, ...] | None = None
    world: type[World] = World


CRASHES, MOVES = ("crash", "crash-all", "torn", "stall"), ("crash", "forget", "voters", "compact")
LINKS = ("one-way", "loss", "delay", "double", "press", "fail", "torn", "stall")
SCENARIOS = {
    "work-agreement": Scenario("three voters, a random part of all faults a seed", 3),
    "work-agreement-five": Scenario("five voters, a random part of all faults a seed", 5),
    "work-agreement-cuts": Scenario(
        "five voters, cuts both ways and one, loss and delay", 5, FAULTS[:4]
    ),
    "work-agreement-crashes": Scenario("three voters killed at writes and votes", 3, CRASHES),
    "work-agreement-moves": Scenario("voters replaced while members die", 3, MOVES),
    "work-turns": Scenario(
        "turns of work, a random part of all faults a seed", 3, None, MaintenanceSimulation
    ),
    "work-turns-five": Scenario("turns of work with five members", 5, None, MaintenanceSimulation),
    "work-turns-links": Scenario(
        "turns of work over links that lose, delay and double", 3, LINKS, MaintenanceSimulation
    ),
    "work-turns-crashes": Scenario(
        "turns of work while members die and stall", 3, (*CRASHES, "fail"), MaintenanceSimulation
    ),
}


def play_seed(name: str, seed: int, plant: str = "") -> PlayedSeed:
    """Play one seed of a scenario."""
    scenario = SCENARIOS[name]
    world = scenario.world(seed, scenario.size, plant, scenario.faults)
    broken = world.play()
    return PlayedSeed(
        tuple(broken), (f"seed {seed}, faults: {', '.join(world.faults) or 'none'}", *world.record)
    )
