"""Files and messages keep the encoding of commit 3e9c598, whatever the types are called.

`data/bytes-3e9c598.json` holds the bytes that this commit wrote, in hexadecimal, by the name of the
case. During an upgrade of a fleet, two releases run at the same time, and a new release reads the
files of the previous one. So entries may be added to that file, but none may be changed.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import pkgutil
import random
from collections.abc import Iterator
from hashlib import blake2b
from itertools import combinations
from pathlib import Path
from typing import Any, Final, get_args

import msgspec
import pytest

import dockthread
from dockthread.config.address import Address
from dockthread.config.ini_reader import Section
from dockthread.config.quantities import Duration, Share
from dockthread.control_plane import cache_file, messages, snapshot_cache
from dockthread.control_plane.encoded import EncodedFrameCache
from dockthread.control_plane.publish_state_machine import PublishStateMachine
from dockthread.control_plane.resource_schemas import VALIDATORS, parse_address, parse_route
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.update_assembler import UpdateAssembler
from dockthread.daemon import Daemon
from dockthread.framing import FRAME_HEADER
from dockthread.maintenance.admin_commands import listing
from dockthread.maintenance.commands import (
    CommandAction,
    LeaderReport,
    MaintenanceCommand,
    TargetKind,
    ZoneStatus,
)
from dockthread.maintenance.scheduler import MaintenanceScheduler
from dockthread.raft import messages as raft_messages
from dockthread.raft.actions import PersistEntries, PersistentState, PersistSnapshot
from dockthread.raft.log import RaftLog
from dockthread.raft.storage import RaftStorage
from dockthread.routes.options import RouteOptions
from tests import byte_cases
from tests.byte_cases import CASES, Case
from tests.loopback import config, message, target

EXPECTED_BYTES: Final[dict[str, bytes]] = {
    name: bytes.fromhex(text)
    for name, text in json.loads(
        (Path(__file__).parent / "data" / "bytes-3e9c598.json").read_bytes()
    ).items()
}
UNIONS: Final = (
    (raft_messages.Frame, byte_cases.RAFT_STREAM),
    (messages.Message, byte_cases.DISTRIBUTION_STREAM),
    (cache_file.CacheRecord, byte_cases.CACHE_RECORD),
)


# Single values


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_a_value_is_encoded_to_the_same_bytes(case: Case) -> None:
    assert case.codec.encode(case.value) == EXPECTED_BYTES[case.name]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_bytes_are_decoded_to_the_same_value(case: Case) -> None:
    decoded = case.codec.decode(EXPECTED_BYTES[case.name])
    assert type(decoded) is type(case.value)
    assert decoded == case.value


# Files and state machines whose bytes depend on several values


def raft_files(folder: Path) -> dict[str, bytes]:
    """Return the content of each file in a member's directory, except the empty lock file."""
    return {path.name: path.read_bytes() for path in folder.iterdir() if path.name != "lock"}


def written_raft_files(folder: Path) -> Iterator[tuple[str, dict[str, bytes], PersistentState]]:
    """Yield a member's files and the state that they store, at three points in time.

    The points are after the directory is created, after term, vote and entries are stored, and
    after a snapshot.
    """
    store = RaftStorage(folder, "n1", create=True)
    entries = byte_cases.ENTRIES
    yield "made", raft_files(folder), PersistentState()
    store.persist(
        PersistEntries(term=4, voted_for="n0", first_index=1, entries=entries, commit_index=0)
    )
    store.persist(
        PersistEntries(
            term=5, voted_for="n2", first_index=3, entries=(entries[0], entries[2]), commit_index=2
        )
    )
    stored = PersistentState(
        term=5,
        voted_for="n2",
        entries=[entries[0], entries[1], entries[0], entries[2]],
        commit_index=2,
    )
    yield "records", raft_files(folder), stored
    store.persist(
        PersistSnapshot(
            index=3, term=2, voters=("n0", "n1", "n2"), snapshot=b"state", discards_log=False
        )
    )
    store.persist(
        PersistEntries(term=6, voted_for="n1", first_index=5, entries=(entries[1],), commit_index=4)
    )
    stored = PersistentState(
        6, "n1", 3, 2, ("n0", "n1", "n2"), b"state", [entries[2], entries[1]], 4
    )
    yield "snapshot", raft_files(folder), stored
    store.close()


