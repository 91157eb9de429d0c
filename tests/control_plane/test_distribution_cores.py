"""The deciding cores of the distribution of control, one rule at a time, without sockets and with a
set clock.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec
import pytest

from dockthread.control_plane.fanout import FanOut, FanOutLimits, UnexpectedMessageError
from dockthread.control_plane.messages import (
    MAX_BODY_BYTES,
    Acknowledge,
    Heartbeat,
    Message,
    PublishRequest,
    PublishResponse,
    Rejection,
    Resource,
    RetryLater,
    Subscribe,
    Update,
    codec,
)
from dockthread.control_plane.publish_state_machine import PublishStateMachine
from dockthread.control_plane.resource_table import OutOfOrderError, ResourceTable
from dockthread.control_plane.server_selection import CandidateServer, ServerSelector
from dockthread.control_plane.subscriber import Subscriber
from dockthread.control_plane.subscriber_actions import (
    Connect,
    Disconnect,
    ResourcesChanged,
    Send,
)
from dockthread.control_plane.subscriber_settings import SubscriberSettings, SubscriberTimes
from dockthread.framing import FRAME_HEADER

LIMITS = FanOutLimits(chunk_bytes=400)


def table(count: int = 0, epoch: str = "e1", max_tombstones: int = 100) -> ResourceTable:
    """`count` routes r1, r2 and on, each of its own revision."""
    made = ResourceTable(epoch, max_tombstones)
    for number in range(1, count + 1):
        made.put(Resource("route", f"r{number}", number, b"body %d" % number))
    return made


def fanout(served: ResourceTable, limits: FanOutLimits = LIMITS) -> FanOut:
    made = FanOut(served, limits, random.Random(1))
    made.set_table_age(0.0, 0.0)
    return made


def frames(server: FanOut, now: float = 10.0, connection: int = 1) -> list[Message]:
    """All that there is for a connection now."""
    found = []
    while (frame := server.next_frame(now, connection)) is not None:
        found.append(codec.unpack(frame[: FRAME_HEADER.size], frame[FRAME_HEADER.size :]))
    return found


def updates(server: FanOut, now: float = 10.0, connection: int = 1) -> list[Update]:
    return [one for one in frames(server, now, connection) if isinstance(one, Update)]


def subscriber(
    held: ResourceTable | None = None, servers: Sequence[str] = ("a", "b", "c")
) -> Subscriber:
    listed = [CandidateServer(name) for name in servers]
    return Subscriber(SubscriberSettings("i1"), listed, random.Random(1), 0.0, held)


def receiving(
    held: ResourceTable | None = None, servers: Sequence[str] = ("a", "b", "c")
) -> Subscriber:
    """One that is connected at 1 ms by its connection 1, and was told that its server is fresh."""
    made = subscriber(held, servers)
    assert any(isinstance(action, Connect) for action in made.on_timer(0.0))
    made.on_connected(1.0, 1)
    made.on_message(1.0, 1, Heartbeat("e1", 0, 0.0))
    return made


def changed(actions: Sequence[object]) -> list[ResourcesChanged]:
    return [action for action in actions if isinstance(action, ResourcesChanged)]


# The table


def test_the_digest_is_of_the_live_set_whatever_its_order_and_its_way() -> None:
    one, other = table(5), ResourceTable("e1")
    one.put(Resource("route", "r2", 6, None))
    entries = [entry for entry in one.entries() if entry.name != "r2"]
    other.load("e1", 6, 6, entries)
    assert one.digest == other.digest != table(5).digest
    assert len(one) == len(other) == 4


def test_what_a_receiver_lacks_comes_in_parts_and_once_for_each_key() -> None:
    held = table(40)
    for revision in range(41, 61):
        held.put(Resource("route", "r7", revision, b"again"))
    first = held.delta_since(10, 300)
    assert not first.complete and first.resources[0].revision == 11
    rest = held.delta_since(first.revision, 1 << 20)
    names = [one.name for one in (*first.resources, *rest.resources)]
    assert len(names) == len(set(names)) == 31 and names[-1] == "r7"
    assert rest.complete and rest.digest == held.digest


def test_tombstones_are_bounded_and_the_horizon_tells_who_needs_a_snapshot() -> None:
    held = table(6, max_tombstones=2)
    for number in range(1, 5):
        held.put(Resource("route", f"r{number}", 6 + number, None))
    assert held.horizon == 8
    assert [held.can_resume_from(revision) for revision in (0, 7, 8, 10, 11)] == [
        False,
        False,
        True,
        True,
        False,
    ]
    with pytest.raises(OutOfOrderError):
        held.put(Resource("route", "r9", 10, b""))


# Publishing


def publishing() -> PublishStateMachine:
    return PublishStateMachine(
        {"route": lambda name, body: "no good" if body == b"bad" else ""}, random.Random(1)
    )


def accept(machine: PublishStateMachine, message: PublishRequest) -> PublishResponse | None:
    machine.apply(1, machine.encode_proposal(message))
    return machine.response_for(message.token)


def test_a_change_counts_once_and_its_outcome_is_final_across_a_snapshot_of_the_log() -> None:
    machine = publishing()
    change = PublishRequest("t1", "route", "r1", b"one")
    assert accept(machine, change) == accept(machine, change) == PublishResponse("t1", 1)
    refused = accept(machine, PublishRequest("t2", "route", "r1", b"two", expected=7))
    assert refused is not None and refused.revision == 0 and "at 1" in refused.reason
    restored = publishing()
    restored.restore(2, machine.state())
    assert (
        restored.table.digest == machine.table.digest
        and restored.table.epoch == machine.table.epoch
    )
    assert accept(restored, change) == PublishResponse("t1", 1)
    for revision in range(2, 8):
        accept(restored, PublishRequest(f"u{revision}", "route", "r1", b"x"))
    assert accept(restored, PublishRequest("t2", "route", "r1", b"two", expected=7)) == refused


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (PublishRequest("t", "road", "r", b""), "no such kind"),
        (PublishRequest("t", "route", "r", b"bad"), "no good"),
        (PublishRequest("", "route", "r", b""), "token"),
        (PublishRequest("t", "route", "", b""), "name"),
        (PublishRequest("t", "route", "a\x00b", b""), "name"),
        (PublishRequest("t", "route", "ä" * 65, b""), "name"),
        (PublishRequest("t", "route", "r", bytes(MAX_BODY_BYTES + 1)), "the most"),
    ],
)
def test_what_breaks_a_bound_or_its_validator_is_refused_before_it_is_proposed(
    change: PublishRequest, reason: str
) -> None:
    assert reason in publishing().rejection_reason(change)
    assert not publishing().rejection_reason(PublishRequest("t", "route", "r", b"good"))


def test_an_entry_that_means_nothing_changes_nothing_and_another_history_has_another_epoch() -> (
    None
):
    one, other = publishing(), PublishStateMachine({}, random.Random(2))
    one.apply(1, b"\xc1")
    assert one.undecodable == 1 and one.table.epoch == ""
    for machine in (one, other):
        accept(machine, PublishRequest("t", "route", "r", b""))
    assert one.table.epoch != other.table.epoch


# Serving


@pytest.mark.parametrize(
    ("message", "snapshot", "first"),
    [
        (Subscribe("s"), True, 1),
        (Subscribe("s", "e0", 30), True, 1),
        (Subscribe("s", "e1", 30, table(30).digest), False, 31),
        (Subscribe("s", "e1", 40, b"another digest.."), True, 1),
    ],
    ids=["holds nothing", "another epoch", "is behind", "another digest"],
)
def test_a_subscriber_resumes_unless_it_must_have_a_snapshot(
    message: Subscribe, snapshot: bool, first: int
) -> None:
    served = table(40)
    server = fanout(served)
    assert server.subscribe(10.0, 1, message) is None
    sent = updates(server)
    assert sent[0].snapshot is snapshot and sent[0].resources[0].revision == first
    assert sent[-1].complete and sent[-1].revision == 40 and sent[-1].digest == served.digest


def test_one_that_is_ahead_gets_heartbeats_until_the_table_has_come_past_it() -> None:
    served = table(10)
    server = fanout(served)
    server.subscribe(10.0, 1, Subscribe("s", "e1", 12))
    assert frames(server) == [Heartbeat("e1", 10, 10.0)]
    for revision in (11, 12, 13):
        served.put(Resource("route", "x", revision, b""))
    assert [one.revision for one in updates(server)[0].resources] == [13]


def test_a_slow_one_gets_the_latest_of_each_key_and_snapshots_are_encoded_once() -> None:
    served = table(40)
    server = fanout(served)
    for connection in (1, 2):
        server.subscribe(10.0, connection, Subscribe(f"s{connection}"))
        server.next_frame(10.0, connection)  # the heartbeat
    assert server.next_frame(10.0, 1) is server.next_frame(10.0, 2)
    for revision in range(41, 61):
        served.put(Resource("route", "r40", revision, b"again"))
    sent = updates(server)
    assert [one.revision for one in sent[-1].resources] == [60], (
        "19 changes between were never sent"
    )


def test_a_table_that_was_mended_at_the_same_revision_is_told_by_its_digest() -> None:
    served, right = table(10), table(10)
    served._remove("route\x00r4")
    server = fanout(served)
    server.subscribe(10.0, 1, Subscribe("s", "e1", 10, served.digest))
    assert [one.digest for one in updates(server)] == [served.digest]
    served.replace_with(right)
    assert [(one.resources, one.digest) for one in updates(server)] == [((), table(10).digest)]
    assert updates(server) == []


def test_snapshots_keep_to_their_budget_and_who_finds_it_empty_comes_again_spread_out() -> None:
    served = table(100)
    size = served.bytes
    server = fanout(
        served, FanOutLimits(chunk_bytes=400, snapshot_rate=float(size), snapshot_burst=float(size))
    )
    answers = [server.subscribe(10.0, number, Subscribe(f"s{number}")) for number in range(20)]
    later = [answer.after for answer in answers if answer is not None]
    assert (
        16 <= len(later) <= 18
        and max(later) > 10_000.0
        and len({round(one, 3) for one in later}) == len(later)
    )
    sent = sum(
        len(codec.pack(one)) for number in range(20) for one in updates(server, 10.0, number)
    )
    assert sent <= size + 800
    assert server.next_timer_at() < 1_000.0, "for the part that waits"


def test_one_more_than_the_most_goes_elsewhere_and_a_newer_connection_takes_the_place_of_its_older() -> (
    None
):
    server = fanout(table(1), FanOutLimits(max_subscribers=1))
    assert server.subscribe(0.0, 1, Subscribe("s1")) is None
    assert isinstance(server.subscribe(0.0, 2, Subscribe("s2")), RetryLater)
    assert server.subscribe(0.0, 3, Subscribe("s1")) is None
    assert [(one.connection, one.reason) for one in server.on_timer(1.0)] == [
        (1, "replaced by a newer connection")
    ]
    server.on_closed(1.0, 1)
    assert server.connections() == [3]
    with pytest.raises(UnexpectedMessageError):
        server.subscribe(1.0, 3, Subscribe("s1"))
    assert [one.connection for one in server.on_timer(20_000.0)] == [3], "silent"


def test_status_tells_who_lags_and_who_refused_also_after_it_is_gone() -> None:
    served = table(3)
    server = fanout(served)
    server.subscribe(0.0, 1, Subscribe("s1", region="east", zone="e2"))
    refused = Rejection("route", "r3", 3, "bad")
    server.on_message(5.0, 1, Acknowledge("e1", 3, b"", (refused,), 1))
    with pytest.raises(UnexpectedMessageError, match="rejections"):
        server.on_message(
            6.0, 1, Acknowledge("e1", 3, b"", (Rejection("route", "r3", 3, "x" * 1_000),), 1)
        )
    served.put(Resource("route", "r4", 4, b""))
    server.on_timer(100.0)
    server.on_closed(200.0, 1)
    (status,) = server.status(1_100.0)
    assert (status.name, status.region, status.zone, status.connected) == (
        "s1",
        "east",
        "e2",
        False,
    )
    assert (status.revision, status.behind, status.rejections, status.rejected) == (
        3,
        1_000.0,
        1,
        (refused,),
    )
    server.on_timer(4_000_000.0)
    assert server.status(4_000_000.0) == ()


# Receiving


def snapshot(served: ResourceTable, part: int = 400) -> list[Update]:
    frozen, parts = served.freeze(), []
    while not frozen.exhausted:
        parts.append(frozen.next_chunk(part))
    return parts


def test_a_snapshot_takes_effect_with_its_last_part_and_deletes_what_it_does_not_name() -> None:
    held, served = table(3), table(30, "e1")
    served.put(Resource("route", "r2", 31, None))
    one = receiving(held)
    parts = snapshot(served)
    for part in parts[:-1]:
        assert not changed(one.on_message(2.0, 1, part)) and held.revision == 3
    (batch,) = changed(one.on_message(2.0, 1, parts[-1]))
    assert held.revision == 31 and held.digest == served.digest
    assert {entry.name for entry in batch.resources if entry.body is None} == {"r2"}
    (answer,) = one.on_applied(3.0, batch.batch, [Rejection("route", "r9", 9, "bad")])
    assert isinstance(answer, Send) and isinstance(answer.message, Acknowledge)
    assert (answer.message.revision, answer.message.rejections) == (31, 1)


def test_a_digest_that_differs_makes_it_ask_anew_and_an_older_snapshot_waits_for_what_followed() -> (
    None
):
    served, held = table(12), table(10)
    held._remove("route\x00r4")
    one = receiving(held)
    actions = one.on_message(2.0, 1, served.delta_since(10, 1 << 20))
    assert changed(actions) and any(isinstance(action, Disconnect) for action in actions)
    one.on_timer(one.next_timer_at())
    (asked,) = one.on_connected(500.0, 2)
    assert (
        isinstance(asked, Send)
        and isinstance(asked.message, Subscribe)
        and asked.message.revision == 0
    )
    assert not changed(one.on_message(501.0, 2, snapshot(table(11), 1 << 20)[0]))
    assert one.table.revision == 12 and one.counts.old == 1
    (batch,) = changed(one.on_message(502.0, 2, served.delta_since(11, 1 << 20)))
    assert [entry.name for entry in batch.resources] == ["r4"] and one.table.digest == served.digest


@pytest.mark.parametrize(
    "message",
    [
        Update("e1", 12, (Resource("route", "x", 10, b""),), complete=False),
        Update(
            "e1",
            12,
            (Resource("route", "x", 12, b""), Resource("route", "y", 11, b"")),
            complete=False,
        ),
        Update("e1", 11, (Resource("route", "x", 12, b""),), complete=False),
        Update("e1", 9, (), complete=False),
        Update("e2", 12, (Resource("route", "x", 12, b""),), complete=False),
        Update("e1", 11, (Resource("route", "x", 11, bytes(MAX_BODY_BYTES + 1)),), complete=False),
        Update("e1", 11, (Resource("ro\x00ute", "x", 11, b""),), complete=False),
        Update("", 11, (), complete=False),
        Update("e1", 11, (), True, True, b"d", 12),
        Update("e1", 10, ()),
        PublishResponse("t", 3),
        Subscribe("i2"),
    ],
)
def test_what_is_out_of_order_or_too_large_ends_the_connection_and_leaves_the_table(
    message: Message,
) -> None:
    held = table(10)
    one = receiving(held)
    actions = one.on_message(2.0, 1, message)
    assert [type(action) for action in actions] == [Disconnect] and one.counts.malformed == 1
    assert held.revision == 10 and held.digest == table(10).digest
    assert one.on_message(3.0, 1, held.delta_since(10, 1)) == [], (
        "what comes of that connection later is passed over"
    )


def test_another_history_counts_only_by_the_word_of_a_fresh_server() -> None:
    one = receiving(table(10))
    one.on_message(2.0, 1, Heartbeat("e2", 3, 0.0))
    assert (
        changed(one.on_message(3.0, 1, snapshot(table(3, "e2"), 1 << 20)[0]))
        and one.table.epoch == "e2"
    )
    assert (
        not changed(one.on_message(4.0, 1, snapshot(table(12), 1 << 20)[0]))
        and one.table.epoch == "e2"
    ), "it was left"
    other = subscriber(table(10))
    other.on_timer(0.0)
    other.on_connected(1.0, 1)
    assert (
        not changed(other.on_message(3.0, 1, snapshot(table(3, "e2"), 1 << 20)[0]))
        and other.table.epoch == "e1"
    )


@pytest.mark.parametrize("after", [float("nan"), float("inf"), -1.0, 1e9])
def test_no_answer_of_a_server_makes_it_wait_for_longer_than_its_own_bound(after: float) -> None:
    one = receiving()
    one.on_message(2.0, 1, RetryLater(after, "full"))
    assert one.server == "" and one.next_timer_at() == 2.0 + SubscriberTimes().retry_after_max
    one.on_message(3.0, 1, Heartbeat("e1", 0, float("nan")))
    assert any(isinstance(action, Connect) for action in one.on_timer(one.next_timer_at()))


def test_silence_and_a_missing_answer_are_noticed_and_the_next_server_is_taken() -> None:
    one = receiving()
    first = one.server
    assert one.next_timer_at() <= 2_501.0
    now = 1.0
    while one.server == first:
        now = one.next_timer_at()
        one.on_timer(now)
    assert now == 2_501.0 and one.counts.silences == 1
    (connect,) = one.on_timer(one.next_timer_at())
    assert isinstance(connect, Connect) and connect.server != first
    began = one.next_timer_at() - SubscriberTimes().connect_timeout
    assert began <= now + SubscriberTimes().backoff_initial
    one.on_timer(one.next_timer_at())
    assert one.server == "" and one.counts.failures == 2


def test_a_stale_server_is_left_for_a_fresh_one_without_flapping_where_all_are() -> None:
    one = receiving()
    now, last = 10.0, 1
    for _ in range(600):  # ten minutes, each second
        now += 1_000.0
        for action in [
            *one.on_message(now, last, Heartbeat("e1", 0, 60_000.0)),
            *one.on_timer(now),
        ]:
            if isinstance(action, Connect):
                last = action.connection
                one.on_connected(now, last)
    assert 2 + 10 <= one.counts.connections <= 2 + 45
    one.on_message(now, last, Heartbeat("", 0, 0.0))
    assert one.age(now + 5.0) == 5.0


def test_servers_are_spread_evenly_and_the_nearer_ones_come_first() -> None:
    servers = [CandidateServer(f"d{number}", number % 2) for number in range(10)]
    firsts = [ServerSelector(f"i{number}", servers).select(0.0) for number in range(1_000)]
    counts = {name: firsts.count(name) for name in set(firsts)}
    assert set(counts) == {"d0", "d2", "d4", "d6", "d8"} and max(counts.values()) < 1.35 * min(
        counts.values()
    )
    choice = ServerSelector("i1", servers)
    first = choice.select(0.0)
    choice.penalize(first, 50.0)
    assert choice.select(0.0) != first == choice.select(50.0) and choice.is_preferred(first)


def test_messages_of_a_state_are_read_as_they_were_written() -> None:
    update = snapshot(table(3), 1 << 20)[0]
    frame = codec.pack(update, b"key")
    assert codec.unpack(frame[: FRAME_HEADER.size], frame[FRAME_HEADER.size :], b"key") == update
    assert msgspec.structs.replace(update, horizon=2) != update
