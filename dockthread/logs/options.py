"""The section `[log]` of the operator's file."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

from dockthread.config.ini_reader import KeyProblem, Section


class LogOptions(Section, frozen=True, kw_only=True):
    """`target`: `stderr`, `stdout` or a file's path; a file is appended to. `level` may be left to
    `DOCKTHREAD_LOG`, which wins where both stand."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    form: Literal["text", "json"] = "text"
    target: str = "stderr"

    def problems(self) -> Iterable[KeyProblem]:
        if not self.target or "\0" in self.target:
            yield KeyProblem("target", "is no target", "write stderr, stdout or a path")