def test_the_raft_directory_is_written_and_read_as_before(tmp_path: Path) -> None:
    for name, files, expected in written_raft_files(tmp_path / "written"):
        known = {
            file: data
            for file, data in EXPECTED_BYTES.items()
            if file.startswith(f"raft.files.{name}/")
        }
        assert {f"raft.files.{name}/{file}": data for file, data in files.items()} == known
        folder = tmp_path / name
        folder.mkdir()
        for file, data in known.items():
            (folder / file.partition("/")[2]).write_bytes(data)
        store = RaftStorage(folder, "n1")
        assert (store.name, store.persistent_state) == ("n1", expected)
        store.close()


def test_voters_are_read_from_a_stored_log_entry() -> None:
    entry = msgspec.msgpack.decode(EXPECTED_BYTES["raft.entry.1"], type=raft_messages.Entry)
    assert RaftLog(PersistentState(entries=[entry]), ["n9"]).voters_at(1) == ("n0", "n1", "n2")


def snapshot_chunks() -> list[bytes]:
    """Return the frames of a snapshot that needs several chunks."""
    state = bytes(range(256)) * 2_100  # Two full chunks and one of 13,312 bytes.
    return list(
        raft_messages.split_snapshot(
            msgspec.structs.replace(byte_cases.SNAPSHOT, snapshot=state), byte_cases.KEY
        )
    )


def test_a_snapshot_is_split_into_the_same_chunks() -> None:
    frames = snapshot_chunks()
    # The frames are 540 KB long, so only their hash is stored.
    assert blake2b(b"".join(frames)).digest() == EXPECTED_BYTES["raft.stream.parts.blake2b"]
    assembly = raft_messages.SnapshotAssembler()
    for frame in frames:
        chunk = raft_messages.unpack(
            frame[: FRAME_HEADER.size], frame[FRAME_HEADER.size :], byte_cases.KEY
        )
        assert isinstance(chunk, raft_messages.SnapshotChunk)
        assembled = assembly.add(chunk)
    assert assembled is not None
    assert assembled.snapshot == bytes(range(256)) * 2_100


