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
MAX_LINE_BYTES: Final = 512 << 20
ANSWER_TIMEOUT_S: Final = 60.0  # Timeout in seconds for the answer to a command.
EXIT_TIMEOUT_S: Final = 3.0  # Seconds to wait for a process to exit before it is killed.

JsonObject = dict[str, Any]
Command = Callable[[JsonObject], Awaitable[JsonObject]]


class ProcessError(DockthreadError):
    """A process of the run did not start, exited, or did not answer."""


class ChildProcess:
    """A child process of the run.

    `role` names a module of this package, and `report_role` is the role under which reports list it.
    """

    def __init__(self, role: str, number: int = 0, report_role: str = "") -> None:
        self.role = role
        self.number = number
        self.report_role = report_role or role
        self._process: asyncio.subprocess.Process | None = None
        self._call_lock = asyncio.Lock()

    async def start(self, arguments: JsonObject, log_path: Path) -> JsonObject:
        """Start the process, send `begin` with its parameters, and return the answer."""
        with log_path.open("ab") as log_file:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dockthread.lab.scale.role",
                self.role,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                limit=MAX_LINE_BYTES,
            )
        return await self.call("begin", **arguments)

    @property
    def pid(self) -> int:
        """The id of the process, which must have been started."""
        assert self._process is not None, "the process has not been started"
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def call(
        self, command: str, timeout_s: float = ANSWER_TIMEOUT_S, **arguments: Any
    ) -> JsonObject:
        """Send a command and return the answer.

        Raises ProcessError if the process has exited, does not answer in time or reports an error.
        """
        process = self._process
        if process is None or process.stdin is None or process.stdout is None:
            raise ProcessError(f"{self.role} {self.number} is not running")
        async with self._call_lock:
            try:
                process.stdin.write(json.dumps({"command": command, **arguments}).encode() + b"\n")
                line = await asyncio.wait_for(process.stdout.readline(), timeout_s)
            except (OSError, TimeoutError, ValueError) as error:
                raise ProcessError(
                    f"{self.role} {self.number} did not answer {command}: {error!r}"
                ) from error
        if not line:
            raise ProcessError(f"{self.role} {self.number} exited during {command}")
        response: JsonObject = json.loads(line)
        if error_text := response.get("error"):
            raise ProcessError(f"{self.role} {self.number}: {command}: {error_text}")
        return response

    async def stop(self) -> None:
        """Close standard input, and kill the process if it does not exit in time."""
        process = self._process
        self._process = None
        if process is None or process.returncode is not None:
            return
        if process.stdin is not None:
            process.stdin.close()
        with suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), EXIT_TIMEOUT_S)
            return
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def serve_commands(commands: dict[str, Command]) -> None:
    """Answer commands until standard input closes. Runs in a child process."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        message = json.loads(line)
        try:
            answer = await commands[message.pop("command")](message)
        # The tool receives the error and decides whether the run is void.
        except Exception as error:
            answer = {"error": repr(error)[:500]}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
