"""Processes of a run and the words between them: JSON lines, each command answered by one line.

A process ends when its standard input does, so that none outlives the tool, however that ends.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

from dockthread.errors import DockthreadError

# bytes of one answer: the tables of all ingresses of a process, where none agree
MOST_LINE: Final = 512 << 20
ANSWER_WITHIN: Final = 60.0  # s
ENDS_WITHIN: Final = 3.0  # s, before it is killed by its id

Words = dict[str, Any]
Command = Callable[[Words], Awaitable[Words]]


class ProcessError(DockthreadError):
    """A process of the run did not start, ended, or did not answer."""


class Child:
    """One process of the run. `role`: a module of this package. `shown`: its role in a report."""

    def __init__(self, role: str, number: int = 0, shown: str = "") -> None:
        self.role, self.number, self.shown = role, number, shown or role
        self._process: asyncio.subprocess.Process | None = None
        self._asking = asyncio.Lock()

    async def start(self, told: Words, log: Path) -> Words:
        """Start it and give it its first words; its answer to them."""
        with log.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dockthread.lab.scale.role",
                self.role,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=out,
                limit=MOST_LINE,
            )
        return await self.ask("begin", **told)

    @property
    def pid(self) -> int:
        """The id of the process, which has been started."""
        assert self._process is not None, "a process is asked for its id once it has started"
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def ask(self, command: str, within: float = ANSWER_WITHIN, **told: Any) -> Words:
        """Raises ProcessError where it has ended or does not answer."""
        process = self._process
        if process is None or process.stdin is None or process.stdout is None:
            raise ProcessError(f"{self.role} {self.number} is not running")
        async with self._asking:
            try:
                process.stdin.write(json.dumps({"command": command, **told}).encode() + b"\n")
                line = await asyncio.wait_for(process.stdout.readline(), within)
            except (OSError, TimeoutError, ValueError) as error:
                raise ProcessError(
                    f"{self.role} {self.number} did not answer {command}: {error!r}"
                ) from error
        if not line:
            raise ProcessError(f"{self.role} {self.number} ended at {command}")
        found: Words = json.loads(line)
        if why := found.get("error"):
            raise ProcessError(f"{self.role} {self.number}: {command}: {why}")
        return found

    async def end(self) -> None:
        """End it by its id: gently, then not."""
        process, self._process = self._process, None
        if process is None or process.returncode is not None:
            return
        if process.stdin is not None:
            process.stdin.close()
        with suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), ENDS_WITHIN)
            return
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def serve_commands(commands: dict[str, Command]) -> None:
    """In a process of the run: answer commands until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MOST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        told = json.loads(line)
        try:
            answer = await commands[told.pop("command")](told)
        except Exception as error:  # told to the tool, which judges the run
            answer = {"error": repr(error)[:500]}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