def maintenance_commands() -> list[MaintenanceCommand]:
    """Return the commands of three maintenance requests with different histories.

    The request for `b1` is granted and revoked, its second grant times out, and it is then carried
    out and warms up. The request for `b3` is withdrawn. The third request is for an ingress, which
    restarts.
    """
    zone = ZoneStatus(name="z1", ready=4, load=1.0)
    failing_zone = ZoneStatus(name="z1", ready=4, failing=("b2",), load=1.0)

    def leader_report(
        number: int, zones: tuple[ZoneStatus, ...] = (zone,), elapsed: float = 500.0
    ) -> MaintenanceCommand:
        members = ("n0", "n1")
        listed_targets = ("b1", "b3")
        report = LeaderReport(
            number=number,
            elapsed_ms=elapsed,
            members=members,
            reachable=members,
            zones=zones,
            listed_targets=listed_targets,
            grant_timeout_ms=900.0,
        )
        return MaintenanceCommand(action=CommandAction.REPORT, report=report)

    return [
        MaintenanceCommand(
            action=CommandAction.REQUEST,
            target="b1",
            zone="z1",
            comment="new disk",
            sender="n0",
            duration_ms=700.0,
            warm_up_ms=400.0,
            command_id="aa",
        ),
        MaintenanceCommand(
            action=CommandAction.REQUEST,
            target="b1",
            zone="z1",
            comment="new disk",
            sender="n0",
            command_id="aa",
        ),
        MaintenanceCommand(action=CommandAction.REQUEST, target="b3", zone="z1", urgency=-1),
        leader_report(1),
        leader_report(2, (failing_zone,)),
        leader_report(3),
        leader_report(4, elapsed=300.0),
        leader_report(5, (failing_zone,), elapsed=1_000.0),
        leader_report(6),
        MaintenanceCommand(action=CommandAction.DRAINED, target="b1", sender="n0", epoch=9),
        MaintenanceCommand(action=CommandAction.DRAINED, target="b1", sender="n1", epoch=9),
        leader_report(7),
        leader_report(8, elapsed=800.0),
        MaintenanceCommand(action=CommandAction.COMPLETE, target="b1"),
        MaintenanceCommand(action=CommandAction.RELEASED, target="b1", sender="n1", epoch=9),
        MaintenanceCommand(action=CommandAction.RELEASED, target="b1", sender="n0", epoch=9),
        leader_report(9),
        MaintenanceCommand(action=CommandAction.WITHDRAW, target="b3"),
        leader_report(10),
        MaintenanceCommand(
            action=CommandAction.REQUEST, target="n1", kind=TargetKind.INGRESS, warm_up_ms=100.0
        ),
        leader_report(11),
        MaintenanceCommand(
            action=CommandAction.DRAINED,
            target="n1",
            sender="n1",
            epoch=20,
            incarnation="0123456789abcdef",
        ),
        MaintenanceCommand(action=CommandAction.RESTARTED, target="n1", sender="n1", epoch=20),
        leader_report(12),
    ]


def maintenance_history() -> list[bytes]:
    """Return the state after each of `maintenance_commands`, each preceded by its length."""
    scheduler = MaintenanceScheduler()
    states: list[bytes] = []
    for index, command in enumerate(maintenance_commands(), 1):
        scheduler.apply(index, msgspec.msgpack.encode(command))
        state = scheduler.snapshot()
        states.append(len(state).to_bytes(4, "little") + state)
    return states


def test_the_same_maintenance_commands_lead_to_the_same_states() -> None:
    """Members of two releases apply the same log, so all bytes of their states must be equal.

    This includes the texts of reasons. A member may restore a snapshot that another one wrote.
    """
    assert b"".join(maintenance_history()) == EXPECTED_BYTES["maintenance.history"]


def maintenance_listing() -> bytes:
    """Return the management endpoint's JSON of all requests, whose keys are names of fields."""
    scheduler = MaintenanceScheduler()
    scheduler.restore(EXPECTED_BYTES["maintenance.state"])
    listed = listing(scheduler)
    return json.dumps(listed, sort_keys=True).encode()


def test_the_management_listing_keeps_its_keys() -> None:
    assert maintenance_listing() == EXPECTED_BYTES["maintenance.listing.json"]


def published() -> tuple[list[bytes], PublishStateMachine]:
    """Return log entries of the distribution, and the state machine after it has applied them.

    They are changes that are accepted, rejected and repeated.
    """
    machine = PublishStateMachine(VALIDATORS, random.Random(7), max_tombstones=1)
    changes = [
        messages.PublishRequest(token="t1", kind="route", name="slow", body=b'{"attempts": 2}'),
        messages.PublishRequest(
            token="t2", kind="route", name="slow", body=b'{"attempts": 3}', expected=7
        ),
        messages.PublishRequest(
            token="t3", kind="address", name="counter", body=b'{"address": "h:1"}', expected=0
        ),
        messages.PublishRequest(
            token="t3", kind="address", name="counter", body=b'{"address": "h:2"}'
        ),
        messages.PublishRequest(token="t4", kind="address", name="counter", body=None),
        messages.PublishRequest(token="t5", kind="route", name="none", body=None),
        messages.PublishRequest(token="t6", kind="route", name="", body=b"{}"),
        messages.PublishRequest(token="t7", kind="route", name="slow", body=None, expected=1),
        messages.PublishRequest(
            token="t8", kind="route", name="big", body=bytes(messages.MAX_BODY_BYTES + 1)
        ),
        messages.PublishRequest(token="t9", kind="route", name="fast", body=b'{"attempts": 1}'),
    ]
    proposals = [machine.encode_proposal(change) for change in changes]
    for index, proposal in enumerate(proposals, 1):
        machine.apply(index, proposal)
    return proposals, machine


