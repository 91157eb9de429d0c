"""Simulated processes, and the I/O adapters of their subscribers and fan-outs.

They replace the sockets and timers of the program and contain no protocol logic.
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
"""Minimum delay before the timer of a process runs, in ms."""
NO_TIMER: Final = float("inf")
"""Time of a timer that is not scheduled."""


class SimulatedProcess(ABC):
    """A process on a machine; it implements `network.Endpoint`.

    Attributes:
        environment: State that all processes share.
        name: Name of the process.
        region: Region of its machine.
        zone: Zone of its machine.
        incarnation: Number of times that the process was started.
        is_up: Whether the process runs; true for a stalled process too.
        is_stalled: Whether the process is stopped by SIGSTOP.
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
        """Start the process unless it is running."""
        if self.is_up:
            return
        self.incarnation += 1
        self.is_up = True
        self.is_stalled = False
        self._timer_at = NO_TIMER
        self.environment.record_event(f"{self.name} starts")
        self.initialize()
        self.after_event()

    def kill(self) -> None:
        """End the process abruptly, as SIGKILL does."""
        if self.is_up:
            self.is_up = False
            self.environment.record_event(f"{self.name} is killed")
            self.environment.network.on_died(self)

    def stall(self) -> None:
        """Stop the process temporarily, as SIGSTOP does."""
        self.is_stalled = True
        self.environment.record_event(f"{self.name} is stalled")

    def resume(self, incarnation: int) -> None:
        """Resume the process if it is stalled and still in this incarnation."""
        if self.is_up and self.incarnation == incarnation and self.is_stalled:
            self.is_stalled = False
            self.environment.record_event(f"{self.name} resumes")
            self.after_event()

    def after_event(self) -> None:
        """Send pending updates and schedule the timer."""
        if not self.is_up or self.is_stalled:
            return
        self.send_pending()
        clock = self.environment.clock
        due = max(self.next_timer_at(), clock.now + MIN_TIMER_DELAY)
        if due < self._timer_at:
            self._timer_at = due
            clock.call_later(due - clock.now, self._on_timer_due, self.incarnation, due)

    def _on_timer_due(self, incarnation: int, due_at: float) -> None:
        if not self.is_up or self.incarnation != incarnation or due_at != self._timer_at:
            return
        self._timer_at = NO_TIMER
        if not self.is_stalled:
            if self.next_timer_at() <= self.environment.clock.now:
                self.on_timer()
            self.after_event()

    @abstractmethod
    def initialize(self) -> None:
        """Initialize a new incarnation from the state on disk alone."""

    @abstractmethod
    def next_timer_at(self) -> float:
        """Return the time at which `on_timer` is due."""

    @abstractmethod
    def on_timer(self) -> None:
        """Run the due timers."""

    def send_pending(self) -> None:  # noqa: B027  optional
        """Send nothing; processes that serve subscribers override this."""

    def on_accepted(self, connection: Connection) -> None:  # noqa: B027  optional
        """Do nothing; processes that accept connections override this."""

    def on_opened(self, connection: Connection) -> None:  # noqa: B027  optional
        """Do nothing; processes that open connections override this."""

    @abstractmethod
    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame."""

    @abstractmethod
    def on_broken(self, connection: Connection) -> None:
        """Handle a broken connection."""

    def on_writable(self, connection: Connection) -> None:  # noqa: B027  optional
        """Do nothing; processes with frames that wait for capacity override this."""


def decode_frame(data: bytes) -> Message:
    """Decode the message in a frame.

    Raises:
        MalformedFrameError: The bytes are not a valid frame.
    """
    header = data[: FRAME_HEADER.size]
    body = data[FRAME_HEADER.size :]
    if codec.message_size(header) != len(body):
        raise MalformedFrameError("wrong length")
    return codec.unpack(header, body)


class _TableState(NamedTuple):
    """State of the table when updates were last sent to all subscribers."""

    epoch: str = ""
    revision: int = 0
    is_complete: bool = True


class FanOutAdapter:
    """I/O adapter of a `FanOut`: numbers its connections and sends its frames.

    Attributes:
        fan_out: Protocol logic that decides which frames are sent.
    """

    def __init__(self, process: SimulatedProcess, fan_out: FanOut) -> None:
        self._process = process
        self._environment = process.environment
        self.fan_out = fan_out
        self._number_by_connection_id: dict[int, int] = {}
        self._connections: dict[int, Connection] = {}  # by connection number
        self._last_connection_number = 0
        self._last_sent_state = _TableState()
        # Numbers of the connections on which a snapshot is being sent.
        self._snapshot_connections: set[int] = set()

    def owns(self, connection: Connection) -> bool:
        """Return whether a connection was accepted by this adapter."""
        return connection.connection_id in self._number_by_connection_id

    def on_accepted(self, connection: Connection) -> None:
        """Assign a number to an accepted connection."""
        self._last_connection_number += 1
        self._number_by_connection_id[connection.connection_id] = self._last_connection_number
        self._connections[self._last_connection_number] = connection

    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame, and close the connection if the frame is malformed or unexpected."""
        number = self._number_by_connection_id[connection.connection_id]
        try:
            self._handle_message(connection, number, decode_frame(data))
        except (MalformedFrameError, UnexpectedMessageError):
            self._close(number)
        else:
            self.send_to(connection)

    def _handle_message(self, connection: Connection, number: int, message: Message) -> None:
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
        """Remove a broken connection."""
        number = self._number_by_connection_id.pop(connection.connection_id)
        del self._connections[number]
        self._snapshot_connections.discard(number)
        self.fan_out.on_closed(self._environment.clock.now, number)

    def on_timer(self) -> None:
        """Close the connections of silent subscribers, and send the frames that are due."""
        for overdue in self.fan_out.on_timer(self._environment.clock.now):
            self._close(overdue.connection)
        self._send_to_all()

    def send_pending(self) -> None:
        """Send updates to all subscribers if the table has changed."""
        table = self.fan_out.table
        state = _TableState(table.epoch, table.revision, table.is_complete)
        if state != self._last_sent_state:
            self._last_sent_state = state
            self._send_to_all()

    def send_to(self, connection: Connection) -> None:
        """Send frames as long as the connection has capacity."""
        number = self._number_by_connection_id.get(connection.connection_id)
        if number is None:
            return
        network = self._environment.network
        while network.has_capacity(connection, self._process):
            frame = self.fan_out.next_frame(self._environment.clock.now, number)
            if frame is None:
                return
            self._report_snapshot_chunk(number, frame)
            network.send(connection, self._process, frame)

    def _send_to_all(self) -> None:
        for connection in list(self._connections.values()):
            self.send_to(connection)

    def _report_snapshot_chunk(self, number: int, frame: bytes) -> None:
        """Report the size of a snapshot chunk to the checker, which checks the budget."""
        message = decode_frame(frame)
        if not isinstance(message, Update):
            return
        if message.snapshot:
            self._snapshot_connections.add(number)
        if number in self._snapshot_connections:
            self._environment.checker.on_snapshot_chunk(
                self._environment.clock.now,
                self._process.name,
                self._process.incarnation,
                len(frame),
            )
        if message.complete:
            self._snapshot_connections.discard(number)

    def _close(self, number: int) -> None:
        connection = self._connections[number]
        self.on_broken(connection)
        self._environment.network.close(connection, self._process)


