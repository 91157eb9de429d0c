"""One value for each form in which this program writes bytes to disk or to another process.

Every struct is built with keyword arguments: with positional ones, two fields that change places
would keep their bytes here and change their meaning. Names of cases are keys of
`data/bytes-3e9c598.json` and stay as they are when a type is renamed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from dockthread.control_plane import messages, publish_state_machine, snapshot_cache
from dockthread.framing import HEAD
from dockthread.maintenance.commands import INGRESS, Command, Request, Tick, Zone
from dockthread.maintenance.participant import Seen, View
from dockthread.maintenance.scheduler import Order
from dockthread.policy import gossip_codec as gossip
from dockthread.raft import messages as raft_messages
from dockthread.raft import storage

KEY: Final = b"a key of the stream"
PLANS: Final = 3  # plans that the reader of a gossip datagram knows
DIGEST: Final = bytes(range(16))


@dataclass(frozen=True, slots=True)
class ByteCodec:
    """How values of one form become bytes, and values again."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass(frozen=True, slots=True)
class Case:
    """A value whose bytes are checked in under `name`."""

    name: str
    value: Any
    codec: ByteCodec


def _record(kind: Any) -> ByteCodec:
    """A struct in msgpack with nothing around it."""
    return ByteCodec(msgspec.msgpack.encode, lambda data: msgspec.msgpack.decode(data, type=kind))


def _raft_stream(key: bytes) -> ByteCodec:
    def decode(data: bytes) -> raft_messages.Frame:
        head, body = data[: HEAD.size], data[HEAD.size :]
        assert raft_messages.length(head) == len(body)
        return raft_messages.unpack(head, body, key)

    return ByteCodec(lambda message: raft_messages.pack(message, key), decode)


def _distribution_stream(key: bytes) -> ByteCodec:
    def decode(data: bytes) -> messages.Message:
        head, body = data[: HEAD.size], data[HEAD.size :]
        assert messages.codec.length(head) == len(body)
        return messages.codec.unpack(head, body, key)

    return ByteCodec(lambda message: messages.codec.pack(message, key), decode)


def _encode_maintenance_state(fields: tuple[Any, ...]) -> bytes:
    order = Order()
    requests, order.over, order.seen, order.clock, order.ticks, order.silent, order.last = fields
    order.requests = {request.target: request for request in requests}
    return order.packed()


def _decode_maintenance_state(data: bytes) -> tuple[Any, ...]:
    order = Order()
    order.restore(data)
    requests = list(order.requests.values())
    return requests, order.over, order.seen, order.clock, order.ticks, order.silent, order.last


def _encode_gossip(message: gossip.GossipMessage) -> bytes:
    return gossip.encode_message(message.incarnation, message.suspects, message.reports)


RAFT_STREAM: Final = _raft_stream(KEY)
DISTRIBUTION_STREAM: Final = _distribution_stream(KEY)
CACHE_RECORD: Final = _record(snapshot_cache.Record)
MAINTENANCE_COMMAND: Final = ByteCodec(msgspec.msgpack.encode, Order.read)
MAINTENANCE_STATE: Final = ByteCodec(_encode_maintenance_state, _decode_maintenance_state)
GOSSIP: Final = ByteCodec(_encode_gossip, lambda data: gossip.decode_message(data, PLANS))

# The agreed log: its stream and its records on disk

ENTRIES: Final = (
    raft_messages.Entry(term=2, kind=raft_messages.COMMAND, data=b"command"),
    raft_messages.Entry(term=3, kind=raft_messages.VOTERS, data=b"n0 n1 n2"),
    raft_messages.Entry(term=4, kind=raft_messages.NOTHING),
)
SNAPSHOT: Final = raft_messages.Install(
    term=5, sender="n0", last=300, last_term=4, voters=("n0", "n1"), state=b"state", round=70_000
)