def test_the_same_changes_lead_to_the_same_publish_state() -> None:
    proposals, machine = published()
    assert proposals[0] == EXPECTED_BYTES["distribution.log.first-proposal"]
    assert machine.state() == EXPECTED_BYTES["distribution.log.history-state"]
    restored = PublishStateMachine(VALIDATORS, random.Random(8), max_tombstones=1)
    restored.restore(10, EXPECTED_BYTES["distribution.log.history-state"])
    assert table_properties(restored.table) == table_properties(machine.table)
    assert restored.response_for("t2") == machine.response_for("t2") is not None


def table_properties(table: ResourceTable) -> tuple[object, ...]:
    """Return all properties by which two tables are compared."""
    return table.epoch, table.revision, table.horizon, table.digest, list(table.entries())


def resource_table() -> ResourceTable:
    """Return a table with three live resources and a tombstone."""
    table = ResourceTable("e1")
    for number in range(3):
        table.put(
            messages.Resource(
                kind="route", name=f"r{number}", revision=10 + number, body=b"{}" * number
            )
        )
    table.put(messages.Resource(kind="route", name="gone", revision=20, body=None))
    table.put(messages.Resource(kind="route", name="r0", revision=21, body=b'{"attempts": 2}'))
    table.advance(25)
    return table


def table_frames(chunk_bytes: int) -> list[bytes]:
    """Return the frames of a snapshot in chunks of `chunk_bytes`, and the delta since revision 12."""
    frame_cache = EncodedFrameCache(resource_table(), chunk_bytes, byte_cases.KEY)
    snapshot = frame_cache.snapshot()
    frames: list[bytes] = []
    while (frame := snapshot.frame(len(frames))) is not None:
        frames.append(frame)
    return [*frames, frame_cache.delta(12).frame]


def test_a_table_is_sent_in_the_same_frames() -> None:
    *snapshot, delta = table_frames(60)
    assert b"".join(snapshot) == EXPECTED_BYTES["distribution.frames.snapshot"]
    assert delta == EXPECTED_BYTES["distribution.frames.delta"]
    table = ResourceTable()
    assembler = UpdateAssembler(table)
    for frame in snapshot:
        update = byte_cases.DISTRIBUTION_STREAM.decode(frame)
        assembler.add(update)
    assert table_properties(table) == table_properties(resource_table())


async def write_cache_file(directory: Path) -> Path:
    """Write a cache file, append a change to it, and return its path.

    The name of the ingress has characters that a file name must not have.
    """
    table = resource_table()
    last_good = (messages.Resource(kind="route", name="r0", revision=10, body=b"{}"),)
    file = snapshot_cache.SnapshotCache(directory, "in/1 a", 0.0)
    file.save(table, (), last_good)
    change = messages.Resource(
        kind="address", name="counter", revision=26, body=b'{"address": "h:1"}'
    )
    table.put(change)
    file.save(table, (change,), ())
    await file.close()
    return file.path


