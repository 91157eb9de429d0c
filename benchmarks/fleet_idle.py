"""What `[fleet]` costs an ingress while nothing is asked for: processor time with the section and
without it, under a load.

    python -m benchmarks.fleet_idle [--members N] [--seconds S] [--load RATE]

Two runs, one behind the other, on real processes with stand-ins of licence nodes. Prints ms of
processor time a second, the mean over the ingresses, and a request's. Ends each process that it
started. No part of CI.
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

UP = 20.0  # s until all serve
TICKS = os.sysconf("SC_CLK_TCK")


def used(pid: int) -> float:
    """Seconds of processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def measure(
    folder: Path, members: int, seconds: float, rate: int, fleet: bool
) -> tuple[float, int]:
    """ms a second of the mean ingress, and requests served."""
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
    parser = argparse.ArgumentParser(
        description="what the fleet's section costs while nothing is asked for"
    )
    parser.add_argument("--members", type=int, default=3, choices=(1, 3, 5, 7))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--load", type=int, default=100, help="requests a second to each ingress; 0 for none"
    )
    options = parser.parse_args()
    for fleet in (False, True):
        with TemporaryDirectory() as folder:
            spent, served = asyncio.run(
                measure(Path(folder), options.members, options.seconds, options.load, fleet)
            )
        words = "with [fleet]" if fleet else "without"
        print(f"{options.members} ingresses, {options.load} requests a second each, {words}: "
              f"{spent:.1f} ms of processor time a second, {served} served")  # fmt: skip


if __name__ == "__main__":
    main()
