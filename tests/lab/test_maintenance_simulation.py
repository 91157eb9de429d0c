"""Tests of simulated planned maintenance: the checker finds seeded defects, and seeds repeat."""

from __future__ import annotations

import pytest

from dockthread.lab.maintenance.seeded_defects import DEFECT_NAMES
from dockthread.lab.raft.seeds import run_seed

# The scenario and the seed in which the checker finds each defect.
VIOLATING_SEEDS = {
    "out-at-the-first-word": ("work-turns", 2),
    "tick-twice": ("work-turns-five", 4),
    "warm-is-back": ("work-turns", 0),
    "silent-is-dead": ("work-turns-five", 7),
    "one-more-out": ("work-turns-five", 0),
    "ticks-of-a-life": ("work-turns", 6),
    "start-holds-nothing": ("work-turns", 1),
    "held-while-busy": ("work-turns", 0),
    "frees-what-is-overdue": ("work-turns", 0),
    "back-in-the-same-life": ("work-turns-five", 73),
}


@pytest.mark.parametrize("defect", DEFECT_NAMES)
def test_checker_finds_each_seeded_defect_and_no_violation_without_it(defect: str) -> None:
    scenario, seed = VIOLATING_SEEDS[defect]
    assert run_seed(scenario, seed, defect).violations
    assert not run_seed(scenario, seed).violations


def test_same_seed_gives_the_same_record() -> None:
    first, second = (run_seed("work-turns", 3) for _ in range(2))
    assert first == second
    assert any("is switched off" in line for line in first.record)
