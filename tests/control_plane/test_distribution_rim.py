"""The rim of the distribution by its parts: a server's bounds, the cache's file, an ingress's
reload.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.config.platform_settings import read_config
from dockthread.config.section_registry import load_operator_file
from dockthread.control_plane.client import ClientSettings, ControlPlaneClient
from dockthread.control_plane.fanout import FanOutLimits
from dockthread.control_plane.messages import (
    Rejection,
    Resource,
    StatusRequest,
    Subscribe,
    Update,
    codec,
)
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.server import (
    MAX_REQUEST_BYTES,
    ControlPlaneServer,
    ServerSettings,
    TableSource,
)
from dockthread.control_plane.snapshot_cache import CorruptCacheError, SnapshotCache, read_snapshot
from dockthread.control_plane.subscriber_settings import SubscriberSettings
from dockthread.daemon import Daemon
from dockthread.framing import FRAME_HEADER
from dockthread.routes.bounds import Facts
from tests.loopback import LIST, SETTINGS, raw_config, run, until

BODY = bytes(10_000)
BUFFER = 16 << 10
CHUNK = 64 << 10


def served(
    scenario: Callable[[ControlPlaneServer, Address], Coroutine[Any, Any, None]],
    connections: int = 4,
) -> None:
    async def whole() -> None:
        limits = FanOutLimits(chunk_bytes=CHUNK)
        settings = ServerSettings("d", "distributor", connections, BUFFER, limits)
        source = TableSource(ResourceTable("e"), lambda: 0.0)
        server = ControlPlaneServer(settings, source, Clock(), random.Random(1))
        at = await server.open(Address("127.0.0.1", 0))
        await scenario(server, at)
        await server.close()

    run(whole())


def put(server: ControlPlaneServer, name: str) -> None:
    server.table.put(Resource("route", name, server.table.revision + 1, BODY))
    server.on_table_changed()


def test_a_subscriber_that_does_not_read_holds_a_few_frames_and_is_sent_only_the_latest() -> None:
    async def scenario(server: ControlPlaneServer, at: Address) -> None:
        put(server, "r0")
        reader, writer = await asyncio.open_connection(at.host, at.port, limit=1 << 10)
        writer.write(codec.pack(Subscribe("slow")))
        await until(server.fan_out.connections)
        (connection,) = server._connections.values()
        for n in range(2000):
            put(server, f"r{n % 10}")
            await asyncio.sleep(0)
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() <= BUFFER + 2 * CHUNK
        sent = 0
        while sent < server.table.revision:
            head = await reader.readexactly(FRAME_HEADER.size)
            message = codec.unpack(head, await reader.readexactly(codec.length(head)))
            sent = message.revision if isinstance(message, Update) else sent
        writer.close()

    served(scenario)


def test_connections_beyond_the_limit_and_those_that_ask_without_reading_are_closed() -> None:
    async def scenario(server: ControlPlaneServer, at: Address) -> None:
        for n in range(4):
            put(server, f"r{n}")
        first = [await asyncio.open_connection(at.host, at.port) for _ in range(4)]
        await until(lambda: server.counts.accepted == 4)
        reader, writer = await asyncio.open_connection(at.host, at.port)
        assert await reader.read() == b"" and server.counts.rejected == 1
        question = codec.pack(StatusRequest()) * 1000
        assert len(question) < MAX_REQUEST_BYTES
        while not server.counts.unread:
            first[0][1].write(question)
            await asyncio.sleep(0)
        for _, one in [*first, (reader, writer)]:
            one.close()

    served(scenario)


def cached(folder: Path, names: list[str], kept: tuple[Resource, ...] = ()) -> ResourceTable:
    """One file, a commit for each name. A body is its resource's name."""
    table = ResourceTable("e")

    async def write() -> None:
        cache = SnapshotCache(folder, "n0", 0.0)
        for name in names:
            one = Resource("route", name, table.revision + 1, name.encode())
            table.put(one)
            cache.save(table, [one], kept)
        await cache.close()

    asyncio.run(write())
    return table


def test_what_stands_behind_the_last_commit_is_cut_off(tmp_path: Path) -> None:
    table = cached(tmp_path, ["a", "b", "a"])
    path = tmp_path / "n0.cache"
    whole = path.read_bytes()
    for cut in range(1, 40):  # the last commit, at least in part
        path.write_bytes(whole[:-cut])
        found = read_snapshot(path, "n0")
        assert found is not None and found.table.revision == table.revision - 1
        assert {one.name for one in found.table.live()} == {"a", "b"}
    path.write_bytes(whole)
    found = read_snapshot(path, "n0")
    assert found is not None and (found.table.revision, found.table.digest) == (3, table.digest)


def test_any_other_fault_of_a_cache_is_told(tmp_path: Path) -> None:
    cached(tmp_path, ["a", "b"])
    path = tmp_path / "n0.cache"
    whole = path.read_bytes()
    for at in range(len(whole) // 2):
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 0x40]) + whole[at + 1 :])
        with pytest.raises(CorruptCacheError):
            read_snapshot(path, "n0")
    path.write_bytes(whole)
    with pytest.raises(CorruptCacheError, match="is not that of n1"):
        read_snapshot(path, "n1")


