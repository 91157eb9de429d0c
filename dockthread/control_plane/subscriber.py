"""The receiving end of the distribution of control: one server at a time, and the last good table.
Free of I/O.

Theory of operation. Servers are ordered by their distance and then by a hash of their name with
this subscriber's (rendezvous), so subscribers spread evenly and each has its own order of retreat.
The rim opens a connection when it is told to `Connect` and tells of it by its number; what comes
from one that was given up is passed over.

| state | connected | message | silence, break or refusal | stale server |
| --- | --- | --- | --- | --- |
| waiting (for a pause to end) | - | - | - | - |
| connecting | subscribes: receiving | - | next server after a pause | - |
| receiving | - | applied | next server after a pause | next server, unless all were lately stale |

A pause is drawn from zero to a bound that doubles with each failure in a row (full jitter). An
update is applied only in order: a resource never replaces a newer one, snapshot parts are staged
and swapped in with the last one, and the digest is compared wherever the server says that the table
is complete. A digest that differs, and nothing else, makes it ask anew for all. Whatever is
malformed or out of order is counted and ends that connection alone: the last good table stays, with
all servers lost too.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from dockthread.control_plane.applied_resources import AppliedResources
from dockthread.control_plane.messages import (
    AGE_UNKNOWN,
    NO_DIGEST,
    Acknowledge,
    Heartbeat,
    Message,
    Rejection,
    Resource,
    RetryLater,
    Subscribe,
    Update,
)
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.server_selection import CandidateServer, ServerSelector
from dockthread.control_plane.subscriber_actions import (
    Action,
    Connect,
    Disconnect,
    ResourcesChanged,
    Send,
    SubscriberCounts,
    SubscriberTimes,
)
from dockthread.control_plane.update_assembler import (
    DigestMismatchError,
    InvalidUpdateError,
    UpdateAssembler,
)

MOST_DOUBLINGS: Final = 16


@dataclass(slots=True)
class _Link:
    """The connection that counts."""

    connection: int
    server: str
    deadline: float  # for the connection, and the first message on it
    beat_at: float
    home_at: float
    open: bool = False
    heard_at: float | None = None
    fresh_at: float | None = None  # when the server last knew itself to hold all; set once it told


class Subscriber:
    """`table`: what is held at the start, as from a disk cache; it keeps its identity, and is
    changed only here.

    `rejections`: what the owner refused of that table. Ask `tick` at once and then at `due`.
    """

    def __init__(
        self,
        name: str,
        servers: Sequence[CandidateServer],
        times: SubscriberTimes,
        rng: random.Random,
        now: float,
        table: ResourceTable | None = None,
        rejections: Sequence[Rejection] = (),
        region: str = "",
        zone: str = "",
    ) -> None:
        self.name, self.counts = name, SubscriberCounts()
        self.table = ResourceTable() if table is None else table
        self._times, self._rng, self._region, self._zone = times, rng, region, zone
        self._choice = ServerSelector(name, servers)
        self._assembler = UpdateAssembler(self.table)
        self._in_force = AppliedResources(self._whole_acknowledge(), rejections)
        self._link: _Link | None = None
        self._connections = 0
        self._wait_until = now
        self._failures = 0  # in a row
        self._ask_anew = False  # the digest differed: for all, whatever is held
        self._hops_left = len(self._choice) - 1  # to leave stale servers at once
        self._hop_at = now  # when to leave one after that
        self._fresh_at: float | None = None
        self._left_epochs: set[str] = set()
        self._actions: list[Action] = []

    @property
    def server(self) -> str:
        """The one that it receives from, or connects to; empty for none."""
        return self._link.server if self._link is not None else ""

    @property
    def rejections(self) -> tuple[Rejection, ...]:
        """What the owner refused of what is in force."""
        return self._in_force.rejections

    def next_timer_at(self) -> float:
        """When it wants `tick` next."""
        link, times = self._link, self._times
        if link is None:
            return self._wait_until
        if link.heard_at is None:
            return min(link.deadline, link.beat_at) if link.open else link.deadline
        return min(
            link.heard_at + times.silence_timeout,
            link.beat_at,
            link.home_at,
            self._leave_stale_at(link),
        )

    def age(self, now: float) -> float:
        """ms since all that was agreed on was known to be held here; `NEVER` for never."""
        return AGE_UNKNOWN if self._fresh_at is None else max(0.0, now - self._fresh_at)

    def on_timer(self, now: float) -> list[Action]:
        """Time has passed."""
        link = self._link
        if link is None:
            if now >= self._wait_until:
                self._connect(now, self._choice.best(now))
        elif link.heard_at is None and now >= link.deadline:
            self._fail(now, link, "no answer in time")
        elif link.heard_at is not None and now >= link.heard_at + self._times.silence_timeout:
            self.counts.silences += 1
            self._fail(now, link, "silent for too long")
        elif now >= self._leave_stale_at(link):
            self._leave_stale(now, link)
        elif now >= link.home_at:
            self._go_home(now, link)
        elif link.open and now >= link.beat_at:
            link.beat_at = now + self._times.heartbeat_interval
            self._send(link, Heartbeat(self.table.epoch, self.table.revision, self.age(now)))
        return self._take()

    def on_connected(self, now: float, connection: int) -> list[Action]:
        """The connection is open."""
        link = self._current(connection)
        if link is not None and not link.open:
            link.open, link.beat_at = True, now + self._times.heartbeat_interval
            self._send(link, self._subscribe())
        return self._take()

    def on_disconnected(self, now: float, connection: int, reason: str = "") -> list[Action]:
        """It could not be opened, or was closed or broken by somebody else."""
        link = self._current(connection)
        if link is not None:
            self._pause(now, link)
        return self._take()

    def on_bytes(self, now: float, connection: int) -> None:
        """Some bytes came, if no whole message yet: a sign of life of a slow link."""
        link = self._current(connection)
        if link is not None and link.heard_at is not None:
            link.heard_at = now

    def on_message(self, now: float, connection: int, message: Message) -> list[Action]:
        """A whole message."""
        link = self._current(connection)
        if link is None:
            return self._take()
        link.heard_at = now
        match message:
            case Heartbeat():
                self._heartbeat(now, link, message)
            case Update():
                self._update(now, link, message)
            case RetryLater(after, _):
                self._retry_later(now, link, after)
            case _:
                self._malformed(now, link, f"a server does not say {type(message).__name__}")
        return self._take()

    def on_malformed(self, now: float, connection: int, reason: str) -> list[Action]:
        """Bytes that are no message, or too many."""
        link = self._current(connection)
        if link is not None:
            self._malformed(now, link, reason)
        return self._take()

    def on_applied(
        self, now: float, batch: int, rejected: Sequence[Rejection] = ()
    ) -> list[Action]:
        """The owner has put a `Changed` in force, and all before it, but for what it refused."""
        if self._in_force.on_applied(batch, rejected):
            self._acknowledge()
        return self._take()

    def reapply(self) -> list[Action]:
        """The owner judges by other settings now: it is given all that is held once more."""
        if held := tuple(self.table.live()):
            self._changed(held, complete=False)
        return self._take()

    def set_servers(self, now: float, servers: Sequence[CandidateServer]) -> list[Action]:
        """Another list; the connection stays where its server is still in it."""
        self._choice.set(servers)
        self._hops_left = len(self._choice) - 1
        if self._link is not None and self._link.server not in self._choice:
            self._disconnect(self._link, "its server is no more on the list")
            self._wait_until = now
        return self._take()

    # Connections

    def _current(self, connection: int) -> _Link | None:
        return (
            self._link if self._link is not None and self._link.connection == connection else None
        )

    def _connect(self, now: float, server: str) -> None:
        if not server:  # an empty list: until there is another
            self._wait_until = now + self._times.backoff_max
            return
        self._connections += 1
        self.counts.connections += 1
        home_at = float("inf")
        if not self._choice.is_home(server):
            home_at = now + self._times.return_interval * self._rng.uniform(0.5, 1.5)
        deadline = now + self._times.connect_timeout
        self._link = _Link(self._connections, server, deadline, deadline, home_at)
        self._assembler.begin()
        self._actions.append(Connect(self._connections, server))

    def _subscribe(self) -> Subscribe:
        table = self.table
        if self._ask_anew:
            return Subscribe(self.name, table.epoch, 0, NO_DIGEST, self._region, self._zone)
        digest = table.digest if table.is_complete else NO_DIGEST
        return Subscribe(self.name, table.epoch, table.revision, digest, self._region, self._zone)

    def _disconnect(self, link: _Link, reason: str) -> None:
        self._actions.append(Disconnect(link.connection, reason))
        self._link = None

    def _fail(self, now: float, link: _Link, reason: str) -> None:
        self._actions.append(Disconnect(link.connection, reason))
        self._pause(now, link)

    def _pause(self, now: float, link: _Link) -> None:
        """The server is of no use now: the next one, after a pause drawn up to a bound that
        doubles.
        """
        self.counts.failures += 1
        self._link = None
        self._choice.avoid(link.server, now + self._times.failure_penalty)
        bound = self._times.backoff_initial * 2.0 ** min(self._failures, MOST_DOUBLINGS)
        self._wait_until = now + self._rng.uniform(0.0, min(bound, self._times.backoff_max))
        self._failures += 1

    def _retry_later(self, now: float, link: _Link, after: float) -> None:
        self.counts.retries_later += 1
        self._disconnect(link, "the server has no room now")
        self._choice.avoid(link.server, now + self._times.failure_penalty)
        self._wait_until = now + (
            after if 0.0 <= after <= self._times.retry_after_max else self._times.retry_after_max
        )

    def _go_home(self, now: float, link: _Link) -> None:
        home = self._choice.home(now)
        if home and not self._assembler.staging:
            self._disconnect(link, "back to the first choice")
            self._connect(now, home)
        else:
            link.home_at = now + self._times.return_interval * self._rng.uniform(0.5, 1.5)

    # Stale servers

    def _leave_stale_at(self, link: _Link) -> float:
        """When its server is to be left, unless it tells before that it is fresh."""
        if link.heard_at is None or len(self._choice) < 2:
            return float("inf")
        told_at = link.fresh_at
        stale_at = float("inf") if told_at is None else told_at + self._times.staleness_limit
        return stale_at if self._hops_left > 0 else max(stale_at, self._hop_at)

    def _leave_stale(self, now: float, link: _Link) -> None:
        """Each other server is tried once; after that, as all are stale, one after each
        `stale_memory`.
        """
        self.counts.stale += 1
        self._hops_left = max(0, self._hops_left - 1)
        self._hop_at = now + self._times.stale_penalty * self._rng.uniform(0.5, 1.5)
        self._choice.avoid(link.server, now + self._times.stale_penalty)
        self._disconnect(link, "its table is stale")
        self._connect(now, self._choice.best(now, but=link.server))

    def _heartbeat(self, now: float, link: _Link, message: Heartbeat) -> None:
        told_at = now - message.age if message.age >= 0.0 else float("-inf")
        link.fresh_at = told_at
        if told_at + self._times.staleness_limit <= now:
            if now >= self._leave_stale_at(link):
                self._leave_stale(now, link)
            return
        self._hops_left = len(self._choice) - 1
        same = message.epoch == self.table.epoch and message.revision <= self.table.revision
        if same and self.table.is_complete and not self._assembler.staging:
            self._fresh_at = max(told_at, told_at if self._fresh_at is None else self._fresh_at)

    # Updates

    def _update(self, now: float, link: _Link, update: Update) -> None:
        if self._other_history(now, link, update):
            self._fail(
                now,
                link,
                "another history, left before or of a server that is not known to be fresh",
            )
            return
        epoch = self.table.epoch
        try:
            taken = self._assembler.add(update)
        except InvalidUpdateError as error:
            self._malformed(now, link, str(error))
        except DigestMismatchError as error:
            self.counts.mismatches += 1
            self._ask_anew = True
            self._changed(error.changed, complete=False)
            self._fail(now, link, str(error))
        else:
            self.counts.old += taken.old
            if epoch not in ("", self.table.epoch):
                self._left_epochs.add(epoch)
            if taken.changed is not None:
                self._took(taken.changed, taken.snapshot, update.complete)

    def _other_history(self, now: float, link: _Link, update: Update) -> bool:
        """An epoch takes the place of another one only by the word of a server that is fresh; one
        that was left does not come back.
        """
        if not self.table.epoch or update.epoch == self.table.epoch:
            return False
        if update.epoch in self._left_epochs:
            return True
        return link.fresh_at is None or link.fresh_at + self._times.staleness_limit <= now

    def _took(self, changed: tuple[Resource, ...], snapshot: bool, complete: bool) -> None:
        if snapshot:
            self.counts.snapshots += 1
            self._ask_anew = False
        else:
            self.counts.deltas += 1
        if complete:
            self._failures = 0
        self._changed(changed, complete)

    def _changed(self, changed: tuple[Resource, ...], complete: bool) -> None:
        then = self._whole_acknowledge()
        if not changed:
            self._in_force.unchanged(then)
            self._acknowledge()
            return
        batch = self._in_force.give(changed, then)
        self._actions.append(
            ResourcesChanged(batch, self.table.epoch, self.table.revision, changed, complete)
        )

    def _malformed(self, now: float, link: _Link, reason: str) -> None:
        self.counts.malformed += 1
        self._fail(now, link, reason)

    def _whole_acknowledge(self) -> Acknowledge:
        table = self.table
        return Acknowledge(
            table.epoch, table.revision, table.digest if table.is_complete else NO_DIGEST
        )

    def _acknowledge(self) -> None:
        if self._link is not None and self._link.heard_at is not None:
            self._send(self._link, self._in_force.acknowledge())

    def _send(self, link: _Link, message: Subscribe | Acknowledge | Heartbeat) -> None:
        self._actions.append(Send(link.connection, message))

    def _take(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions


__all__ = [
    "Action",
    "ResourcesChanged",
    "Connect",
    "SubscriberCounts",
    "Disconnect",
    "Send",
    "CandidateServer",
    "Subscriber",
    "SubscriberTimes",
]
