"""Tests how a subscriber handles updates, and servers that are faulty, silent or stale."""

from __future__ import annotations

import pytest

from dockthread.control_plane.messages import (
    MAX_BODY_BYTES,
    Acknowledge,
    Heartbeat,
    Message,
    PublishResponse,
    Rejection,
    Resource,
    RetryLater,
    Subscribe,
    Update,
)
from dockthread.control_plane.subscriber_actions import Connect, Disconnect, Send
from dockthread.control_plane.subscriber_settings import SubscriberTimes
from tests.control_plane.builders import (
    UNLIMITED,
    changes_of,
    make_receiving_subscriber,
    make_subscriber,
    make_table,
    snapshot_of,
)


def test_snapshot_takes_effect_with_its_last_chunk_and_deletes_resources_that_it_omits() -> None:
    table, server_table = make_table(3), make_table(30, "e1")
    server_table.put(Resource("route", "r2", 31, None))
    subscriber = make_receiving_subscriber(table)
    chunks = snapshot_of(server_table)
    for chunk in chunks[:-1]:
        assert not changes_of(subscriber.on_message(2.0, 1, chunk)) and table.revision == 3
    (batch,) = changes_of(subscriber.on_message(2.0, 1, chunks[-1]))
    assert table.revision == 31 and table.digest == server_table.digest
    assert {entry.name for entry in batch.resources if entry.body is None} == {"r2"}
    (acknowledgement,) = subscriber.on_applied(
        3.0, batch.batch, [Rejection("route", "r9", 9, "bad")]
    )
    assert isinstance(acknowledgement, Send) and isinstance(acknowledgement.message, Acknowledge)
    assert (acknowledgement.message.revision, acknowledgement.message.rejections) == (31, 1)


def test_digest_mismatch_requests_a_snapshot_and_an_older_one_is_staged_until_it_catches_up() -> (
    None
):
    server_table, table = make_table(12), make_table(10)
    table._remove("route\x00r4")
    subscriber = make_receiving_subscriber(table)
    actions = subscriber.on_message(2.0, 1, server_table.delta_since(10, UNLIMITED))
    assert changes_of(actions) and any(isinstance(action, Disconnect) for action in actions)
    subscriber.on_timer(subscriber.next_timer_at())
    (request,) = subscriber.on_connected(500.0, 2)
    assert (
        isinstance(request, Send)
        and isinstance(request.message, Subscribe)
        and request.message.revision == 0
    )
    assert not changes_of(
        subscriber.on_message(501.0, 2, snapshot_of(make_table(11), UNLIMITED)[0])
    )
    assert subscriber.table.revision == 12 and subscriber.counts.outdated_snapshots == 1
    (batch,) = changes_of(subscriber.on_message(502.0, 2, server_table.delta_since(11, UNLIMITED)))
    assert [entry.name for entry in batch.resources] == [
        "r4"
    ] and subscriber.table.digest == server_table.digest


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
def test_invalid_message_closes_the_connection_and_leaves_the_table_unchanged(
    message: Message,
) -> None:
    table = make_table(10)
    subscriber = make_receiving_subscriber(table)
    actions = subscriber.on_message(2.0, 1, message)
    assert [type(action) for action in actions] == [Disconnect] and subscriber.counts.malformed == 1
    assert table.revision == 10 and table.digest == make_table(10).digest
    assert subscriber.on_message(3.0, 1, table.delta_since(10, 1)) == [], (
        "later messages of that connection must be ignored"
    )


def test_another_epoch_is_accepted_only_from_a_server_known_not_to_be_stale() -> None:
    subscriber = make_receiving_subscriber(make_table(10))
    subscriber.on_message(2.0, 1, Heartbeat("e2", 3, 0.0))
    assert (
        changes_of(subscriber.on_message(3.0, 1, snapshot_of(make_table(3, "e2"), UNLIMITED)[0]))
        and subscriber.table.epoch == "e2"
    )
    assert (
        not changes_of(subscriber.on_message(4.0, 1, snapshot_of(make_table(12), UNLIMITED)[0]))
        and subscriber.table.epoch == "e2"
    ), "a replaced epoch must not return"
    unconfirmed = make_subscriber(make_table(10))
    unconfirmed.on_timer(0.0)
    unconfirmed.on_connected(1.0, 1)
    assert (
        not changes_of(
            unconfirmed.on_message(3.0, 1, snapshot_of(make_table(3, "e2"), UNLIMITED)[0])
        )
        and unconfirmed.table.epoch == "e1"
    )


@pytest.mark.parametrize("after", [float("nan"), float("inf"), -1.0, 1e9])
def test_retry_delay_requested_by_a_server_is_bounded(after: float) -> None:
    subscriber = make_receiving_subscriber()
    subscriber.on_message(2.0, 1, RetryLater(after, "full"))
    assert (
        subscriber.server == ""
        and subscriber.next_timer_at() == 2.0 + SubscriberTimes().retry_after_max
    )
    subscriber.on_message(3.0, 1, Heartbeat("e1", 0, float("nan")))
    assert any(
        isinstance(action, Connect) for action in subscriber.on_timer(subscriber.next_timer_at())
    )


def test_subscriber_leaves_a_silent_or_unresponsive_server() -> None:
    subscriber = make_receiving_subscriber()
    first = subscriber.server
    assert subscriber.next_timer_at() <= 2_501.0
    now = 1.0
    while subscriber.server == first:
        now = subscriber.next_timer_at()
        subscriber.on_timer(now)
    assert now == 2_501.0 and subscriber.counts.silences == 1
    (connect,) = subscriber.on_timer(subscriber.next_timer_at())
    assert isinstance(connect, Connect) and connect.server != first
    connected_at = subscriber.next_timer_at() - SubscriberTimes().connect_timeout
    assert connected_at <= now + SubscriberTimes().backoff_initial
    subscriber.on_timer(subscriber.next_timer_at())
    assert subscriber.server == "" and subscriber.counts.failures == 2


def test_subscriber_does_not_flap_when_all_servers_are_stale() -> None:
    subscriber = make_receiving_subscriber()
    now, connection = 10.0, 1
    for _ in range(600):  # ten minutes, one iteration per second
        now += 1_000.0
        for action in [
            *subscriber.on_message(now, connection, Heartbeat("e1", 0, 60_000.0)),
            *subscriber.on_timer(now),
        ]:
            if isinstance(action, Connect):
                connection = action.connection
                subscriber.on_connected(now, connection)
    assert 2 + 10 <= subscriber.counts.connections <= 2 + 45
    subscriber.on_message(now, connection, Heartbeat("", 0, 0.0))
    assert subscriber.age(now + 5.0) == 5.0
