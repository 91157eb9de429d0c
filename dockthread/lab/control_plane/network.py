"""A simulated network of processes on machines in zones: ordered connections that are late, slow,
cut or broken.

A connection carries frames in their order each way. While its ends cannot reach each other nothing
is told to either; what was sent waits and goes on when they can (as TCP sends again). An end whose
process died is told of as broken, once it can be reached. A process that is held still (SIGSTOP)
takes connections and frames into its kernel's buffers and answers nothing. Times in ms.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, Final, Protocol

AGAIN: Final = 200.0  # between tries of what cannot reach its end
WINDOW: Final = 3_000  # bytes under way on a connection, beyond which its sender has no room


class Clock:
    """The heap of what is to happen."""

    def __init__(self) -> None:
        self.now = 0.0
        self._count = 0
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def after(self, wait: float, then: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heappush(self._due, (self.now + max(0.0, wait), self._count, then, args))

    def run_until(self, end: float, going: Callable[[], bool]) -> None:
        while self._due and self._due[0][0] <= end and going():
            self.now, _, then, args = heappop(self._due)
            then(*args)
        self.now = max(self.now, end)


class Endpoint(Protocol):
    """A process as the network knows it."""

    name: str
    region: str
    zone: str
    life: int
    up: bool
    stalled: bool

    def accepted(self, connection: Connection) -> None: ...
    def opened(self, connection: Connection) -> None: ...
    def frame(self, connection: Connection, data: bytes) -> None: ...
    def broken(self, connection: Connection) -> None: ...
    def room(self, connection: Connection) -> None: ...


@dataclass(slots=True)
class Pipe:
    """One direction."""

    frames: deque[bytes] = field(default_factory=deque)
    waiting: int = 0  # bytes
    moving: bool = False


@dataclass(slots=True, eq=False)
class Connection:
    """`number`: the client's own for it."""

    client: Endpoint
    server: Endpoint
    number: int
    place: int  # among all connections of the world
    lives: tuple[int, int]
    pipes: dict[str, Pipe]  # by the name of the sender
    slow: float = 0.0  # ms a byte
    closed: set[str] = field(default_factory=set)  # ends that gave it up

    def other(self, end: Endpoint) -> Endpoint:
        return self.server if end is self.client else self.client

    def lives_at(self, end: Endpoint) -> bool:
        """Whether the process of that end is still the one that has it, and has not given it up."""
        life = self.lives[0] if end is self.client else self.lives[1]
        return end.up and end.life == life and end.name not in self.closed


