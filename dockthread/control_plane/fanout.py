"""One table served to many subscribers: no queue for any of them, only a cursor. Free of I/O.

Theory of operation. The rim tells what arrives on a connection and asks for `next_frame` whenever
that connection's socket has room; the frame is made from the table as it is then, so a slow
subscriber is sent the latest of each key and nothing waits for it in memory. A frame that was
handed over counts as sent: if the connection breaks instead, its cursor goes with it, and the
subscriber tells on its next one what it holds.

| what a subscriber holds | what it is sent |
| --- | --- |
| nothing (revision 0), or of another epoch, or older than the table's horizon | a snapshot in parts, then deltas |
| the table's revision with another digest | a snapshot |
| an older revision | deltas in parts |
| a newer revision than the table | heartbeats, until the table has come past it |

Frames are encoded once: the parts of a snapshot are kept and sent to all who need one until the
table is too far from it, and the frame that follows a revision is kept until the table changes.
What the snapshots of a wave of restarts may cost is bounded by a token bucket of bytes: who finds
it empty is told to come again (`RetryLater`) at a time that is spread over the wave.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from dockthread.control_plane.admission import SnapshotBudget
from dockthread.control_plane.encoded import EncodedFrameCache, EncodedSnapshot
from dockthread.control_plane.lag import LagTracker
from dockthread.control_plane.messages import (
    AGE_UNKNOWN,
    MAX_NAME_BYTES,
    MAX_REJECTIONS,
    MOST_REASON,
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

NEVER_SENT: Final = -1e18
# ms, about: no room for one more subscriber, so it had better go elsewhere
FULL_RETRY: Final = 500.0
# ms for which the encoded snapshot is kept after it was last asked for
SNAPSHOT_KEPT: Final = 60_000.0
MOST_GONE: Final = 20_000  # subscribers remembered after they are gone
EARLY: Final = 1.0  # ms by which a heartbeat may leave early


@dataclass(frozen=True, slots=True)
class FanOutLimits:
    """`snapshot_rate`: bytes of snapshots a second, over time; `snapshot_burst`: bytes of them at
    once. Times in ms: `beat` between heartbeats, `silence` after which a subscriber is closed,
    `remember` for the status of one that is gone. `part`: bytes of resources in one frame.
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


class UnexpectedMessageError(Exception):
    """A subscriber says what it may not say there; the rim closes its connection."""


@dataclass(frozen=True, slots=True)
class OverdueConnection:
    """A connection that the rim is to close, and then to tell `closed`."""

    connection: int
    reason: str


@dataclass(slots=True)
class _Standing:
    """What is known of a subscriber, also after it is gone."""

    message: Subscribe
    at: float
    epoch: str = ""
    revision: int = 0  # in force
    rejections: int = 0
    rejected: tuple[Rejection, ...] = ()


@dataclass(slots=True)
class _Cursor:
    """One connection: what was handed over for it."""

    standing: _Standing
    heard_at: float
    epoch: str
    revision: int
    snapshot: EncodedSnapshot | None = None  # under way
    wants_snapshot: bool = False
    next_chunk: int = 0
    # the last digest that it was told, where nothing was handed over since
    confirmed: bytes = NO_DIGEST
    owed: float = 0.0  # bytes of the snapshot
    heartbeat_at: float = NEVER_SENT
    replaced: bool = False  # by another connection of the same name


