"""Tests the digest, deltas and tombstones of a resource table."""

from __future__ import annotations

import pytest

from dockthread.control_plane.messages import Resource
from dockthread.control_plane.resource_table import OutOfOrderError, ResourceTable
from tests.control_plane.builders import UNLIMITED, make_table


def test_digest_depends_only_on_the_live_resources() -> None:
    first, second = make_table(5), ResourceTable("e1")
    first.put(Resource("route", "r2", 6, None))
    entries = [entry for entry in first.entries() if entry.name != "r2"]
    second.load("e1", 6, 6, entries)
    assert first.digest == second.digest != make_table(5).digest
    assert len(first) == len(second) == 4


def test_deltas_of_bounded_size_contain_each_resource_once() -> None:
    table = make_table(40)
    for revision in range(41, 61):
        table.put(Resource("route", "r7", revision, b"again"))
    first_delta = table.delta_since(10, 300)
    assert not first_delta.complete and first_delta.resources[0].revision == 11
    second_delta = table.delta_since(first_delta.revision, UNLIMITED)
    names = [resource.name for resource in (*first_delta.resources, *second_delta.resources)]
    assert len(names) == len(set(names)) == 31 and names[-1] == "r7"
    assert second_delta.complete and second_delta.digest == table.digest


def test_dropped_tombstones_advance_the_horizon_and_older_receivers_need_a_snapshot() -> None:
    table = make_table(6, max_tombstones=2)
    for number in range(1, 5):
        table.put(Resource("route", f"r{number}", 6 + number, None))
    assert table.horizon == 8
    assert [table.can_resume_from(revision) for revision in (0, 7, 8, 10, 11)] == [
        False,
        False,
        True,
        True,
        False,
    ]
    with pytest.raises(OutOfOrderError):
        table.put(Resource("route", "r9", 10, b""))
