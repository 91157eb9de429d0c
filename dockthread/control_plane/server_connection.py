"""Manages a subscriber's connection to one server at a time: selects the server and leaves it.

| state | next step after silence, disconnect or refusal | next step if the server is stale |
| --- | --- | --- |
| no connection (backing off) | - | - |
| `CONNECTING` | next server after a backoff | - |
| `SUBSCRIBED` (no message yet) | next server after a backoff | - |
| `RECEIVING` | next server after a backoff | next server, when `staleness` allows |

A subscriber that is not connected to its preferred server tries periodically to return to it. Times
are in ms.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from dockthread.control_plane.backoff import ReconnectBackoff
from dockthread.control_plane.server_selection import CandidateServer, ServerSelector
from dockthread.control_plane.staleness import NEVER_DUE, StaleServerPolicy
from dockthread.control_plane.subscriber_actions import (
    Action,
    Connect,
    Disconnect,
    SubscriberCounts,
)
from dockthread.control_plane.subscriber_settings import SubscriberSettings


class ConnectionState(Enum):
    """Progress of a connection."""

    CONNECTING = auto()
    SUBSCRIBED = auto()
    RECEIVING = auto()


@dataclass(slots=True)
class ServerConnection:
    """The current connection.

    Attributes:
        number: Number of the connection, counted from 1.
        server: Name of the server.
        deadline: When the connection fails unless a message has arrived.
        heartbeat_at: When the next heartbeat is due.
        return_at: When to try to return to the preferred server.
        is_open: Whether the connection has opened and the subscription was sent.
        last_received_at: When the last bytes arrived from the server; None before its first message.
        complete_at: When the server's table was last known to be complete; None before its first
            heartbeat.
    """

    number: int
    server: str
    deadline: float
    heartbeat_at: float
    return_at: float
    is_open: bool = False
    last_received_at: float | None = None
    complete_at: float | None = None

    @property
    def state(self) -> ConnectionState:
        """Progress of the connection."""
        if self.last_received_at is not None:
            return ConnectionState.RECEIVING
        return ConnectionState.SUBSCRIBED if self.is_open else ConnectionState.CONNECTING

    def is_overdue(self, now: float) -> bool:
        """Return whether no message arrived by the deadline."""
        return self.state is not ConnectionState.RECEIVING and now >= self.deadline

    def has_timed_out(self, now: float, silence_timeout: float) -> bool:
        """Return whether nothing has arrived for `silence_timeout` ms since the last bytes."""
        last_received_at = self.last_received_at
        return last_received_at is not None and now >= last_received_at + silence_timeout


class ConnectionManager:
    """Opens, closes and replaces the connection of a subscriber.

    Appends actions to `actions`, and calls `before_connect` before each `Connect`.

    Attributes:
        current: The current connection; None while backing off.
        servers: The servers in the subscriber's order of preference.
    """

    def __init__(  # noqa: PLR0913  state shared with the subscriber
        self,
        settings: SubscriberSettings,
        servers: Sequence[CandidateServer],
        rng: random.Random,
        now: float,
        counts: SubscriberCounts,
        actions: list[Action],
        before_connect: Callable[[], None],
    ) -> None:
        self.current: ServerConnection | None = None
        self.servers = ServerSelector(settings.name, servers)
        self._times = settings.times
        self._rng = rng
        self._counts = counts
        self._actions = actions
        self._before_connect = before_connect
        self._backoff = ReconnectBackoff(self._times, rng, now)
        self._staleness = StaleServerPolicy(self._times, rng, len(self.servers), now)
        self._last_number = 0

    def find(self, number: int) -> ServerConnection | None:
        """Return the current connection if it has this number."""
        if self.current is None or self.current.number != number:
            return None
        return self.current

    def next_timer_at(self) -> float:
        """Return when `on_timer` is due."""
        connection = self.current
        if connection is None:
            return self._backoff.wait_until
        if connection.last_received_at is None:
            if connection.is_open:
                return min(connection.deadline, connection.heartbeat_at)
            return connection.deadline
        return min(
            connection.last_received_at + self._times.silence_timeout,
            connection.heartbeat_at,
            connection.return_at,
            self._leave_stale_at(connection),
        )

    def on_timer(self, now: float, is_staging: bool) -> bool:
        """Handle expired timers: connect, or leave a server that is silent, stale or not preferred.

        A staged snapshot (`is_staging`) is not interrupted to return to the preferred server.

        Returns:
            Whether the connection is kept and no other timer expired, so a heartbeat may be sent.
        """
        connection = self.current
        if connection is None:
            if now >= self._backoff.wait_until:
                self._connect(now, self.servers.select(now))
            return False
        if connection.is_overdue(now):
            self.fail(now, connection, "no response in time")
        elif connection.has_timed_out(now, self._times.silence_timeout):
            self._counts.silences += 1
            self.fail(now, connection, "silent for too long")
        elif now >= self._leave_stale_at(connection):
            self._leave_stale(now, connection)
        elif now >= connection.return_at:
            self._return_to_preferred(now, connection, is_staging)
        else:
            return True
        return False

    def on_opened(self, now: float, connection: ServerConnection) -> None:
        """Record that the connection has opened."""
        connection.is_open = True
        connection.heartbeat_at = now + self._times.heartbeat_interval

    def heartbeat_due(self, now: float) -> ServerConnection | None:
        """Return the connection if a heartbeat is due on it, and schedule the next one."""
        connection = self.current
        if connection is None or not connection.is_open or now < connection.heartbeat_at:
            return None
        connection.heartbeat_at = now + self._times.heartbeat_interval
        return connection

    def on_server_age(self, now: float, connection: ServerConnection, complete_at: float) -> bool:
        """Record when the server's table was last known to be complete.

        If the server is stale, it is left as soon as `staleness` allows.

        Returns:
            Whether the server is not stale.
        """
        connection.complete_at = complete_at
        if not self._staleness.is_stale(now, complete_at):
            self._staleness.on_fresh_server(len(self.servers))
            return True
        if now >= self._leave_stale_at(connection):
            self._leave_stale(now, connection)
        return False

    def is_known_fresh(self, now: float, connection: ServerConnection) -> bool:
        """Return whether the server has reported that its table is not stale."""
        complete_at = connection.complete_at
        return complete_at is not None and not self._staleness.is_stale(now, complete_at)

    def on_complete_update(self) -> None:
        """Record that the connection brought a complete update."""
        self._backoff.reset()

    def disconnect(self, connection: ServerConnection, reason: str) -> None:
        """Close the connection."""
        self._actions.append(Disconnect(connection.number, reason))
        self.current = None

    def fail(self, now: float, connection: ServerConnection, reason: str) -> None:
        """Close the connection and back off."""
        self._actions.append(Disconnect(connection.number, reason))
        self.back_off(now, connection)

    def fail_malformed(self, now: float, connection: ServerConnection, reason: str) -> None:
        """Close the connection after a malformed or unexpected message, and back off."""
        self._counts.malformed += 1
        self.fail(now, connection, reason)

    def back_off(self, now: float, connection: ServerConnection) -> None:
        """Start a backoff, because the connection failed or was closed."""
        self._counts.failures += 1
        self.current = None
        self.servers.penalize(connection.server, now + self._times.failure_penalty)
        self._backoff.on_failure(now)

    def retry_later(self, now: float, connection: ServerConnection, after: float) -> None:
        """Close the connection, and retry after `after` ms; the server is at capacity."""
        self._counts.retries_later += 1
        self.disconnect(connection, "the server is at capacity")
        self.servers.penalize(connection.server, now + self._times.failure_penalty)
        self._backoff.on_retry_later(now, after)

    def set_servers(self, now: float, servers: Sequence[CandidateServer]) -> None:
        """Replace the list of servers; the connection is kept if its server is still listed."""
        self.servers.set_servers(servers)
        self._staleness.on_fresh_server(len(self.servers))
        if self.current is not None and self.current.server not in self.servers:
            self.disconnect(self.current, "its server is no longer listed")
            self._backoff.wait_until = now

    def _connect(self, now: float, server: str) -> None:
        if not server:  # no server is listed; `set_servers` ends the wait early
            self._backoff.wait_until = now + self._times.backoff_max
            return
        self._last_number += 1
        self._counts.connections += 1
        return_at = NEVER_DUE
        if not self.servers.is_preferred(server):
            return_at = self._draw_return_at(now)
        deadline = now + self._times.connect_timeout
        self.current = ServerConnection(self._last_number, server, deadline, deadline, return_at)
        self._before_connect()
        self._actions.append(Connect(self._last_number, server))

    def _draw_return_at(self, now: float) -> float:
        return now + self._times.return_interval * self._rng.uniform(0.5, 1.5)

    def _return_to_preferred(
        self, now: float, connection: ServerConnection, is_staging: bool
    ) -> None:
        preferred = self.servers.preferred(now)
        if preferred and not is_staging:
            self.disconnect(connection, "returning to the preferred server")
            self._connect(now, preferred)
        else:
            connection.return_at = self._draw_return_at(now)

    def _leave_stale_at(self, connection: ServerConnection) -> float:
        """Return when to leave the server, unless it reports a fresher table first."""
        if connection.last_received_at is None or len(self.servers) < 2:
            return NEVER_DUE
        return self._staleness.leave_at(connection.complete_at)

    def _leave_stale(self, now: float, connection: ServerConnection) -> None:
        self._counts.stale += 1
        self._staleness.on_left(now)
        self.servers.penalize(connection.server, now + self._times.stale_penalty)
        self.disconnect(connection, "its table is stale")
        self._connect(now, self.servers.select(now, exclude=connection.server))
