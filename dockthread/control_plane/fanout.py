"""Serves one table to many subscribers with a cursor for each and no queues, without I/O.

Theory of operation. The caller reports what arrives on a connection, and asks for `next_frame`
whenever that connection can be written to. The frame is made from the table as it is then, so a
slow subscriber is sent the latest of each key and nothing waits for it in memory. A frame that was
returned counts as sent: if the connection breaks instead, its cursor goes with it, and the
subscriber names the table that it holds on its next connection.

| what a subscriber holds | what it is sent |
| --- | --- |
| nothing (revision 0), another epoch, or a revision before the table's horizon | a snapshot in chunks, then deltas |
| the table's revision with another digest | a snapshot |
| an older revision | deltas |
| a newer revision than the table | heartbeats, until the table has passed it |

Frames are encoded once: the chunks of a snapshot are sent to all who need one until the table is
too far ahead of it, and the delta that follows a revision is reused until the table changes. What
the snapshots of a wave of restarts cost is bounded by `admission`. All times are in ms.
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
from dockthread.control_plane.subscriber_records import DepartedSubscribers, SubscriberRecord
from dockthread.errors import DockthreadError

NEVER_SENT: Final = -1e18
"""Time in ms of a heartbeat that was never sent: the next one is due at once."""
AT_CAPACITY_RETRY: Final = 500.0
"""Time in ms, give or take half, after which a subscriber retries that found no capacity."""
SNAPSHOT_RETENTION: Final = 60_000.0
"""Time in ms for which the encoded snapshot is kept after its last use."""
HEARTBEAT_TOLERANCE: Final = 1.0
"""Time in ms by which a heartbeat may leave early."""


@dataclass(frozen=True, slots=True)
class FanOutLimits:
    """Limits of a fan-out. Times are in ms.

    Attributes:
        max_subscribers: Subscribers served at once.
        snapshot_rate: Bytes of snapshots a second, over time.
        snapshot_burst: Bytes of snapshots at once.
        chunk_bytes: Bytes of resources in one frame.
        heartbeat_interval: Between heartbeats to a subscriber.
        silence_timeout: After which a silent subscriber is closed.
        status_retention: For which the status of a subscriber is remembered after it left.
        retry_after_min: Least time after which a subscriber retries that got no snapshot.
        retry_after_max: Longest such time.
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
    """A subscriber sent what it must not send there; the caller closes its connection."""


@dataclass(frozen=True, slots=True)
class OverdueConnection:
    """A connection that the caller has to close, followed by `on_closed`."""

    connection: int
    reason: str


@dataclass(slots=True)
class _Cursor:
    """What was returned for one connection.

    Attributes:
        record: The subscriber.
        last_received_at: When something last arrived on the connection.
        epoch: History that the subscriber holds.
        revision: Revision that it holds.
        snapshot: Snapshot that is under way.
        needs_snapshot: Whether a snapshot has to begin.
        next_chunk: Number of the next chunk of `snapshot`.
        confirmed: Digest that it was last sent, where nothing was returned since.
        owed: Bytes of an admitted snapshot that were not yet sent.
        heartbeat_at: When its last heartbeat was returned.
        is_replaced: Whether a newer connection of the same subscriber took its place.
    """

    record: SubscriberRecord
    last_received_at: float
    epoch: str
    revision: int
    snapshot: EncodedSnapshot | None = None
    needs_snapshot: bool = False
    next_chunk: int = 0
    confirmed: bytes = NO_DIGEST
    owed: float = 0.0
    heartbeat_at: float = NEVER_SENT
    is_replaced: bool = False


