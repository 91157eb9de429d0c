"""Nothing is shared between tests but this: generated cases are the same on every run, and which tests are known to
fail for a real fault. `KNOWN-RED.txt` at the root names these, `TEST | CAUSE | ISSUE` a line, three at most: they are
run all the same, passed over while they fail, and printed. One that passes, one that is not there, a fourth line or
one that cannot be read fails the run.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

ROOT = Path(__file__).parent.parent
FILE, MOST = ROOT / "KNOWN-RED.txt", 3


def known() -> dict[str, str]:
    lines = FILE.read_text().splitlines() if FILE.exists() else []
    parts = [[part.strip() for part in line.split("|")] for line in lines]
    if FILE.exists() and not 0 < len(parts) <= MOST:
        raise pytest.UsageError(
            f"{FILE.name}: {len(parts)} lines, where 1 to {MOST} may stand; remove an empty one"
        )
    for number, part in enumerate(parts, 1):
        if len(part) != 3 or not all(part):
            raise pytest.UsageError(f"{FILE.name}, line {number}: want TEST | CAUSE | ISSUE")
    return {test: f"{cause} ({issue})" for test, cause, issue in parts}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    files, red = {item.nodeid.split("::")[0] for item in items}, known()
    for item in items:
        if (cause := red.pop(item.nodeid, None)) is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
    for test in red:
        file = test.split("::")[0]
        if file in files or not (ROOT / file).is_file():
            raise pytest.UsageError(f"{FILE.name}: {test} is no test here")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, cause in known().items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause}")
