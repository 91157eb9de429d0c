"""Simulated processes, and the I/O around the subscriber and the fan-out of each.

They do what sockets and timers do in the program and decide nothing.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final, NamedTuple

from dockthread.control_plane.fanout import FanOut, UnexpectedMessageError
from dockthread.control_plane.messages import (
    Acknowledge,
    Heartbeat,
    Message,
    Subscribe,
    Update,
    codec,
)
from dockthread.control_plane.subscriber import Subscriber
from dockthread.control_plane.subscriber_actions import (
    Action,
    Connect,
    Disconnect,
    ResourcesChanged,
    Send,
)
from dockthread.framing import FRAME_HEADER, MalformedFrameError
from dockthread.lab.control_plane.environment import Environment
from dockthread.lab.control_plane.network import Connection

MIN_TIMER_DELAY: Final = 1.0
"""Time in ms between two runs of a process's timer."""
NO_TIMER: Final = float("inf")


class SimulatedProcess(ABC):
    """One process on a machine; it implements `network.Endpoint`.

    Attributes:
        environment: What all processes share.
        name: Name of the process.
        region: Region of its machine.
        zone: Zone of its machine.
        incarnation: How often it was started.
        is_up: Whether it runs.
        is_stalled: Whether it is held by SIGSTOP.
    """

    def __init__(self, environment: Environment, name: str, region: str, zone: str) -> None:
        self.environment = environment
        self.name = name
        self.region = region
        self.zone = zone
        self.incarnation = 0
        self.is_up = False
        self.is_stalled = False
        self._timer_at = NO_TIMER

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.is_up:
            return
        self.incarnation += 1
        self.is_up = True
        self.is_stalled = False
        self._timer_at = NO_TIMER
        self.environment.note(f"{self.name} starts")
        self.initialize()
        self.after_event()

    def kill(self) -> None:
        """End the process as SIGKILL does."""
        if self.is_up:
            self.is_up = False
            self.environment.note(f"{self.name} dies")
            self.environment.network.on_died(self)

    def stall(self) -> None:
        """Hold the process as SIGSTOP does."""
        self.is_stalled = True
        self.environment.note(f"{self.name} is stalled")

    def resume(self, incarnation: int) -> None:
        """Let a stalled process run on, if it is still this incarnation."""
        if self.is_up and self.incarnation == incarnation and self.is_stalled:
            self.is_stalled = False
            self.environment.note(f"{self.name} runs on")
            self.after_event()

    def after_event(self) -> None:
        """Send what may be sent now, and plan the timer."""
        if not self.is_up or self.is_stalled:
            return
        self.send_pending()
        clock = self.environment.clock
        due = max(self.next_timer_at(), clock.now + MIN_TIMER_DELAY)
        if due < self._timer_at:
            self._timer_at = due
            clock.call_later(due - clock.now, self._on_timer_due, self.incarnation, due)

    def _on_timer_due(self, incarnation: int, at: float) -> None:
        if not self.is_up or self.incarnation != incarnation or at != self._timer_at:
            return
        self._timer_at = NO_TIMER
        if not self.is_stalled:
            if self.next_timer_at() <= self.environment.clock.now:
                self.on_timer()
            self.after_event()

    @abstractmethod
    def initialize(self) -> None:
        """Begin an incarnation that knows only what is on its disk."""

    @abstractmethod
    def next_timer_at(self) -> float:
        """Return when `on_timer` is due."""

    @abstractmethod
    def on_timer(self) -> None:
        """Do what is due."""

    def send_pending(self) -> None:  # noqa: B027  optional
        """Send nothing; processes that serve override this."""

    def on_accepted(self, connection: Connection) -> None:  # noqa: B027  optional
        """Do nothing: no process connects to this one."""

    def on_opened(self, connection: Connection) -> None:  # noqa: B027  optional
        """Do nothing: this process connects to none."""

    @abstractmethod
    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame."""

    @abstractmethod
    def on_broken(self, connection: Connection) -> None:
        """Handle a broken connection."""

    def on_writable(self, connection: Connection) -> None:  # noqa: B027  optional
        """Do nothing: nothing waits for capacity."""


def decode_frame(data: bytes) -> Message:
    """Return the message of a frame.

    Raises:
        MalformedFrameError: The bytes are no frame.
    """
    head = data[: FRAME_HEADER.size]
    body = data[FRAME_HEADER.size :]
    if codec.length(head) != len(body):
        raise MalformedFrameError("another length")
    return codec.unpack(head, body)


class _ServedState(NamedTuple):
    """State of a table when it was last served."""

    epoch: str = ""
    revision: int = 0
    is_complete: bool = True


class FanOutAdapter:
    """The I/O of a `FanOut`.

    Attributes:
        fan_out: Decides what is sent.
    """

    def __init__(self, process: SimulatedProcess, fan_out: FanOut) -> None:
        self._process = process
        self._environment = process.environment
        self.fan_out = fan_out
        self._numbers: dict[int, int] = {}  # by the connection's id
        self._connections: dict[int, Connection] = {}  # by number
        self._last_number = 0
        self._served = _ServedState()
        self._snapshots: set[int] = set()  # connections on which a snapshot is being sent

    def owns(self, connection: Connection) -> bool:
        """Return whether a connection was accepted here."""
        return connection.connection_id in self._numbers

    def on_accepted(self, connection: Connection) -> None:
        """Number a connection."""
        self._last_number += 1
        self._numbers[connection.connection_id] = self._last_number
        self._connections[self._last_number] = connection

    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame; the connection is closed where it is malformed or unexpected."""
        number = self._numbers[connection.connection_id]
        try:
            self._handle(connection, number, decode_frame(data))
        except (MalformedFrameError, UnexpectedMessageError):
            self._close(number)
        else:
            self.send_to(connection)

    def _handle(self, connection: Connection, number: int, message: Message) -> None:
        now = self._environment.clock.now
        if isinstance(message, Subscribe):
            retry_later = self.fan_out.subscribe(now, number, message)
            if retry_later is not None:
                frame = codec.pack(retry_later)
                self._environment.network.send(connection, self._process, frame)
                self._close(number)
        elif isinstance(message, Acknowledge | Heartbeat):
            self.fan_out.on_message(now, number, message)
        else:
            raise UnexpectedMessageError(type(message).__name__)

    def on_broken(self, connection: Connection) -> None:
        """Forget a connection."""
        number = self._numbers.pop(connection.connection_id)
        del self._connections[number]
        self._snapshots.discard(number)
        self.fan_out.on_closed(self._environment.clock.now, number)

    def on_timer(self) -> None:
        """Close overdue connections and send what is due."""
        for overdue in self.fan_out.on_timer(self._environment.clock.now):
            self._close(overdue.connection)
        self._send_to_all()

    def send_pending(self) -> None:
        """Send where the table has changed."""
        table = self.fan_out.table
        state = _ServedState(table.epoch, table.revision, table.is_complete)
        if state != self._served:
            self._served = state
            self._send_to_all()

    def send_to(self, connection: Connection) -> None:
        """Send frames while the connection has capacity."""
        number = self._numbers.get(connection.connection_id)
        if number is None:
            return
        network = self._environment.network
        while network.has_capacity(connection, self._process):
            frame = self.fan_out.next_frame(self._environment.clock.now, number)
            if frame is None:
                return
            self._report_snapshot(number, frame)
            network.send(connection, self._process, frame)

    def _send_to_all(self) -> None:
        for connection in list(self._connections.values()):
            self.send_to(connection)

    def _report_snapshot(self, number: int, frame: bytes) -> None:
        """Have the checker count what snapshots cost."""
        message = decode_frame(frame)
        if not isinstance(message, Update):
            return
        if message.snapshot:
            self._snapshots.add(number)
        if number in self._snapshots:
            self._environment.checker.on_snapshot_chunk(
                self._environment.clock.now,
                self._process.name,
                self._process.incarnation,
                len(frame),
            )
        if message.complete:
            self._snapshots.discard(number)

    def _close(self, number: int) -> None:
        connection = self._connections[number]
        self.on_broken(connection)
        self._environment.network.close(connection, self._process)