RAFT_STREAM_CASES: Final = tuple(
    Case(f"raft.stream.{name}", value, RAFT_STREAM)
    for name, value in (
        (
            "vote-request",
            raft_messages.VoteAsk(
                term=5, sender="n0", last=300, last_term=4, pre=True, handed=True
            ),
        ),
        (
            "vote-request.pre",
            raft_messages.VoteAsk(
                term=5, sender="n0", last=300, last_term=4, pre=True, handed=False
            ),
        ),
        (
            "vote-request.defaults",
            raft_messages.VoteAsk(term=5, sender="n0", last=300, last_term=4),
        ),
        ("vote-response", raft_messages.VoteAnswer(term=5, sender="n1", granted=True, pre=True)),
        ("vote-response.defaults", raft_messages.VoteAnswer(term=5, sender="n1", granted=True)),
        (
            "append-entries",
            raft_messages.Append(
                term=5,
                sender="n0",
                before=299,
                before_term=3,
                entries=ENTRIES,
                commit=298,
                round=70_000,
            ),
        ),
        (
            "append-entries.empty",
            raft_messages.Append(
                term=5, sender="n0", before=299, before_term=3, entries=(), commit=0, round=70_000
            ),
        ),
        (
            "append-entries-response",
            raft_messages.Appended(term=5, sender="n1", ok=True, match=302, round=70_000),
        ),
        (
            "append-entries-response.failed",
            raft_messages.Appended(term=5, sender="n1", ok=False, match=1, round=70_000),
        ),
        ("install-snapshot", SNAPSHOT),
        (
            "install-snapshot.part",
            raft_messages.Part(
                head=msgspec.structs.replace(SNAPSHOT, state=b""),
                number=2,
                size=600_000,
                data=b"piece",
            ),
        ),
        ("timeout-now", raft_messages.TakeOver(term=5, sender="n0")),
        (
            "forwarded-proposal",
            raft_messages.Ask(term=5, sender="n1", token=2**40, data=b"command"),
        ),
        (
            "forwarded-proposal-response",
            raft_messages.Told(term=5, sender="n0", token=2**40, index=301),
        ),
        ("observation", raft_messages.Show(term=5, sender="n1", data=b"observation")),
    )
)

RAFT_DISK_CASES: Final = (
    Case("raft.stream.without-key", raft_messages.TakeOver(term=5, sender="n0"), _raft_stream(b"")),
    *(
        Case(f"raft.entry.{number}", entry, _record(raft_messages.Entry))
        for number, entry in enumerate(ENTRIES)
    ),
    Case(
        "raft.disk.state",
        storage.Whole(
            number=7,
            name="n1",
            term=5,
            vote="n0",
            base=300,
            base_term=4,
            voters=("n0", "n1"),
            state=b"state",
        ),
        _record(storage.Whole),
    ),
    Case(
        "raft.disk.state.new",
        storage.Whole(
            number=1, name="n1", term=0, vote="", base=0, base_term=0, voters=(), state=b""
        ),
        _record(storage.Whole),
    ),
    Case(
        "raft.disk.record",
        storage.Written(number=7, term=5, vote="n0", start=301, entries=ENTRIES, commit=300),
        _record(storage.Written),
    ),
    Case(
        "raft.disk.record.defaults",
        storage.Written(number=7, term=5, vote="n0", start=301, entries=()),
        _record(storage.Written),
    ),
)

# Maintenance: commands of its log, its state, and what members show their leader

ZONE: Final = Zone(name="z1", ready=5, ailing=("b3",), load=2.5, pressed=True)
TICK: Final = Tick(
    number=9,
    elapsed=500.5,
    members=("n0", "n1", "n2"),
    alive=("n0", "n1"),
    zones=(ZONE, Zone(name="z2", ready=0)),
    seen=("b1",),
    lapse=20_000.5,
    dead=4_000.5,
    reserve=0.25,
)
REQUEST: Final = Request(
    target="b1", zone="z1", why="new disk", by="n0", urgency=-3, most=2, since=300, state="returning", epoch=301,
    kind=INGRESS, length=60_000.5, warm=30_000.5, at=4_500.5, held=("n0", "n1"), freed=("n2",), ends="done", tries=1,
    why_back="called back, as b2 of z1 fails", life="0123456789abcdef", looked=True,
)  # fmt: skip
STATES_UNDER_WAY: Final = (
    "waiting",
    "granted",
    "draining",
    "out",
    "overdue",
    "returning",
    "warming",
)
STATES_OVER: Final = ("done", "withdrawn", "abandoned")


