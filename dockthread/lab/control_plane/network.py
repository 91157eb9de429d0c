"""A simulated network whose connections can be delayed, cut or broken.

A connection carries frames in order in each direction. While its ends cannot reach each other,
neither end notices; frames wait and arrive later, because TCP would retransmit them. If the process
of one end dies, the other end sees a broken connection once the two machines can reach each other.
Connections and frames to a stalled process (SIGSTOP) wait in its kernel's buffers until it resumes.
Times are in ms.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, Final, NamedTuple, Protocol

RETRY_INTERVAL: Final = 200.0
"""Interval between attempts to reach an unreachable or stalled process, in ms."""
WINDOW_BYTES: Final = 3_000
"""Bytes in flight in one direction of a connection at which its sender has to wait."""
MEAN_DELAY: Final = 5.0
"""Mean queueing delay of a frame without faults, in ms."""
REGION_DISTANCE: Final = 4.0
"""Ratio of the propagation delay between regions to that within a region."""
ORDER_DELAY: Final = 1.0
"""Interval at which a break checks whether the frames sent before it have arrived, in ms."""


class _Event(NamedTuple):
    """A scheduled call; `number` orders calls that are scheduled for the same time."""

    at: float
    number: int
    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class SimulatedClock:
    """Simulated time and the calls that are scheduled in it.

    Attributes:
        now: Current time in ms.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._count = 0
        self._events: list[_Event] = []  # a heap

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after `delay` ms."""
        self._count += 1
        event = _Event(self.now + max(0.0, delay), self._count, callback, arguments)
        heappush(self._events, event)

    def run_until(self, end: float, may_continue: Callable[[], bool]) -> None:
        """Run the scheduled calls up to time `end`, as long as `may_continue` returns True."""
        while self._events and self._events[0].at <= end and may_continue():
            event = heappop(self._events)
            self.now = event.at
            event.callback(*event.arguments)
        self.now = max(self.now, end)


class Endpoint(Protocol):
    """Interface of a process to the network.

    Attributes:
        name: Name of the process.
        region: Region of its machine.
        zone: Zone of its machine.
        incarnation: Number of times that the process was started.
        is_up: Whether the process runs; true for a stalled process too.
        is_stalled: Whether the process is stopped by SIGSTOP.
    """

    name: str
    region: str
    zone: str
    incarnation: int
    is_up: bool
    is_stalled: bool

    def on_accepted(self, connection: Connection) -> None:
        """Handle a connection that another process opened."""

    def on_opened(self, connection: Connection) -> None:
        """Handle that a connection that this process opened is established."""

    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame."""

    def on_broken(self, connection: Connection) -> None:
        """Handle that the connection broke, or that the other end closed it or died."""

    def on_writable(self, connection: Connection) -> None:
        """Handle that a sent frame arrived, which frees capacity for further frames."""


@dataclass(slots=True)
class _Direction:
    """Frames in flight from one end to the other."""

    frames: deque[bytes] = field(default_factory=deque)
    in_flight: int = 0  # bytes
    is_moving: bool = False  # whether the first frame is being transmitted


@dataclass(slots=True, eq=False)
class Connection:
    """A connection between two processes.

    Attributes:
        client: Process that opened it.
        server: Process that accepts it.
        number: Number that the client uses for the connection.
        connection_id: Number that is unique among all connections of the simulation.
        client_incarnation: Incarnation of the client that opened it.
        server_incarnation: Incarnation of the server that accepted it; -1 until it is accepted.
        directions: Frames in flight, by the name of the sender.
        slowness: Transfer time per byte to the client, in ms.
        closed_by: Names of the ends that closed the connection or saw it break.
    """

    client: Endpoint
    server: Endpoint
    number: int
    connection_id: int
    client_incarnation: int
    server_incarnation: int
    directions: dict[str, _Direction]
    slowness: float = 0.0
    closed_by: set[str] = field(default_factory=set)

    def other(self, end: Endpoint) -> Endpoint:
        """Return the process at the other end."""
        return self.server if end is self.client else self.client

    def is_alive_at(self, end: Endpoint) -> bool:
        """Return whether one end still has the connection open."""
        is_client = end is self.client
        incarnation = self.client_incarnation if is_client else self.server_incarnation
        return end.is_up and end.incarnation == incarnation and end.name not in self.closed_by