def test_the_cache_file_is_written_and_read_as_before(tmp_path: Path) -> None:
    path = asyncio.run(write_cache_file(tmp_path))
    assert path == tmp_path / "in%2F1%20a.cache"
    assert path.read_bytes() == EXPECTED_BYTES["distribution.cache.file"]
    path.write_bytes(EXPECTED_BYTES["distribution.cache.file"])
    snapshot = cache_file.read_snapshot(path, "in/1 a")
    table = resource_table()
    table.put(
        messages.Resource(kind="address", name="counter", revision=26, body=b'{"address": "h:1"}')
    )
    assert snapshot is not None
    assert (table_properties(snapshot.table), snapshot.last_good) == (table_properties(table), ())
    first_commit = EXPECTED_BYTES["distribution.cache.file.first-state"]
    path.write_bytes(first_commit)
    snapshot = cache_file.read_snapshot(path, "in/1 a")
    assert snapshot is not None
    last_good = (messages.Resource(kind="route", name="r0", revision=10, body=b"{}"),)
    assert (table_properties(snapshot.table), snapshot.last_good) == (
        table_properties(resource_table()),
        last_good,
    )


def test_detached_backends_are_stored_and_read_as_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert write_detached_backends(tmp_path) == EXPECTED_BYTES["held-backends.file"]
    (tmp_path / "dockthread-held.json").write_bytes(EXPECTED_BYTES["held-backends.file"])
    known = message(1, target("s-0", 9), target("s-1", 10), full=True)

    async def excluded_at_start() -> set[str]:
        return Daemon(config(known), None, None).ingress.endpoints.excluded_uids

    assert asyncio.run(excluded_at_start()) == {"s-0", "s-1"}


def write_detached_backends(folder: Path) -> bytes:
    """Return the file that an ingress writes when two backends are detached.

    `$TMPDIR` must be `folder`.
    """
    known = message(1, target("s-0", 9), target("s-1", 10), full=True)

    async def detach() -> bytes:
        daemon = Daemon(config(known), None, None)
        daemon.ingress.dispatch(daemon.ingress.endpoints.apply(known))
        assert daemon.detach("s-1") and daemon.detach("s-0")
        return (folder / "dockthread-held.json").read_bytes()

    return asyncio.run(detach())


# Bodies of resources, which publishers write and this program only reads

ROUTE_BODY: Final = {
    "class": ["cheap", "heavy"], "plan": "basic", "verb": "read", "firm": "1f, 2a", "units": "1..3", "retry": True,
    "hall": "h1", "timeout": "2s", "attempt_timeout": "500ms", "attempts": 3, "retry_on": ["error", "turned-away"],
    "backoff": "10ms", "backoff_max": "50ms", "copies": True, "copy_after": "p95", "copy_share": 0.05,
    "retry_budget": 0.2, "retry_floor": 2.5, "limit": "adaptive", "limit_min": 2, "limit_max": 64, "queue": 16,
    "queue_wait": "100ms", "nodes": "gpu",
}  # fmt: skip


def test_the_body_of_a_route_is_parsed_as_before() -> None:
    assert set(ROUTE_BODY) == {field.encode_name for field in msgspec.structs.fields(RouteOptions)}
    assert parse_route("slow", EXPECTED_BYTES["distribution.resource.route"]) == RouteOptions(
        classes=("cheap", "heavy"), plan=("basic",), verb=("read",), firm=("1f", "2a"), units="1..3", retry=True,
        hall=("h1",), timeout=Duration(2_000), attempt_timeout=Duration(500), attempts=3,
        retry_on=("error", "turned-away"), backoff=Duration(10), backoff_max=Duration(50), copies=True,
        copy_after="p95", copy_share=Share(0.05), retry_budget=Share(0.2), retry_floor=2.5, limit="adaptive",
        limit_min=2, limit_max=64, queue=16, queue_wait=Duration(100), nodes=("gpu",),
    )  # fmt: skip


@pytest.mark.parametrize("name", ["counter", "discovery"])
def test_the_body_of_an_address_is_parsed_as_before(name: str) -> None:
    assert parse_address(name, EXPECTED_BYTES["distribution.resource.address"]) == Address("h", 1)
    assert set(VALIDATORS) == {"address", "route"}


