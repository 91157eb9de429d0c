"""Only the tests that KNOWN-RED.txt lists may fail (tests/conftest.py)."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

RED, GREEN = "tests/test_it.py::test_red", "tests/test_it.py::test_green"


@pytest.mark.parametrize(
    ("lines", "code", "says"),
    [
        (f"{RED} | a cause | 7\n", 0, f"KNOWN RED {RED}: a cause (7)"),
        (None, 1, "1 failed, 1 passed"),
        (f"{RED} | a cause | 7\n{GREEN} | none | 7\n", 1, "XPASS(strict)"),
        (
            f"{RED} | a cause | 7\ntests/test_it.py::test_gone | a cause | 7\n",
            4,
            "test_gone does not exist",
        ),
        (
            f"{RED} | a cause | 7\ntests/test_gone.py::test_red | a cause | 7\n",
            4,
            "test_gone.py::test_red does not exist",
        ),
        (f"{RED} | a cause | 7\n" * 4, 4, "4 lines instead of 1 to 3"),
        (f"{RED} | a cause\n", 4, "line 1: expected TEST | CAUSE | ISSUE"),
        ("", 4, "0 lines instead of 1 to 3"),
    ],
)
def test_only_what_is_named_as_red_is_passed_over(
    tmp_path: Path, lines: str | None, code: int, says: str
) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (tmp_path / "tests/test_it.py").write_text("def test_red(): assert 0\ndef test_green(): pass\n")
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    if lines is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(lines)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"]
    done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60)
    assert (done.returncode, says in done.stdout + done.stderr) == (code, True), (
        done.stdout + done.stderr
    )
