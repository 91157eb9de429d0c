"""Receives a table from one control-plane server at a time, without doing I/O.

Theory of operation. The caller carries out the actions that each method returns, and reports the
events of each connection under its number; events of an abandoned connection are ignored. It calls
`on_timer` at `next_timer_at`. `server_connection` chooses the server and decides when to leave it;
`table_receiver` processes the updates. A malformed or out-of-order message is counted and closes
its connection. The last good table is kept, even while no server can be reached. Times are in ms.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import ClassVar

from dockthread.control_plane.messages import (
    Acknowledge,
    Heartbeat,
    Message,
    Rejection,
    RetryLater,
    Subscribe,
    Update,
)
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.server_connection import ConnectionManager, ServerConnection
from dockthread.control_plane.server_selection import CandidateServer
from dockthread.control_plane.subscriber_actions import Action, Send, SubscriberCounts
from dockthread.control_plane.subscriber_settings import SubscriberSettings
from dockthread.control_plane.table_receiver import TableReceiver
from dockthread.control_plane.update_assembler import DigestMismatchError, InvalidUpdateError


class Subscriber:
    """Receives updates from one server at a time into `table`.

    `table` is the initial table, such as one restored from a cache; `rejections` lists the
    resources in it that were rejected.

    Attributes:
        counts: Counters of events since the start.
    """

    receiver_type: ClassVar[type[TableReceiver]] = TableReceiver

    def __init__(  # noqa: PLR0913  a cached table comes with its rejections
        self,
        settings: SubscriberSettings,
        servers: Sequence[CandidateServer],
        rng: random.Random,
        now: float,
        table: ResourceTable | None = None,
        rejections: Sequence[Rejection] = (),
    ) -> None:
        self.counts = SubscriberCounts()
        self._settings = settings
        self._actions: list[Action] = []
        self._receiver = self.receiver_type(
            ResourceTable() if table is None else table, rejections, self.counts, self._actions
        )
        self._connections = ConnectionManager(
            settings, servers, rng, now, self.counts, self._actions, self._receiver.begin
        )

    @property
    def table(self) -> ResourceTable:
        """The received table; this object is never replaced."""
        return self._receiver.table

    @property
    def server(self) -> str:
        """Name of the server that is connected or being connected to; empty if none."""
        current = self._connections.current
        return current.server if current is not None else ""

    @property
    def rejections(self) -> tuple[Rejection, ...]:
        """Rejections of resources in the applied table."""
        return self._receiver.applied.rejections

    def next_timer_at(self) -> float:
        """Return when `on_timer` is due."""
        return self._connections.next_timer_at()

    def age(self, now: float) -> float:
        """Return the time in ms for which the table may have lacked a change, or `AGE_UNKNOWN`."""
        return self._receiver.age(now)

    def on_timer(self, now: float) -> list[Action]:
        """Handle expired timers; a call before `next_timer_at` does nothing."""
        if self._connections.on_timer(now, self._receiver.is_staging):
            connection = self._connections.heartbeat_due(now)
            if connection is not None:
                table = self.table
                self._send(connection, Heartbeat(table.epoch, table.revision, self.age(now)))
        return self._take_actions()

    def on_connected(self, now: float, connection: int) -> list[Action]:
        """Subscribe on a connection that has opened."""
        current = self._connections.find(connection)
        if current is not None and not current.is_open:
            self._connections.on_opened(now, current)
            self._send(current, self._receiver.subscription(self._settings))
        return self._take_actions()

    def on_disconnected(self, now: float, connection: int) -> list[Action]:
        """Back off after a connection could not be opened or was closed by the server."""
        current = self._connections.find(connection)
        if current is not None:
            self._connections.back_off(now, current)
        return self._take_actions()

    def on_bytes(self, now: float, connection: int) -> None:
        """Record that bytes of an incomplete message arrived, so the server is not silent."""
        current = self._connections.find(connection)
        if current is not None and current.last_received_at is not None:
            current.last_received_at = now

    def on_message(self, now: float, connection: int, message: Message) -> list[Action]:
        """Handle a complete message."""
        current = self._connections.find(connection)
        if current is None:
            return self._take_actions()
        current.last_received_at = now
        match message:
            case Heartbeat():
                self._on_heartbeat(now, current, message)
            case Update():
                self._on_update(now, current, message)
            case RetryLater(after, _):
                self._connections.retry_later(now, current, after)
            case _:
                reason = f"unexpected message from a server: {type(message).__name__}"
                self._connections.fail_malformed(now, current, reason)
        return self._take_actions()

    def on_malformed(self, now: float, connection: int, reason: str) -> list[Action]:
        """Close a connection on which a message was malformed or too large."""
        current = self._connections.find(connection)
        if current is not None:
            self._connections.fail_malformed(now, current, reason)
        return self._take_actions()

    def on_applied(
        self,
        now: float,  # noqa: ARG002  all event methods take the time
        batch: int,
        rejected: Sequence[Rejection] = (),
    ) -> list[Action]:
        """Acknowledge an applied batch and all earlier ones, except for rejected resources."""
        if self._receiver.applied.on_applied(batch, rejected):
            self._acknowledge()
        return self._take_actions()

    def reapply(self) -> list[Action]:
        """Apply all live resources again; new settings may accept or reject different ones."""
        if live := tuple(self.table.live()):
            self._receiver.apply(live, complete=False)
        return self._take_actions()

    def set_servers(self, now: float, servers: Sequence[CandidateServer]) -> list[Action]:
        """Replace the list of servers; the connection is kept if its server is still listed."""
        self._connections.set_servers(now, servers)
        return self._take_actions()

    def _on_heartbeat(self, now: float, connection: ServerConnection, message: Heartbeat) -> None:
        complete_at = now - message.age if message.age >= 0.0 else float("-inf")
        if self._connections.on_server_age(now, connection, complete_at):
            self._receiver.on_fresh_server(message, complete_at)

    def _on_update(self, now: float, connection: ServerConnection, update: Update) -> None:
        is_fresh = self._connections.is_known_fresh(now, connection)
        if not self._receiver.accepts_epoch(update, is_fresh):
            reason = "another epoch, which was replaced before or comes from a server not known to be fresh"
            self._connections.fail(now, connection, reason)
            return
        try:
            is_acknowledged = self._receiver.add(update)
        except InvalidUpdateError as error:
            self._connections.fail_malformed(now, connection, str(error))
            return
        except DigestMismatchError as error:
            if not error.changed:
                self._acknowledge()
            self._connections.fail(now, connection, str(error))
            return
        if update.complete and not self._receiver.is_staging:
            self._connections.on_complete_update()
        if is_acknowledged:
            self._acknowledge()

    def _acknowledge(self) -> None:
        current = self._connections.current
        if current is not None and current.last_received_at is not None:
            self._send(current, self._receiver.applied.acknowledgement())

    def _send(
        self, connection: ServerConnection, message: Subscribe | Acknowledge | Heartbeat
    ) -> None:
        self._actions.append(Send(connection.number, message))

    def _take_actions(self) -> list[Action]:
        actions = list(self._actions)
        self._actions.clear()
        return actions