class FanOut:
    """Serves `table`, which others change, to subscribers by the numbers of their connections.

    `key` tags the frames.
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
        self._cursors: dict[int, _Cursor] = {}  # by connection
        self._connection_of: dict[str, int] = {}  # by subscriber
        self._departed = DepartedSubscribers()
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
        self._heartbeats_at = now + limits.heartbeat_interval
        self._awaits_budget = False  # a chunk waits for the budget

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """Take the first message of a connection.

        Returns:
            None where the subscriber is served; else a message that the caller sends before it
            closes the connection, which is not known here.

        Raises:
            UnexpectedMessageError: The connection has subscribed before, or the message is invalid.
        """
        if connection in self._cursors:
            raise UnexpectedMessageError("it has subscribed before")
        _check_subscription(message)
        self._lag.observe(now, self.table)
        if self._is_at_capacity(message.name):
            after = AT_CAPACITY_RETRY * self._rng.uniform(0.5, 1.5)
            return RetryLater(after, "no room for one more subscriber")
        cursor = _Cursor(SubscriberRecord(message, now), now, message.epoch, message.revision)
        if self._needs_snapshot(cursor, message.digest):
            if not self._budget.admit(now, self.table.bytes):
                after = self._budget.retry_after(now, self.table.bytes)
                return RetryLater(after, "no budget for one more snapshot")
            cursor.needs_snapshot = True
            cursor.owed = float(self.table.bytes)
        self._supersede_connection(message.name, connection)
        self._cursors[connection] = cursor
        self._departed.discard(message.name)
        return None

    def on_message(self, now: float, connection: int, message: Acknowledge | Heartbeat) -> None:
        """Handle any later message.

        Raises:
            UnexpectedMessageError: The connection has not subscribed, or the message is invalid.
        """
        cursor = self._cursors.get(connection)
        if cursor is None:
            raise UnexpectedMessageError("it has not subscribed")
        cursor.last_received_at = now
        if isinstance(message, Acknowledge):
            _check_rejections(message)
            cursor.record.acknowledge(now, message)

    def next_frame(self, now: float, connection: int) -> bytes | None:
        """Return the next frame for a connection that can be written to.

        The caller asks again until there is None; later when the table has changed, and after
        `on_timer`. There is None for a connection that is not known.
        """
        cursor = self._cursors.get(connection)
        if cursor is None or cursor.is_replaced:
            return None
        self._lag.observe(now, self.table)
        # The first heartbeat leaves before any update: it says how old the table is.
        since_heartbeat = now - cursor.heartbeat_at
        if since_heartbeat >= 2 * self._limits.heartbeat_interval:
            return self._heartbeat(now, cursor)
        frame = self._update(now, cursor)
        since_heartbeat = now - cursor.heartbeat_at  # the end of a snapshot makes one due
        if (
            frame is None
            and since_heartbeat >= self._limits.heartbeat_interval - HEARTBEAT_TOLERANCE
        ):
            return self._heartbeat(now, cursor)
        return frame

    def on_closed(self, now: float, connection: int) -> None:
        """Forget a connection, whoever closed it; unknown ones are ignored."""
        cursor = self._cursors.pop(connection, None)
        if cursor is None:
            return
        self._budget.release(cursor.owed)
        name = cursor.record.subscription.name
        if self._connection_of.get(name) == connection:
            del self._connection_of[name]
            cursor.record.updated_at = now
            self._departed.add(cursor.record)

    def set_table_age(self, now: float, age: float) -> None:
        """Record for how long the table may have lacked a change, or `AGE_UNKNOWN`.

        Heartbeats report it. On a voter it is the time since it last heard from a leader, or as
        the leader from a majority; on a distributor it is `Subscriber.age`.
        """
        self._complete_at = now - age if age >= 0.0 else None

    def on_timer(self, now: float) -> list[OverdueConnection]:
        """Return the connections to be closed.

        The caller then asks `next_frame` for every connection that can be written to.
        """
        self._lag.observe(now, self.table)
        self._awaits_budget = False  # `next_frame` sets it again
        if now >= self._heartbeats_at:
            self._heartbeats_at = now + self._limits.heartbeat_interval
        if now - self._snapshot_used_at > SNAPSHOT_RETENTION:
            self._frames.drop_snapshot()
        self._departed.forget_before(now, self._limits.status_retention)
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
        """Return when `on_timer` is due: for heartbeats, or for a chunk that awaits the budget."""
        if self._awaits_budget:
            return min(self._heartbeats_at, self._budget.can_send_at())
        return self._heartbeats_at

    def connections(self) -> list[int]:
        """Return the connections that are subscribed."""
        return list(self._cursors)

    def status(self, now: float) -> tuple[SubscriberStatus, ...]:
        """Return each subscriber, and each that left within `status_retention`, by name."""
        self._lag.observe(now, self.table)
        connected = {
            cursor.record.subscription.name: cursor.record
            for cursor in self._cursors.values()
            if not cursor.is_replaced
        }
        known = {**self._departed.by_name(), **connected}
        return tuple(
            known[name].status(now, self.table.epoch, self._lag, name in connected)
            for name in sorted(known)
        )

    def _is_at_capacity(self, name: str) -> bool:
        """Return whether there is no capacity for a subscriber; a reconnecting one needs none."""
        is_full = len(self._connection_of) >= self._limits.max_subscribers
        return is_full and name not in self._connection_of

    def _supersede_connection(self, name: str, connection: int) -> None:
        """Serve the newest connection of a subscriber; `on_timer` closes its older one."""
        older = self._connection_of.get(name)
        if older is not None:
            self._cursors[older].is_replaced = True
        self._connection_of[name] = connection

    def _needs_snapshot(self, cursor: _Cursor, digest: bytes) -> bool:
        """Return whether only a snapshot brings a subscriber up to date."""
        table = self.table
        if not table.revision:
            return False  # there is nothing to send yet
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

        A subscriber that fell behind while it was served (another epoch, too slow) was not
        admitted for it; it is sent one all the same, paid from the same budget.
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
            self._awaits_budget = True
            return None
        self._snapshot_used_at = now
        frame = snapshot.frame(cursor.next_chunk)
        if frame is None:
            self._end_snapshot(cursor, snapshot)
            return self._update(now, cursor)
        self._budget.spend(len(frame))
        paid = min(float(len(frame)), cursor.owed)
        self._budget.release(paid)
        cursor.owed -= paid
        cursor.next_chunk += 1
        return frame

    def _end_snapshot(self, cursor: _Cursor, snapshot: EncodedSnapshot) -> None:
        self._budget.release(cursor.owed)
        cursor.owed = 0.0
        cursor.snapshot = None
        cursor.epoch = snapshot.epoch
        cursor.revision = snapshot.revision
        cursor.confirmed = snapshot.digest
        cursor.heartbeat_at = NEVER_SENT  # the next one says how old the table is now

    def _delta(self, cursor: _Cursor) -> bytes | None:
        table = self.table
        if cursor.epoch != table.epoch or not table.can_resume_from(cursor.revision):
            return None  # there is nothing to send yet, or the subscriber is ahead
        if cursor.revision == table.revision:
            is_confirmed = cursor.confirmed == table.digest
            if is_confirmed or not table.is_complete:
                return None
        delta = self._frames.delta(cursor.revision)
        cursor.revision = delta.revision
        cursor.confirmed = delta.digest
        return delta.frame

    def _heartbeat(self, now: float, cursor: _Cursor) -> bytes:
        cursor.heartbeat_at = now
        age = AGE_UNKNOWN if self._complete_at is None else max(0.0, now - self._complete_at)
        return codec.pack(Heartbeat(self.table.epoch, self.table.revision, age), self._key)


def _check_subscription(message: Subscribe) -> None:
    """Raise UnexpectedMessageError for a name or place that is empty or too long."""
    has_name = 0 < len(message.name.encode()) <= MAX_NAME_BYTES
    if not has_name or len(message.region + message.zone) > 2 * MAX_NAME_BYTES:
        raise UnexpectedMessageError("its name or place is empty or too long")


def _check_rejections(message: Acknowledge) -> None:
    """Raise UnexpectedMessageError for more or longer rejections than there may be."""
    if len(message.rejected) > MAX_REJECTIONS or any(map(_is_too_long, message.rejected)):
        raise UnexpectedMessageError("more or longer rejections than an acknowledgement may hold")


def _is_too_long(rejection: Rejection) -> bool:
    longest_name = max(len(rejection.kind), len(rejection.name))
    return longest_name > MAX_NAME_BYTES or len(rejection.reason) > MAX_REASON_CHARACTERS
