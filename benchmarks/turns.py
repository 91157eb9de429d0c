"""Measures how fast a fleet of real processes grants maintenance requests, also after a failover.

    python -m benchmarks.turns [--members N] [--rounds R] [--delay MS]

Prints p50 and p99 in ms over all rounds. Stops every process that it started. CI does not run it.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from dockthread.lab.maintenance.process_cluster import ProcessCluster

SETTINGS: dict[str, Any] = {
    "Classes": [
        {
            "Name": "status",
            "Aim": 1_500_000,
            "HardLimit": 4_000_000,
            "Effect": "pure",
            "Points": 1.0,
        }
    ],
    "Packages": [{"Name": "gross", "Refill": 1000.0, "PeakUnits": 1000.0}],
    "Azs": ["hall-a"],
    "Models": ["type-a"],
    "Period": 4000,
}
LONGEST = 30.0  # Timeout in s of each wait.


def spread(name: str, times: list[float]) -> str:
    """Return p50, p99 and number of some times in ms as text."""
    times = sorted(times)
    return f"{name}: p50 {times[len(times) // 2]:.0f} ms, p99 {times[min(len(times) - 1, len(times) * 99 // 100)]:.0f} ms, {len(times)} times"


async def asked(rig: ProcessCluster, name: str, do: str) -> tuple[float, int]:
    """Send a maintenance command for `s-0`; return the latency in ms and the HTTP status."""
    began = time.monotonic()
    status, _ = await rig.call(name, "POST", f"/_work/{do}", {"target": "s-0"})
    return (time.monotonic() - began) * 1000.0, status


async def comes_to(rig: ProcessCluster, name: str, states: tuple[str, ...]) -> float:
    """Wait until a member reports `s-0` in one of these states; return the time in ms."""
    async with asyncio.timeout(LONGEST):
        while True:
            _, said = await rig.call(name, "GET", "/_work", time_limit_s=0.5)
            known = (
                [r for r in [*said["over"], *said["work"]] if r["target"] == "s-0"] if said else []
            )
            if known and known[-1]["state"] in states:
                return time.monotonic() * 1000.0
            await asyncio.sleep(0.002)


async def stands(rig: ProcessCluster, among: list[str] | None = None) -> str:
    """Wait until there is a leader, and return its name."""
    async with asyncio.timeout(LONGEST):
        while not (leader := await rig.leader(among)):
            await asyncio.sleep(0.02)
    return leader


async def measure(folder: Path, members: int, rounds: int, delay: float) -> None:
    """Measure grants, and grants after the leader was killed, and print the times."""
    backend = {
        "uid": "s-0",
        "endpoint": "127.0.0.1:6000",
        "az": "hall-a",
        "state": "active",
        "boot_ms": 0,
    }
    rig = ProcessCluster(folder, members, SETTINGS, [backend])
    await rig.open()
    try:
        await stands(rig)
        await asyncio.sleep(1.0)
        rig.delay(delay)
        grants, outs, backs, deaths = list[float](), list[float](), list[float](), list[float]()

        async def turn(name: str, began: float) -> None:
            """Follow a granted request until the maintenance is done."""
            outs.append(await comes_to(rig, name, ("out",)) - began)
            done = time.monotonic() * 1000.0
            await asked(rig, name, "done")
            backs.append(await comes_to(rig, name, ("done",)) - done)

        for n in range(rounds):
            name, began = rig.names[n % members], time.monotonic() * 1000.0
            took, status = await asked(rig, name, "ask")
            if status == 200:
                grants.append(took)
                await turn(name, began)
        for _ in range(max(1, rounds // 10) if members > 1 else 0):
            leader = await stands(rig)
            rest = [name for name in rig.names if name != leader]
            rig.kill(leader)
            began = time.monotonic() * 1000.0
            while (await asked(rig, rest[0], "ask"))[
                1
            ] != 200 and time.monotonic() * 1000.0 - began < LONGEST * 1000:
                await asyncio.sleep(0.01)
            deaths.append(await comes_to(rig, rest[0], ("granted", "draining", "out")) - began)
            rig.start(leader)
            await comes_to(rig, rest[0], ("out",))
            await asked(rig, rest[0], "done")
            await comes_to(rig, rest[0], ("done",))
        print(f"{members} members, {delay:g} ms added in each direction")
        print(spread("from request to response", grants))
        print(spread("from request to out of service at all members", outs))
        print(spread("from done to back in service", backs))
        if deaths:
            print(spread("from the leader's death to the next grant", deaths))
    finally:
        await rig.close()


def main() -> None:
    """Measure a fleet of the given size in a temporary folder."""
    parser = argparse.ArgumentParser(
        description="Measure the times of maintenance requests with real processes."
    )
    parser.add_argument("--members", type=int, default=3, choices=(1, 3, 5, 7))
    parser.add_argument("--rounds", type=int, default=100)
    parser.add_argument("--delay", type=float, default=0.0)
    options = parser.parse_args()
    with TemporaryDirectory() as folder:
        asyncio.run(measure(Path(folder), options.members, options.rounds, options.delay))


if __name__ == "__main__":
    main()
