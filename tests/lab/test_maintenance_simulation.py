"""Planned maintenance on the simulated network: each seeded defect is found, each seed repeats."""

from __future__ import annotations

import pytest

from dockthread.lab.maintenance.seeded_defects import NAMES
from dockthread.lab.raft.seeds import play_seed

# The scenario and the seed in which each defect is found.
FOUND = {
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


@pytest.mark.parametrize("defect", NAMES)
def test_each_seeded_defect_is_found_and_its_seed_holds_without_it(defect: str) -> None:
    name, seed = FOUND[defect]
    assert play_seed(name, seed, defect).violations
    assert not play_seed(name, seed).violations


def test_a_seed_gives_the_same_record_each_time() -> None:
    first, again = (play_seed("work-turns", 3) for _ in range(2))
    assert first == again
    assert any("is pulled" in line for line in first.record)
