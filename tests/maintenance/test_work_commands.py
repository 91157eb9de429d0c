"""The commands `dockthread work` and `dockthread fleet` without an ingress: errors and plans."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from dockthread.cli.fleet import fleet
from dockthread.cli.work import work


def test_failing_commands_exit_with_an_error(tmp_path: Path) -> None:
    invoke = CliRunner().invoke
    assert invoke(work, ["list", "--at", "nowhere"]).exit_code == 2
    assert invoke(work, ["ask", "s-1", "--at", "127.0.0.1:9"]).exit_code == 1
    assert invoke(fleet, ["init", str(tmp_path / "n"), "--name", "n0"]).exit_code == 0
    second_result = invoke(fleet, ["init", str(tmp_path / "n"), "--name", "n0"])
    assert second_result.exit_code == 1
    assert "holds a log already" in second_result.output


def test_a_plan_lists_the_rounds_and_why_each_other_backend_waits(tmp_path: Path) -> None:
    (tmp_path / "list").write_text("a1 hall-a\na2 hall-a 5  # the fan\n\nb1 hall-b\na3 hall-a\n")
    invoke = CliRunner().invoke
    result = invoke(work, ["plan", str(tmp_path / "list")])
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert [line for line in lines if line[0].isdigit()] == ["1. a2, b1", "2. a1", "3. a3"]
    assert "   a1 waits: a2 of hall-a is out, and 1 may be" in lines
    rounds = json.loads(
        invoke(work, ["plan", str(tmp_path / "list"), "--most-out", "2", "--json"]).output
    )
    assert [each_round["goes"] for each_round in rounds] == [["a1", "a2", "b1"], ["a3"]]


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("a1", "line 1: 'a1'; write MACHINE ZONE"),
        ("a h x", "MACHINE ZONE"),
        ("a h 1\na h", "line 2: a is listed twice"),
        ("a h 101", "urgency from -100 to 100"),
    ],
)
def test_an_invalid_plan_is_rejected_with_its_line(
    tmp_path: Path, text: str, expected_error: str
) -> None:
    (tmp_path / "list").write_text(text)
    result = CliRunner().invoke(work, ["plan", str(tmp_path / "list")])
    assert result.exit_code == 1
    assert expected_error in result.output
