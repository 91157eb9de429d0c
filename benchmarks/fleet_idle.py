"""Measures the CPU time that section `[fleet]` costs an ingress without any maintenance request.

    python -m benchmarks.fleet_idle [--members N] [--seconds S] [--load RATE]

Runs real ingress processes with stand-in licence nodes under load, first without the section, then
with it. Prints the CPU time in ms per second, as the mean over the ingresses, and the requests
served. Stops every process that it started. CI does not run it.
"""

from __future__ import annotations

import argparse
import asyncio
import os
from pathlib import Path
from tempfile import TemporaryDirectory

from dockthread.lab.arrivals import Arrival
from dockthread.lab.load import LoadGenerator, LoadTarget
from dockthread.lab.maintenance.process_cluster import HOST, ProcessCluster
from dockthread.lab.maintenance.rehearsal import SETTINGS
from dockthread.lab.maintenance.stand_in import StandInBackend

READY_TIMEOUT_S = 20.0  # Timeout in s until all ingresses are ready.
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")  # Clock ticks per second in /proc.


def cpu_time_s(pid: int) -> float:
    """Return the CPU time in s that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def measure(
    folder: Path, members: int, seconds: float, rate: int, has_fleet_section: bool
) -> tuple[float, int]:
    """Return the mean CPU time of an ingress in ms per second, and the requests served."""
    nodes = [StandInBackend(f"m{number}", "hall-a") for number in range(4)]
    for node in nodes:
        await node.open()
    cluster = ProcessCluster(
        folder, members, {**SETTINGS, "Azs": ["hall-a"]}, [node.endpoint_entry() for node in nodes]
    )
    try:
        for link in cluster.relays.values():
            await link.open()
        for name in cluster.names:
            cluster.start(name, "" if has_fleet_section else "[log]\nlevel = INFO\n")
        async with asyncio.timeout(READY_TIMEOUT_S):
            for name in cluster.names:
                while (await cluster.call(name, "GET", "/_ready", time_limit_s=0.5))[0] != 200:
                    await asyncio.sleep(0.05)
            while has_fleet_section and not await cluster.leader():
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        cpu_before = {name: cpu_time_s(cluster.processes[name].pid) for name in cluster.names}
        arrivals = [
            Arrival(number / rate, "status", "gross", 1 + number % 7, 1, 1, 0)
            for number in range(int(seconds * rate))
        ]
        senders = [
            LoadGenerator(
                LoadTarget(HOST, cluster.client_addresses[name].port, {"status": 4.0}, frozenset()),
                1 + (number << 40),
            ).run(arrivals)
            for number, name in enumerate(cluster.names)
        ]
        results = await asyncio.gather(*senders, asyncio.sleep(seconds))
        cpu_time = sum(
            cpu_time_s(cluster.processes[name].pid) - cpu_before[name] for name in cluster.names
        )
        served = sum(result.total("served") for result in results if result is not None)
        return cpu_time / members / seconds * 1000.0, served
    finally:
        await cluster.close()
        for node in nodes:
            node.close()


def main() -> None:
    """Measure without the section and with it, and print both results."""
    parser = argparse.ArgumentParser(
        description="Measure the CPU cost of section [fleet] without maintenance requests."
    )
    parser.add_argument("--members", type=int, default=3, choices=(1, 3, 5, 7))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--load", type=int, default=100, help="requests per second to each ingress; 0 for none"
    )
    options = parser.parse_args()
    for has_fleet_section in (False, True):
        with TemporaryDirectory() as folder:
            cpu_time, served = asyncio.run(
                measure(
                    Path(folder), options.members, options.seconds, options.load, has_fleet_section
                )
            )
        variant = "with [fleet]" if has_fleet_section else "without"
        print(f"{options.members} ingresses, {options.load} requests per second each, {variant}: "
              f"{cpu_time:.1f} ms of CPU time per second, {served} served")  # fmt: skip


if __name__ == "__main__":
    main()
