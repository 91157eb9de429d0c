"""The `[fleet]` section of the operator's INI file."""

from __future__ import annotations

from pathlib import Path

import pytest

from dockthread.raft.options import FleetOptions
from dockthread.section_registry import parse_operator_file


@pytest.mark.parametrize(
    ("text", "expected_problem"),
    [
        ("members = a=127.0.0.1:1", "listen: is missing"),
        ("listen = nowhere", "listen: 'nowhere' is not an address"),
        ("listen = h:1\nmembers = a=h:1, b=h:2\ndirectory = d", "members: lists 2 members"),
        ("listen = h:1\nmembers = a=h:1, b, c=h:3\ndirectory = d", "members: 'b' is not a member"),
        (
            "listen = h:1\nmembers = a=h:1, a=h:2, c=h:3\ndirectory = d",
            "members: lists a name twice",
        ),
        ("listen = h:1\nmembers = a=h:1", "directory: is missing"),
        (
            "listen = h:1\nmembers = a=h:1\ndirectory = d\npatience = 200ms",
            "patience: is less than three times `beat`",
        ),
        ("listen = h:1\nmembers = a=h:1\ndirectory = d\nmost_out = 0", "most_out: is less than 1"),
    ],
)
def test_an_invalid_fleet_section_is_rejected_with_the_key(
    text: str, expected_problem: str
) -> None:
    parsed = parse_operator_file(f"[fleet]\n{text}\n", "f.ini")
    problems = [str(problem) for problem in parsed.errors]
    assert any(expected_problem in problem for problem in problems), problems


def test_a_missing_section_gives_default_options_and_a_short_key_is_rejected(
    tmp_path: Path,
) -> None:
    assert parse_operator_file("", "f.ini").section("fleet") == FleetOptions()
    (tmp_path / "key").write_text("short")
    with pytest.raises(ValueError, match="5 bytes; 16 to 64 are required"):
        FleetOptions(key_file=str(tmp_path / "key")).key()
