"""Tests the client, which applies received resources."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from pathlib import Path

from dockthread.clock import Clock
from dockthread.control_plane.client import ClientSettings, ControlPlaneClient
from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.snapshot_cache import SnapshotCache
from dockthread.control_plane.subscriber_settings import SubscriberSettings
from tests.control_plane.cache_files import write_cache


class RecordingApplier:
    """Records applied resources, and rejects those whose body is `bad`."""

    def __init__(self) -> None:
        self.applied: dict[str, Resource] = {}

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        bad_resources = [resource for resource in changes if resource.body == b"bad"]
        self.applied.update(
            (resource.name, resource) for resource in changes if resource not in bad_resources
        )
        return [
            Rejection(resource.kind, resource.name, resource.revision, "is bad")
            for resource in bad_resources
        ]

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        return self.applied.get(name)

    def on_batch_applied(self) -> None: ...


def test_resource_rejected_before_a_restart_is_rejected_again_and_its_last_good_version_applies(
    tmp_path: Path,
) -> None:
    good_version = Resource("route", "bad", 1, b"good")
    write_cache(tmp_path, ["a", "bad"], (good_version,))
    applier = RecordingApplier()
    cache = SnapshotCache(tmp_path, "n0", 0.0)
    settings = ClientSettings(SubscriberSettings("n0"), [])
    client = ControlPlaneClient(settings, applier, Clock(), random.Random(1), cache)
    assert applier.applied["bad"] == good_version and applier.applied["a"].body == b"a"
    assert client.subscriber.rejections == (Rejection("route", "bad", 2, "is bad"),)
    asyncio.run(cache.close())