class Network:
    """Connections between processes, and the faults that affect them.

    Attributes:
        mean_delay: Mean queueing delay of a frame in ms.
        cut_regions: Pairs of regions that cannot reach each other.
        cut_links: Pairs of processes that cannot reach each other.
        dark_zones: Zones whose processes can neither reach nor be reached by any process.
        slowness: Transfer time per byte in ms, by the name of the receiving client.
        corruption_rate: Probability that a frame arrives corrupted.
        connections: Connections that the server has accepted, by `connection_id`.
    """

    def __init__(self, clock: SimulatedClock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self.mean_delay = MEAN_DELAY
        self.cut_regions: set[frozenset[str]] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.dark_zones: set[str] = set()
        self.slowness: dict[str, float] = {}
        self.corruption_rate = 0.0
        self.connections: dict[int, Connection] = {}
        self._count = 0

    def heal(self) -> None:
        """End all faults of the network."""
        self.cut_regions.clear()
        self.cut_links.clear()
        self.dark_zones.clear()
        self.slowness.clear()
        for connection in self.connections.values():
            connection.slowness = 0.0
        self.mean_delay = MEAN_DELAY
        self.corruption_rate = 0.0

    def stop_corruption(self) -> None:
        """Stop corrupting frames."""
        self.corruption_rate = 0.0

    def can_reach(self, one: Endpoint, other: Endpoint) -> bool:
        """Return whether two processes can reach each other."""
        if one.zone in self.dark_zones or other.zone in self.dark_zones:
            return False
        if frozenset((one.name, other.name)) in self.cut_links:
            return False
        return frozenset((one.region, other.region)) not in self.cut_regions

    def latency(self, one: Endpoint, other: Endpoint) -> float:
        """Return a random latency for a frame between two processes, in ms."""
        distance = 1.0 if one.region == other.region else REGION_DISTANCE
        propagation = self._rng.uniform(0.2, 1.0) * distance
        return propagation + self._rng.expovariate(1.0 / self.mean_delay)

    def connect(self, client: Endpoint, server: Endpoint, number: int) -> Connection:
        """Open a connection; the client's `on_opened` or `on_broken` is called later."""
        self._count += 1
        directions = {client.name: _Direction(), server.name: _Direction()}
        connection = Connection(
            client,
            server,
            number,
            self._count,
            client.incarnation,
            -1,
            directions,
            self.slowness.get(client.name, 0.0),
        )
        self._clock.call_later(self.latency(client, server), self._accept, connection)
        return connection

    def send(self, connection: Connection, sender: Endpoint, data: bytes) -> None:
        """Send a frame."""
        direction = connection.directions[sender.name]
        direction.frames.append(data)
        direction.in_flight += len(data)
        self._move(connection, sender)

    def has_capacity(self, connection: Connection, sender: Endpoint) -> bool:
        """Return whether a sender may send another frame without waiting."""
        return connection.directions[sender.name].in_flight < WINDOW_BYTES

    def close(self, connection: Connection, end: Endpoint) -> None:
        """Close one end of a connection; the other end notices once it can be reached."""
        connection.closed_by.add(end.name)
        delay = self.latency(end, connection.other(end))
        self._clock.call_later(delay, self._notify_broken, connection, end)

    def on_died(self, end: Endpoint) -> None:
        """Close the connections of a process that died."""
        own = [one for one in self.connections.values() if end in (one.client, one.server)]
        for connection in own:
            self.close(connection, end)

    def break_one(self) -> None:
        """Break a random connection at both ends."""
        if self.connections:
            connection = self.connections[self._rng.choice(sorted(self.connections))]
            self._clock.call_later(0.0, self._notify_broken, connection, connection.client)
            self._clock.call_later(0.0, self._notify_broken, connection, connection.server)

    def _accept(self, connection: Connection) -> None:
        client = connection.client
        server = connection.server
        if not connection.is_alive_at(client):
            return
        if not self.can_reach(client, server):
            self._clock.call_later(RETRY_INTERVAL, self._accept, connection)
        elif not server.is_up:
            delay = self.latency(server, client)
            self._clock.call_later(delay, self._notify_broken, connection, server)
        else:
            connection.server_incarnation = server.incarnation
            self.connections[connection.connection_id] = connection
            server.on_accepted(connection)
            self._clock.call_later(self.latency(server, client), self._open, connection)

    def _open(self, connection: Connection) -> None:
        client = connection.client
        if not connection.is_alive_at(client):
            return
        if client.is_stalled or not self.can_reach(client, connection.server):
            self._clock.call_later(RETRY_INTERVAL, self._open, connection)
        else:
            client.on_opened(connection)

    def _move(self, connection: Connection, sender: Endpoint) -> None:
        """Start to transmit the first waiting frame, unless a frame is being transmitted."""
        direction = connection.directions[sender.name]
        if direction.is_moving or not direction.frames:
            return
        direction.is_moving = True
        transfer = 0.0
        if sender is connection.server:
            transfer = len(direction.frames[0]) * connection.slowness
        delay = transfer + self.latency(sender, connection.other(sender))
        self._clock.call_later(delay, self._arrive, connection, sender)

    def _arrive(self, connection: Connection, sender: Endpoint) -> None:
        receiver = connection.other(sender)
        direction = connection.directions[sender.name]
        direction.is_moving = False
        if not connection.is_alive_at(receiver):
            self._notify_broken(connection, receiver)
            return
        if receiver.is_stalled or not self.can_reach(sender, receiver):
            direction.is_moving = True
            self._clock.call_later(RETRY_INTERVAL, self._arrive, connection, sender)
            return
        data = direction.frames.popleft()
        direction.in_flight -= len(data)
        if self._rng.random() < self.corruption_rate:
            data = data[:-1] + bytes([data[-1] ^ 0xC1]) + b"\xc1"
        receiver.on_frame(connection, data)
        if connection.is_alive_at(sender) and not sender.is_stalled:
            sender.on_writable(connection)
        self._move(connection, sender)

    def _notify_broken(self, connection: Connection, broken_end: Endpoint) -> None:
        """Tell the end opposite `broken_end` that the connection broke, once it can be reached."""
        receiver = connection.other(broken_end)
        if not connection.is_alive_at(receiver):
            self.connections.pop(connection.connection_id, None)
            return
        if receiver.is_stalled or not self.can_reach(broken_end, receiver):
            self._clock.call_later(RETRY_INTERVAL, self._notify_broken, connection, broken_end)
            return
        if connection.directions[broken_end.name].frames and broken_end.is_up:
            # The break must not overtake frames that were sent before it.
            self._clock.call_later(ORDER_DELAY, self._notify_broken, connection, broken_end)
            return
        connection.closed_by.add(receiver.name)
        self.connections.pop(connection.connection_id, None)
        receiver.on_broken(connection)
