"""Tests of `benchmarks.regress` on made-up journal entries and a stand-in kit; no bench runs."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest

from benchmarks import kept as recorded_scores
from benchmarks import regress
from benchmarks.kept import RecordedScores
from benchmarks.regress import RunResult

KEPT_RULES = {"drain": 0, "dup": 0}


def day(**changed_fields: Any) -> dict[str, Any]:
    """Return a day of a journal entry without a violated rule; `changed_fields` override it."""
    return {"name": "churn", "rules": KEPT_RULES, "fault": None, **changed_fields}


@pytest.mark.parametrize(
    ("entry", "expected"),
    [
        ({"score": 0.96, "days": [day()]}, RunResult(0.96, 1)),
        (
            {"score": None, "figures": {"real_score": 0.5}, "days": [day(), day()]},
            RunResult(0.5, 2),
        ),
        (
            {"score": 0.9, "days": [day(rules={"drain": 2, "dup": 0})]},
            RunResult(0.9, 1, ("churn: drain 2",)),
        ),
        (
            {"score": 0.9, "days": [day(fault="n1 crashed")]},
            RunResult(0.9, 1, ("churn: n1 crashed",)),
        ),
        ({"score": 0.9, "days": [day(gate="lost")]}, RunResult(0.9, 1, ("churn: gate, lost",))),
        ({"score": 0.0, "days": [], "error": "no build"}, RunResult(0.0, 0, ("no build",))),
        (
            {"figures": {"real_score": 0.5, "gate": 1.0}, "days": [day()]},
            RunResult(0.5, 1, (), "passed"),
        ),
        (
            {"figures": {"real_score": 0.5, "gate": 0.0}, "days": []},
            RunResult(0.5, 0, ("gate failed",), "failed"),
        ),
    ],
)
def test_a_journal_entry_is_parsed_to_its_result(
    entry: dict[str, Any], expected: RunResult
) -> None:
    assert regress.parse_entry(entry) == expected


def test_a_journal_entry_without_a_score_is_rejected() -> None:
    with pytest.raises(ValueError, match="c0ffee"):
        regress.parse_entry({"id": "c0ffee", "score": None, "figures": {}, "error": "killed"})


@pytest.mark.parametrize(
    ("result", "recorded", "is_expected_to_hold"),
    [
        (RunResult(0.94, 3), RecordedScores("", [0.96]), True),
        (RunResult(0.92, 3), RecordedScores("", [0.96]), False),
        (
            RunResult(0.92, 3),
            RecordedScores("", [0.98, 0.94], 0.05),
            True,
        ),  # Falls by less than the bench's own noise.
        (
            RunResult(0.94, 3),
            RecordedScores("", [0.96], 0.01),
            False,
        ),  # Falls by more than the bench's own noise.
        (RunResult(0.10, 3), RecordedScores(), True),
        (RunResult(0.99, 3, ("drain 1",)), RecordedScores("", [0.96]), False),
    ],
)
def test_a_run_fails_if_its_score_falls_beyond_the_noise_or_a_rule_is_violated(
    result: RunResult, recorded: RecordedScores, is_expected_to_hold: bool
) -> None:
    assert regress.has_passed(result, recorded) is is_expected_to_hold
    assert ("holds" in regress.format_table([("run", recorded, result)])) is is_expected_to_hold


def test_the_noise_is_the_spread_of_one_trees_scores_and_is_kept_for_the_next_tree() -> None:
    recorded = RecordedScores()
    for score in (0.90, 0.94):
        recorded.add("a", score)
    assert recorded.noise is None
    recorded.add("a", 0.91)
    assert recorded.noise == pytest.approx(0.04)
    recorded.add("b", 0.5)
    assert recorded.scores == [0.5]
    assert recorded.noise == pytest.approx(0.04)


@pytest.mark.parametrize(
    ("path", "groups"),
    [
        ("docs/ROADMAP.md", set()),
        ("tests/policy/test_engine.py", set()),
        ("dockthread/lab/load.py", set()),
        ("dockthread/telemetry/links.py", {"sockets", "days", "fleet"}),
        ("dockthread/policy/admission.py", {"module", "sockets", "days", "fleet"}),
    ],
)
def test_a_changed_file_requires_the_benches_that_run_it(path: str, groups: set[str]) -> None:
    assert recorded_scores.groups_to_run([path]) == groups


def write_kit(folder: Path, score: float) -> Path:
    """Write a stand-in for the kit and return its folder.

    Each bench appends its command line to the file `calls`. It fails if its command line contains
    the text in the file `failing_text`, or lacks the text in the file `required_text`. Otherwise it
    writes a journal entry and prints its snapshot.
    """
    entry = json.dumps({"score": score, "days": [day()]})
    for name in ("failing_text", "required_text", "calls"):
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        (folder / name).write_text("")
    for run in regress.RUNS:
        program = folder / run.program
        program.parent.mkdir(parents=True, exist_ok=True)
        program.write_text(f"""#!/bin/sh
