"""Only the tests that KNOWN-RED.txt lists may fail (tests/conftest.py)."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

FAILING_TEST = "tests/test_it.py::test_red"
PASSING_TEST = "tests/test_it.py::test_green"


@pytest.mark.parametrize(
    ("known_red_text", "exit_code", "expected_text"),
    [
        (f"{FAILING_TEST} | a cause | 7\n", 0, f"KNOWN RED {FAILING_TEST}: a cause (7)"),
        (None, 1, "1 failed, 1 passed"),
        (f"{FAILING_TEST} | a cause | 7\n{PASSING_TEST} | none | 7\n", 1, "XPASS(strict)"),
        (
            f"{FAILING_TEST} | a cause | 7\ntests/test_it.py::test_gone | a cause | 7\n",
            4,
            "test_gone does not exist",
        ),
        (
            f"{FAILING_TEST} | a cause | 7\ntests/test_gone.py::test_red | a cause | 7\n",
            4,
            "test_gone.py::test_red does not exist",
        ),
        (f"{FAILING_TEST} | a cause | 7\n" * 4, 4, "4 lines instead of 1 to 3"),
        (f"{FAILING_TEST} | a cause\n", 4, "line 1: expected TEST | CAUSE | ISSUE"),
        ("", 4, "0 lines instead of 1 to 3"),
    ],
)
def test_only_tests_in_known_red_may_fail(
    tmp_path: Path, known_red_text: str | None, exit_code: int, expected_text: str
) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (tmp_path / "tests/test_it.py").write_text("def test_red(): assert 0\ndef test_green(): pass\n")
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    if known_red_text is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(known_red_text)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"]
    process = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60)
    assert (process.returncode, expected_text in process.stdout + process.stderr) == (
        exit_code,
        True,
    ), process.stdout + process.stderr
