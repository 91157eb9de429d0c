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
# Offset of tcpi_bytes_acked in struct tcp_info; tcpi_bytes_received follows.
BYTES_ACKED_OFFSET: Final = 120
TCP_INFO_BYTES: Final = 192
LATENESS_INTERVAL_S: Final = 0.05  # Seconds between two measurements of a loop's lateness.
MEGABYTE: Final = 1 << 20


class ProcessEndedError(DockthreadError):
    """The process has ended."""


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds of a process's threads, as the scheduler counts them.

    Raises ProcessEndedError.
    """
    try:
        tasks = list(Path(f"/proc/{pid}/task").iterdir())
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9
    except OSError as error:
        raise ProcessEndedError(f"process {pid} has ended") from error


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes. Raises ProcessEndedError."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except OSError as error:
        raise ProcessEndedError(f"process {pid} has ended") from error


@dataclass(frozen=True, slots=True)
class Usage:
    """One reading of a process's usage."""

    time_s: float  # Seconds on the system's monotonic clock.
    cpu_s: float  # CPU seconds.
    rss_bytes: int  # Resident bytes.


def read_usage(pid: int) -> Usage:
    """Read a process's current usage. Raises ProcessEndedError."""
    return Usage(time.monotonic(), cpu_seconds(pid), resident_bytes(pid))


def cpu_percent(before: Usage, after: Usage) -> float:
    """Return the CPU used between two readings, in percent of a core."""
    return 100.0 * (after.cpu_s - before.cpu_s) / max(1e-9, after.time_s - before.time_s)


def traffic(ports: Iterable[int], local: bool) -> dict[str, Any]:
    """Count this process's TCP connections from or to the given ports, and their payload bytes.

    If `local` is true, the ports are this process's own, otherwise the remote ones. The bytes are
    counted by the kernel.
    """
    wanted_ports = set(ports)
    totals = {"connections": 0, "in": 0, "out": 0}
    for descriptor in os.listdir("/proc/self/fd"):
        try:
            if not os.readlink(f"/proc/self/fd/{descriptor}").startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(descriptor))) as connection:
                if connection.family != socket.AF_INET or connection.type != socket.SOCK_STREAM:
                    continue
                address = connection.getsockname() if local else connection.getpeername()
                if address[1] not in wanted_ports or (
                    local and connection.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
                ):
                    continue
                info = connection.getsockopt(socket.IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES)
        except OSError:  # The socket was closed meanwhile, or is not connected.
            continue
        acknowledged, received = struct.unpack_from("=QQ", info, BYTES_ACKED_OFFSET)
        totals["connections"] += 1
        totals["out"] += acknowledged
        totals["in"] += received
    return totals


class Lateness:
    """Measures how late an event loop runs its timers, in ms.

    When a loop is late, the tool itself falls behind.
    """

    def __init__(self) -> None:
        self._delays_ms: list[float] = []

    async def measure(self) -> None:
        """Measure the lateness for as long as the loop runs."""
        while True:
            due = time.monotonic() + LATENESS_INTERVAL_S
            await asyncio.sleep(LATENESS_INTERVAL_S)
            self._delays_ms.append((time.monotonic() - due) * 1000.0)

    def take_summary(self) -> dict[str, float]:
        """Return the lateness measured since the last call."""
        ordered = sorted(self._delays_ms)
        self._delays_ms = []
        if not ordered:
            return {"count": 0, "p99": 0.0, "max": 0.0}
        p99_index = min(len(ordered) - 1, int(0.99 * len(ordered)))
        return {
            "count": len(ordered),
            "p99": round(ordered[p99_index], 1),
            "max": round(ordered[-1], 1),
        }
