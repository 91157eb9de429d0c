"""Writes cache files for the tests of the control plane."""

from __future__ import annotations

import asyncio
from pathlib import Path

from dockthread.control_plane.messages import Resource
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.snapshot_cache import SnapshotCache


def write_cache(
    folder: Path, names: list[str], last_good: tuple[Resource, ...] = ()
) -> ResourceTable:
    """Write the cache of n0 with one commit per name; the body of each resource is its name."""
    table = ResourceTable("e")

    async def write() -> None:
        cache = SnapshotCache(folder, "n0", 0.0)
        for name in names:
            resource = Resource("route", name, table.revision + 1, name.encode())
            table.put(resource)
            cache.save(table, [resource], last_good)
        await cache.close()

    asyncio.run(write())
    return table
