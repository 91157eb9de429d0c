"""The section `[log]` of the operator's file."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

from dockthread.config.ini_reader import KeyProblem, Section


class LogOptions(Section, frozen=True, kw_only=True):
    """Where the log goes, in which form, and from which level on.

    Attributes:
        level: The lowest level that is logged; `DOCKTHREAD_LOG` wins where both are set.
        form: `text` for people, or `json` for a collector: one object a line.
        target: `stderr`, `stdout` or the path of a file, which is appended to.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    form: Literal["text", "json"] = "text"
    target: str = "stderr"

    def problems(self) -> Iterable[KeyProblem]:
        """Yield a problem for a target that cannot be opened."""
        if not self.target or "\0" in self.target:
            yield KeyProblem("target", "is no target", "write stderr, stdout or a path")
