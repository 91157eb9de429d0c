"""Values of every type that this program encodes for a file or for another process.

Every struct is built with keyword arguments. With positional ones, swapping two fields would not
change the bytes here, although it changes their meaning. The names of cases are keys of
`data/bytes-3e9c598.json` and stay the same when a type is renamed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from dockthread.control_plane import cache_file, messages, publish_state_machine
from dockthread.framing import FRAME_HEADER
from dockthread.maintenance.aggregation import MemberObservation, ZoneObservation
from dockthread.maintenance.commands import (
    CommandAction,
    LeaderReport,
    MaintenanceCommand,
    MaintenanceRequest,
    RequestState,
    TargetKind,
    ZoneStatus,
    decode_command,
)
from dockthread.maintenance.scheduler import MaintenanceScheduler
from dockthread.policy import gossip_codec as gossip
from dockthread.raft import messages as raft_messages
from dockthread.raft import storage

KEY: Final = b"a key of the stream"
PLAN_COUNT: Final = 3  # Number of plans that the reader of a gossip datagram knows.
DIGEST: Final = bytes(range(16))


@dataclass(frozen=True, slots=True)
class ByteCodec:
    """The encoder and the decoder of one encoding."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass(frozen=True, slots=True)
class Case:
    """A value whose expected bytes are stored under `name`."""

    name: str
    value: Any
    codec: ByteCodec


def _msgpack_codec(kind: Any) -> ByteCodec:
    """Return the codec of a struct that is encoded in msgpack without a frame."""
    return ByteCodec(msgspec.msgpack.encode, lambda data: msgspec.msgpack.decode(data, type=kind))


def _raft_stream_codec(key: bytes) -> ByteCodec:
    def decode(data: bytes) -> raft_messages.Frame:
        header, body = data[: FRAME_HEADER.size], data[FRAME_HEADER.size :]
        assert raft_messages.message_size(header) == len(body)
        return raft_messages.unpack(header, body, key)

    return ByteCodec(lambda message: raft_messages.pack(message, key), decode)


def _distribution_stream_codec(key: bytes) -> ByteCodec:
    def decode(data: bytes) -> messages.Message:
        header, body = data[: FRAME_HEADER.size], data[FRAME_HEADER.size :]
        assert messages.codec.message_size(header) == len(body)
        return messages.codec.unpack(header, body, key)

    return ByteCodec(lambda message: messages.codec.pack(message, key), decode)


def _encode_maintenance_state(fields: tuple[Any, ...]) -> bytes:
    scheduler = MaintenanceScheduler()
    (
        requests,
        scheduler.finished,
        scheduler.applied_command_ids,
        scheduler.clock_ms,
        scheduler.report_count,
        scheduler.unreachable_ms,
        scheduler.last_report,
    ) = fields
    scheduler.requests = {request.target: request for request in requests}
    return scheduler.snapshot()


def _decode_maintenance_state(data: bytes) -> tuple[Any, ...]:
    scheduler = MaintenanceScheduler()
    scheduler.restore(data)
    requests = list(scheduler.requests.values())
    return (
        requests,
        scheduler.finished,
        scheduler.applied_command_ids,
        scheduler.clock_ms,
        scheduler.report_count,
        scheduler.unreachable_ms,
        scheduler.last_report,
    )


def _encode_gossip(message: gossip.GossipMessage) -> bytes:
    return gossip.encode_message(message.incarnation, message.suspects, message.reports)


RAFT_STREAM: Final = _raft_stream_codec(KEY)
DISTRIBUTION_STREAM: Final = _distribution_stream_codec(KEY)
CACHE_RECORD: Final = _msgpack_codec(cache_file.CacheRecord)
MAINTENANCE_COMMAND: Final = ByteCodec(msgspec.msgpack.encode, decode_command)
MAINTENANCE_STATE: Final = ByteCodec(_encode_maintenance_state, _decode_maintenance_state)
GOSSIP: Final = ByteCodec(_encode_gossip, lambda data: gossip.decode_message(data, PLAN_COUNT))

# The Raft log: messages between members, and records on disk

