"""The commands `dockthread work` and `dockthread fleet` without an ingress: errors and plans."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from dockthread.cli.fleet import fleet
from dockthread.cli.work import work


def test_each_command_says_what_went_wrong(tmp_path: Path) -> None:
    run = CliRunner().invoke
    assert run(work, ["list", "--at", "nowhere"]).exit_code == 2
    assert run(work, ["ask", "s-1", "--at", "127.0.0.1:9"]).exit_code == 1
    assert run(fleet, ["init", str(tmp_path / "n"), "--name", "n0"]).exit_code == 0
    again = run(fleet, ["init", str(tmp_path / "n"), "--name", "n0"])
    assert again.exit_code == 1
    assert "holds a log already" in again.output


def test_a_plan_says_who_is_granted_when_and_why_the_others_wait(tmp_path: Path) -> None:
    (tmp_path / "list").write_text("a1 hall-a\na2 hall-a 5  # the fan\n\nb1 hall-b\na3 hall-a\n")
    run = CliRunner().invoke
    planned = run(work, ["plan", str(tmp_path / "list")])
    assert planned.exit_code == 0
    lines = planned.output.splitlines()
    assert [line for line in lines if line[0].isdigit()] == ["1. a2, b1", "2. a1", "3. a3"]
    assert "   a1 waits: a2 of hall-a is out, and 1 may be" in lines
    two = json.loads(
        run(work, ["plan", str(tmp_path / "list"), "--most-out", "2", "--json"]).output
    )
    assert [one["goes"] for one in two] == [["a1", "a2", "b1"], ["a3"]]


@pytest.mark.parametrize(
    ("text", "wrong"),
    [
        ("a1", "line 1: 'a1'; write MACHINE ZONE"),
        ("a h x", "MACHINE ZONE"),
        ("a h 1\na h", "line 2: a is listed twice"),
        ("a h 101", "urgency from -100 to 100"),
    ],
)
def test_a_list_that_cannot_be_planned_is_rejected_with_its_line(
    tmp_path: Path, text: str, wrong: str
) -> None:
    (tmp_path / "list").write_text(text)
    planned = CliRunner().invoke(work, ["plan", str(tmp_path / "list")])
    assert planned.exit_code == 1
    assert wrong in planned.output
