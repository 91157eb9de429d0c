"""Settings for all tests: reproducible generated cases, and tests that are known to fail.

`KNOWN-RED.txt` at the root lists the tests that fail because of a known fault, in at most three
lines of the form `TEST | CAUSE | ISSUE`. These tests run, are printed, and may fail. The test run
fails if one of them passes or does not exist, and if the file has a fourth line or an invalid one.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

ROOT = Path(__file__).parent.parent
FILE, MOST = ROOT / "KNOWN-RED.txt", 3


def known() -> dict[str, str]:
    """Return the cause of each test that `KNOWN-RED.txt` lists."""
    lines = FILE.read_text().splitlines() if FILE.exists() else []
    parts = [[part.strip() for part in line.split("|")] for line in lines]
    if FILE.exists() and not 0 < len(parts) <= MOST:
        raise pytest.UsageError(
            f"{FILE.name}: {len(parts)} lines instead of 1 to {MOST}; remove the file if it is empty"
        )
    for number, part in enumerate(parts, 1):
        if len(part) != 3 or not all(part):
            raise pytest.UsageError(f"{FILE.name}, line {number}: expected TEST | CAUSE | ISSUE")
    return {test: f"{cause} ({issue})" for test, cause, issue in parts}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; fail if one of them does not exist."""
    files, red = {item.nodeid.split("::")[0] for item in items}, known()
    for item in items:
        if (cause := red.pop(item.nodeid, None)) is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
    for test in red:
        file = test.split("::")[0]
        if file in files or not (ROOT / file).is_file():
            raise pytest.UsageError(f"{FILE.name}: {test} does not exist")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests with their causes."""
    for test, cause in known().items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause}")