ENTRIES: Final = (
    raft_messages.Entry(term=2, kind=raft_messages.EntryKind.COMMAND, data=b"command"),
    raft_messages.Entry(term=3, kind=raft_messages.EntryKind.VOTERS, data=b"n0 n1 n2"),
    raft_messages.Entry(term=4, kind=raft_messages.EntryKind.NO_OP),
)
SNAPSHOT: Final = raft_messages.InstallSnapshot(
    term=5,
    sender="n0",
    last_index=300,
    last_term=4,
    voters=("n0", "n1"),
    snapshot=b"state",
    heartbeat_round=70_000,
)

RAFT_STREAM_CASES: Final = tuple(
    Case(f"raft.stream.{name}", value, RAFT_STREAM)
    for name, value in (
        (
            "vote-request",
            raft_messages.VoteRequest(
                term=5,
                sender="n0",
                last_index=300,
                last_term=4,
                pre_vote=True,
                leadership_transfer=True,
            ),
        ),
        (
            "vote-request.pre",
            raft_messages.VoteRequest(
                term=5,
                sender="n0",
                last_index=300,
                last_term=4,
                pre_vote=True,
                leadership_transfer=False,
            ),
        ),
        (
            "vote-request.defaults",
            raft_messages.VoteRequest(term=5, sender="n0", last_index=300, last_term=4),
        ),
        (
            "vote-response",
            raft_messages.VoteResponse(term=5, sender="n1", granted=True, pre_vote=True),
        ),
        ("vote-response.defaults", raft_messages.VoteResponse(term=5, sender="n1", granted=True)),
        (
            "append-entries",
            raft_messages.AppendEntries(
                term=5,
                sender="n0",
                previous_index=299,
                previous_term=3,
                entries=ENTRIES,
                commit_index=298,
                heartbeat_round=70_000,
            ),
        ),
        (
            "append-entries.empty",
            raft_messages.AppendEntries(
                term=5,
                sender="n0",
                previous_index=299,
                previous_term=3,
                entries=(),
                commit_index=0,
                heartbeat_round=70_000,
            ),
        ),
        (
            "append-entries-response",
            raft_messages.AppendEntriesResponse(
                term=5, sender="n1", success=True, match_index=302, heartbeat_round=70_000
            ),
        ),
        (
            "append-entries-response.failed",
            raft_messages.AppendEntriesResponse(
                term=5, sender="n1", success=False, match_index=1, heartbeat_round=70_000
            ),
        ),
        ("install-snapshot", SNAPSHOT),
        (
            "install-snapshot.part",
            raft_messages.SnapshotChunk(
                header=msgspec.structs.replace(SNAPSHOT, snapshot=b""),
                number=2,
                snapshot_size=600_000,
                data=b"piece",
            ),
        ),
        ("timeout-now", raft_messages.TimeoutNow(term=5, sender="n0")),
        (
            "forwarded-proposal",
            raft_messages.ForwardedProposal(term=5, sender="n1", token=2**40, data=b"command"),
        ),
        (
            "forwarded-proposal-response",
            raft_messages.ForwardedProposalResponse(term=5, sender="n0", token=2**40, index=301),
        ),
        ("observation", raft_messages.StatusReport(term=5, sender="n1", data=b"observation")),
    )
)

RAFT_DISK_CASES: Final = (
    Case(
        "raft.stream.without-key",
        raft_messages.TimeoutNow(term=5, sender="n0"),
        _raft_stream_codec(b""),
    ),
    *(
        Case(f"raft.entry.{number}", entry, _msgpack_codec(raft_messages.Entry))
        for number, entry in enumerate(ENTRIES)
    ),
    Case(
        "raft.disk.state",
        storage.SnapshotRecord(
            number=7,
            name="n1",
            term=5,
            voted_for="n0",
            snapshot_index=300,
            snapshot_term=4,
            voters=("n0", "n1"),
            snapshot=b"state",
        ),
        _msgpack_codec(storage.SnapshotRecord),
    ),
    Case(
        "raft.disk.state.new",
        storage.SnapshotRecord(
            number=1,
            name="n1",
            term=0,
            voted_for="",
            snapshot_index=0,
            snapshot_term=0,
            voters=(),
            snapshot=b"",
        ),
        _msgpack_codec(storage.SnapshotRecord),
    ),
    Case(
        "raft.disk.record",
        storage.LogRecord(
            number=7, term=5, voted_for="n0", first_index=301, entries=ENTRIES, commit_index=300
        ),
        _msgpack_codec(storage.LogRecord),
    ),
    Case(
        "raft.disk.record.defaults",
        storage.LogRecord(number=7, term=5, voted_for="n0", first_index=301, entries=()),
        _msgpack_codec(storage.LogRecord),
    ),
)

