"""Scenarios of the simulated control plane, and how one seed of a scenario is run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from dockthread.lab.control_plane.seeded_defects import SEEDED_DEFECTS, SeededDefect
from dockthread.lab.control_plane.simulation import RunOptions, Simulation
from dockthread.lab.seeds import PlayedSeed


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario of the command line, and what goes wrong in it."""

    about: str
    options: RunOptions


SCENARIOS: Final = {
    "drawn": Scenario(
        "a random part of all faults a seed, at once; the bound holds after them", RunOptions()
    ),
    "single": Scenario(
        "one fault at a time; the bound holds meanwhile", RunOptions(has_single_faults=True)
    ),
    "hour": Scenario(
        "regions cut for an hour, changes meanwhile", RunOptions(cuts_regions_for_hour=True)
    ),
}
"""The scenarios by the names of the command line."""


def play_seed(name: str, seed: int, seeded_defect: str = "") -> PlayedSeed:
    """Run one seed of a scenario, with the named defect where there is one."""
    defect = SEEDED_DEFECTS[seeded_defect] if seeded_defect else SeededDefect()
    simulation = Simulation(seed, defect, SCENARIOS[name].options)
    violations = simulation.run()
    faults = ", ".join(simulation.faults) or "none"
    return PlayedSeed(tuple(violations), (f"seed {seed}, faults: {faults}", *simulation.record))