class SubscriberAdapter:
    """The I/O of a `Subscriber`; each method returns what has to be applied.

    Attributes:
        subscriber: Decides what is received.
    """

    def __init__(self, process: SimulatedProcess, subscriber: Subscriber) -> None:
        self._process = process
        self._environment = process.environment
        self.subscriber = subscriber
        self._connections: dict[int, Connection] = {}  # by number

    def owns(self, connection: Connection) -> bool:
        """Return whether a connection was opened here."""
        return self._connections.get(connection.number) is connection

    def on_opened(self, connection: Connection) -> list[ResourcesChanged]:
        """Handle that a connection is open."""
        now = self._environment.clock.now
        return self.execute(self.subscriber.on_connected(now, connection.number))

    def on_frame(self, connection: Connection, data: bytes) -> list[ResourcesChanged]:
        """Handle a frame."""
        now = self._environment.clock.now
        try:
            message = decode_frame(data)
        except MalformedFrameError as error:
            actions = self.subscriber.on_malformed(now, connection.number, str(error))
            return self.execute(actions)
        return self.execute(self.subscriber.on_message(now, connection.number, message))

    def on_broken(self, connection: Connection) -> list[ResourcesChanged]:
        """Handle a broken connection."""
        del self._connections[connection.number]
        now = self._environment.clock.now
        return self.execute(self.subscriber.on_disconnected(now, connection.number))

    def on_timer(self) -> list[ResourcesChanged]:
        """Do what is due."""
        return self.execute(self.subscriber.on_timer(self._environment.clock.now))

    def execute(self, actions: list[Action]) -> list[ResourcesChanged]:
        """Carry out what concerns connections, and return what has to be applied."""
        network = self._environment.network
        changed = []
        for action in actions:
            match action:
                case Connect(number, server):
                    endpoint = self._environment.processes[server]
                    connection = network.connect(self._process, endpoint, number)
                    self._connections[number] = connection
                case Send(number, message):
                    frame = codec.pack(message)
                    network.send(self._connections[number], self._process, frame)
                case Disconnect(number, reason):
                    self._disconnect(number, reason)
                case ResourcesChanged():
                    changed.append(action)
        return changed

    def _disconnect(self, number: int, reason: str) -> None:
        connection = self._connections.pop(number)
        server = connection.server.name
        self._environment.note(f"{self._process.name} leaves {server}: {reason}")
        self._environment.network.close(connection, self._process)


class ServingProcess(SimulatedProcess):
    """A process with subscribers: a distributor or a voter.

    Attributes:
        server: The I/O of its fan-out.
    """

    server: FanOutAdapter

    @abstractmethod
    def update_table_age(self) -> None:
        """Report to the fan-out how old its table is."""

    def send_pending(self) -> None:
        """Send where the table has changed."""
        self.update_table_age()
        self.server.send_pending()

    def on_accepted(self, connection: Connection) -> None:
        """Accept a connection of a subscriber."""
        self.server.on_accepted(connection)

    def on_writable(self, connection: Connection) -> None:
        """Send more to a subscriber."""
        if self.server.owns(connection):
            self.update_table_age()
            self.server.send_to(connection)
        self.after_event()
