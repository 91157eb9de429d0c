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
from dockthread.lab.site_settings import site_settings

SETTINGS: dict[str, Any] = site_settings(
    classes=[{"Name": "status", "Aim": 1_500_000, "HardLimit": 4_000_000, "Effect": "pure"}],
    plans=[{"Name": "gross", "Refill": 1000.0, "PeakUnits": 1000.0}],
    Azs=["hall-a"],
)
WAIT_TIMEOUT_S = 30.0  # Timeout in s of each wait.


def quantiles_text(name: str, times: list[float]) -> str:
    """Return p50, p99 and number of some times in ms as text."""
    times = sorted(times)
    p50 = times[len(times) // 2]
    p99 = times[min(len(times) - 1, len(times) * 99 // 100)]
    return f"{name}: p50 {p50:.0f} ms, p99 {p99:.0f} ms, {len(times)} times"


async def send_command(cluster: ProcessCluster, name: str, command: str) -> tuple[float, int]:
    """Send a maintenance command for `s-0`; return the latency in ms and the HTTP status."""
    started_at = time.monotonic()
    status, _ = await cluster.call(name, "POST", f"/_work/{command}", {"target": "s-0"})
    return (time.monotonic() - started_at) * 1000.0, status


async def wait_for_state(cluster: ProcessCluster, name: str, states: tuple[str, ...]) -> float:
    """Wait until a member reports `s-0` in one of these states; return the time in ms."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            _, listing = await cluster.call(name, "GET", "/_work", time_limit_s=0.5)
            requests = [*listing["over"], *listing["work"]] if listing else []
            target_requests = [request for request in requests if request["target"] == "s-0"]
            if target_requests and target_requests[-1]["state"] in states:
                return time.monotonic() * 1000.0
            await asyncio.sleep(0.002)


async def wait_for_leader(cluster: ProcessCluster, members: list[str] | None = None) -> str:
    """Wait until there is a leader, and return its name."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not (leader := await cluster.leader(members)):
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
    cluster = ProcessCluster(folder, members, SETTINGS, [backend])
    await cluster.open()
    try:
        await wait_for_leader(cluster)
        await asyncio.sleep(1.0)
        cluster.delay(delay)
        response_times: list[float] = []
        unavailable_times: list[float] = []
        return_times: list[float] = []
        failover_times: list[float] = []

        async def follow_request(name: str, started_at: float) -> None:
            """Follow a granted request until the maintenance is done."""
            unavailable_times.append(await wait_for_state(cluster, name, ("out",)) - started_at)
            done_at = time.monotonic() * 1000.0
            await send_command(cluster, name, "done")
            return_times.append(await wait_for_state(cluster, name, ("done",)) - done_at)

        for round_number in range(rounds):
            name = cluster.names[round_number % members]
            started_at = time.monotonic() * 1000.0
            latency, status = await send_command(cluster, name, "ask")
            if status == 200:
                response_times.append(latency)
                await follow_request(name, started_at)
        for _ in range(max(1, rounds // 10) if members > 1 else 0):
            leader = await wait_for_leader(cluster)
            survivor = next(name for name in cluster.names if name != leader)
            cluster.kill(leader)
            started_at = time.monotonic() * 1000.0
            while True:
                _, status = await send_command(cluster, survivor, "ask")
                if status == 200 or time.monotonic() * 1000.0 - started_at >= WAIT_TIMEOUT_S * 1000:
                    break
                await asyncio.sleep(0.01)
            failover_times.append(
                await wait_for_state(cluster, survivor, ("granted", "draining", "out")) - started_at
            )
            cluster.start(leader)
            await wait_for_state(cluster, survivor, ("out",))
            await send_command(cluster, survivor, "done")
            await wait_for_state(cluster, survivor, ("done",))
        print(f"{members} members, {delay:g} ms added in each direction")
        print(quantiles_text("from request to response", response_times))
        print(quantiles_text("from request to out of service at all members", unavailable_times))
        print(quantiles_text("from done to back in service", return_times))
        if failover_times:
            print(quantiles_text("from the leader's death to the next grant", failover_times))
    finally:
        await cluster.close()


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