echo "{run.program} $*" >> {folder}/calls
failing=$(cat {folder}/failing_text); required=$(cat {folder}/required_text)
case "$*" in *"${{failing:-no such text}}"*) exit 1;; *"$required"*) ;; *) exit 1;; esac
echo '{entry}' > journal/1-0000abcd.json
echo snapshot 0000abcd
""")
        program.chmod(0o755)
    return folder


def test_scores_are_recorded_only_if_all_runs_hold(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "journal").mkdir()
    monkeypatch.setattr(regress, "ROOT", tmp_path)
    monkeypatch.setattr(regress, "SCORES_FILE", tmp_path / "kept.json")
    assert regress.main([str(write_kit(tmp_path / "kit", 0.9)), "--keep"]) == 0
    recorded = recorded_scores.load(tmp_path / "kept.json")
    assert {name: run_scores.scores for name, run_scores in recorded["quick"].items()} == {
        run.name: [0.9] for run in regress.RUNS
    }
    assert not recorded["full"]
    assert regress.main([str(write_kit(tmp_path / "kit", 0.8)), "--keep", "--only", "module"]) == 1
    assert "0.8" not in (tmp_path / "kept.json").read_text()
    assert regress.main([str(tmp_path / "nowhere")]) == 2
    assert regress.main([str(tmp_path / "kit"), "--only", "no such run"]) == 2
    assert regress.main([str(tmp_path / "kit"), "--since", "no-such-revision"]) == 2
    (tmp_path / "kept.json").write_text('{"quick": 7}')
    assert regress.main([str(tmp_path / "kit")]) == 2
    assert "kept.json" in capsys.readouterr().err


def test_an_interrupted_test_resumes_with_the_missing_runs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "journal").mkdir()
    monkeypatch.setattr(regress, "ROOT", tmp_path)
    monkeypatch.setattr(regress, "SCORES_FILE", tmp_path / "kept.json")
    folder = write_kit(tmp_path / "kit", 0.9)
    last_run = regress.RUNS[-1]
    last_arguments = f"{last_run.site} {' '.join(last_run.panel)}"
    (folder / "failing_text").write_text(last_arguments)
    assert regress.main([str(folder), "--full"]) == 2
    (folder / "failing_text").write_text("")
    # Every other bench would fail if it ran again.
    (folder / "required_text").write_text(last_arguments)
    assert regress.main([str(folder), "--full", "--keep"]) == 0
    assert len(recorded_scores.load(tmp_path / "kept.json")["full"]) == len(regress.RUNS)
    assert regress.main([str(folder), "--full"]) == 2, (
        "a completed test leaves no results to resume from"
    )


def test_each_run_is_called_with_its_size_and_site(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "journal").mkdir()
    monkeypatch.setattr(regress, "ROOT", tmp_path)
    monkeypatch.setattr(regress, "SCORES_FILE", tmp_path / "kept.json")
    folder = write_kit(tmp_path / "kit", 0.9)
    assert regress.main([str(folder)]) == 0
    calls = (folder / "calls").read_text().splitlines()
    own_site_arguments = f"score {tmp_path}/deploy/sites/reede-lotsen.toml"
    assert [call for call in calls if own_site_arguments in call][0].startswith(
        f"{regress.FLEET_BENCH} {own_site_arguments} --quick --why"
    )
    assert [call for call in calls if own_site_arguments in call][1].startswith(
        f"{regress.FLEET_BENCH} {own_site_arguments} --panel brink --seed 1 --why"
    )
    assert (
        len([call for call in calls if f"score {folder}/{regress.TUNIS} --panel brink" in call])
        == 2
    )
    (folder / "calls").write_text("")
    assert regress.main([str(folder), "--full"]) == 0
    assert "--quick" not in (folder / "calls").read_text()


def test_the_projects_own_sites_share_no_class_names() -> None:
    """If sites shared class names, code tuned to the names of one site could pass on the others."""
    sites = sorted((regress.SCORES_FILE.parent.parent / regress.OWN_SITES).glob("*.toml"))
    class_names = [
        [request_class["name"] for request_class in tomllib.loads(site.read_text())["class"]]
        for site in sites
    ]
    assert len(sites) >= 2 and len({name for names in class_names for name in names}) == sum(
        map(len, class_names)
    )
