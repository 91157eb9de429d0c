"""Scenarios of the simulated control plane, and a function that runs one seed of a scenario."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from dockthread.lab.control_plane.seeded_defects import SEEDED_DEFECTS, SeededDefect
from dockthread.lab.control_plane.simulation import RunOptions, Simulation
from dockthread.lab.seeds import SeedRun


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario that the command line offers.

    Attributes:
        about: One-line description for the command line.
        options: Options of its runs.
    """

    about: str
    options: RunOptions


SCENARIOS: Final = {
    "drawn": Scenario(
        "a subset of the faults for each seed, overlapping; the bound holds after they end",
        RunOptions(),
    ),
    "single": Scenario(
        "one fault at a time; the bound holds for unaffected ingresses even during the fault",
        RunOptions(one_fault_at_a_time=True),
    ),
    "hour": Scenario(
        "a subset of the faults for each seed, and a cut between regions that lasts an hour",
        RunOptions(cuts_regions_for_hour=True),
    ),
}
"""Scenarios by their names on the command line."""


def run_seed(name: str, seed: int, seeded_defect: str = "") -> SeedRun:
    """Run one seed of a scenario, with the named seeded defect unless the name is empty."""
    defect = SEEDED_DEFECTS[seeded_defect] if seeded_defect else SeededDefect()
    simulation = Simulation(seed, defect, SCENARIOS[name].options)
    violations = simulation.run()
    faults = ", ".join(simulation.faults) or "none"
    return SeedRun(tuple(violations), (f"seed {seed}, faults: {faults}", *simulation.record))