# Maintenance: commands in the Raft log, the scheduler's state, and the members' observations

ZONE: Final = ZoneStatus(name="z1", ready=5, failing=("b3",), load=2.5, is_overloaded=True)
LEADER_REPORT: Final = LeaderReport(
    number=9,
    elapsed_ms=500.5,
    members=("n0", "n1", "n2"),
    reachable=("n0", "n1"),
    zones=(ZONE, ZoneStatus(name="z2", ready=0)),
    listed_targets=("b1",),
    grant_timeout_ms=20_000.5,
    failure_timeout_ms=4_000.5,
    headroom=0.25,
)
REQUEST: Final = MaintenanceRequest(
    target="b1",
    zone="z1",
    comment="new disk",
    requested_by="n0",
    urgency=-3,
    max_unavailable=2,
    requested_index=300,
    state=RequestState.RETURNING,
    epoch=301,
    kind=TargetKind.INGRESS,
    duration_ms=60_000.5,
    warm_up_ms=30_000.5,
    state_since_ms=4_500.5,
    drained_by=("n0", "n1"),
    released_by=("n2",),
    final_state="done",
    timeout_count=1,
    revocation_reason="called back, as b2 of z1 fails",
    incarnation="0123456789abcdef",
    is_evaluated=True,
)
ACTIVE_STATES: Final = (
    "waiting",
    "granted",
    "draining",
    "out",
    "overdue",
    "returning",
    "warming",
)
FINAL_STATES: Final = ("done", "withdrawn", "abandoned")


def _requests(states: tuple[str, ...]) -> list[MaintenanceRequest]:
    return [
        msgspec.structs.replace(REQUEST, target=f"b-{state}", state=RequestState(state))
        for state in states
    ]


MAINTENANCE_CASES: Final = (
    Case(
        "maintenance.command",
        MaintenanceCommand(
            action=CommandAction.REQUEST,
            target="b1",
            zone="z1",
            comment="new disk",
            sender="n0",
            urgency=-3,
            max_unavailable=2,
            command_id="89abcdef",
            kind=TargetKind.INGRESS,
            duration_ms=60_000.5,
            warm_up_ms=30_000.5,
            epoch=301,
            incarnation="0123456789abcdef",
            report=LEADER_REPORT,
        ),
        MAINTENANCE_COMMAND,
    ),
    Case(
        "maintenance.command.ask",
        MaintenanceCommand(action=CommandAction.REQUEST, target="b1"),
        MAINTENANCE_COMMAND,
    ),
    Case(
        "maintenance.command.withdraw",
        MaintenanceCommand(action=CommandAction.WITHDRAW, target="b1"),
        MAINTENANCE_COMMAND,
    ),
    Case(
        "maintenance.command.done",
        MaintenanceCommand(action=CommandAction.COMPLETE, target="b1"),
        MAINTENANCE_COMMAND,
    ),
    Case(
        "maintenance.command.held",
        MaintenanceCommand(action=CommandAction.DRAINED, target="b1", sender="n0", epoch=7),
        MAINTENANCE_COMMAND,
    ),
    Case(
        "maintenance.command.freed",
        MaintenanceCommand(action=CommandAction.RELEASED, target="b1", sender="n0", epoch=7),
        MAINTENANCE_COMMAND,
    ),
    Case(
        "maintenance.command.back",
        MaintenanceCommand(action=CommandAction.RESTARTED, target="n0", sender="n0", epoch=7),
        MAINTENANCE_COMMAND,
    ),
    Case(
        "maintenance.command.tick",
        MaintenanceCommand(action=CommandAction.REPORT, report=LEADER_REPORT),
        MAINTENANCE_COMMAND,
    ),
    Case(
        "maintenance.command.tick.defaults",
        MaintenanceCommand(action=CommandAction.REPORT, report=LeaderReport()),
        MAINTENANCE_COMMAND,
    ),
    Case(
        "maintenance.state",
        (
            _requests(ACTIVE_STATES),
            _requests(FINAL_STATES),
            ["89abcdef", "76543210"],
            4_500.5,
            9,
            {"n0": 0.0, "n2": 1_000.5},
            LEADER_REPORT,
        ),
        MAINTENANCE_STATE,
    ),
    Case(
        "maintenance.state.defaults",
        (
            [
                MaintenanceRequest(
                    target="b1",
                    zone="z1",
                    comment="",
                    requested_by="",
                    urgency=0,
                    max_unavailable=1,
                    requested_index=1,
                )
            ],
            [],
            [],
            0.0,
            0,
            {},
            LeaderReport(),
        ),
        MAINTENANCE_STATE,
    ),
    Case("maintenance.state.empty", ([], [], [], 0.0, 0, {}, LeaderReport()), MAINTENANCE_STATE),
    Case(
        "maintenance.observation",
        MemberObservation(
            zones=(
                ZoneObservation(
                    zone="z1",
                    ready=("b1", "b2"),
                    failing=("b2",),
                    in_flight=2.5,
                    is_overloaded=True,
                ),
            ),
            listed=("b1",),
            latest_request_index=300,
        ),
        _msgpack_codec(MemberObservation),
    ),
    Case(
        "maintenance.observation.defaults",
        MemberObservation(zones=(), listed=()),
        _msgpack_codec(MemberObservation),
    ),
)