def _requests(states: tuple[str, ...]) -> list[Request]:
    return [msgspec.structs.replace(REQUEST, target=f"b-{state}", state=state) for state in states]


MAINTENANCE_CASES: Final = (
    Case(
        "maintenance.command",
        Command(
            do="ask", target="b1", zone="z1", why="new disk", by="n0", urgency=-3, most=2, once="89abcdef",
            kind=INGRESS, length=60_000.5, warm=30_000.5, epoch=301, life="0123456789abcdef", tick=TICK,
        ),
        MAINTENANCE_COMMAND,
    ),
    Case("maintenance.command.ask", Command(do="ask", target="b1"), MAINTENANCE_COMMAND),
    Case("maintenance.command.withdraw", Command(do="withdraw", target="b1"), MAINTENANCE_COMMAND),
    Case("maintenance.command.done", Command(do="done", target="b1"), MAINTENANCE_COMMAND),
    Case("maintenance.command.held", Command(do="held", target="b1", by="n0", epoch=7), MAINTENANCE_COMMAND),
    Case("maintenance.command.freed", Command(do="freed", target="b1", by="n0", epoch=7), MAINTENANCE_COMMAND),
    Case("maintenance.command.back", Command(do="back", target="n0", by="n0", epoch=7), MAINTENANCE_COMMAND),
    Case("maintenance.command.tick", Command(do="tick", tick=TICK), MAINTENANCE_COMMAND),
    Case("maintenance.command.tick.defaults", Command(do="tick", tick=Tick()), MAINTENANCE_COMMAND),
    Case(
        "maintenance.state",
        (
            _requests(STATES_UNDER_WAY),
            _requests(STATES_OVER),
            ["89abcdef", "76543210"],
            4_500.5,
            9,
            {"n0": 0.0, "n2": 1_000.5},
            TICK,
        ),
        MAINTENANCE_STATE,
    ),
    Case(
        "maintenance.state.defaults",
        (
            [Request(target="b1", zone="z1", why="", by="", urgency=0, most=1, since=1)],
            [], [], 0.0, 0, {}, Tick(),
        ),
        MAINTENANCE_STATE,
    ),
    Case("maintenance.state.empty", ([], [], [], 0.0, 0, {}, Tick()), MAINTENANCE_STATE),
    Case(
        "maintenance.observation",
        View(
            zones=(Seen(zone="z1", ready=("b1", "b2"), ailing=("b2",), out=2.5, pressed=True),),
            listed=("b1",),
            since=300,
        ),
        _record(View),
    ),
    Case("maintenance.observation.defaults", View(zones=(), listed=()), _record(View)),
)  # fmt: skip

# The distribution: its stream, its log, its cache

