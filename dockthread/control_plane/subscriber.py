"""The receiving end of the control plane, without I/O: one server at a time, and a table.

Theory of operation. The caller carries out the actions that each method returns and reports events
of connections by their numbers; events of a connection that was given up are ignored. It calls
`on_timer` at `next_timer_at`. Which server, and when it is left, is decided in
`server_connection`; what becomes of an update in `table_receiver`. Whatever is malformed or out of
order is counted and closes that connection alone: the last good table stays, also while all servers
are lost. Times are in ms.
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
    """Receives from one server at a time into `table`.

    `table` is what is known at the start, as from a cache; `rejections` are those among its
    resources.

    Attributes:
        counts: Events since the start.
    """

    receiver_type: ClassVar[type[TableReceiver]] = TableReceiver

    def __init__(  # noqa: PLR0913  a table of a cache comes with its rejections
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
        """The received table; the same object for the life of the subscriber."""
        return self._receiver.table

    @property
    def server(self) -> str:
        """Server that it receives from or connects to; empty for none."""
        current = self._connections.current
        return current.server if current is not None else ""

    @property
    def rejections(self) -> tuple[Rejection, ...]:
        """Rejections among the resources that are applied."""
        return self._receiver.applied.rejections

    def next_timer_at(self) -> float:
        """Return when `on_timer` is due."""
        return self._connections.next_timer_at()

    def age(self, now: float) -> float:
        """Return for how many ms the table may have lacked a change, or `AGE_UNKNOWN`."""
        return self._receiver.age(now)

    def on_timer(self, now: float) -> list[Action]:
        """Do what is due; earlier calls do nothing."""
        if self._connections.on_timer(now, self._receiver.is_staging):
            connection = self._connections.heartbeat_due(now)
            if connection is not None:
                table = self.table
                self._send(connection, Heartbeat(table.epoch, table.revision, self.age(now)))
        return self._take_actions()

    def on_connected(self, now: float, connection: int) -> list[Action]:
        """Subscribe on a connection that was opened."""
        current = self._connections.find(connection)
        if current is not None and not current.is_open:
            self._connections.on_opened(now, current)
            self._send(current, self._receiver.subscription(self._settings))
        return self._take_actions()

    def on_disconnected(self, now: float, connection: int) -> list[Action]:
        """Back off: a connection could not be opened, or was closed by the other side."""
        current = self._connections.find(connection)
        if current is not None:
            self._connections.back_off(now, current)
        return self._take_actions()

    def on_bytes(self, now: float, connection: int) -> None:
        """Note that bytes came, if no complete message yet: a slow connection is not silent."""
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
                reason = f"a server does not send {type(message).__name__}"
                self._connections.fail_malformed(now, current, reason)
        return self._take_actions()

    def on_malformed(self, now: float, connection: int, reason: str) -> list[Action]:
        """Close a connection that brought bytes which are no message, or too many."""
        current = self._connections.find(connection)
        if current is not None:
            self._connections.fail_malformed(now, current, reason)
        return self._take_actions()

    def on_applied(
        self,
        now: float,  # noqa: ARG002  every event is given the time
        batch: int,
        rejected: Sequence[Rejection] = (),
    ) -> list[Action]:
        """Acknowledge a batch that was applied, and all before it, except for what was rejected."""
        if self._receiver.applied.on_applied(batch, rejected):
            self._acknowledge()
        return self._take_actions()

    def reapply(self) -> list[Action]:
        """Have all live resources applied once more, as they are judged by other settings now."""
        if live := tuple(self.table.live()):
            self._receiver.apply(live, complete=False)
        return self._take_actions()

    def set_servers(self, now: float, servers: Sequence[CandidateServer]) -> list[Action]:
        """Replace the list of servers; the connection stays where its server is still listed."""
        self._connections.set_servers(now, servers)
        return self._take_actions()

    def _on_heartbeat(self, now: float, connection: ServerConnection, message: Heartbeat) -> None:
        complete_at = now - message.age if message.age >= 0.0 else float("-inf")
        if self._connections.on_server_age(now, connection, complete_at):
            self._receiver.on_current_server(message, complete_at)

    def _on_update(self, now: float, connection: ServerConnection, update: Update) -> None:
        is_current = self._connections.is_known_current(now, connection)
        if not self._receiver.accepts_epoch(update, is_current):
            reason = "another history, left before or of a server that is not known to be fresh"
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
