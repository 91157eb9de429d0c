"""Actions that a subscriber returns for its caller to carry out, and counters of its events."""

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
    """Close a connection, or stop opening it; further events of it are ignored."""

    connection: int
    reason: str


@dataclass(frozen=True, slots=True)
class ResourcesChanged:
    """Apply changed resources; then call `on_applied` with the number of the batch.

    Attributes:
        batch: Number of the batch.
        epoch: Epoch of the table.
        revision: Revision of the table.
        resources: Changed resources, oldest revision first, with tombstones for deleted ones. If a
            resource is rejected, its last good version stays applied.
        complete: Whether the table matches the table of the server that sent the update.
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
        malformed: Messages that were malformed, unexpected or out of order.
        mismatches: Complete updates after which the digest differed.
        snapshots: Complete snapshots that were put into the table.
        deltas: Deltas that were put into the table.
        retries_later: `RetryLater` messages from servers at capacity.
        outdated_snapshots: Complete snapshots that stayed staged because they were older than the
            table.
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
    outdated_snapshots: int = 0
