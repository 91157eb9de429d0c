"""The receiving end of the distribution of control: one server at a time, and the last good table. Free of I/O.

Theory of operation. Servers are ordered by their distance and then by a hash of their name with this subscriber's
(rendezvous), so subscribers spread evenly and each has its own order of retreat. The rim opens a connection when it
is told to `Connect` and tells of it by its number; what comes from one that was given up is passed over.

| state | connected | message | silence, break or refusal | stale server |
| --- | --- | --- | --- | --- |
| waiting (for a pause to end) | - | - | - | - |
| connecting | subscribes: receiving | - | next server after a pause | - |
| receiving | - | applied | next server after a pause | next server, unless all were lately stale |

A pause is drawn from zero to a bound that doubles with each failure in a row (full jitter). An update is applied
only in order: a resource never replaces a newer one, snapshot parts are staged and swapped in with the last one, and
the digest is compared wherever the server says that the table is complete. A digest that differs, and nothing else,
makes it ask anew for all. Whatever is malformed or out of order is counted and ends that connection alone: the last
good table stays, with all servers lost too.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from dockthread.distribution.messages import Acknowledge, Heartbeat, Message, Rejection, Resource, Subscribe
from dockthread.distribution.resources import ResourceTable

NEVER = -1.0


@dataclass(frozen=True, slots=True)
class Server:
    """`distance`: those of a smaller one are preferred (0 for the own region)."""

    name: str
    distance: int = 0


@dataclass(frozen=True, slots=True)
class SubscriberTimes:
    """In ms. `connect`: for a connection and the answer to `Subscribe`; `silence`: after which a server is left;
    `stale`: age of a server's table at which it is left for a fresher one; `stale_memory`: for how long a server
    counts as stale after that; `pause_first`, `pause_most`: bounds of the drawn pause after a failure; `beat`:
    between the subscriber's own heartbeats."""

    connect: float = 1_000.0
    silence: float = 2_500.0
    beat: float = 1_000.0
    stale: float = 4_000.0
    stale_memory: float = 30_000.0
    pause_first: float = 200.0
    pause_most: float = 2_000.0


@dataclass(frozen=True, slots=True)
class Connect:
    """Open connection `connection` to `server`; then tell `connected`, or `disconnected`."""

    connection: int
    server: str


@dataclass(frozen=True, slots=True)
class Send:
    connection: int
    message: Subscribe | Acknowledge | Heartbeat


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close it, or give up opening it; nothing needs to be told of it any more."""

    connection: int
    reason: str


@dataclass(frozen=True, slots=True)
class Changed:
    """What differs in the table, the oldest revision first, `body` None for what is gone. The owner puts it in force,
    keeps its last good one of what it refuses, and tells `applied` with this `batch`. `complete`: up to `revision`
    nothing was left out when the server sent it."""

    batch: int
    epoch: str
    revision: int
    resources: tuple[Resource, ...]
    complete: bool


Action = Connect | Send | Disconnect | Changed


@dataclass(slots=True)
class Counts:
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
    old: int = 0  # resources and snapshots that were older than what was held


class Subscriber:
    """`table`: what is held at the start, as from a disk cache; it keeps its identity, and is changed only here.

    `rejections`: what the owner refused of that table. Ask `tick` at once and then at `due`.
    """

    def __init__(
        self,
        name: str,
        servers: Sequence[Server],
        times: SubscriberTimes,
        rng: random.Random,
        now: float,
        table: ResourceTable | None = None,
        rejections: Sequence[Rejection] = (),
        region: str = "",
        zone: str = "",
    ) -> None:
        self.name, self.table, self.counts = name, table or ResourceTable(), Counts()

    @property
    def server(self) -> str:
        """The one that it receives from, or connects to; empty for none."""
        raise NotImplementedError

    @property
    def rejections(self) -> tuple[Rejection, ...]:
        """What the owner refused of what the table holds."""
        raise NotImplementedError

    def due(self) -> float:
        """When it wants `tick` next."""
        raise NotImplementedError

    def age(self, now: float) -> float:
        """ms since all that was agreed on was known to be held here; `NEVER` for never."""
        raise NotImplementedError

    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
        raise NotImplementedError

    def connected(self, now: float, connection: int) -> list[Action]:
        """The connection is open."""
        raise NotImplementedError

    def disconnected(self, now: float, connection: int, reason: str = "") -> list[Action]:
        """It could not be opened, or was closed or broken by somebody else."""
        raise NotImplementedError

    def heard(self, now: float, connection: int, message: Message) -> list[Action]:
        """A whole message."""
        raise NotImplementedError

    def malformed(self, now: float, connection: int, reason: str) -> list[Action]:
        """Bytes that are no message, or too many."""
        raise NotImplementedError

    def applied(self, now: float, batch: int, rejected: Sequence[Rejection] = ()) -> list[Action]:
        """The owner has put a `Changed` in force but for what it refused. Batches are told in their order."""
        raise NotImplementedError

    def set_servers(self, now: float, servers: Sequence[Server]) -> list[Action]:
        """Another list; the connection stays where its server is still in it."""
        raise NotImplementedError
