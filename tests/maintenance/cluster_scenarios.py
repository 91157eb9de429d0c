"""Runs scenarios on a cluster of several real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from dockthread.lab.maintenance.process_cluster import ProcessCluster
from tests.loopback import SETTINGS, target

BACKENDS = [target(f"s-{number}", 6000 + number) for number in range(4)]  # all in zone hall-a
TIMEOUTS_INI = "dead = 1500ms\nlapse = 20s\n"  # failure timeout and grant timeout
GRANTED_STATES = ("granted", "draining", "out")
WAIT_TIMEOUT_S = 40.0  # maximum time that a test waits for one condition


async def wait_until(
    condition: Callable[[], Awaitable[Any]], timeout_s: float = WAIT_TIMEOUT_S
) -> Any:
    """Wait until a condition returns a true value, and return that value."""
    async with asyncio.timeout(timeout_s):
        while not (result := await condition()):
            await asyncio.sleep(0.05)
    return result


def run_scenario(
    folder: Path,
    scenario: Callable[[ProcessCluster], Awaitable[None]],
    size: int = 3,
    watches_grants: bool = True,
) -> None:
    """Run a scenario on real processes.

    With `watches_grants`, also check repeatedly that no member sees more than one granted backend.
    """

    async def run() -> None:
        cluster = ProcessCluster(folder, size, SETTINGS, BACKENDS, extra_ini_lines=TIMEOUTS_INI)
        await cluster.open()
        watcher = asyncio.create_task(
            watch_grants(cluster) if watches_grants else asyncio.sleep(1_000)
        )
        try:
            await wait_until(cluster.leader)
            await asyncio.wait_for(scenario(cluster), 100)
            assert not watcher.done(), watcher.exception()
        finally:
            watcher.cancel()
            await cluster.close()

    asyncio.run(run())


async def watch_grants(cluster: ProcessCluster) -> None:
    """Check repeatedly that no member sees more than one granted backend."""
    while True:
        for name in list(cluster.processes):
            granted = await cluster.drained_targets(name)
            assert granted is None or len(granted) <= 1, f"{name} sees {granted} as granted"
        await asyncio.sleep(0.02)


async def call_maintenance(
    cluster: ProcessCluster, name: str, backend: str, action: str = "ask"
) -> tuple[int, Any]:
    """Call a maintenance action for a target on one member."""
    return await cluster.call(name, "POST", f"/_work/{action}", {"target": backend, "why": "test"})


async def every_member_knows_a_leader(cluster: ProcessCluster) -> bool:
    """Return whether every member knows a leader."""
    answers = [await cluster.call(name, "GET", "/_fleet") for name in cluster.names]
    return all(status == 200 and answer["leader"] for status, answer in answers)


async def all_have_drained(cluster: ProcessCluster, backend: str, names: list[str]) -> bool:
    """Return whether the named members have drained this backend and no other."""
    return all([await cluster.drained_targets(name) == {backend} for name in names])


async def no_backend_drained(
    cluster: ProcessCluster, names: list[str], except_backend: str = ""
) -> bool:
    """Return whether the named members have drained no backend, except possibly `except_backend`.

    That backend was requested in a minority partition and may have been granted since.
    """
    return all([await cluster.drained_targets(name) in (set(), {except_backend}) for name in names])


async def is_granted(cluster: ProcessCluster, name: str, backend: str) -> bool:
    """Request maintenance, and return whether it is granted; repeating the request is harmless."""
    status, answer = await call_maintenance(cluster, name, backend)
    return status == 200 and answer["state"] in GRANTED_STATES


async def is_unavailable_at(cluster: ProcessCluster, backend: str, name: str) -> bool:
    """Return whether one member sees a backend as unavailable, so all members have drained it."""
    return await cluster.drained_targets(name, ("out",)) == {backend}


async def request_state(cluster: ProcessCluster, name: str, target: str) -> str:
    """Return the state of a request as one member sees it.

    The result is empty if the member does not answer or does not know the request.
    """
    status, answer = await cluster.call(name, "GET", "/_work", time_limit_s=0.5)
    requests = [*answer["over"], *answer["work"]] if status == 200 else []
    return next(
        (request["state"] for request in reversed(requests) if request["target"] == target), ""
    )