# Distribution of configuration: messages, proposals and state in the Raft log, and the cache file

ROUTE: Final = messages.Resource(kind="route", name="slow", revision=41, body=b'{"attempts": 2}')
DELETED_ADDRESS: Final = messages.Resource(kind="address", name="counter", revision=42, body=None)
REJECTION: Final = messages.Rejection(
    kind="route", name="slow", revision=41, reason="attempts: 0 is too few"
)
PUBLISH: Final = messages.PublishRequest(
    token="t1", kind="route", name="slow", body=b'{"attempts": 2}', expected=40
)
SUBSCRIBER: Final = messages.SubscriberStatus(
    name="in-1", region="r1", zone="z1", connected=True, revision=41, behind=1_500.5, rejections=3,
    rejected=(REJECTION,),
)  # fmt: skip

DISTRIBUTION_STREAM_CASES: Final = tuple(
    Case(f"distribution.stream.{name}", value, DISTRIBUTION_STREAM)
    for name, value in (
        (
            "subscribe",
            messages.Subscribe(name="in-1", epoch="e1", revision=41, digest=DIGEST, region="r1", zone="z1"),
        ),
        ("subscribe.defaults", messages.Subscribe(name="in-1")),
        (
            "update",
            messages.Update(
                epoch="e1", revision=43, resources=(ROUTE, DELETED_ADDRESS), snapshot=True, complete=False,
                digest=DIGEST, horizon=39,
            ),
        ),
        ("update.defaults", messages.Update(epoch="e1", revision=42, resources=())),
        (
            "acknowledge",
            messages.Acknowledge(epoch="e1", revision=42, digest=DIGEST, rejected=(REJECTION,), rejections=2),
        ),
        ("acknowledge.defaults", messages.Acknowledge(epoch="e1", revision=42, digest=DIGEST)),
        ("heartbeat", messages.Heartbeat(epoch="e1", revision=42, age=12.5)),
        ("heartbeat.never-complete", messages.Heartbeat(epoch="", revision=0, age=messages.AGE_UNKNOWN)),
        ("retry-later", messages.RetryLater(after=250.5, reason="no capacity")),
        ("publish", PUBLISH),
        ("publish.defaults", messages.PublishRequest(token="t1", kind="route", name="slow", body=None)),
        ("published", messages.PublishResponse(token="t1", revision=-1, reason="no majority")),
        ("published.defaults", messages.PublishResponse(token="t1", revision=41)),
        ("status-request", messages.StatusRequest()),
        (
            "status",
            messages.StatusResponse(
                name="v1", role="voter", epoch="e1", revision=42, digest=DIGEST, age=12.5, subscribers=(SUBSCRIBER,)
            ),
        ),
        (
            "status.defaults",
            messages.StatusResponse(
                name="v1", role="voter", epoch="e1", revision=42, digest=DIGEST, age=12.5,
                subscribers=(
                    messages.SubscriberStatus(
                        name="in-1", region="r1", zone="z1", connected=False, revision=0, behind=0.0, rejections=0
                    ),
                ),
            ),
        ),
        ("lookup", messages.LookupRequest(kind="route", name="slow", after="fast")),
        ("lookup.defaults", messages.LookupRequest(kind="route")),
        ("found", messages.LookupResponse(revision=42, resources=(ROUTE,), more=True)),
        ("found.defaults", messages.LookupResponse(revision=42, resources=())),
    )
)  # fmt: skip

