"""Scenarios of the simulated Raft cluster and of maintenance on it, and the run of one seed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from dockthread.lab.maintenance.simulation import MaintenanceSimulation
from dockthread.lab.raft.faults import NETWORK_FAULTS, Fault
from dockthread.lab.raft.simulation import RaftSimulation
from dockthread.lab.seeds import PlayedSeed


@dataclass(frozen=True, slots=True)
class Scenario:
    """A simulated cluster that is run with many seeds.

    Attributes:
        about: one line for the command line.
        size: how many members it starts with.
        faults: those of every seed; None where each seed draws its own.
        simulation: the class that runs a seed.
    """

    about: str
    size: int
    faults: tuple[str, ...] | None = None
    simulation: type[RaftSimulation] = RaftSimulation


CRASH_FAULTS: Final = (Fault.CRASH, Fault.CRASH_ALL, Fault.TORN_WRITE, Fault.STALL)
MEMBERSHIP_FAULTS: Final = (
    Fault.CRASH,
    Fault.DISK_LOSS,
    Fault.VOTER_CHANGE,
    Fault.COMPACTION,
)
# `press` and `fail` are faults of the simulated maintenance.
LINK_FAULTS: Final = (
    Fault.ONE_WAY_CUT,
    Fault.LOSS,
    Fault.DELAY,
    Fault.DUPLICATION,
    "press",
    "fail",
    Fault.TORN_WRITE,
    Fault.STALL,
)

SCENARIOS: Final = {
    "work-agreement": Scenario("three voters, a random part of all faults a seed", 3),
    "work-agreement-five": Scenario("five voters, a random part of all faults a seed", 5),
    "work-agreement-cuts": Scenario(
        "five voters, cuts both ways and one, loss and delay", 5, NETWORK_FAULTS
    ),
    "work-agreement-crashes": Scenario("three voters killed at writes and votes", 3, CRASH_FAULTS),
    "work-agreement-moves": Scenario("voters replaced while members die", 3, MEMBERSHIP_FAULTS),
    "work-turns": Scenario(
        "turns of work, a random part of all faults a seed", 3, None, MaintenanceSimulation
    ),
    "work-turns-five": Scenario("turns of work with five members", 5, None, MaintenanceSimulation),
    "work-turns-links": Scenario(
        "turns of work over links that lose, delay and double",
        3,
        LINK_FAULTS,
        MaintenanceSimulation,
    ),
    "work-turns-crashes": Scenario(
        "turns of work while members die and stall",
        3,
        (*CRASH_FAULTS, "fail"),
        MaintenanceSimulation,
    ),
}


def play_seed(name: str, seed: int, seeded_defect: str = "") -> PlayedSeed:
    """Run one seed of a scenario, with a seeded defect or without.

    Raises:
        KeyError: there is no scenario of this name.
    """
    scenario = SCENARIOS[name]
    simulation = scenario.simulation(seed, scenario.size, seeded_defect, scenario.faults)
    violations = simulation.play()
    summary = f"seed {seed}, faults: {', '.join(simulation.faults) or 'none'}"
    return PlayedSeed(tuple(violations), (summary, *simulation.record))
