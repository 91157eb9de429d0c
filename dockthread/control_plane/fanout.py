"""Serves one table to many subscribers. Keeps one cursor per subscriber, no queues; does no I/O.

Theory of operation. The caller reports each message that arrives on a connection, and calls
`next_frame` whenever that connection is writable. The frame is built from the current table, so a
slow subscriber gets only the latest version of each resource, and no frames are queued for it in
memory. A returned frame counts as sent. If the connection breaks before the frame is delivered, its
cursor is discarded with it; when the subscriber reconnects, it reports the revision that it holds.

| state of the subscriber | frames sent to it |
| --- | --- |
| no table (revision 0), another epoch, or a revision before the table's horizon | a snapshot in chunks, then deltas |
| the table's revision with another digest | a snapshot |
| an older revision | deltas |
| a newer revision than the table | heartbeats, until the table is newer; then deltas |

Each frame is encoded once. The chunks of a snapshot are sent to all subscribers that need one, until
the table is too far ahead of the snapshot. The delta that follows a revision is reused until the
table changes. `admission` bounds the cost of the snapshots when many subscribers restart at once.
All times are in ms.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

from dockthread.control_plane.admission import SnapshotBudget, SnapshotBudgetLimits
from dockthread.control_plane.encoded import EncodedFrameCache, EncodedSnapshot
from dockthread.control_plane.lag import LagTracker
from dockthread.control_plane.messages import (
    AGE_UNKNOWN,
    MAX_NAME_BYTES,
    MAX_REASON_CHARACTERS,
    MAX_REJECTIONS,
    NO_DIGEST,
    Acknowledge,
    Heartbeat,
    Rejection,
    RetryLater,
    Subscribe,
    SubscriberStatus,
    codec,
)
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.subscriber_records import DisconnectedSubscribers, SubscriberRecord
from dockthread.errors import DockthreadError

NEVER_SENT: Final = -1e18
"""Value of `heartbeat_at` before the first heartbeat, in ms: a heartbeat is due immediately."""
AT_CAPACITY_RETRY_DELAY: Final = 500.0
"""Mean retry delay in ms of a subscriber refused for lack of capacity; jitter is ±50 %."""
SNAPSHOT_RETENTION: Final = 60_000.0
"""Time in ms for which the encoded snapshot is kept after its last use."""
HEARTBEAT_TOLERANCE: Final = 1.0
"""Time in ms by which a heartbeat may be sent early."""


@dataclass(frozen=True, slots=True)
class FanOutLimits:
    """Limits of a fan-out. Times are in ms.

    Attributes:
        max_subscribers: Maximum number of concurrent subscribers.
        snapshot_rate: Long-term rate at which snapshots are sent, in bytes per second.
        snapshot_burst: Bytes of snapshots that can be sent in one burst.
        chunk_bytes: Bytes of resources in one frame.
        heartbeat_interval: Interval between heartbeats to a subscriber.
        silence_timeout: Time after which the connection of a silent subscriber is closed.
        status_retention: Time for which the status of a disconnected subscriber is kept.
        retry_after_min: Shortest retry delay for a subscriber that was refused a snapshot.
        retry_after_max: Longest retry delay for a subscriber that was refused a snapshot.
    """

    max_subscribers: int = 400
    snapshot_rate: float = 20e6
    snapshot_burst: float = 40e6
    chunk_bytes: int = 256 << 10
    heartbeat_interval: float = 1_000.0
    silence_timeout: float = 10_000.0
    status_retention: float = 3_600_000.0
    retry_after_min: float = 250.0
    retry_after_max: float = 60_000.0


class UnexpectedMessageError(DockthreadError):
    """A message is invalid or unexpected at this point; the caller closes the connection."""


@dataclass(frozen=True, slots=True)
class OverdueConnection:
    """A connection that the caller must close; it then calls `on_closed`."""

    connection: int
    reason: str


@dataclass(slots=True)
class _Cursor:
    """Position of one connection in the table: which frames were returned for it.

    Attributes:
        record: Status of the subscriber.
        last_received_at: When the last message arrived on the connection.
        epoch: Epoch of the table that the subscriber holds.
        revision: Revision that the subscriber holds once it has received all returned frames.
        snapshot: Snapshot that is being sent; None between snapshots.
        needs_snapshot: Whether the next update must be a snapshot.
        next_chunk: Number of the next chunk of `snapshot`.
        last_sent_digest: Digest in the last returned update; `NO_DIGEST` if it had none.
        pending_bytes: Bytes of an admitted snapshot that are not yet sent.
        heartbeat_at: When the last heartbeat was returned.
        is_replaced: Whether the same subscriber has opened a newer connection.
    """

    record: SubscriberRecord
    last_received_at: float
    epoch: str
    revision: int
    snapshot: EncodedSnapshot | None = None
    needs_snapshot: bool = False
    next_chunk: int = 0
    last_sent_digest: bytes = NO_DIGEST
    pending_bytes: float = 0.0
    heartbeat_at: float = NEVER_SENT
    is_replaced: bool = False


class FanOut:
    """Serves `table`, which its owner changes, to subscribers identified by connection numbers.

    `key` is the secret that authenticates the frames.
    """

    def __init__(
        self,
        table: ResourceTable,
        limits: FanOutLimits,
        rng: random.Random,
        key: bytes = b"",
        now: float = 0.0,
    ) -> None:
        self.table = table
        self._limits = limits
        self._rng = rng
        self._key = key
        self._cursors: dict[int, _Cursor] = {}  # by connection number
        self._connection_by_name: dict[str, int] = {}  # by subscriber name
        self._disconnected = DisconnectedSubscribers()
        self._frames = EncodedFrameCache(table, limits.chunk_bytes, key)
        self._snapshot_used_at = now
        self._budget = SnapshotBudget(
            SnapshotBudgetLimits(
                limits.snapshot_rate,
                limits.snapshot_burst,
                limits.retry_after_min,
                limits.retry_after_max,
            ),
            rng,
        )
        self._lag = LagTracker(now, table)
        self._complete_at: float | None = None  # when the table was last known to be complete
        self._next_heartbeat_at = now + limits.heartbeat_interval
        self._is_waiting_for_budget = False  # a chunk is waiting for the budget

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """Handle the first message of a connection.

        Returns:
            None if the subscriber is admitted. Otherwise the message that the caller sends before
            it closes the connection; the connection is then not registered here.

        Raises:
            UnexpectedMessageError: The connection has already subscribed, or the message is
                invalid.
        """
        if connection in self._cursors:
            raise UnexpectedMessageError("the connection has already subscribed")
        _check_subscription(message)
        self._lag.observe(now, self.table)
        if self._is_at_capacity(message.name):
            retry_delay = AT_CAPACITY_RETRY_DELAY * self._rng.uniform(0.5, 1.5)
            return RetryLater(retry_delay, "no room for one more subscriber")
        cursor = _Cursor(SubscriberRecord(message, now), now, message.epoch, message.revision)
        if self._needs_snapshot(cursor, message.digest):
            if not self._budget.admit(now, self.table.size_bytes):
                retry_delay = self._budget.retry_after(now, self.table.size_bytes)
                return RetryLater(retry_delay, "no budget for one more snapshot")
            cursor.needs_snapshot = True
            cursor.pending_bytes = float(self.table.size_bytes)
        self._replace_connection(message.name, connection)
        self._cursors[connection] = cursor
        self._disconnected.discard(message.name)
        return None

    def on_message(self, now: float, connection: int, message: Acknowledge | Heartbeat) -> None:
        """Handle a message after the first one of a connection.

        Raises:
            UnexpectedMessageError: The connection has not subscribed, or the message is invalid.
        """
        cursor = self._cursors.get(connection)
        if cursor is None:
            raise UnexpectedMessageError("the connection has not subscribed")
        cursor.last_received_at = now
        if isinstance(message, Acknowledge):
            _check_rejections(message)
            cursor.record.acknowledge(now, message)

    def next_frame(self, now: float, connection: int) -> bytes | None:
        """Return the next frame for a writable connection, or None if there is nothing to send.

        The caller repeats the call until it returns None, and calls again when the table has
        changed and after `on_timer`. The result for an unknown connection is None.
        """
        cursor = self._cursors.get(connection)
        if cursor is None or cursor.is_replaced:
            return None
        self._lag.observe(now, self.table)
        # The first heartbeat is sent before any update because it reports the table's age.
        since_heartbeat = now - cursor.heartbeat_at
        if since_heartbeat >= 2 * self._limits.heartbeat_interval:
            return self._heartbeat(now, cursor)
        frame = self._update(now, cursor)
        since_heartbeat = now - cursor.heartbeat_at  # reset by the end of a snapshot
        if (
            frame is None
            and since_heartbeat >= self._limits.heartbeat_interval - HEARTBEAT_TOLERANCE
        ):
            return self._heartbeat(now, cursor)
        return frame

    def on_closed(self, now: float, connection: int) -> None:
        """Forget a connection that either side has closed; an unknown connection is ignored."""
        cursor = self._cursors.pop(connection, None)
        if cursor is None:
            return
        self._budget.release(cursor.pending_bytes)
        name = cursor.record.subscription.name
        if self._connection_by_name.get(name) == connection:
            del self._connection_by_name[name]
            cursor.record.updated_at = now
            self._disconnected.add(cursor.record)

    def set_table_age(self, now: float, age: float) -> None:
        """Record the age of the table: for how long it may have been missing a change.

        `AGE_UNKNOWN` means that the age is not known. Heartbeats report the age. On a follower it
        is the time since the last message from the leader; on the leader, the time since it last
        heard from a majority; on a distributor, `Subscriber.age`.
        """
        self._complete_at = now - age if age >= 0.0 else None

    def on_timer(self, now: float) -> list[OverdueConnection]:
        """Return the connections that the caller must close.

        The caller then calls `next_frame` for every writable connection.
        """
        self._lag.observe(now, self.table)
        self._is_waiting_for_budget = False  # `next_frame` sets it again
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self._limits.heartbeat_interval
        if now - self._snapshot_used_at > SNAPSHOT_RETENTION:
            self._frames.drop_snapshot()
        self._disconnected.forget_before(now, self._limits.status_retention)
        overdue = [
            OverdueConnection(number, "replaced by a newer connection")
            for number, cursor in self._cursors.items()
            if cursor.is_replaced
        ]
        for number, cursor in self._cursors.items():
            silence = now - cursor.last_received_at
            if not cursor.is_replaced and silence > self._limits.silence_timeout:
                overdue.append(OverdueConnection(number, "silent for too long"))
        return overdue

    def next_timer_at(self) -> float:
        """Return when `on_timer` is due: for heartbeats, or for a chunk waiting for the budget."""
        if self._is_waiting_for_budget:
            return min(self._next_heartbeat_at, self._budget.can_send_at())
        return self._next_heartbeat_at

    def connections(self) -> list[int]:
        """Return the numbers of the subscribed connections."""
        return list(self._cursors)

    def status(self, now: float) -> tuple[SubscriberStatus, ...]:
        """Return all connected and recently disconnected subscribers, sorted by name."""
        self._lag.observe(now, self.table)
        connected = {
            cursor.record.subscription.name: cursor.record
            for cursor in self._cursors.values()
            if not cursor.is_replaced
        }
        records = {**self._disconnected.by_name(), **connected}
        return tuple(
            records[name].status(now, self.table.epoch, self._lag, name in connected)
            for name in sorted(records)
        )

    def _is_at_capacity(self, name: str) -> bool:
        """Return whether a new subscriber must be refused; a connected one may always reconnect."""
        is_full = len(self._connection_by_name) >= self._limits.max_subscribers
        return is_full and name not in self._connection_by_name

    def _replace_connection(self, name: str, connection: int) -> None:
        """Serve only the newest connection of a subscriber; `on_timer` closes the older one."""
        previous = self._connection_by_name.get(name)
        if previous is not None:
            self._cursors[previous].is_replaced = True
        self._connection_by_name[name] = connection

    def _needs_snapshot(self, cursor: _Cursor, digest: bytes) -> bool:
        """Return whether a subscriber needs a snapshot, as deltas cannot bring it up to date."""
        table = self.table
        if not table.revision:
            return False  # the table is empty
        if cursor.epoch != table.epoch or cursor.revision < max(table.horizon, 1):
            return True
        is_same_revision = cursor.revision == table.revision and table.is_complete
        return is_same_revision and bool(digest) and digest != table.digest

    def _update(self, now: float, cursor: _Cursor) -> bytes | None:
        if cursor.snapshot is not None:
            return self._snapshot_chunk(now, cursor, cursor.snapshot)
        cursor.needs_snapshot = cursor.needs_snapshot or self._needs_snapshot(cursor, NO_DIGEST)
        if cursor.needs_snapshot:
            return self._begin_snapshot(now, cursor)
        return self._delta(cursor)

    def _begin_snapshot(self, now: float, cursor: _Cursor) -> bytes | None:
        """Return the first chunk of a snapshot.

        A connected subscriber that needs a snapshot because the epoch changed or because it was
        too slow has not passed admission. It gets the snapshot anyway; the chunks are charged to
        the same budget.
        """
        if not self.table.is_complete:
            return None
        cursor.snapshot = self._frames.snapshot()
        cursor.next_chunk = 0
        cursor.needs_snapshot = False
        return self._snapshot_chunk(now, cursor, cursor.snapshot)

    def _snapshot_chunk(
        self, now: float, cursor: _Cursor, snapshot: EncodedSnapshot
    ) -> bytes | None:
        if not self._budget.can_send(now):
            self._is_waiting_for_budget = True
            return None
        self._snapshot_used_at = now
        frame = snapshot.frame(cursor.next_chunk)
        if frame is None:
            self._end_snapshot(cursor, snapshot)
            return self._update(now, cursor)
        self._budget.spend(len(frame))
        released = min(float(len(frame)), cursor.pending_bytes)
        self._budget.release(released)
        cursor.pending_bytes -= released
        cursor.next_chunk += 1
        return frame

    def _end_snapshot(self, cursor: _Cursor, snapshot: EncodedSnapshot) -> None:
        self._budget.release(cursor.pending_bytes)
        cursor.pending_bytes = 0.0
        cursor.snapshot = None
        cursor.epoch = snapshot.epoch
        cursor.revision = snapshot.revision
        cursor.last_sent_digest = snapshot.digest
        cursor.heartbeat_at = NEVER_SENT  # makes a heartbeat with the current age due

    def _delta(self, cursor: _Cursor) -> bytes | None:
        table = self.table
        if cursor.epoch != table.epoch or not table.can_resume_from(cursor.revision):
            return None  # the table is empty, or the subscriber is ahead of it
        if cursor.revision == table.revision:
            is_digest_sent = cursor.last_sent_digest == table.digest
            if is_digest_sent or not table.is_complete:
                return None
        delta = self._frames.delta(cursor.revision)
        cursor.revision = delta.revision
        cursor.last_sent_digest = delta.digest
        return delta.frame

    def _heartbeat(self, now: float, cursor: _Cursor) -> bytes:
        cursor.heartbeat_at = now
        age = AGE_UNKNOWN if self._complete_at is None else max(0.0, now - self._complete_at)
        return codec.pack(Heartbeat(self.table.epoch, self.table.revision, age), self._key)


def _check_subscription(message: Subscribe) -> None:
    """Raise UnexpectedMessageError if the name is empty, or the name or location too long."""
    is_valid_name = 0 < len(message.name.encode()) <= MAX_NAME_BYTES
    if not is_valid_name or len(message.region + message.zone) > 2 * MAX_NAME_BYTES:
        raise UnexpectedMessageError(
            "the subscriber's name is empty, or its name or location is too long"
        )


def _check_rejections(message: Acknowledge) -> None:
    """Raise UnexpectedMessageError if there are too many rejections, or one is too long."""
    if len(message.rejected) > MAX_REJECTIONS or any(map(_is_too_long, message.rejected)):
        raise UnexpectedMessageError(
            "the acknowledgement has too many rejections, or one that is too long"
        )


def _is_too_long(rejection: Rejection) -> bool:
    longest_field = max(len(rejection.kind), len(rejection.name))
    return longest_field > MAX_NAME_BYTES or len(rejection.reason) > MAX_REASON_CHARACTERS
