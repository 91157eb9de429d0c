"""Settings for all tests: reproducible generated cases, and tests that are known to fail.

`KNOWN-RED.txt` at the root lists the tests that fail because of a known fault, in at most three
lines of the form `TEST | CAUSE | ISSUE`. These tests run, are printed, and may fail. The test run
fails if one of them passes or does not exist, and if the file has a fourth line or an invalid one.
"""

from importlib.util import find_spec
from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

ROOT = Path(__file__).parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


# What an ingress holds at its start. The process of the tests holds more, and not for one ingress.
RESIDENT_BYTES = 25_000_000


@pytest.fixture(autouse=True)
def memory_of_an_ingress_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let an ingress in the process of the tests work out its bounds as in a process of its own."""
    if find_spec("dockthread") is None:
        return  # this file also serves projects that test it alone
    monkeypatch.setattr("dockthread.process_memory.resident_bytes", lambda: RESIDENT_BYTES)


def read_known_red() -> dict[str, str]:
    """Return the cause of each test that `KNOWN-RED.txt` lists."""
    lines = KNOWN_RED_FILE.read_text().splitlines() if KNOWN_RED_FILE.exists() else []
    rows = [[field.strip() for field in line.split("|")] for line in lines]
    if KNOWN_RED_FILE.exists() and not 0 < len(rows) <= MAX_KNOWN_RED:
        raise pytest.UsageError(
            f"{KNOWN_RED_FILE.name}: {len(rows)} lines instead of 1 to {MAX_KNOWN_RED}; "
            "remove the file if it is empty"
        )
    for line_number, fields in enumerate(rows, 1):
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(
                f"{KNOWN_RED_FILE.name}, line {line_number}: expected TEST | CAUSE | ISSUE"
            )
    return {test: f"{cause} ({issue})" for test, cause, issue in rows}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; fail if one of them does not exist."""
    collected_files = {item.nodeid.split("::")[0] for item in items}
    causes = read_known_red()
    for item in items:
        if (cause := causes.pop(item.nodeid, None)) is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
    for test in causes:
        file = test.split("::")[0]
        if file in collected_files or not (ROOT / file).is_file():
            raise pytest.UsageError(f"{KNOWN_RED_FILE.name}: {test} does not exist")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests with their causes."""
    for test, cause in read_known_red().items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause}")
