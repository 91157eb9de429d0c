"""One table served to many subscribers: no queue for any of them, only a cursor. Free of I/O.

Theory of operation. The rim tells what arrives on a connection and asks for `next_frame` whenever that connection's
socket has room; the frame is made from the table as it is then, so a slow subscriber is sent the latest of each key
and nothing waits for it in memory. A frame that was handed over counts as sent: if the connection breaks instead, its
cursor goes with it, and the subscriber tells on its next one what it holds.

| what a subscriber holds | what it is sent |
| --- | --- |
| nothing (revision 0), or of another epoch, or older than the table's horizon | a snapshot in parts, then deltas |
| the table's revision with another digest | a snapshot |
| an older revision | deltas in parts |
| a newer revision than the table | heartbeats, until the table has come past it |

Frames are encoded once: the parts of a snapshot are kept and sent to all who need one until the table is too far
from it, and the frame that follows a revision is kept until the table changes. What the snapshots of a wave of
restarts may cost is bounded by a token bucket of bytes: who finds it empty is told to come again (`RetryLater`) at a
time that is spread over the wave.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from dockthread.distribution.messages import Acknowledge, Heartbeat, RetryLater, Subscribe, SubscriberStatus
from dockthread.distribution.resources import ResourceTable

NEVER = -1.0  # age of a table that was never known to hold all


@dataclass(frozen=True, slots=True)
class FanoutLimits:
    """`snapshot_rate`: bytes of snapshots a second, over time; `snapshot_burst`: bytes of them at once. Times in ms:
    `beat` between heartbeats, `silence` after which a subscriber is closed, `remember` for the status of one that is
    gone. `part`: bytes of resources in one frame."""

    most_subscribers: int = 400
    snapshot_rate: float = 20e6
    snapshot_burst: float = 40e6
    part: int = 256 << 10
    beat: float = 1_000.0
    silence: float = 10_000.0
    remember: float = 3_600_000.0
    retry_least: float = 250.0
    retry_most: float = 60_000.0


class UnexpectedMessage(Exception):
    """A subscriber says what it may not say there; the rim closes its connection."""


@dataclass(frozen=True, slots=True)
class Overdue:
    """A connection that the rim is to close, and then to tell `closed`."""

    connection: int
    reason: str


class Fanout:
    """Serves `table`, which somebody else changes, to subscribers by the rim's numbers of their connections.

    `key`: with which frames are tagged. All times in ms of the one clock.
    """

    def __init__(
        self, table: ResourceTable, limits: FanoutLimits, rng: random.Random, key: bytes = b"", now: float = 0.0
    ) -> None:
        self.table, self._limits, self._rng, self._key = table, limits, rng, key

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """The first message of a connection. None where it is taken in; else the rim sends the answer and closes, and
        the connection is not known here. Raises `UnexpectedMessage` for a second one on the same connection."""
        raise NotImplementedError

    def heard(self, now: float, connection: int, message: Acknowledge | Heartbeat) -> None:
        """Any later message. Raises `UnexpectedMessage` where the connection has not subscribed."""
        raise NotImplementedError

    def next_frame(self, now: float, connection: int) -> bytes | None:
        """The next frame for a connection whose socket has room, ready to be written: an update, or a heartbeat that
        is due. None where there is nothing now: ask again when the table has changed, and at `due`."""
        raise NotImplementedError

    def closed(self, now: float, connection: int) -> None:
        """A connection is gone, whoever ended it. One that is not known is passed over."""
        raise NotImplementedError

    def fresh(self, now: float, age: float) -> None:
        """The table was known to hold all that was agreed on `age` ms ago; `NEVER` for never. Heartbeats tell it. On
        a voter: since it last heard from a leader, or as one from a majority; on a distributor `Subscriber.age`."""
        raise NotImplementedError

    def tick(self, now: float) -> list[Overdue]:
        """Connections to be closed. Call it at `due`; then ask `next_frame` of every connection with room."""
        raise NotImplementedError

    def due(self) -> float:
        """When the next heartbeat is due, at the latest one beat from the last `tick`."""
        raise NotImplementedError

    def connections(self) -> list[int]:
        """Those that are subscribed."""
        raise NotImplementedError

    def status(self, now: float) -> tuple[SubscriberStatus, ...]:
        """Each subscriber, and each that is gone since less than `remember`, by name."""
        raise NotImplementedError
