"""Actions that a subscriber returns for its caller to carry out, and its counters."""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.control_plane.messages import Acknowledge, Heartbeat, Resource, Subscribe


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to a server; then call `on_connected` or `on_disconnected`."""

    connection: int
    server: str


@dataclass(frozen=True, slots=True)
class Send:
    """Write a message on a connection."""

    connection: int
    message: Subscribe | Acknowledge | Heartbeat


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close a connection, or stop opening it; no event of it is expected any more."""

    connection: int
    reason: str


@dataclass(frozen=True, slots=True)
class ResourcesChanged:
    """Apply what changed in the table; then call `on_applied` with the number of the batch.

    Attributes:
        batch: Number of the batch.
        epoch: History of the table.
        revision: Revision of the table.
        resources: What changed, the oldest revision first; tombstones for what was deleted. Of a
            resource that is rejected the last good version stays applied.
        complete: Whether the table lacked nothing when the server sent it.
    """

    batch: int
    epoch: str
    revision: int
    resources: tuple[Resource, ...]
    complete: bool


Action = Connect | Send | Disconnect | ResourcesChanged


@dataclass(slots=True)
class SubscriberCounts:
    """Events of a subscriber since its start.

    Attributes:
        connections: Connections that it opened or tried to open.
        failures: Connections that failed, each followed by a backoff.
        silences: Servers left because they sent nothing.
        stale: Servers left because their table was stale.
        malformed: Messages that were malformed or out of order.
        mismatches: Complete updates after which the digest differed.
        snapshots: Updates that belonged to snapshots.
        deltas: Deltas.
        retries_later: Servers that asked for a later retry.
        old: Complete snapshots that were older than the table, and were staged further.
    """

    connections: int = 0
    failures: int = 0
    silences: int = 0
    stale: int = 0
    malformed: int = 0
    mismatches: int = 0
    snapshots: int = 0
    deltas: int = 0
    retries_later: int = 0
    old: int = 0
