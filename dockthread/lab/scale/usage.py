"""Resource usage of processes and connections, as the kernel counts it in /proc and TCP_INFO."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from dockthread.errors import DockthreadError

TCP_INFO: Final = 11  # Socket option number at the level IPPROTO_TCP.
BYTES_AT: Final = 120  # Offset of tcpi_bytes_acked in struct tcp_info; tcpi_bytes_received follows.
INFO_SIZE: Final = 192
BEAT: Final = 0.05  # Seconds between two measurements of a loop's lateness.
MEGABYTE: Final = 1 << 20


class Gone(DockthreadError):
    """The process has ended."""


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds of a process's threads by the scheduler's count. Raises Gone."""
    try:
        tasks = list(Path(f"/proc/{pid}/task").iterdir())
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9
    except OSError as error:
        raise Gone(f"process {pid} has ended") from error


def resident(pid: int) -> int:
    """Return the resident memory of a process in bytes. Raises Gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except OSError as error:
        raise Gone(f"process {pid} has ended") from error


@dataclass(frozen=True, slots=True)
class Usage:
    """One reading of a process's usage."""

    at: float  # Seconds on the system's monotonic clock.
    cpu: float  # CPU seconds.
    rss: int  # Resident bytes.


def read_usage(pid: int) -> Usage:
    """Read a process's current usage. Raises Gone."""
    return Usage(time.monotonic(), cpu_seconds(pid), resident(pid))


def share(before: Usage, after: Usage) -> float:
    """Return the CPU used between two readings, in percent of a core."""
    return 100.0 * (after.cpu - before.cpu) / max(1e-9, after.at - before.at)


def traffic(ports: Iterable[int], local: bool) -> dict[str, Any]:
    """Count this process's TCP connections from or to the given ports, and their payload bytes.

    If `local` is true, the ports are this process's own, otherwise the remote ones. The bytes are
    counted by the kernel.
    """
    wanted, found = set(ports), {"connections": 0, "in": 0, "out": 0}
    for name in os.listdir("/proc/self/fd"):
        try:
            if not os.readlink(f"/proc/self/fd/{name}").startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(name))) as one:
                if one.family != socket.AF_INET or one.type != socket.SOCK_STREAM:
                    continue
                address = one.getsockname() if local else one.getpeername()
                if address[1] not in wanted or (
                    local and one.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
                ):
                    continue
                info = one.getsockopt(socket.IPPROTO_TCP, TCP_INFO, INFO_SIZE)
        except OSError:  # The socket was closed meanwhile, or is not connected.
            continue
        acknowledged, received = struct.unpack_from("=QQ", info, BYTES_AT)
        found["connections"] += 1
        found["out"] += acknowledged
        found["in"] += received
    return found


class Lateness:
    """Measures how late an event loop runs its timers, in ms.

    When a loop is late, the tool itself falls behind.
    """

    def __init__(self) -> None:
        self._found: list[float] = []

    async def watch(self) -> None:
        """Measure the lateness for as long as the loop runs."""
        while True:
            due = time.monotonic() + BEAT
            await asyncio.sleep(BEAT)
            self._found.append((time.monotonic() - due) * 1000.0)

    def taken(self) -> dict[str, float]:
        """Return the lateness measured since the last call."""
        ordered, self._found = sorted(self._found), []
        if not ordered:
            return {"count": 0, "p99": 0.0, "max": 0.0}
        at = min(len(ordered) - 1, int(0.99 * len(ordered)))
        return {"count": len(ordered), "p99": round(ordered[at], 1), "max": round(ordered[-1], 1)}
