"""The section `[log]` of the operator's file."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

from dockthread.config.ini_reader import KeyProblem, Section


class LogOptions(Section, frozen=True, kw_only=True):
    """The log's target, format and level.

    Attributes:
        level: The lowest level that is logged; the environment variable `DOCKTHREAD_LOG` overrides
            it.
        form: `text` for people, or `json` for a log collector, with one object per line.
        target: `stderr`, `stdout` or the path of a file, to which lines are appended.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    form: Literal["text", "json"] = "text"
    target: str = "stderr"

    def problems(self) -> Iterable[KeyProblem]:
        """Yield a problem if the target is empty or has a null character."""
        if not self.target or "\0" in self.target:
            yield KeyProblem(
                "target", "is empty or has a null character", "write stderr, stdout or a path"
            )
