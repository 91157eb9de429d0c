"""The example in the README runs and prints the documented output."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_example_prints_the_documented_output() -> None:
    code = README.read_text().split("```python\n")[1].split("```")[0]
    command = [sys.executable, "-c", code]
    process = subprocess.run(command, capture_output=True, text=True, check=True, timeout=60)
    assert process.stdout == "send request 1 to backend 7\n"
