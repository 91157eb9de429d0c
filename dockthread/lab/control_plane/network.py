"""A simulated network between processes in zones, whose connections are delayed, cut or broken.

A connection carries frames in order in each direction. While its ends cannot reach each other
neither notices; what was sent waits and arrives later, as TCP retransmits. An end whose process
died is noticed as broken once it can be reached. A process that is stalled (SIGSTOP) takes
connections and frames into its kernel's buffers and answers nothing. Times are in ms.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, Final, NamedTuple, Protocol

RETRY_INTERVAL: Final = 200.0
"""Time in ms between attempts to deliver what cannot reach its end."""
WINDOW_BYTES: Final = 3_000
"""Bytes in flight on a connection from which on its sender has to wait."""
MEAN_DELAY: Final = 5.0
"""Mean queueing delay of a frame in ms, without faults."""
REGION_DISTANCE: Final = 4.0
"""Times the latency within a region that a frame takes to another one."""
ORDER_DELAY: Final = 1.0
"""Time in ms after which a break is tried again that must not overtake sent frames."""


class _Event(NamedTuple):
    """A call at a time; the number keeps the order of those at the same time."""

    at: float
    number: int
    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class SimulatedClock:
    """Simulated time and the calls that are planned in it.

    Attributes:
        now: Current time in ms.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._count = 0
        self._events: list[_Event] = []  # a heap

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Plan a call after `delay` ms."""
        self._count += 1
        event = _Event(self.now + max(0.0, delay), self._count, callback, arguments)
        heappush(self._events, event)

    def run_until(self, end: float, may_continue: Callable[[], bool]) -> None:
        """Make the planned calls up to a time, while `may_continue` returns True."""
        while self._events and self._events[0].at <= end and may_continue():
            event = heappop(self._events)
            self.now = event.at
            event.callback(*event.arguments)
        self.now = max(self.now, end)


class Endpoint(Protocol):
    """A process as the network knows it.

    Attributes:
        name: Name of the process.
        region: Region of its machine.
        zone: Zone of its machine.
        incarnation: How often it was started.
        is_up: Whether it runs.
        is_stalled: Whether it is held by SIGSTOP.
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
        """Handle that a connection of its own is open."""

    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame."""

    def on_broken(self, connection: Connection) -> None:
        """Handle that the other end closed the connection, or died."""

    def on_writable(self, connection: Connection) -> None:
        """Handle that a frame arrived, so that there is capacity for the next."""


@dataclass(slots=True)
class _Direction:
    """Frames in flight from one end to the other."""

    frames: deque[bytes] = field(default_factory=deque)
    in_flight: int = 0  # bytes
    is_moving: bool = False  # the first frame is on its way


@dataclass(slots=True, eq=False)
class Connection:
    """A connection of two processes.

    Attributes:
        client: Process that opened it.
        server: Process that accepts it.
        number: Number that the client gave it.
        connection_id: Number among all connections of the simulation.
        client_incarnation: Incarnation of the client that opened it.
        server_incarnation: Incarnation of the server that accepted it; -1 before.
        directions: Frames in flight, by the name of the sender.
        slowness: Time in ms that each byte to the client takes.
        closed_by: Names of the ends that gave it up.
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
        """Return the other end."""
        return self.server if end is self.client else self.client

    def is_alive_at(self, end: Endpoint) -> bool:
        """Return whether the process of an end still has the connection."""
        is_client = end is self.client
        incarnation = self.client_incarnation if is_client else self.server_incarnation
        return end.is_up and end.incarnation == incarnation and end.name not in self.closed_by


class Network:
    """Which processes reach each other, how fast, and what is in flight.

    Attributes:
        mean_delay: Mean queueing delay of a frame in ms.
        cut_regions: Pairs of regions that do not reach each other.
        cut_links: Pairs of processes that do not reach each other.
        dark_zones: Zones that nothing reaches.
        slowness: Time in ms that each byte takes, by the client that receives it.
        corruption_rate: Probability that a frame arrives corrupted.
        connections: Connections that both ends know, by their id.
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
        """Deliver frames as they were sent."""
        self.corruption_rate = 0.0

    def can_reach(self, one: Endpoint, other: Endpoint) -> bool:
        """Return whether two processes reach each other."""
        if one.zone in self.dark_zones or other.zone in self.dark_zones:
            return False
        if frozenset((one.name, other.name)) in self.cut_links:
            return False
        return frozenset((one.region, other.region)) not in self.cut_regions

    def latency(self, one: Endpoint, other: Endpoint) -> float:
        """Draw the latency of a frame in ms."""
        distance = 1.0 if one.region == other.region else REGION_DISTANCE
        propagation = self._rng.uniform(0.2, 1.0) * distance
        return propagation + self._rng.expovariate(1.0 / self.mean_delay)

    def connect(self, client: Endpoint, server: Endpoint, number: int) -> Connection:
        """Open a connection; `Endpoint.on_opened` or `on_broken` follows."""
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
        """Return whether a sender may send without waiting."""
        return connection.directions[sender.name].in_flight < WINDOW_BYTES

    def close(self, connection: Connection, end: Endpoint) -> None:
        """Close one end; the other notices when it can be reached."""
        connection.closed_by.add(end.name)
        delay = self.latency(end, connection.other(end))
        self._clock.call_later(delay, self._notify_broken, connection, end)

    def on_died(self, end: Endpoint) -> None:
        """Close the connections of a process that died."""
        own = [one for one in self.connections.values() if end in (one.client, one.server)]
        for connection in own:
            self.close(connection, end)

    def break_one(self) -> None:
        """Break a connection, drawn at random, for both ends."""
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
        """Put the first waiting frame on its way."""
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
        """Have the other end notice that the connection is broken."""
        receiver = connection.other(broken_end)
        if not connection.is_alive_at(receiver):
            self.connections.pop(connection.connection_id, None)
            return
        if receiver.is_stalled or not self.can_reach(broken_end, receiver):
            self._clock.call_later(RETRY_INTERVAL, self._notify_broken, connection, broken_end)
            return
        if connection.directions[broken_end.name].frames and broken_end.is_up:
            # The break arrives behind what was sent before.
            self._clock.call_later(ORDER_DELAY, self._notify_broken, connection, broken_end)
            return
        connection.closed_by.add(receiver.name)
        self.connections.pop(connection.connection_id, None)
        receiver.on_broken(connection)