# Completeness of the cases


def structs_within(value: object) -> Iterator[msgspec.Struct]:
    """Yield all structs within a value, including the value itself."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = msgspec.structs.astuple(value)
    if isinstance(value, list | tuple):
        for item in value:
            yield from structs_within(item)


def encoded_structs() -> list[type[msgspec.Struct]]:
    """Return every struct of the program that is encoded.

    Sections of the operator's file are excluded, because the program only reads them.
    """
    for module in pkgutil.walk_packages(dockthread.__path__, "dockthread."):
        if not module.name.startswith("dockthread.lab") and not module.name.endswith("__main__"):
            importlib.import_module(module.name)

    def subclasses_of(kind: type[msgspec.Struct]) -> Iterator[type[msgspec.Struct]]:
        for subclass in kind.__subclasses__():
            yield subclass
            yield from subclasses_of(subclass)

    own_structs = [
        kind for kind in subclasses_of(msgspec.Struct) if kind.__module__.startswith("dockthread.")
    ]
    return sorted(
        (kind for kind in own_structs if not issubclass(kind, Section)), key=lambda kind: str(kind)
    )


ENCODED_STRUCTS: Final = encoded_structs()
INSTANCES: Final = [instance for case in CASES for instance in structs_within(case.value)]


def is_default(field: msgspec.structs.FieldInfo, value: object) -> bool:
    """Return whether a field has its default, or is empty if it has no default."""
    return not value if field.required else bool(value == field.default)


@pytest.mark.parametrize(("union", "codec"), UNIONS, ids=("raft", "distribution", "cache"))
def test_every_member_of_a_union_has_a_case(union: Any, codec: byte_cases.ByteCodec) -> None:
    assert {type(case.value) for case in CASES if case.codec is codec} == set(get_args(union))


@pytest.mark.parametrize(
    "kind", ENCODED_STRUCTS, ids=lambda kind: f"{kind.__module__}.{kind.__name__}"
)
def test_cases_of_each_struct_detect_lost_defaults_and_swapped_fields(
    kind: type[msgspec.Struct],
) -> None:
    """The cases of each struct detect a lost default and two fields that change places.

    One instance has neither default nor empty fields, one has all defaults, and any two fields
    differ in some instance.
    """
    instances = [instance for instance in INSTANCES if type(instance) is kind]
    fields = msgspec.structs.fields(kind)
    defaults = [field for field in fields if not field.required]
    assert instances
    assert any(
        not any(is_default(field, getattr(item, field.name)) for field in fields)
        for item in instances
    )
    assert any(
        all(is_default(field, getattr(item, field.name)) for field in defaults)
        for item in instances
    )
    for first, second in combinations(fields, 2):
        assert any(
            repr(getattr(item, first.name)) != repr(getattr(item, second.name))
            for item in instances
        ), f"{first.name} and {second.name} are equal in all cases"


@pytest.mark.parametrize(
    "kind", ENCODED_STRUCTS, ids=lambda kind: f"{kind.__module__}.{kind.__name__}"
)
def test_no_struct_encodes_the_names_of_its_class_or_fields(kind: type[msgspec.Struct]) -> None:
    """Classes and fields may be renamed, because their names are not encoded.

    Each struct is encoded as an array, in which a field is identified by its position, and has an
    explicit tag or none. A struct with `tag=True` would need `tag="CurrentName"` before its class is
    renamed, and a struct that is encoded as a map would need `rename=` or `field(name=...)` before
    its fields are renamed.
    """
    assert kind.__struct_config__.array_like
    assert kind.__struct_config__.tag not in (kind.__name__, kind.__qualname__)


def test_case_names_are_unique_and_have_expected_bytes() -> None:
    names = [case.name for case in CASES]
    assert len(names) == len(set(names))
    assert set(names) <= set(EXPECTED_BYTES)
