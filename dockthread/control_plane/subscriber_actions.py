"""What a subscriber gives to be carried out, its times and its counts. Decides nothing."""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.control_plane.messages import Acknowledge, Heartbeat, Resource, Subscribe


@dataclass(frozen=True, slots=True)
class SubscriberTimes:
    """In ms.

    `connect`: for a connection and the first message on it; `silence`: after which a server is
    left; `beat`: between the subscriber's own heartbeats; `stale`: age of a server's table at which
    it is left for a fresher one; `stale_memory`, `failed_memory`: for how long a server is passed
    over after it was stale, or failed; `pause_first`, `pause_most`: bounds of the drawn pause after
    a failure; `retry_most`: the most that `RetryLater` may ask for; `home`: after which, give or
    take half, a subscriber of another server goes back to its first choice.
    """

    connect_timeout: float = 1_000.0
    silence_timeout: float = 2_500.0
    heartbeat_interval: float = 1_000.0
    staleness_limit: float = 4_000.0
    stale_penalty: float = 30_000.0
    failure_penalty: float = 60_000.0
    backoff_initial: float = 200.0
    backoff_max: float = 2_000.0
    retry_after_max: float = 60_000.0
    return_interval: float = 300_000.0


@dataclass(frozen=True, slots=True)
class Connect:
    """Open connection `connection` to `server`; then tell `connected`, or `disconnected`."""

    connection: int
    server: str


@dataclass(frozen=True, slots=True)
class Send:
    """Write a message on a connection."""

    connection: int
    message: Subscribe | Acknowledge | Heartbeat


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close it, or give up opening it; nothing needs to be told of it any more."""

    connection: int
    reason: str


@dataclass(frozen=True, slots=True)
class ResourcesChanged:
    """What differs in the table, the oldest revision first, `body` None for what is gone. The owner
    puts it in force, keeps its last good one of what it refuses, and tells `applied` with this
    `batch`. `complete`: up to `revision` nothing was left out when the server sent it.
    """

    batch: int
    epoch: str
    revision: int
    resources: tuple[Resource, ...]
    complete: bool


Action = Connect | Send | Disconnect | ResourcesChanged


@dataclass(slots=True)
class SubscriberCounts:
    """Since the start."""

    connections: int = 0
    failures: int = 0
    silences: int = 0
    stale: int = 0
    malformed: int = 0
    mismatches: int = 0
    snapshots: int = 0
    deltas: int = 0
    retries_later: int = 0
    old: int = 0  # snapshots that were older than what was held, and waited for what followed