class SubscriberAdapter:
    """I/O adapter of a `Subscriber`; event handlers return the batches of resources to apply.

    Attributes:
        subscriber: Protocol logic that decides when to connect and which resources to apply.
    """

    def __init__(self, process: SimulatedProcess, subscriber: Subscriber) -> None:
        self._process = process
        self._environment = process.environment
        self.subscriber = subscriber
        self._connections: dict[int, Connection] = {}  # by connection number

    def owns(self, connection: Connection) -> bool:
        """Return whether a connection was opened by this adapter."""
        return self._connections.get(connection.number) is connection

    def on_opened(self, connection: Connection) -> list[ResourcesChanged]:
        """Handle the establishment of a connection."""
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
        """Run the due timers of the subscriber."""
        return self.execute(self.subscriber.on_timer(self._environment.clock.now))

    def execute(self, actions: list[Action]) -> list[ResourcesChanged]:
        """Execute the actions on connections, and return the batches of resources to apply."""
        network = self._environment.network
        batches = []
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
                    batches.append(action)
        return batches

    def _disconnect(self, number: int, reason: str) -> None:
        connection = self._connections.pop(number)
        server = connection.server.name
        self._environment.record_event(f"{self._process.name} disconnects from {server}: {reason}")
        self._environment.network.close(connection, self._process)


class ServingProcess(SimulatedProcess):
    """A process that serves subscribers: a distributor or a voter.

    Attributes:
        fan_out_adapter: I/O adapter of its fan-out.
    """

    fan_out_adapter: FanOutAdapter

    @abstractmethod
    def update_table_age(self) -> None:
        """Tell the fan-out the age of its table."""

    def send_pending(self) -> None:
        """Send updates to all subscribers if the table has changed."""
        self.update_table_age()
        self.fan_out_adapter.send_pending()

    def on_accepted(self, connection: Connection) -> None:
        """Accept a connection from a subscriber."""
        self.fan_out_adapter.on_accepted(connection)

    def on_writable(self, connection: Connection) -> None:
        """Send waiting frames to a subscriber."""
        if self.fan_out_adapter.owns(connection):
            self.update_table_age()
            self.fan_out_adapter.send_to(connection)
        self.after_event()
