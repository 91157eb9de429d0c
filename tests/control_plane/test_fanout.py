"""Tests the fan-out of one table to many subscribers."""

from __future__ import annotations

import pytest

from dockthread.control_plane.fanout import FanOutLimits, UnexpectedMessageError
from dockthread.control_plane.messages import (
    Acknowledge,
    Heartbeat,
    Rejection,
    Resource,
    RetryLater,
    Subscribe,
    codec,
)
from tests.control_plane.builders import make_fan_out, make_table, sent_messages, sent_updates


@pytest.mark.parametrize(
    ("message", "has_snapshot", "first_revision"),
    [
        (Subscribe("s"), True, 1),
        (Subscribe("s", "e0", 30), True, 1),
        (Subscribe("s", "e1", 30, make_table(30).digest), False, 31),
        (Subscribe("s", "e1", 40, b"another digest.."), True, 1),
    ],
    ids=["no table", "another epoch", "older revision", "another digest"],
)
def test_subscriber_gets_deltas_if_it_can_resume_and_a_snapshot_otherwise(
    message: Subscribe, has_snapshot: bool, first_revision: int
) -> None:
    table = make_table(40)
    fan_out = make_fan_out(table)
    assert fan_out.subscribe(10.0, 1, message) is None
    sent = sent_updates(fan_out)
    assert sent[0].snapshot is has_snapshot and sent[0].resources[0].revision == first_revision
    assert sent[-1].complete and sent[-1].revision == 40 and sent[-1].digest == table.digest


def test_subscriber_ahead_of_the_table_gets_heartbeats_until_the_table_is_newer() -> None:
    table = make_table(10)
    fan_out = make_fan_out(table)
    fan_out.subscribe(10.0, 1, Subscribe("s", "e1", 12))
    assert sent_messages(fan_out) == [Heartbeat("e1", 10, 10.0)]
    for revision in (11, 12, 13):
        table.put(Resource("route", "x", revision, b""))
    assert [entry.revision for entry in sent_updates(fan_out)[0].resources] == [13]


def test_slow_subscriber_gets_only_latest_versions_and_snapshots_are_encoded_once() -> None:
    table = make_table(40)
    fan_out = make_fan_out(table)
    for connection in (1, 2):
        fan_out.subscribe(10.0, connection, Subscribe(f"s{connection}"))
        fan_out.next_frame(10.0, connection)  # skip the heartbeat
    assert fan_out.next_frame(10.0, 1) is fan_out.next_frame(10.0, 2)
    for revision in range(41, 61):
        table.put(Resource("route", "r40", revision, b"again"))
    sent = sent_updates(fan_out)
    assert [entry.revision for entry in sent[-1].resources] == [60], (
        "the 19 earlier versions of r40 must not be sent"
    )


def test_new_digest_is_sent_when_the_table_is_replaced_at_the_same_revision() -> None:
    table, repaired_table = make_table(10), make_table(10)
    table._remove("route\x00r4")
    fan_out = make_fan_out(table)
    fan_out.subscribe(10.0, 1, Subscribe("s", "e1", 10, table.digest))
    assert [entry.digest for entry in sent_updates(fan_out)] == [table.digest]
    table.replace_with(repaired_table)
    assert [(entry.resources, entry.digest) for entry in sent_updates(fan_out)] == [
        ((), make_table(10).digest)
    ]
    assert sent_updates(fan_out) == []


def test_snapshots_stay_within_the_budget_and_refused_subscribers_retry_at_different_times() -> (
    None
):
    table = make_table(100)
    size = table.size_bytes
    fan_out = make_fan_out(
        table, FanOutLimits(chunk_bytes=400, snapshot_rate=float(size), snapshot_burst=float(size))
    )
    responses = [fan_out.subscribe(10.0, number, Subscribe(f"s{number}")) for number in range(20)]
    retry_times = [response.after for response in responses if response is not None]
    assert (
        16 <= len(retry_times) <= 18
        and max(retry_times) > 10_000.0
        and len({round(retry_time, 3) for retry_time in retry_times}) == len(retry_times)
    )
    sent = sum(
        len(codec.pack(entry))
        for number in range(20)
        for entry in sent_updates(fan_out, 10.0, number)
    )
    assert sent <= size + 800
    assert fan_out.next_timer_at() < 1_000.0, (
        "the timer must be due when the waiting chunk can be sent"
    )


def test_subscriber_beyond_the_limit_is_refused_and_a_newer_connection_replaces_the_older() -> None:
    fan_out = make_fan_out(make_table(1), FanOutLimits(max_subscribers=1))
    assert fan_out.subscribe(0.0, 1, Subscribe("s1")) is None
    assert isinstance(fan_out.subscribe(0.0, 2, Subscribe("s2")), RetryLater)
    assert fan_out.subscribe(0.0, 3, Subscribe("s1")) is None
    assert [(entry.connection, entry.reason) for entry in fan_out.on_timer(1.0)] == [
        (1, "replaced by a newer connection")
    ]
    fan_out.on_closed(1.0, 1)
    assert fan_out.connections() == [3]
    with pytest.raises(UnexpectedMessageError):
        fan_out.subscribe(1.0, 3, Subscribe("s1"))
    assert [entry.connection for entry in fan_out.on_timer(20_000.0)] == [3], (
        "the silent connection must be closed"
    )


def test_status_shows_lag_and_rejections_after_the_subscriber_disconnects() -> None:
    table = make_table(3)
    fan_out = make_fan_out(table)
    fan_out.subscribe(0.0, 1, Subscribe("s1", region="east", zone="e2"))
    rejection = Rejection("route", "r3", 3, "bad")
    fan_out.on_message(5.0, 1, Acknowledge("e1", 3, b"", (rejection,), 1))
    with pytest.raises(UnexpectedMessageError, match="rejections"):
        fan_out.on_message(
            6.0, 1, Acknowledge("e1", 3, b"", (Rejection("route", "r3", 3, "x" * 1_000),), 1)
        )
    table.put(Resource("route", "r4", 4, b""))
    fan_out.on_timer(100.0)
    fan_out.on_closed(200.0, 1)
    (status,) = fan_out.status(1_100.0)
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
        (rejection,),
    )
    fan_out.on_timer(4_000_000.0)
    assert fan_out.status(4_000_000.0) == ()