DISTRIBUTION_DISK_CASES: Final = (
    Case(
        "distribution.stream.without-key", messages.StatusRequest(), _distribution_stream_codec(b"")
    ),
    Case(
        "distribution.log.proposal",
        publish_state_machine.Proposal(request=PUBLISH, nonce=b"\x01\x02\x03\x04\x05\x06\x07\x08"),
        _msgpack_codec(publish_state_machine.Proposal),
    ),
    Case(
        "distribution.log.state",
        publish_state_machine.State(
            epoch="e1",
            revision=42,
            horizon=39,
            entries=(ROUTE, DELETED_ADDRESS),
            outcomes=(
                publish_state_machine.Outcome(token="t1", revision=41, reason="a reason"),
                publish_state_machine.Outcome(token="t2", revision=42),
            ),
        ),
        _msgpack_codec(publish_state_machine.State),
    ),
    Case("distribution.cache.head", cache_file.CacheHeader(version=1, name="in-1"), CACHE_RECORD),
    Case(
        "distribution.cache.part",
        cache_file.CacheChunk(resources=(ROUTE, DELETED_ADDRESS)),
        CACHE_RECORD,
    ),
    Case(
        "distribution.cache.commit",
        cache_file.CacheCommit(
            epoch="e1", revision=42, horizon=39, digest=DIGEST, last_good=(ROUTE,)
        ),
        CACHE_RECORD,
    ),
    Case(
        "distribution.cache.commit.defaults",
        cache_file.CacheCommit(epoch="e1", revision=42, horizon=39, digest=DIGEST),
        CACHE_RECORD,
    ),
)

# Gossip datagrams

SUSPECTS: Final = [
    (gossip.backend_code(1), 0.2),
    (gossip.backend_code(77), 1.0),
]  # Failure rates that one byte represents exactly.
NARROW_REPORT: Final = gossip.CustomerReport(
    customer=2**32 - 1,
    plan=2,
    in_flight=7,
    requested_sum=65_535,
    admitted_sum=320,
    bucket_level=-12.5,
)
WIDE_REPORT: Final = NARROW_REPORT._replace(customer=2**32 + 5, plan=1)

GOSSIP_CASES: Final = tuple(
    Case(
        f"gossip.{name}",
        gossip.GossipMessage(incarnation=incarnation, suspects=suspects, reports=reports),
        GOSSIP,
    )
    for name, incarnation, suspects, reports in (
        ("narrow", 9, list[tuple[bytes, float]](), [NARROW_REPORT]),
        (
            "narrow.suspects",
            9,
            SUSPECTS,
            [NARROW_REPORT, NARROW_REPORT._replace(customer=1, plan=0)],
        ),
        ("wide", 255, list[tuple[bytes, float]](), [WIDE_REPORT]),
        ("wide.suspects", 255, SUSPECTS, [WIDE_REPORT, NARROW_REPORT]),
        ("suspects", 0, SUSPECTS, list[gossip.CustomerReport]()),
        ("empty", 0, list[tuple[bytes, float]](), list[gossip.CustomerReport]()),
    )
)

CASES: Final = (
    *RAFT_STREAM_CASES,
    *RAFT_DISK_CASES,
    *MAINTENANCE_CASES,
    *DISTRIBUTION_STREAM_CASES,
    *DISTRIBUTION_DISK_CASES,
    *GOSSIP_CASES,
)