def test_a_directory_that_cannot_be_written_costs_one_line_and_a_later_change_is_kept(
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
            one = Resource("route", f"r{number}", number, b"x")
            table.put(one)
            cache.save(table, [one], ())
            await until(lambda: cache._timer is None and cache._writing is None)
        await cache.close()

    run(scenario())
    logger.remove(sink)
    found = read_snapshot(folder / "n0.cache", "n0")
    assert len(lines) == 1 and "cannot be written" in lines[0]
    assert found is not None and found.table.digest == table.digest and len(found.table) == 3


class Owner:
    """Refuses bodies that are `bad`."""

    def __init__(self) -> None:
        self.held: dict[str, Resource] = {}

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        bad = [one for one in changes if one.body == b"bad"]
        self.held.update((one.name, one) for one in changes if one not in bad)
        return [Rejection(one.kind, one.name, one.revision, "is bad") for one in bad]

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        return self.held.get(name)

    def on_batch_applied(self) -> None: ...


def test_what_was_refused_before_a_restart_is_refused_after_it_and_the_last_good_one_holds(
    tmp_path: Path,
) -> None:
    good = Resource("route", "bad", 1, b"good")
    cached(tmp_path, ["a", "bad"], (good,))
    owner = Owner()
    cache = SnapshotCache(tmp_path, "n0", 0.0)
    settings = ClientSettings(SubscriberSettings("n0"), [])
    client = ControlPlaneClient(settings, owner, Clock(), random.Random(1), cache)
    assert owner.held["bad"] == good and owner.held["a"].body == b"a"
    assert client.subscriber.rejections == (Rejection("route", "bad", 2, "is bad"),)
    asyncio.run(cache.close())


def test_a_class_and_a_route_that_names_it_come_with_one_reload(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, file = tmp_path / "config.json", tmp_path / "my.ini"
    path.write_text(json.dumps(raw_config(LIST, 9)))
    file.write_text("[route a]\nclass = status\n")
    monkeypatch.setenv("NODE_CONFIG", str(path))
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def scenario() -> None:
        config = read_config({"NODE_CONFIG": str(path)})
        daemon = Daemon(
            config, str(file), load_operator_file(str(file), config.policy_settings, config.names)
        )
        new = {**SETTINGS["Classes"][0], "Name": "renew"}
        path.write_text(
            json.dumps(
                raw_config(LIST, 9, settings={**SETTINGS, "Classes": [new, *SETTINGS["Classes"]]})
            )
        )
        file.write_text("[route b]\nclass = renew\nattempts = 2\n")
        daemon.reload()
        await until(lambda: daemon.applied)
        table = daemon._routes.table if daemon._routes is not None else None
        number = daemon.ingress.config.names.classes.index("renew")
        found = table.find(Facts(number, 0, False, 1, 1, False)) if table is not None else None
        assert found is not None and found.rules.name == "b"

    run(scenario())


def test_published_routes_are_proved_again_by_the_settings_of_a_reload(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, file = tmp_path / "config.json", tmp_path / "my.ini"
    monkeypatch.setenv("NODE_CONFIG", str(path))
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    status, checkout = SETTINGS["Classes"]
    renew = {**status, "Name": "renew"}

    def configure(*classes: dict[str, Any]) -> None:
        path.write_text(json.dumps(raw_config(LIST, 9, settings={**SETTINGS, "Classes": classes})))

    async def scenario(server: ControlPlaneServer, at: Address) -> None:
        configure(status, checkout)
        file.write_text(
            f"[route status twice]\nclass = status\n[control]\nrole = ingress\nservers = {at}\n"
        )
        for name, route_class in (("status twice", "status"), ("renew twice", "renew")):
            body = json.dumps({"class": route_class, "copies": "yes"}).encode()
            server.table.put(Resource("route", name, server.table.revision + 1, body))
        config = read_config({"NODE_CONFIG": str(path)})
        daemon = Daemon(
            config, str(file), load_operator_file(str(file), config.policy_settings, config.names)
        )
        daemon._receive()
        controlled, layers = daemon._controlled, daemon._routes
        assert controlled is not None and layers is not None
        subscriber = controlled.client.subscriber
        await until(lambda: [one.name for one in subscriber.rejections] == ["renew twice"])
        assert set(layers.published) == {"status twice"}

        configure({**status, "Effect": "side_effect"}, checkout, renew)
        daemon.reload()
        await until(lambda: [one.name for one in subscriber.rejections] == ["status twice"])
        assert set(layers.published) == {"renew twice"}, (
            "what must never run twice is not copied any more"
        )
        assert "would run a request twice" in subscriber.rejections[0].reason
        names = daemon.ingress.config.names.classes
        found = layers.table.find(Facts(names.index("status"), 0, False, 1, 1, False))
        assert found is not None and not found.rules.copies, "the file's route holds in its place"
        await until(
            lambda: (
                [one.name for one in server.status().subscribers[0].rejected] == ["status twice"]
            )
        )
        await controlled.close()

    served(scenario)
