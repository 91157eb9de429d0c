"""Child processes of a run and the JSON lines exchanged with them: one answer line per command.

A child ends when its standard input closes, so none outlives the tool, however the tool ends.
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

# Maximum bytes of one answer. The largest holds one table for each ingress of a process, when no
# two tables are equal.
MOST_LINE: Final = 512 << 20
ANSWER_WITHIN: Final = 60.0  # Timeout in seconds for the answer to a command.
ENDS_WITHIN: Final = 3.0  # Seconds to wait for a process to exit before it is killed.

Words = dict[str, Any]
Command = Callable[[Words], Awaitable[Words]]


class ProcessError(DockthreadError):
    """A process of the run did not start, exited, or did not answer."""


class Child:
    """A child process of the run.

    `role` names a module of this package, and `shown` is the role under which reports list it.
    """

    def __init__(self, role: str, number: int = 0, shown: str = "") -> None:
        self.role, self.number, self.shown = role, number, shown or role
        self._process: asyncio.subprocess.Process | None = None
        self._asking = asyncio.Lock()

    async def start(self, told: Words, log: Path) -> Words:
        """Start the process, send `begin` with its parameters, and return the answer."""
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
        """The id of the process, which must have been started."""
        assert self._process is not None, "the process has not been started"
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def ask(self, command: str, within: float = ANSWER_WITHIN, **told: Any) -> Words:
        """Send a command and return the answer.

        Raises ProcessError if the process has exited, does not answer in time or reports an error.
        """
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
            raise ProcessError(f"{self.role} {self.number} exited during {command}")
        found: Words = json.loads(line)
        if why := found.get("error"):
            raise ProcessError(f"{self.role} {self.number}: {command}: {why}")
        return found

    async def end(self) -> None:
        """Close standard input, and kill the process if it does not exit in time."""
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
    """Answer commands until standard input closes. Runs in a child process."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MOST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        told = json.loads(line)
        try:
            answer = await commands[told.pop("command")](told)
        # The tool receives the error and decides whether the run is void.
        except Exception as error:
            answer = {"error": repr(error)[:500]}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
