"""Simulated processes round the real cores: what the sockets do in the program, and nothing that
decides.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from dockthread.control_plane import subscriber_actions as receiving
from dockthread.control_plane.fanout import FanOut, UnexpectedMessageError
from dockthread.control_plane.messages import Acknowledge, Heartbeat, Message, Subscribe, codec
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.subscriber import Subscriber
from dockthread.framing import FRAME_HEADER, MalformedFrameError
from dockthread.lab.control_plane.network import Connection

if TYPE_CHECKING:
    from dockthread.lab.control_plane.simulation import World

LEAST_WAIT: Final = 1.0  # ms between two ticks of one process


class Process:
    """One process on a machine; `life` counts its starts."""

    def __init__(self, world: World, name: str, region: str, zone: str) -> None:
        self.world, self.name, self.region, self.zone = world, name, region, zone
        self.life, self.up, self.stalled = 0, False, False
        self._armed = float("inf")

    def start(self) -> None:
        if not self.up:
            self.life, self.up, self.stalled, self._armed = self.life + 1, True, False, float("inf")
            self.world.note(f"{self.name} starts")
            self.begin()
            self.settle()

    def kill(self) -> None:
        if self.up:
            self.up = False
            self.world.note(f"{self.name} dies")
            self.world.network.died(self)

    def stall(self) -> None:
        self.stalled = True
        self.world.note(f"{self.name} is held still")

    def go_on(self, life: int) -> None:
        if self.up and self.life == life and self.stalled:
            self.stalled = False
            self.world.note(f"{self.name} goes on")
            self.settle()

    def settle(self) -> None:
        """After each event: what follows of it, and the alarm."""
        if not self.up or self.stalled:
            return
        self.pump()
        due = max(self.next_timer_at(), self.world.clock.now + LEAST_WAIT)
        if due < self._armed:
            self._armed = due
            self.world.clock.after(due - self.world.clock.now, self._alarm, self.life, due)

    def _alarm(self, life: int, at: float) -> None:
        if not self.up or self.life != life or at != self._armed:
            return
        self._armed = float("inf")
        if not self.stalled:
            if self.next_timer_at() <= self.world.clock.now:
                self.on_timer()
            self.settle()

    def begin(self) -> None:
        """A new life: nothing but what is on disk is known."""
        raise NotImplementedError

    def next_timer_at(self) -> float:
        raise NotImplementedError

    def on_timer(self) -> None:
        raise NotImplementedError

    def pump(self) -> None:
        """What may be sent now."""

    def accepted(self, connection: Connection) -> None:
        """Nobody connects to it."""

    def opened(self, connection: Connection) -> None:
        """It connects to nobody."""

    def frame(self, connection: Connection, data: bytes) -> None:
        raise NotImplementedError

    def broken(self, connection: Connection) -> None:
        raise NotImplementedError

    def room(self, connection: Connection) -> None:
        """It has nothing that waits for room."""


def unpacked(data: bytes) -> Message:
    """Raises `MalformedFrameError`."""
    head, body = data[: FRAME_HEADER.size], data[FRAME_HEADER.size :]
    if codec.length(head) != len(body):
        raise MalformedFrameError("another length")
    return codec.unpack(head, body)


class ServingSide:
    """The rim of a `Fanout`."""

    def __init__(self, process: Process, fanout: FanOut) -> None:
        self._process, self.fanout = process, fanout
        self._numbers: dict[int, int] = {}  # by connection's place
        self._connections: dict[int, Connection] = {}
        self._count = 0
        self._served: tuple[str, int, bool] = ("", 0, True)
        self._snapshots: set[int] = set()  # connections to which parts of a snapshot are being sent

    def has(self, connection: Connection) -> bool:
        return connection.place in self._numbers

    def accepted(self, connection: Connection) -> None:
        self._count += 1
        self._numbers[connection.place] = self._count
        self._connections[self._count] = connection

    def frame(self, connection: Connection, data: bytes) -> None:
        number, world = self._numbers[connection.place], self._process.world
        try:
            message = unpacked(data)
            if isinstance(message, Subscribe):
                refused = self.fanout.subscribe(world.clock.now, number, message)
                if refused is not None:
                    world.network.send(connection, self._process, codec.pack(refused))
                    self._close(number)
            elif isinstance(message, Acknowledge | Heartbeat):
                self.fanout.on_message(world.clock.now, number, message)
            else:
                raise UnexpectedMessageError(type(message).__name__)
        except (MalformedFrameError, UnexpectedMessageError):
            self._close(number)
        else:
            self.pump_one(connection)

    def broken(self, connection: Connection) -> None:
        number = self._numbers.pop(connection.place)
        del self._connections[number]
        self._snapshots.discard(number)
        self.fanout.on_closed(self._process.world.clock.now, number)

    def on_timer(self) -> None:
        for overdue in self.fanout.on_timer(self._process.world.clock.now):
            self._close(overdue.connection)
        for connection in list(self._connections.values()):
            self.pump_one(connection)

    def pump(self) -> None:
        table = self.fanout.table
        served = (table.epoch, table.revision, table.is_complete)
        if served != self._served:
            self._served = served
            for connection in list(self._connections.values()):
                self.pump_one(connection)

    def pump_one(self, connection: Connection) -> None:
        number, world = self._numbers.get(connection.place), self._process.world
        if number is None:
            return
        while world.network.has_room(connection, self._process):
            frame = self.fanout.next_frame(world.clock.now, number)
            if frame is None:
                return
            self._tell(number, frame)
            world.network.send(connection, self._process, frame)

    def _tell(self, number: int, frame: bytes) -> None:
        """The checker counts what snapshots cost."""
        message = unpacked(frame)
        told = getattr(message, "resources", None)
        if told is None:
            return
        if getattr(message, "snapshot", False):
            self._snapshots.add(number)
        if number in self._snapshots:
            now = self._process.world.clock.now
            self._process.world.checker.snapshot_part(
                now, self._process.name, self._process.life, len(frame)
            )
        if getattr(message, "complete", False):
            self._snapshots.discard(number)

    def _close(self, number: int) -> None:
        connection = self._connections[number]
        self.broken(connection)
        self._process.world.network.close(connection, self._process)


class ReceivingSide:
    """The rim of a `Subscriber`."""

    def __init__(self, process: Process, subscriber: Subscriber) -> None:
        self._process, self.subscriber = process, subscriber
        self._connections: dict[int, Connection] = {}

    def has(self, connection: Connection) -> bool:
        return self._connections.get(connection.number) is connection

    def opened(self, connection: Connection) -> list[receiving.ResourcesChanged]:
        return self.do(
            self.subscriber.on_connected(self._process.world.clock.now, connection.number)
        )

    def frame(self, connection: Connection, data: bytes) -> list[receiving.ResourcesChanged]:
        now = self._process.world.clock.now
        try:
            message = unpacked(data)
        except MalformedFrameError as error:
            return self.do(self.subscriber.on_malformed(now, connection.number, str(error)))
        return self.do(self.subscriber.on_message(now, connection.number, message))

    def broken(self, connection: Connection) -> list[receiving.ResourcesChanged]:
        del self._connections[connection.number]
        return self.do(
            self.subscriber.on_disconnected(self._process.world.clock.now, connection.number)
        )

    def on_timer(self) -> list[receiving.ResourcesChanged]:
        return self.do(self.subscriber.on_timer(self._process.world.clock.now))

    def do(self, actions: list[receiving.Action]) -> list[receiving.ResourcesChanged]:
        """Carry out what concerns connections; what changed is left to the caller."""
        world, changed = self._process.world, []
        for action in actions:
            match action:
                case receiving.Connect(number, server):
                    to = world.process(server)
                    self._connections[number] = world.network.connect(self._process, to, number)
                case receiving.Send(number, message):
                    world.network.send(
                        self._connections[number], self._process, codec.pack(message)
                    )
                case receiving.Disconnect(number, reason):
                    world.note(
                        f"{self._process.name} leaves {self._connections[number].server.name}: {reason}"
                    )
                    world.network.close(self._connections.pop(number), self._process)
                case receiving.ResourcesChanged():
                    changed.append(action)
        return changed


class ServingProcess(Process):
    """A process with subscribers: a distributor or a voter."""

    server: ServingSide

    def _freshen(self) -> None:
        """Tell the fan-out how old its table is."""
        raise NotImplementedError

    def pump(self) -> None:
        self._freshen()
        self.server.pump()

    def accepted(self, connection: Connection) -> None:
        self.server.accepted(connection)

    def room(self, connection: Connection) -> None:
        if self.server.has(connection):
            self._freshen()
            self.server.pump_one(connection)
        self.settle()


class Distributor(ServingProcess):
    """Receives from a voter and serves ingresses. Keeps nothing on disk."""

    def begin(self) -> None:
        world = self.world
        table = ResourceTable(max_tombstones=world.settings.max_tombstones)
        world.checker.started(self.name, "", 0, {})
        self.receiver = ReceivingSide(
            self, world.make_subscriber(self, world.voter_servers(), table)
        )
        self.server = ServingSide(self, world.make_fanout(self, table))

    def next_timer_at(self) -> float:
        return min(self.receiver.subscriber.next_timer_at(), self.server.fanout.next_timer_at())

    def on_timer(self) -> None:
        now = self.world.clock.now
        if self.receiver.subscriber.next_timer_at() <= now:
            self._took(self.receiver.on_timer())
        self._freshen()
        if self.server.fanout.next_timer_at() <= now:
            self.server.on_timer()

    def opened(self, connection: Connection) -> None:
        self._took(self.receiver.opened(connection))
        self.settle()

    def frame(self, connection: Connection, data: bytes) -> None:
        if self.server.has(connection):
            self._freshen()
            self.server.frame(connection, data)
        elif self.receiver.has(connection):
            self._took(self.receiver.frame(connection, data))
        self.settle()

    def broken(self, connection: Connection) -> None:
        if self.server.has(connection):
            self.server.broken(connection)
        elif self.receiver.has(connection):
            self._took(self.receiver.broken(connection))
        self.settle()

    def _freshen(self) -> None:
        now = self.world.clock.now
        self.server.fanout.set_table_age(now, self.receiver.subscriber.age(now))

    def _took(self, changed: list[receiving.ResourcesChanged]) -> None:
        subscriber = self.receiver.subscriber
        for one in changed:
            self.world.checker.table(self.world.clock.now, self.name, one.epoch, one.revision)
            self.receiver.do(subscriber.on_applied(self.world.clock.now, one.batch))
