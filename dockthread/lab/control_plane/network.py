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

DELIVERY_RETRY_INTERVAL: Final = 200.0
"""Interval between attempts to reach an unreachable or stalled process, in ms."""
WINDOW_BYTES: Final = 3_000
"""Bytes in flight in one direction of a connection at which its sender has to wait."""
MEAN_QUEUEING_DELAY: Final = 5.0
"""Mean queueing delay of a frame without faults, in ms."""
CROSS_REGION_FACTOR: Final = 4.0
"""Ratio of the propagation delay between regions to that within a region."""
BREAK_RETRY_INTERVAL: Final = 1.0
"""Interval between checks whether the frames sent before a break have arrived, in ms."""


class _Event(NamedTuple):
    """A scheduled call; `sequence_number` orders calls that are scheduled for the same time."""

    due_at: float
    sequence_number: int
    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class SimulatedClock:
    """Simulated time and the calls that are scheduled in it.

    Attributes:
        now: Current time in ms.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._call_count = 0
        self._events: list[_Event] = []  # heap with the earliest event first

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after `delay` ms."""
        self._call_count += 1
        event = _Event(self.now + max(0.0, delay), self._call_count, callback, arguments)
        heappush(self._events, event)

    def run_until(self, end: float, should_continue: Callable[[], bool]) -> None:
        """Run the scheduled calls up to time `end`, as long as `should_continue` returns True."""
        while self._events and self._events[0].due_at <= end and should_continue():
            event = heappop(self._events)
            self.now = event.due_at
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
        """Handle the establishment of a connection that this process opened."""

    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame."""

    def on_broken(self, connection: Connection) -> None:
        """Handle the end of a connection: it broke, or the other end closed it or died."""

    def on_writable(self, connection: Connection) -> None:
        """Handle the arrival of a sent frame, which frees capacity for further frames."""


@dataclass(slots=True)
class _Direction:
    """Frames in flight from one end to the other."""

    frames: deque[bytes] = field(default_factory=deque)
    in_flight: int = 0  # size of the frames in bytes
    is_transmitting: bool = False  # whether the first frame is being transmitted


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
        time_per_byte: Transfer time per byte to the client, in ms.
        closed_by: Names of the ends that closed the connection or saw it break.
    """

    client: Endpoint
    server: Endpoint
    number: int
    connection_id: int
    client_incarnation: int
    server_incarnation: int
    directions: dict[str, _Direction]
    time_per_byte: float = 0.0
    closed_by: set[str] = field(default_factory=set)

    def peer_of(self, end: Endpoint) -> Endpoint:
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
        mean_queueing_delay: Mean queueing delay of a frame in ms.
        cut_region_pairs: Pairs of regions that cannot reach each other.
        cut_links: Pairs of processes that cannot reach each other.
        isolated_zones: Zones whose processes can neither reach nor be reached by any process.
        time_per_byte: Transfer time per byte in ms, by the name of the receiving client.
        corruption_rate: Probability that a frame arrives corrupted.
        connections: Connections that the server has accepted, by `connection_id`.
    """

    def __init__(self, clock: SimulatedClock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self.mean_queueing_delay = MEAN_QUEUEING_DELAY
        self.cut_region_pairs: set[frozenset[str]] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.isolated_zones: set[str] = set()
        self.time_per_byte: dict[str, float] = {}
        self.corruption_rate = 0.0
        self.connections: dict[int, Connection] = {}
        self._connection_count = 0

    def heal(self) -> None:
        """End all faults of the network."""
        self.cut_region_pairs.clear()
        self.cut_links.clear()
        self.isolated_zones.clear()
        self.time_per_byte.clear()
        for connection in self.connections.values():
            connection.time_per_byte = 0.0
        self.mean_queueing_delay = MEAN_QUEUEING_DELAY
        self.corruption_rate = 0.0

    def stop_corruption(self) -> None:
        """Stop corrupting frames."""
        self.corruption_rate = 0.0

    def can_reach(self, first: Endpoint, second: Endpoint) -> bool:
        """Return whether two processes can reach each other."""
        if first.zone in self.isolated_zones or second.zone in self.isolated_zones:
            return False
        if frozenset((first.name, second.name)) in self.cut_links:
            return False
        return frozenset((first.region, second.region)) not in self.cut_region_pairs

    def latency(self, first: Endpoint, second: Endpoint) -> float:
        """Return a random latency for a frame between two processes, in ms."""
        distance_factor = 1.0 if first.region == second.region else CROSS_REGION_FACTOR
        propagation = self._rng.uniform(0.2, 1.0) * distance_factor
        return propagation + self._rng.expovariate(1.0 / self.mean_queueing_delay)

    def connect(self, client: Endpoint, server: Endpoint, number: int) -> Connection:
        """Open a connection; the client's `on_opened` or `on_broken` is called later."""
        self._connection_count += 1
        directions = {client.name: _Direction(), server.name: _Direction()}
        connection = Connection(
            client,
            server,
            number,
            self._connection_count,
            client.incarnation,
            -1,
            directions,
            self.time_per_byte.get(client.name, 0.0),
        )
        self._clock.call_later(self.latency(client, server), self._accept, connection)
        return connection

    def send(self, connection: Connection, sender: Endpoint, data: bytes) -> None:
        """Send a frame."""
        direction = connection.directions[sender.name]
        direction.frames.append(data)
        direction.in_flight += len(data)
        self._transmit_next(connection, sender)

    def has_capacity(self, connection: Connection, sender: Endpoint) -> bool:
        """Return whether a sender may send another frame without waiting."""
        return connection.directions[sender.name].in_flight < WINDOW_BYTES

    def close(self, connection: Connection, end: Endpoint) -> None:
        """Close one end of a connection; the other end notices once it can be reached."""
        connection.closed_by.add(end.name)
        delay = self.latency(end, connection.peer_of(end))
        self._clock.call_later(delay, self._notify_broken, connection, end)

    def on_died(self, end: Endpoint) -> None:
        """Close the connections of a process that died."""
        own_connections = [
            connection
            for connection in self.connections.values()
            if end in (connection.client, connection.server)
        ]
        for connection in own_connections:
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
            self._clock.call_later(DELIVERY_RETRY_INTERVAL, self._accept, connection)
        elif not server.is_up:
            delay = self.latency(server, client)
            self._clock.call_later(delay, self._notify_broken, connection, server)
        else:
            connection.server_incarnation = server.incarnation
            self.connections[connection.connection_id] = connection
            server.on_accepted(connection)
            self._clock.call_later(self.latency(server, client), self._complete_open, connection)

    def _complete_open(self, connection: Connection) -> None:
        client = connection.client
        if not connection.is_alive_at(client):
            return
        if client.is_stalled or not self.can_reach(client, connection.server):
            self._clock.call_later(DELIVERY_RETRY_INTERVAL, self._complete_open, connection)
        else:
            client.on_opened(connection)

    def _transmit_next(self, connection: Connection, sender: Endpoint) -> None:
        """Start to transmit the first waiting frame, unless a frame is being transmitted."""
        direction = connection.directions[sender.name]
        if direction.is_transmitting or not direction.frames:
            return
        direction.is_transmitting = True
        transfer_time = 0.0
        if sender is connection.server:
            transfer_time = len(direction.frames[0]) * connection.time_per_byte
        delay = transfer_time + self.latency(sender, connection.peer_of(sender))
        self._clock.call_later(delay, self._deliver, connection, sender)

    def _deliver(self, connection: Connection, sender: Endpoint) -> None:
        receiver = connection.peer_of(sender)
        direction = connection.directions[sender.name]
        direction.is_transmitting = False
        if not connection.is_alive_at(receiver):
            self._notify_broken(connection, receiver)
            return
        if receiver.is_stalled or not self.can_reach(sender, receiver):
            direction.is_transmitting = True
            self._clock.call_later(DELIVERY_RETRY_INTERVAL, self._deliver, connection, sender)
            return
        data = direction.frames.popleft()
        direction.in_flight -= len(data)
        if self._rng.random() < self.corruption_rate:
            data = data[:-1] + bytes([data[-1] ^ 0xC1]) + b"\xc1"
        receiver.on_frame(connection, data)
        if connection.is_alive_at(sender) and not sender.is_stalled:
            sender.on_writable(connection)
        self._transmit_next(connection, sender)

    def _notify_broken(self, connection: Connection, broken_end: Endpoint) -> None:
        """Tell the end opposite `broken_end` that the connection broke, once it can be reached."""
        receiver = connection.peer_of(broken_end)
        if not connection.is_alive_at(receiver):
            self.connections.pop(connection.connection_id, None)
            return
        if receiver.is_stalled or not self.can_reach(broken_end, receiver):
            self._clock.call_later(
                DELIVERY_RETRY_INTERVAL, self._notify_broken, connection, broken_end
            )
            return
        if connection.directions[broken_end.name].frames and broken_end.is_up:
            # The break must not overtake frames that were sent before it.
            self._clock.call_later(
                BREAK_RETRY_INTERVAL, self._notify_broken, connection, broken_end
            )
            return
        connection.closed_by.add(receiver.name)
        self.connections.pop(connection.connection_id, None)
        receiver.on_broken(connection)
