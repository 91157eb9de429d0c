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

UP = 20.0  # Timeout in s until all ingresses are ready.
TICKS = os.sysconf("SC_CLK_TCK")  # Clock ticks per second in /proc.


def used(pid: int) -> float:
    """Return the CPU time in s that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def measure(
    folder: Path, members: int, seconds: float, rate: int, fleet: bool
) -> tuple[float, int]:
    """Return the mean CPU time of an ingress in ms per second, and the requests served."""
    nodes = [StandInBackend(f"m{i}", "hall-a") for i in range(4)]
    for node in nodes:
        await node.open()
    rig = ProcessCluster(
        folder, members, {**SETTINGS, "Azs": ["hall-a"]}, [node.listed() for node in nodes]
    )
    try:
        for link in rig.links.values():
            await link.open()
        for name in rig.names:
            rig.start(name, "" if fleet else "[log]\nlevel = INFO\n")
        async with asyncio.timeout(UP):
            for name in rig.names:
                while (await rig.call(name, "GET", "/_ready", time_limit_s=0.5))[0] != 200:
                    await asyncio.sleep(0.05)
            while fleet and not await rig.leader():
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        before = {name: used(rig.processes[name].pid) for name in rig.names}
        arrivals = [
            Arrival(i / rate, "status", "gross", 1 + i % 7, 1, 1, 0)
            for i in range(int(seconds * rate))
        ]
        loads = [
            LoadGenerator(
                LoadTarget(HOST, rig.client[name].port, {"status": 4.0}, frozenset()), 1 + (n << 40)
            ).run(arrivals)
            for n, name in enumerate(rig.names)
        ]
        outcomes = await asyncio.gather(*loads, asyncio.sleep(seconds))
        spent = sum(used(rig.processes[name].pid) - before[name] for name in rig.names)
        served = sum(one.total("served") for one in outcomes if one is not None)
        return spent / members / seconds * 1000.0, served
    finally:
        await rig.close()
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
    for fleet in (False, True):
        with TemporaryDirectory() as folder:
            spent, served = asyncio.run(
                measure(Path(folder), options.members, options.seconds, options.load, fleet)
            )
        words = "with [fleet]" if fleet else "without"
        print(f"{options.members} ingresses, {options.load} requests per second each, {words}: "
              f"{spent:.1f} ms of CPU time per second, {served} served")  # fmt: skip


if __name__ == "__main__":
    main()