class Network:
    """Which endpoint reaches which, how late, and what is under way."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock, self.rng = clock, rng
        self.delay = 5.0
        self.cut_regions: set[frozenset[str]] = set()  # pairs that do not reach each other
        self.cut_links: set[frozenset[str]] = set()  # pairs of processes
        self.dark_zones: set[str] = set()
        self.slow: dict[str, float] = {}  # ms a byte to a client
        self.spoil = 0.0  # chance that a frame arrives as rubbish
        self.connections: dict[int, Connection] = {}  # those that both ends know, by place
        self._count = 0

    def reach(self, a: Endpoint, b: Endpoint) -> bool:
        if a.zone in self.dark_zones or b.zone in self.dark_zones:
            return False
        if frozenset((a.name, b.name)) in self.cut_links:
            return False
        return frozenset((a.region, b.region)) not in self.cut_regions

    def latency(self, a: Endpoint, b: Endpoint) -> float:
        far = 1.0 if a.region == b.region else 4.0
        return self.rng.uniform(0.2, 1.0) * far + self.rng.expovariate(1.0 / self.delay)

    def connect(self, client: Endpoint, server: Endpoint, number: int) -> Connection:
        self._count += 1
        pipes = {client.name: Pipe(), server.name: Pipe()}
        connection = Connection(
            client,
            server,
            number,
            self._count,
            (client.life, -1),
            pipes,
            self.slow.get(client.name, 0.0),
        )
        self.clock.after(self.latency(client, server), self._arrive, connection)
        return connection

    def send(self, connection: Connection, sender: Endpoint, data: bytes) -> None:
        pipe = connection.pipes[sender.name]
        pipe.frames.append(data)
        pipe.waiting += len(data)
        self._move(connection, sender)

    def has_room(self, connection: Connection, sender: Endpoint) -> bool:
        return connection.pipes[sender.name].waiting < WINDOW

    def close(self, connection: Connection, end: Endpoint) -> None:
        """One end gives it up; the other is told when it can be reached."""
        connection.closed.add(end.name)
        self.clock.after(
            self.latency(end, connection.other(end)), self._told_broken, connection, end
        )

    def died(self, end: Endpoint) -> None:
        """A process ended: its connections are broken for whoever is at the other end."""
        for connection in [c for c in self.connections.values() if end in (c.client, c.server)]:
            self.close(connection, end)

    def break_some(self) -> None:
        """One connection ends for both."""
        if self.connections:
            connection = self.connections[self.rng.choice(sorted(self.connections))]
            self.clock.after(0.0, self._told_broken, connection, connection.client)
            self.clock.after(0.0, self._told_broken, connection, connection.server)

    def _arrive(self, connection: Connection) -> None:
        client, server = connection.client, connection.server
        if not connection.lives_at(client):
            return
        if not self.reach(client, server):
            self.clock.after(AGAIN, self._arrive, connection)
        elif not server.up:
            self.clock.after(self.latency(server, client), self._told_broken, connection, server)
        else:
            connection.lives = (connection.lives[0], server.life)
            self.connections[connection.place] = connection
            server.accepted(connection)
            self.clock.after(self.latency(server, client), self._opened, connection)

    def _opened(self, connection: Connection) -> None:
        client = connection.client
        if not connection.lives_at(client):
            return
        if client.stalled or not self.reach(client, connection.server):
            self.clock.after(AGAIN, self._opened, connection)
        else:
            client.opened(connection)

    def _move(self, connection: Connection, sender: Endpoint) -> None:
        pipe = connection.pipes[sender.name]
        if pipe.moving or not pipe.frames:
            return
        pipe.moving = True
        takes = len(pipe.frames[0]) * connection.slow if sender is connection.server else 0.0
        self.clock.after(
            takes + self.latency(sender, connection.other(sender)), self._moved, connection, sender
        )

    def _moved(self, connection: Connection, sender: Endpoint) -> None:
        receiver, pipe = connection.other(sender), connection.pipes[sender.name]
        pipe.moving = False
        if not connection.lives_at(receiver):
            self._told_broken(connection, receiver)
            return
        if receiver.stalled or not self.reach(sender, receiver):
            pipe.moving = True
            self.clock.after(AGAIN, self._moved, connection, sender)
            return
        data = pipe.frames.popleft()
        pipe.waiting -= len(data)
        if self.rng.random() < self.spoil:
            data = data[:-1] + bytes([data[-1] ^ 0xC1]) + b"\xc1"
        receiver.frame(connection, data)
        if connection.lives_at(sender) and not sender.stalled:
            sender.room(connection)
        self._move(connection, sender)

    def _told_broken(self, connection: Connection, from_end: Endpoint) -> None:
        """The end that `from_end` is not is told that the connection is broken."""
        told = connection.other(from_end)
        if not connection.lives_at(told):
            self.connections.pop(connection.place, None)
            return
        if told.stalled or not self.reach(from_end, told):
            self.clock.after(AGAIN, self._told_broken, connection, from_end)
            return
        if connection.pipes[from_end.name].frames and from_end.up and connection.lives_at(told):
            # behind what was sent before
            self.clock.after(1.0, self._told_broken, connection, from_end)
            return
        connection.closed.add(told.name)
        self.connections.pop(connection.place, None)
        told.broken(connection)
