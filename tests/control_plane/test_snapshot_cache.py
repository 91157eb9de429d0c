"""Tests the file in which a subscriber stores its last applied table."""

from __future__ import annotations

from pathlib import Path

import pytest
from loguru import logger

from dockthread.control_plane.cache_file import CorruptCacheError, read_snapshot
from dockthread.control_plane.messages import Resource
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.snapshot_cache import SnapshotCache
from tests.control_plane.cache_files import write_cache
from tests.loopback import run, until


def test_bytes_after_the_last_commit_are_ignored(tmp_path: Path) -> None:
    table = write_cache(tmp_path, ["a", "b", "a"])
    path = tmp_path / "n0.cache"
    data = path.read_bytes()
    for cut_bytes in range(1, 40):  # truncates a part of the last commit or all of it
        path.write_bytes(data[:-cut_bytes])
        cached = read_snapshot(path, "n0")
        assert cached is not None and cached.table.revision == table.revision - 1
        assert {resource.name for resource in cached.table.live()} == {"a", "b"}
    path.write_bytes(data)
    cached = read_snapshot(path, "n0")
    assert cached is not None and (cached.table.revision, cached.table.digest) == (3, table.digest)


def test_damage_before_the_last_commit_is_reported(tmp_path: Path) -> None:
    write_cache(tmp_path, ["a", "b"])
    path = tmp_path / "n0.cache"
    data = path.read_bytes()
    for position in range(len(data) // 2):
        path.write_bytes(data[:position] + bytes([data[position] ^ 0x40]) + data[position + 1 :])
        with pytest.raises(CorruptCacheError):
            read_snapshot(path, "n0")
    path.write_bytes(data)
    with pytest.raises(CorruptCacheError, match="is not a cache of n1 in format version 1"):
        read_snapshot(path, "n1")


def test_unwritable_directory_is_logged_once_and_the_table_is_written_later(
    tmp_path: Path,
) -> None:
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), level="WARNING")
    table, folder = ResourceTable("e"), tmp_path / "cache"
    folder.write_text("in the way")

    async def scenario() -> None:
        cache = SnapshotCache(folder, "n0", 0.0)
        for number in (1, 2, 3):
            if number == 3:
                folder.unlink()
            resource = Resource("route", f"r{number}", number, b"x")
            table.put(resource)
            cache.save(table, [resource], ())
            await until(lambda: cache._timer is None and cache._write_task is None)
        await cache.close()

    run(scenario())
    logger.remove(sink)
    cached = read_snapshot(folder / "n0.cache", "n0")
    assert len(lines) == 1 and "cannot be written" in lines[0]
    assert cached is not None and cached.table.digest == table.digest and len(cached.table) == 3
