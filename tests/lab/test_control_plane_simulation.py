"""Simulated control planes under faults: no rule is violated, and seeded defects are found."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from dockthread.cli.lab import lab
from dockthread.lab.control_plane.checker import ControlPlaneChecker, RequestedChange
from dockthread.lab.control_plane.seeded_defects import SEEDED_DEFECTS
from dockthread.lab.control_plane.seeds import run_seed
from dockthread.lab.seeds import run_seeds

SEEDS_PER_DEFECT = range(0, 4)


@pytest.mark.parametrize(("scenario", "seeds"), [("drawn", range(0, 8)), ("single", range(0, 2))])
def test_no_seed_violates_a_rule(scenario: str, seeds: range) -> None:
    chunks = list(run_seeds(run_seed, scenario, seeds, 1))
    assert sum(chunk.seed_count for chunk in chunks) == len(seeds)
    assert [violating_seed for chunk in chunks for violating_seed in chunk.violating_seeds] == []


@pytest.mark.parametrize("defect", SEEDED_DEFECTS)
def test_seeded_defect_is_found(defect: str) -> None:
    assert any(
        run_seed(SEEDED_DEFECTS[defect].scenario, seed, defect).violations
        for seed in SEEDS_PER_DEFECT
    )


def test_commands_replay_a_seed_find_a_seeded_defect_and_reject_an_unknown_one() -> None:
    replayed = CliRunner().invoke(lab, ["distribution", "replay", "3", "--json"])
    assert replayed.exit_code == 0
    assert tuple(json.loads(replayed.output)["record"]) == run_seed("drawn", 3).record
    with_defect = CliRunner().invoke(
        lab, ["distribution", "seeds", "--seeds", "3..3", "--plant", "older-applied", "--json"]
    )
    assert (
        with_defect.exit_code == 1
        and json.loads(with_defect.output)["broken"][0]["rule"] == "no-older"
    )
    assert CliRunner().invoke(lab, ["distribution", "seeds", "--plant", "nothing"]).exit_code == 2


def test_checker_reports_two_outcomes_of_a_token_and_an_exceeded_budget() -> None:
    checker = ControlPlaneChecker(
        burst_bytes=1_000.0, bytes_per_second=100.0, max_chunk_bytes=100.0
    )
    checker.on_change_requested("t1", RequestedChange("route", "r1", b"one", -1))
    checker.on_outcome_received(1.0, "t1", 1)
    checker.on_outcome_received(2.0, "t1", 2)
    for at_ms in range(12):
        checker.on_snapshot_chunk(float(at_ms), "d1", 1, 100)
    assert [violation.rule for violation in checker.violations] == ["once", "budget"]
