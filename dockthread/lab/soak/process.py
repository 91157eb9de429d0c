"""The ingress process of a soak: start, signals, upgrade, and its peak memory."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from dockthread.lab.soak.settings import soak_settings
from dockthread.lab.soak.stand_ins import LOOPBACK, SoakDiscovery

BACKLOG = 1024
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
BYTES_PER_KIB = 1024
BYTES_PER_MB = 1_000_000


class IngressProcess:
    """One ingress at a listening socket that outlives its processes.

    Attributes:
        peak_bytes: The largest resident size that any of its processes had.
        ended: Exit codes of processes that ended without being killed by the soak.
    """

    def __init__(self, discovery: SoakDiscovery, memory_mb: float, descriptors: int) -> None:
        self._discovery = discovery
        self._limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors}
        self.memory_bytes = memory_mb * BYTES_PER_MB
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((LOOPBACK, 0))
        self._listener.listen(BACKLOG)
        self._folder = tempfile.TemporaryDirectory()
        self._processes: list[subprocess.Popen[bytes]] = []
        self._expected_ends: set[int] = set()
        self._sampler: asyncio.Task[None] | None = None
        self.peak_bytes = 0
        self.ended: list[int] = []
        self.log_path = Path(self._folder.name) / "log"

    @property
    def address(self) -> tuple[str, int]:
        """Where clients connect."""
        host, port = self._listener.getsockname()[:2]
        return str(host), int(port)

    async def start(self) -> None:
        """Start a process; it may run beside an earlier one."""
        folder = Path(self._folder.name)
        temporary = folder / "tmp"
        temporary.mkdir(exist_ok=True)
        config: dict[str, Any] = {
            "name": "n0",
            "listen": f"{LOOPBACK}:{self.address[1]}",
            "discovery": self._discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": self._limits,
            "known": self._discovery.listing,
            "settings": soak_settings(),
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        environment = os.environ | {
            "NODE_CONFIG": str(path),
            "NODE_INHERITED_FD": str(self._listener.fileno()),
            "TMPDIR": str(temporary),
        }
        with self.log_path.open("ab") as log:
            process = subprocess.Popen(  # noqa: ASYNC220 - it returns at once
                [sys.executable, "-m", "dockthread"],
                env=environment,
                pass_fds=(self._listener.fileno(),),
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        if self._sampler is None:
            self._sampler = asyncio.create_task(self._sample())

    def signal(self, number: signal.Signals, index: int = -1) -> None:
        """Send a signal to a process; -1 is the latest one."""
        process = self._processes[index]
        self._expected_ends.add(process.pid)
        if process.poll() is None:
            process.send_signal(number)

    async def wait(self, index: int = -1, timeout_s: float = 30.0) -> None:
        """Wait until a process has ended."""
        async with asyncio.timeout(timeout_s):
            while self._processes[index].poll() is None:  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_ready(self) -> None:
        """Wait until a `PING` is answered with `+PONG`.

        Raises:
            TimeoutError: It was not within `READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return line == b"+PONG\r\n"

    async def _sample(self) -> None:
        """Record the peak memory of the processes, and any that ended by itself."""
        reported: set[int] = set()
        while True:
            for process in self._processes:
                self.peak_bytes = max(self.peak_bytes, peak_resident_bytes(process.pid))
                code = process.poll()
                if code is None or process.pid in reported:
                    continue
                reported.add(process.pid)
                if process.pid not in self._expected_ends:
                    self.ended.append(code)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Kill all processes and remove the folder."""
        await asyncio.sleep(2 * POLL_INTERVAL_S)
        if self._sampler is not None:
            self._sampler.cancel()
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self._listener.close()
        self._folder.cleanup()


def peak_resident_bytes(pid: int) -> int:
    """Return the peak resident size of a process; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * BYTES_PER_KIB
    return 0
