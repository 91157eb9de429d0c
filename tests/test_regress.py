"""The regression test's own verdicts, from journal entries made up here; no bench."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from benchmarks import regress
from benchmarks.regress import Found

KEPT_RULES = {"drain": 0, "dup": 0}


def day(**more: Any) -> dict[str, Any]:
    return {"name": "churn", "rules": KEPT_RULES, "fault": None, **more}


@pytest.mark.parametrize(
    ("entry", "found"),
    [
        ({"score": 0.96, "days": [day()]}, Found(0.96, 1)),
        ({"score": None, "figures": {"real_score": 0.5}, "days": [day(), day()]}, Found(0.5, 2)),
        ({"score": 0.9, "days": [day(rules={"drain": 2, "dup": 0})]}, Found(0.9, 1, ("churn: drain 2",))),
        ({"score": 0.9, "days": [day(fault="n1 crashed")]}, Found(0.9, 1, ("churn: n1 crashed",))),
        ({"score": 0.9, "days": [day(gate="lost")]}, Found(0.9, 1, ("churn: gate, lost",))),
        ({"score": 0.0, "days": [], "error": "no build"}, Found(0.0, 0, ("no build",))),
    ],
)
def test_an_entry_is_read(entry: dict[str, Any], found: Found) -> None:
    assert regress.read(entry) == found


def test_an_entry_without_a_figure_is_no_result() -> None:
    with pytest.raises(ValueError, match="c0ffee"):
        regress.read({"id": "c0ffee", "score": None, "figures": {}, "error": "killed"})


@pytest.mark.parametrize(
    ("found", "kept", "good"),
    [
        (Found(0.94, 3), 0.96, True),
        (Found(0.92, 3), 0.96, False),
        (Found(0.10, 3), None, True),
        (Found(0.99, 3, ("drain 1",)), 0.96, False),
    ],
)
def test_a_fall_or_a_broken_rule_fails(found: Found, kept: float | None, good: bool) -> None:
    assert regress.holds(found, kept) is good
    assert ("holds" in regress.table([("run", kept, found)])) is good


def kit(folder: Path, score: float) -> Path:
    """A stand-in for the kit: each bench writes a journal entry and says which."""
    for run in regress.RUNS:
        program = folder / run.program
        program.parent.mkdir(parents=True, exist_ok=True)
        entry = json.dumps({"score": score, "days": [day()]})
        program.write_text(f"#!/bin/sh\necho '{entry}' > journal/1-0000abcd.json\necho snapshot 0000abcd\n")
        program.chmod(0o755)
    return folder


def test_runs_are_played_judged_and_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    (tmp_path / "journal").mkdir()
    monkeypatch.setattr(regress, "ROOT", tmp_path)
    monkeypatch.setattr(regress, "KEPT", tmp_path / "kept.json")
    assert regress.main([str(kit(tmp_path / "kit", 0.9)), "--keep"]) == 0
    assert json.loads((tmp_path / "kept.json").read_text()) == {run.name: 0.9 for run in regress.RUNS}
    assert regress.main([str(kit(tmp_path / "kit", 0.8)), "--keep", "--only", "module"]) == 1
    assert "0.8" not in (tmp_path / "kept.json").read_text()
    assert regress.main([str(tmp_path / "nowhere")]) == 2
    assert regress.main([str(tmp_path / "kit"), "--only", "no such run"]) == 2
