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
PROGRESS_LIMIT_S = 40.0  # maximum time that a test waits for one condition


async def until(condition: Callable[[], Awaitable[Any]], limit_s: float = PROGRESS_LIMIT_S) -> Any:
    """Wait until a condition returns a true value, and return that value."""
    async with asyncio.timeout(limit_s):
        while not (found := await condition()):
            await asyncio.sleep(0.05)
    return found


def play(
    folder: Path,
    scenario: Callable[[ProcessCluster], Awaitable[None]],
    size: int = 3,
    is_watched: bool = True,
) -> None:
    """Run a scenario on real processes; if watched, check that no member sees two grants."""

    async def run() -> None:
        cluster = ProcessCluster(folder, size, SETTINGS, BACKENDS, more=TIMEOUTS_INI)
        await cluster.open()
        watcher = asyncio.create_task(watch_grants(cluster) if is_watched else asyncio.sleep(1_000))
        try:
            await until(cluster.leader)
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


async def call_work(
    cluster: ProcessCluster, name: str, uid: str, action: str = "ask"
) -> tuple[int, Any]:
    """Call a maintenance action for a target on one member."""
    return await cluster.call(name, "POST", f"/_work/{action}", {"target": uid, "why": "test"})


async def every_member_knows_a_leader(cluster: ProcessCluster) -> bool:
    """Return whether every member knows a leader."""
    answers = [await cluster.call(name, "GET", "/_fleet") for name in cluster.names]
    return all(status == 200 and one["leader"] for status, one in answers)


async def all_have_drained(cluster: ProcessCluster, uid: str, names: list[str]) -> bool:
    """Return whether the named members have drained this backend and no other."""
    return all([await cluster.drained_targets(name) == {uid} for name in names])


async def none_drained(cluster: ProcessCluster, names: list[str], but: str = "") -> bool:
    """Return whether the named members have drained no backend, except possibly `but`.

    `but` is a backend that was requested in a minority partition and may have been granted since.
    """
    return all([await cluster.drained_targets(name) in (set(), {but}) for name in names])


async def is_granted(cluster: ProcessCluster, name: str, uid: str) -> bool:
    """Request maintenance, and return whether it is granted; repeating the request is harmless."""
    status, answer = await call_work(cluster, name, uid)
    return status == 200 and answer["state"] in GRANTED_STATES


async def is_unavailable_at(cluster: ProcessCluster, uid: str, name: str) -> bool:
    """Return whether one member sees a backend as unavailable, so all members have drained it."""
    return await cluster.drained_targets(name, ("out",)) == {uid}


async def state_of(cluster: ProcessCluster, name: str, target: str) -> str:
    """Return the state of a request as one member sees it.

    The result is empty if the member does not answer or does not know the request.
    """
    status, answer = await cluster.call(name, "GET", "/_work", time_limit_s=0.5)
    known = [*answer["over"], *answer["work"]] if status == 200 else []
    return next((one["state"] for one in reversed(known) if one["target"] == target), "")
