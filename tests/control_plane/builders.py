"""Tables, fan-outs and subscribers for the tests of the control plane."""

from __future__ import annotations

import random
from collections.abc import Sequence

from dockthread.control_plane.fanout import FanOut, FanOutLimits
from dockthread.control_plane.messages import Heartbeat, Message, Resource, Update, codec
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.server_selection import CandidateServer
from dockthread.control_plane.subscriber import Subscriber
from dockthread.control_plane.subscriber_actions import Connect, ResourcesChanged
from dockthread.control_plane.subscriber_settings import SubscriberSettings
from dockthread.framing import FRAME_HEADER

LIMITS = FanOutLimits(chunk_bytes=400)
UNLIMITED = 1 << 20  # bytes: larger than any table in these tests


def make_table(count: int = 0, epoch: str = "e1", max_tombstones: int = 100) -> ResourceTable:
    """Return a table of `count` routes: r1 at revision 1, r2 at revision 2 and so on."""
    table = ResourceTable(epoch, max_tombstones)
    for number in range(1, count + 1):
        table.put(Resource("route", f"r{number}", number, b"body %d" % number))
    return table


def make_fan_out(table: ResourceTable, limits: FanOutLimits = LIMITS) -> FanOut:
    """Return a fan-out whose table was known to be complete at time 0."""
    fan_out = FanOut(table, limits, random.Random(1))
    fan_out.set_table_age(0.0, 0.0)
    return fan_out


def sent_messages(fan_out: FanOut, now: float = 10.0, connection: int = 1) -> list[Message]:
    """Return all messages that a connection is sent at time `now`."""
    messages = []
    while (frame := fan_out.next_frame(now, connection)) is not None:
        messages.append(codec.unpack(frame[: FRAME_HEADER.size], frame[FRAME_HEADER.size :]))
    return messages


def sent_updates(fan_out: FanOut, now: float = 10.0, connection: int = 1) -> list[Update]:
    """Return the updates among the messages that a connection is sent at time `now`."""
    messages = sent_messages(fan_out, now, connection)
    return [message for message in messages if isinstance(message, Update)]


def make_subscriber(
    table: ResourceTable | None = None, servers: Sequence[str] = ("a", "b", "c")
) -> Subscriber:
    """Return a subscriber that is not connected."""
    candidates = [CandidateServer(name) for name in servers]
    return Subscriber(SubscriberSettings("i1"), candidates, random.Random(1), 0.0, table)


def make_receiving_subscriber(
    table: ResourceTable | None = None, servers: Sequence[str] = ("a", "b", "c")
) -> Subscriber:
    """Return a subscriber on connection 1, whose server reported a current table at 1 ms."""
    subscriber = make_subscriber(table, servers)
    assert any(isinstance(action, Connect) for action in subscriber.on_timer(0.0))
    subscriber.on_connected(1.0, 1)
    subscriber.on_message(1.0, 1, Heartbeat("e1", 0, 0.0))
    return subscriber


def changes_of(actions: Sequence[object]) -> list[ResourcesChanged]:
    """Return the `ResourcesChanged` actions."""
    return [action for action in actions if isinstance(action, ResourcesChanged)]


def snapshot_of(table: ResourceTable, chunk_bytes: int = LIMITS.chunk_bytes) -> list[Update]:
    """Return the chunks of a snapshot of `table`."""
    frozen = table.freeze()
    chunks = []
    while not frozen.exhausted:
        chunks.append(frozen.next_chunk(chunk_bytes))
    return chunks