class FanOut:
    """Serves `table`, which somebody else changes, to subscribers by the rim's numbers of their
    connections.

    `key`: with which frames are tagged. All times in ms of the one clock.
    """

    def __init__(
        self,
        table: ResourceTable,
        limits: FanOutLimits,
        rng: random.Random,
        key: bytes = b"",
        now: float = 0.0,
    ) -> None:
        self.table, self._limits, self._rng, self._key = table, limits, rng, key
        self._cursors: dict[int, _Cursor] = {}
        self._connection_of: dict[str, int] = {}  # by subscriber
        self._gone: OrderedDict[str, _Standing] = OrderedDict()
        self._cache = EncodedFrameCache(table, limits.chunk_bytes, key)
        self._snapshot_asked = now
        self._budget = SnapshotBudget(
            limits.snapshot_rate,
            limits.snapshot_burst,
            limits.retry_after_min,
            limits.retry_after_max,
            rng,
        )
        self._arrivals = LagTracker(now, table)
        self._fresh_at: float | None = None
        self._beat_at = now + limits.heartbeat_interval
        self._paced = False  # a part waits for the budget

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """The first message of a connection. None where it is taken in; else the rim sends the
        answer and closes, and the connection is not known here. Raises `UnexpectedMessage` for a
        second one on the same connection.
        """
        if connection in self._cursors:
            raise UnexpectedMessageError("it has subscribed before")
        if (
            not 0 < len(message.name.encode()) <= MAX_NAME_BYTES
            or len(message.region + message.zone) > 2 * MAX_NAME_BYTES
        ):
            raise UnexpectedMessageError("its name or place is empty or too long")
        self._arrivals.notice(now, self.table)
        if (
            len(self._connection_of) >= self._limits.max_subscribers
            and message.name not in self._connection_of
        ):
            return RetryLater(
                FULL_RETRY * self._rng.uniform(0.5, 1.5), "no room for one more subscriber"
            )
        cursor = _Cursor(_Standing(message, now), now, message.epoch, message.revision)
        if self._needs_snapshot(cursor, message.digest):
            if not self._budget.admits(now, self.table.bytes):
                after = self._budget.retry_after(now, self.table.bytes)
                return RetryLater(after, "no budget for one more snapshot")
            cursor.wants_snapshot, cursor.owed = True, float(self.table.bytes)
        self._replace(message.name, connection)
        self._cursors[connection] = cursor
        self._gone.pop(message.name, None)
        return None

    def on_message(self, now: float, connection: int, message: Acknowledge | Heartbeat) -> None:
        """Any later message. Raises `UnexpectedMessage` where the connection has not subscribed."""
        cursor = self._cursors.get(connection)
        if cursor is None:
            raise UnexpectedMessageError("it has not subscribed")
        cursor.heard_at = now
        if isinstance(message, Acknowledge):
            if len(message.rejected) > MAX_REJECTIONS or any(
                _too_long(one) for one in message.rejected
            ):
                raise UnexpectedMessageError(
                    "more or longer rejections than an acknowledgement may hold"
                )
            standing = cursor.standing
            standing.at, standing.epoch, standing.revision = now, message.epoch, message.revision
            standing.rejections, standing.rejected = message.rejections, message.rejected

    def next_frame(self, now: float, connection: int) -> bytes | None:
        """The next frame for a connection whose socket has room, ready to be written: an update, or
        a heartbeat that is due. Ask again until there is None: then when the table has changed, and
        at `due`. None too for one that is not known.
        """
        cursor = self._cursors.get(connection)
        if cursor is None or cursor.replaced:
            return None
        self._arrivals.notice(now, self.table)
        # the first one too: it tells how fresh this is
        if now - cursor.heartbeat_at >= 2 * self._limits.heartbeat_interval:
            return self._heartbeat(now, cursor)
        frame = self._update(now, cursor)
        if frame is None and now - cursor.heartbeat_at >= self._limits.heartbeat_interval - EARLY:
            return self._heartbeat(now, cursor)
        return frame

    def on_closed(self, now: float, connection: int) -> None:
        """A connection is gone, whoever ended it. One that is not known is passed over."""
        cursor = self._cursors.pop(connection, None)
        if cursor is None:
            return
        self._budget.settle(cursor.owed)
        name = cursor.standing.message.name
        if self._connection_of.get(name) == connection:
            del self._connection_of[name]
            self._gone[name] = cursor.standing
            cursor.standing.at = now
            while len(self._gone) > MOST_GONE:
                self._gone.popitem(last=False)

    def set_table_age(self, now: float, age: float) -> None:
        """The table was known to hold all that was agreed on `age` ms ago; `NEVER` for never.
        Heartbeats tell it. On a voter: since it last heard from a leader, or as one from a
        majority; on a distributor `Subscriber.age`.
        """
        self._fresh_at = now - age if age >= 0.0 else None

    def on_timer(self, now: float) -> list[OverdueConnection]:
        """Connections to be closed. Call it at `due`; then ask `next_frame` of every connection
        with room.
        """
        self._arrivals.notice(now, self.table)
        self._paced = False  # whoever is asked next tells again
        if now >= self._beat_at:
            self._beat_at = now + self._limits.heartbeat_interval
        if now - self._snapshot_asked > SNAPSHOT_KEPT:
            self._cache.drop_snapshot()
        self._forget(now)
        overdue = [
            OverdueConnection(c, "replaced by a newer connection")
            for c, one in self._cursors.items()
            if one.replaced
        ]
        for connection, cursor in self._cursors.items():
            if not cursor.replaced and now - cursor.heard_at > self._limits.silence_timeout:
                overdue.append(OverdueConnection(connection, "silent for too long"))
        return overdue

    def next_timer_at(self) -> float:
        """When `tick` is wanted: for the next heartbeat, or for the budget's next part."""
        if self._paced:
            return min(self._beat_at, self._budget.affords_at())
        return self._beat_at

    def connections(self) -> list[int]:
        """Those that are subscribed."""
        return list(self._cursors)

    def status(self, now: float) -> tuple[SubscriberStatus, ...]:
        """Each subscriber, and each that is gone since less than `remember`, by name."""
        self._arrivals.notice(now, self.table)
        here = {
            one.standing.message.name: one.standing
            for one in self._cursors.values()
            if not one.replaced
        }
        known = {**self._gone, **here}
        return tuple(self._status(now, known[name], name in here) for name in sorted(known))

    def _status(self, now: float, standing: _Standing, connected: bool) -> SubscriberStatus:
        message = standing.message
        revision = standing.revision if standing.epoch == self.table.epoch else 0
        return SubscriberStatus(
            message.name,
            message.region,
            message.zone,
            connected,
            revision,
            self._arrivals.behind(now, revision),
            standing.rejections,
            standing.rejected,
        )

    def _replace(self, name: str, connection: int) -> None:
        """The newest connection of a subscriber counts; its older one is closed at the next
        tick.
        """
        older = self._connection_of.get(name)
        if older is not None:
            self._cursors[older].replaced = True
        self._connection_of[name] = connection

    def _forget(self, now: float) -> None:
        while self._gone:
            name = next(iter(self._gone))
            if now - self._gone[name].at <= self._limits.status_retention:
                return
            del self._gone[name]

    def _needs_snapshot(self, cursor: _Cursor, digest: bytes) -> bool:
        """Whether nothing but a snapshot brings it up to date, as the table is now."""
        table = self.table
        if not table.revision:
            return False  # nothing to be had here yet
        if cursor.epoch != table.epoch or cursor.revision < max(table.horizon, 1):
            return True
        same = cursor.revision == table.revision and table.is_complete
        return same and bool(digest) and digest != table.digest

    def _update(self, now: float, cursor: _Cursor) -> bytes | None:
        if cursor.snapshot is None:
            cursor.wants_snapshot = cursor.wants_snapshot or self._needs_snapshot(cursor, b"")
            if cursor.wants_snapshot:
                return self._begin_snapshot(now, cursor)
            return self._delta(cursor)
        return self._snapshot_part(now, cursor, cursor.snapshot)

    def _begin_snapshot(self, now: float, cursor: _Cursor) -> bytes | None:
        """One that lost its place while it was served (other epoch, too slow) was not admitted for
        a snapshot: it is owed one all the same, and paid from the same budget.
        """
        if not self.table.is_complete:
            return None
        cursor.snapshot, cursor.next_chunk, cursor.wants_snapshot = self._cache.snapshot(), 0, False
        return self._snapshot_part(now, cursor, cursor.snapshot)

    def _snapshot_part(
        self, now: float, cursor: _Cursor, snapshot: EncodedSnapshot
    ) -> bytes | None:
        if not self._budget.affords(now):
            self._paced = True
            return None
        self._snapshot_asked = now
        frame = snapshot.frame(cursor.next_chunk)
        if frame is None:
            self._end_snapshot(cursor, snapshot)
            return self._update(now, cursor)
        self._budget.spend(len(frame))
        paid = min(float(len(frame)), cursor.owed)
        self._budget.settle(paid)
        cursor.owed -= paid
        cursor.next_chunk += 1
        return frame

    def _end_snapshot(self, cursor: _Cursor, snapshot: EncodedSnapshot) -> None:
        self._budget.settle(cursor.owed)
        cursor.owed, cursor.snapshot = 0.0, None
        cursor.epoch, cursor.revision, cursor.confirmed = (
            snapshot.epoch,
            snapshot.revision,
            snapshot.digest,
        )
        cursor.heartbeat_at = min(cursor.heartbeat_at, NEVER_SENT)  # how fresh it is now

    def _delta(self, cursor: _Cursor) -> bytes | None:
        table = self.table
        if cursor.epoch != table.epoch or not table.can_resume_from(cursor.revision):
            return None  # nothing here yet, or the table is behind
        if cursor.revision == table.revision and (
            cursor.confirmed == table.digest or not table.is_complete
        ):
            return None
        delta = self._cache.delta(cursor.revision)
        cursor.revision, cursor.confirmed = delta.revision, delta.digest
        return delta.frame

    def _heartbeat(self, now: float, cursor: _Cursor) -> bytes:
        cursor.heartbeat_at = now
        age = AGE_UNKNOWN if self._fresh_at is None else max(0.0, now - self._fresh_at)
        return codec.pack(Heartbeat(self.table.epoch, self.table.revision, age), self._key)


def _too_long(rejection: Rejection) -> bool:
    return (
        max(len(rejection.kind), len(rejection.name)) > MAX_NAME_BYTES
        or len(rejection.reason) > MOST_REASON
    )
