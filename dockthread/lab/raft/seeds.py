"""Scenarios of simulated Raft clusters, with or without planned maintenance on them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from dockthread.lab.maintenance.simulation import MaintenanceSimulation
from dockthread.lab.raft.faults import NETWORK_FAULTS, Fault
from dockthread.lab.raft.simulation import RaftSimulation
from dockthread.lab.seeds import SeedRun


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario that the command line offers, to be run with many seeds.

    Attributes:
        about: One-line description for the command line.
        size: Number of members at the start.
        faults: Faults that occur with every seed; None if each seed draws its own.
        simulation: Class that runs a seed.
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
# `press` (overloaded zones) and `fail` (failing backends) are faults of the maintenance simulation.
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
    "work-agreement": Scenario("three voters, a random subset of all faults for each seed", 3),
    "work-agreement-five": Scenario("five voters, a random subset of all faults for each seed", 5),
    "work-agreement-cuts": Scenario(
        "five voters with two-way and one-way cuts, loss and delay", 5, NETWORK_FAULTS
    ),
    "work-agreement-crashes": Scenario(
        "three voters that stall or crash, also during writes and votes", 3, CRASH_FAULTS
    ),
    "work-agreement-moves": Scenario(
        "voters that are replaced while members crash", 3, MEMBERSHIP_FAULTS
    ),
    "work-turns": Scenario(
        "planned maintenance, a random subset of all faults for each seed",
        3,
        None,
        MaintenanceSimulation,
    ),
    "work-turns-five": Scenario(
        "planned maintenance with five members", 5, None, MaintenanceSimulation
    ),
    "work-turns-links": Scenario(
        "planned maintenance over links that lose, delay and duplicate messages",
        3,
        LINK_FAULTS,
        MaintenanceSimulation,
    ),
    "work-turns-crashes": Scenario(
        "planned maintenance while members crash and stall",
        3,
        (*CRASH_FAULTS, "fail"),
        MaintenanceSimulation,
    ),
}


def run_seed(name: str, seed: int, seeded_defect: str = "") -> SeedRun:
    """Run one seed of a scenario, with the named seeded defect unless the name is empty.

    Raises:
        KeyError: There is no scenario with this name.
    """
    scenario = SCENARIOS[name]
    simulation = scenario.simulation(seed, scenario.size, seeded_defect, scenario.faults)
    violations = simulation.run_recording_crashes()
    summary = f"seed {seed}, faults: {', '.join(simulation.faults) or 'none'}"
    return SeedRun(tuple(violations), (summary, *simulation.record))
