"""Whole distributions in simulated time: seeds of faults that break no rule, and planted bugs that
are found.
"""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from dockthread.cli.lab import lab
from dockthread.lab.control_plane.checker import Asked, Checker
from dockthread.lab.control_plane.seeded_defects import SEEDED_DEFECTS
from dockthread.lab.control_plane.seeds import play_seed
from dockthread.lab.seeds import play_many

SEEDS_OF_A_PLANT = range(0, 4)


@pytest.mark.parametrize(("scenario", "seeds"), [("drawn", range(0, 8)), ("single", range(0, 2))])
def test_no_seed_breaks_a_rule(scenario: str, seeds: range) -> None:
    chunks = list(play_many(play_seed, scenario, seeds, 1))
    assert sum(chunk.played for chunk in chunks) == len(seeds)
    assert [found for chunk in chunks for found in chunk.found] == []


@pytest.mark.parametrize("plant", SEEDED_DEFECTS)
def test_a_planted_bug_is_found(plant: str) -> None:
    assert any(
        play_seed(SEEDED_DEFECTS[plant].scenario, seed, plant).broken for seed in SEEDS_OF_A_PLANT
    )


def test_a_seed_gives_the_same_record_each_time_and_the_command_shows_it() -> None:
    told = CliRunner().invoke(lab, ["distribution", "replay", "3", "--json"])
    assert told.exit_code == 0
    assert tuple(json.loads(told.output)["record"]) == play_seed("drawn", 3).record
    found = CliRunner().invoke(
        lab, ["distribution", "seeds", "--seeds", "3..3", "--plant", "older-applied", "--json"]
    )
    assert found.exit_code == 1 and json.loads(found.output)["broken"][0]["rule"] == "no-older"
    assert CliRunner().invoke(lab, ["distribution", "seeds", "--plant", "nothing"]).exit_code == 2


def test_the_checker_sees_a_token_with_two_outcomes_and_a_budget_that_is_passed() -> None:
    checker = Checker(burst=1_000.0, rate=100.0, part=100.0)
    checker.ask("t1", Asked("route", "r1", b"one", -1))
    checker.told(1.0, "t1", 1)
    checker.told(2.0, "t1", 2)
    for at in range(12):
        checker.snapshot_part(float(at), "d1", 1, 100)
    assert [one.rule for one in checker.broken] == ["once", "budget"]