ROUTE: Final = messages.Resource(kind="route", name="slow", revision=41, body=b'{"attempts": 2}')
DELETED: Final = messages.Resource(kind="address", name="counter", revision=42, body=None)
REJECTION: Final = messages.Rejection(
    kind="route", name="slow", revision=41, reason="attempts: 0 is too few"
)
PUBLISH: Final = messages.Publish(
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
                epoch="e1", revision=43, resources=(ROUTE, DELETED), snapshot=True, complete=False, digest=DIGEST,
                horizon=39,
            ),
        ),
        ("update.defaults", messages.Update(epoch="e1", revision=42, resources=())),
        (
            "acknowledge",
            messages.Acknowledge(epoch="e1", revision=42, digest=DIGEST, rejected=(REJECTION,), rejections=2),
        ),
        ("acknowledge.defaults", messages.Acknowledge(epoch="e1", revision=42, digest=DIGEST)),
        ("heartbeat", messages.Heartbeat(epoch="e1", revision=42, age=12.5)),
        ("heartbeat.never-complete", messages.Heartbeat(epoch="", revision=0, age=messages.NEVER)),
        ("retry-later", messages.RetryLater(after=250.5, reason="no capacity")),
        ("publish", PUBLISH),
        ("publish.defaults", messages.Publish(token="t1", kind="route", name="slow", body=None)),
        ("published", messages.Published(token="t1", revision=-1, reason="no majority")),
        ("published.defaults", messages.Published(token="t1", revision=41)),
        ("status-request", messages.StatusRequest()),
        (
            "status",
            messages.Status(
                name="v1", role="voter", epoch="e1", revision=42, digest=DIGEST, age=12.5, subscribers=(SUBSCRIBER,)
            ),
        ),
        (
            "status.defaults",
            messages.Status(
                name="v1", role="voter", epoch="e1", revision=42, digest=DIGEST, age=12.5,
                subscribers=(
                    messages.SubscriberStatus(
                        name="in-1", region="r1", zone="z1", connected=False, revision=0, behind=0.0, rejections=0
                    ),
                ),
            ),
        ),
        ("lookup", messages.Lookup(kind="route", name="slow", after="fast")),
        ("lookup.defaults", messages.Lookup(kind="route")),
        ("found", messages.Found(revision=42, resources=(ROUTE,), more=True)),
        ("found.defaults", messages.Found(revision=42, resources=())),
    )
)  # fmt: skip

DISTRIBUTION_DISK_CASES: Final = (
    Case("distribution.stream.without-key", messages.StatusRequest(), _distribution_stream(b"")),
    Case(
        "distribution.log.proposal",
        publish_state_machine.Proposal(publish=PUBLISH, nonce=b"\x01\x02\x03\x04\x05\x06\x07\x08"),
        _record(publish_state_machine.Proposal),
    ),
    Case(
        "distribution.log.state",
        publish_state_machine.State(
            epoch="e1",
            revision=42,
            horizon=39,
            entries=(ROUTE, DELETED),
            outcomes=(
                publish_state_machine.Outcome(token="t1", revision=41, reason="a reason"),
                publish_state_machine.Outcome(token="t2", revision=42),
            ),
        ),
        _record(publish_state_machine.State),
    ),
    Case("distribution.cache.head", snapshot_cache.Head(version=1, name="in-1"), CACHE_RECORD),
    Case("distribution.cache.part", snapshot_cache.Part(resources=(ROUTE, DELETED)), CACHE_RECORD),
    Case(
        "distribution.cache.commit",
        snapshot_cache.Commit(epoch="e1", revision=42, horizon=39, digest=DIGEST, kept=(ROUTE,)),
        CACHE_RECORD,
    ),
    Case(
        "distribution.cache.commit.defaults",
        snapshot_cache.Commit(epoch="e1", revision=42, horizon=39, digest=DIGEST),
        CACHE_RECORD,
    ),
)

# Gossip datagrams

SUSPECTS: Final = [
    (gossip.backend_code(1), 0.2),
    (gossip.backend_code(77), 1.0),
]  # rates that a byte holds exactly
NARROW_REPORT: Final = gossip.CustomerReport(
    customer=2**32 - 1,
    plan=2,
    in_flight=7,
    arrived_sum=65_535,
    admitted_sum=320,
    bucket_level=-12.5,
)
WIDE_REPORT: Final = NARROW_REPORT._replace(customer=2**32 + 5, plan=1)

GOSSIP_CASES: Final = tuple(
    Case(
        f"gossip.{name}",
        gossip.GossipMessage(incarnation=life, suspects=suspects, reports=reports),
        GOSSIP,
    )
    for name, life, suspects, reports in (
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
