"""The `[fleet]` section of the operator's INI file."""

from __future__ import annotations

from pathlib import Path

import pytest

from dockthread.raft.options import FleetOptions
from dockthread.section_registry import parse_operator_file


@pytest.mark.parametrize(
    ("text", "wrong"),
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
def test_a_wrong_section_is_rejected_with_its_key(text: str, wrong: str) -> None:
    problems = [str(p) for p in parse_operator_file(f"[fleet]\n{text}\n", "f.ini").errors]
    assert any(wrong in problem for problem in problems), problems


def test_without_the_section_there_is_no_cluster_and_a_short_key_is_rejected(
    tmp_path: Path,
) -> None:
    assert parse_operator_file("", "f.ini").section("fleet") == FleetOptions()
    (tmp_path / "key").write_text("short")
    with pytest.raises(ValueError, match="5 bytes; 16 to 64 are required"):
        FleetOptions(key_file=str(tmp_path / "key")).key()
