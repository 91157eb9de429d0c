"""Simulated clusters under faults: no rule is violated, and every seeded defect is found."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner, Result

from dockthread.cli.lab import lab
from dockthread.lab.raft.seeded_defects import DEFECT_NAMES
from dockthread.lab.raft.seeds import SCENARIOS, run_seed
from dockthread.lab.seeds import run_seeds

# Defects that only a few seeds find, each with a scenario and a seed that finds it.
RARE_DEFECTS = {
    "vote-not-kept": [("work-agreement-five", 116)],
    "epoch-unchecked": [("work-agreement", 41)],
}
DEFAULT_RUNS = [
    (name, seed) for seed in range(30) for name in ("work-agreement-five", "work-agreement")
]


def run_fleet_command(*arguments: str) -> Result:
    return CliRunner().invoke(lab, ["fleet", *arguments])


@pytest.mark.parametrize("name", list(SCENARIOS))
def test_no_rule_is_violated_in_the_first_seeds_of_each_scenario(name: str) -> None:
    for chunk in run_seeds(run_seed, name, range(20 if "turns" in name else 60), jobs=1):
        assert not chunk.violating_seeds


@pytest.mark.parametrize("defect", DEFECT_NAMES)
def test_seeded_defect_is_found(defect: str) -> None:
    runs = RARE_DEFECTS.get(defect, DEFAULT_RUNS)
    assert any(run_seed(name, seed, defect).violations for name, seed in runs)


def test_replay_of_a_seed_prints_the_same_record_each_time() -> None:
    first_result = run_fleet_command("replay", "work-agreement", "7")
    assert first_result.exit_code == 0
    assert first_result.output == run_fleet_command("replay", "work-agreement", "7").output
    assert "applies" in first_result.output


def test_seeds_command_reports_the_violation_of_a_seeded_defect_as_json() -> None:
    result = run_fleet_command(
        "seeds", "work-agreement", "--seeds", "0..3", "--plant", "small-majority", "--json"
    )
    assert result.exit_code == 1
    assert json.loads(result.output)["broken"][0]["rule"]


def test_commands_list_scenarios_and_defects_and_reject_wrong_arguments() -> None:
    assert run_fleet_command("scenarios").output.startswith("work-agreement")
    assert (
        run_fleet_command("seeds", "work-agreement", "--plant", "list").output.split()[0]
        in DEFECT_NAMES
    )
    assert run_fleet_command("seeds", "work-agreement", "--seeds", "9..3").exit_code == 2
    assert run_fleet_command("seeds", "work-agreement", "--plant", "no-such").exit_code == 2
