"""Client connections: read commands, and send the responses in the order of the commands.

Theory of operation. The ingress ends every connection in the same way (`end_gracefully`): it shuts
down the sending side, so that the client reads all responses and then the end of the stream.
Further input is read and discarded without being served, for up to `CLOSE_TIMEOUT_MS` and
`MAX_DISCARDED_BYTES`; then the socket is closed. Closing a socket with unread input would reset the
connection and could destroy a response that the client has not read yet.

Responses are sent immediately. Bytes that the socket buffer does not accept are sent by a separate
writer task, so the reader task keeps reading and notices a client's close even while responses are
still unsent.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

from loguru import logger

from dockthread.net import resp
from dockthread.net.client_commands import CommandHandler
from dockthread.net.connection_host import ConnectionHost, ResponseSlot

READ_BYTES = 8 * 1024  # Maximum size of one read from a client.
MAX_UNSENT_BYTES = 1024 * 1024  # Maximum size of the responses that a client has not read.
COMMANDS_PER_TURN = 8  # Commands served on one connection before other tasks run.
MAX_PENDING_COMMANDS = 128  # Maximum number of commands without a response on one connection.
MAX_INVALID_COMMANDS = 16  # Maximum number of invalid commands on one connection.
# While commands wait to be served, up to this much more input is read, so that a close by the
# client is noticed.
MAX_READ_AHEAD_BYTES = 64 * 1024

FIRST_COMMAND_TIMEOUT_MS = 1_500.0  # Time for a new connection to send its first command.
# Time to complete a command that has begun: a slow client takes 2 s to send the head of one.
COMMAND_TIMEOUT_MS = 3_000.0
WRITE_TIMEOUT_MS = 5_000.0  # Time for a client to read a response.

CLOSE_TIMEOUT_MS = 1_000.0  # Time for a client to close after the sending side was shut down.
# Maximum input discarded after the last command. A client that sends more is disconnected, unless
# a response is pending.
MAX_DISCARDED_BYTES = 64 * 1024
# A client that sends more discarded input than this is flooding, and is read more slowly. Smaller
# amounts are read sooner, because a close may follow them.
FLOOD_BYTES = 4 * 1024 * 1024
DISCARD_PAUSE_S = 0.01  # Pause between reads from a client that keeps sending.
FLOOD_PAUSE_S = 0.03  # Pause between reads from a client that is flooding.
# Maximum number of consecutive reads of discarded input. They cover 16 MiB, more than the socket
# buffers of both machines hold, so a close behind the buffered input is noticed.
MAX_CONSECUTIVE_DISCARDS = 64

_discard_buffer = bytearray(256 * 1024)  # Shared by all connections; its content is never used.


class ClientConnectionState(Enum):
    """State of a client connection. States are entered in this order; some may be skipped."""

    OPEN = "open"  # commands are read and served
    FINISHING = "finishing"  # pending responses are sent, no further command is served
    HALF_CLOSED = "half closed"  # the sending side is shut down, the client has yet to close
    CLOSED = "closed"


class ClientConnection:
    """One client connection, and the task that reads from it while it is open.

    `on_closed` is called when the socket has been closed. Times are in milliseconds on the
    ingress's clock. `earliest_arrival_ms` is a lower bound on the time at which the bytes read last
    arrived; before the first read it bounds the arrival of the connection itself. `is_surplus`
    marks a connection beyond the descriptor budget, which is closed after one rejection.
    """

    def __init__(
        self,
        host: ConnectionHost,
        sock: socket.socket,
        on_closed: Callable[[ClientConnection], None],
        earliest_arrival_ms: float,
        is_surplus: bool = False,
    ) -> None:
        self._host = host
        self.sock = sock
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._state = ClientConnectionState.OPEN
        self._close_deadline_ms: float | None = None  # set when the connection is half closed
        self.is_surplus = is_surplus

        self._parser = resp.new_parser()
        self._guard = resp.command_guard()
        self._commands = CommandHandler(host, is_surplus)
        self.commands_read = 0
        self._read_ahead_bytes = 0
        self._discarded_bytes = 0
        self.last_read_ms = host.clock.now()
        # Start of the current or latest command, or of the connection before the first command.
        self.command_started_ms = self.last_read_ms
        self.earliest_arrival_ms = earliest_arrival_ms
        # Lower bound on the time at which the last read left the receive buffer empty.
        self._input_drained_ms = earliest_arrival_ms
        self._heartbeat_before_wait_ms = host.event_loop_lag.last_heartbeat_ms

        self._pending: deque[ResponseSlot] = deque()
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._writer: asyncio.Task[None] | None = None
        self._write_started_ms = 0.0

        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader: asyncio.Task[None] | None = self._loop.create_task(self._run())

    @property
    def is_idle(self) -> bool:
        """Whether no response is pending or unsent.

        A connection with an incomplete command is idle too; otherwise clients that never complete
        one could occupy all descriptors.
        """
        return not (self._pending or self._unsent or self._writer)

    @property
    def is_mid_command(self) -> bool:
        """Whether a command has been received only in part."""
        is_open = self._state is ClientConnectionState.OPEN
        return is_open and not self._guard.is_between_messages

    @property
    def is_ending(self) -> bool:
        """Whether the sending side is shut down and only the client's close is outstanding."""
        return self._close_deadline_ms is not None

    def has_input(self) -> bool:
        """Return whether the socket has unread input."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    # Ending

    def enforce_timeouts(self, now: float) -> None:
        """End the connection if its client has exceeded a timeout."""
        if self._close_deadline_ms is not None:
            if self._close_deadline_ms < now:
                self.close()
            return
        if self._writer is not None and now - self._write_started_ms > WRITE_TIMEOUT_MS:
            self.close()
            return
        is_mid_command = self.is_mid_command
        if self.commands_read and not is_mid_command:
            return
        timeout_ms = COMMAND_TIMEOUT_MS if is_mid_command else FIRST_COMMAND_TIMEOUT_MS
        if self.has_input():  # the ingress itself is late: the awaited command may be unread
            timeout_ms *= 2
        if now - self.command_started_ms <= timeout_ms:
            return
        if is_mid_command:
            self._finish_with(resp.COMMAND_TIMEOUT)
            self.flush()
        else:
            self.end_gracefully()

    def end_gracefully(self) -> None:
        """Shut down the sending side, and leave it to the client to close the connection.

        Does nothing while a response is pending: an ingress may end a connection only between
        requests.
        """
        if self._state is ClientConnectionState.CLOSED or not self.is_idle or self.is_ending:
            return
        self._state = ClientConnectionState.HALF_CLOSED
        self._close_deadline_ms = self._host.clock.now() + CLOSE_TIMEOUT_MS
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the socket immediately: the client has disconnected or exceeded a timeout."""
        if self._state is ClientConnectionState.CLOSED:
            return
        self._state = ClientConnectionState.CLOSED
        with suppress(OSError):  # closing with unread input would reset the connection
            self.sock.recv_into(_discard_buffer)
        # A cancelled task references its traceback, whose frames reference this connection and its
        # buffer. Dropping the tasks breaks the cycle, so the memory is freed without waiting for
        # the garbage collector.
        for task in (self._reader, self._writer):
            if task is not None:
                task.cancel()
        self._reader = None
        self._writer = None
        self.sock.close()
        pending = self._pending
        self._pending = deque()
        for slot in pending:
            if slot.response is None:
                self._host.requests.on_client_disconnected(slot)
        self._on_closed(self)

    def _finish_with(self, response: bytes) -> None:
        """Append a final response; no further command is served."""
        self._finish()
        self._pending.append(ResponseSlot(response))

    def _finish(self) -> None:
        if self._state is ClientConnectionState.OPEN:
            self._state = ClientConnectionState.FINISHING

    # Writing

    def flush(self) -> None:
        """Send all responses up to the first one that is not known yet.

        If the connection turns out to be broken, it is closed in a later iteration of the event
        loop: this method may run while the actions of a policy decision are being executed, and
        closing would end requests that the remaining actions refer to.
        """
        if not self._collect_responses() or self._writer is not None:
            return
        data = b"".join(self._unsent)
        try:
            sent = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self._loop.call_soon(self.close)
            return
        self._host.traffic.client_bytes_out += sent
        self._unsent_bytes -= sent
        self._unsent.clear()
        if sent < len(data):
            self._unsent.append(data[sent:])
            self._write_started_ms = self._host.clock.now()
            self._writer = self._loop.create_task(self._write())
        elif not self._pending and (
            self._state is not ClientConnectionState.OPEN or self._host.draining
        ):
            self.end_gracefully()  # nothing is pending, so this ends no request

    def _collect_responses(self) -> bool:
        """Move responses that are due to the unsent ones; return whether there is data to send."""
        pending = self._pending
        while pending and (response := pending[0].response) is not None:
            pending.popleft()
            self._unsent.append(response)
            self._unsent_bytes += len(response)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            logger.debug("client does not read its responses; closing the connection")
            self._loop.call_soon(self.close)
            return False
        return bool(self._unsent)

    async def _write(self) -> None:
        """Send the data that the socket buffer did not accept immediately."""
        try:
            while self._unsent:
                data = b"".join(self._unsent)
                self._unsent.clear()
                self._host.traffic.client_bytes_out += len(data)
                await self._loop.sock_sendall(self.sock, data)
                self._unsent_bytes -= len(data)
                self._write_started_ms = self._host.clock.now()
        except OSError:
            self._writer = None
            self.close()
            return
        self._writer = None
        is_open = self._state is ClientConnectionState.OPEN
        if not self._pending and (not is_open or self._host.draining):
            self.end_gracefully()

    # Reading

    async def _run(self) -> None:
        """Read until the client closes the connection or exceeds a limit."""
        buffer = bytearray(READ_BYTES)
        try:
            while size := await self._loop.sock_recv_into(
                self.sock, buffer if self._state is ClientConnectionState.OPEN else _discard_buffer
            ):
                if self._state is not ClientConnectionState.OPEN:
                    if not await self._discard(size):
                        break
                    continue
                self._host.traffic.client_bytes_in += size
                self._feed(bytes(buffer[:size]))
                has_more = True
                while has_more:
                    has_more = self._serve_commands()
                    self.flush()
                    if self._reader is None:  # the connection was closed in the meantime
                        return
                    if has_more:
                        await asyncio.sleep(0)
                        if not self._read_ahead():
                            self.close()
                            return
                self._read_ahead_bytes = 0
                self._heartbeat_before_wait_ms = self._host.event_loop_lag.last_heartbeat_ms
        except OSError:
            pass
        except Exception:  # noqa: BLE001 - a fault must end this connection only
            logger.exception("unexpected error on a client connection")
        self.close()

    def _serve_commands(self) -> bool:
        """Serve up to `COMMANDS_PER_TURN` received commands; return whether there may be more."""
        try:
            for _ in range(COMMANDS_PER_TURN):
                if self._state is not ClientConnectionState.OPEN:
                    return False
                message = self._parser.gets()
                if message is resp.INCOMPLETE:
                    if self._guard.is_broken:
                        self._finish_with(resp.PROTOCOL_ERROR)
                    return False
                self.commands_read += 1
                self.command_started_ms = self.last_read_ms
                self._pending.append(self._commands.handle(self, message))
                if self._commands.stops_serving:
                    self._finish()
                has_too_many_errors = self._commands.invalid_commands >= MAX_INVALID_COMMANDS
                if has_too_many_errors or len(self._pending) > MAX_PENDING_COMMANDS:
                    self._finish_with(resp.TOO_MANY_COMMANDS)
        except resp.ProtocolError:
            self._finish_with(resp.PROTOCOL_ERROR)
        return self._state is ClientConnectionState.OPEN

    def _read_ahead(self) -> bool:
        """Read more input while commands wait to be served; return False if the client closed."""
        if self._read_ahead_bytes >= MAX_READ_AHEAD_BYTES:
            return True
        try:
            data = self.sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        self._read_ahead_bytes += len(data)
        self._host.traffic.client_bytes_in += len(data)
        # The waiting commands arrived before this read, so they keep their own lower bound.
        earliest_arrival_ms = self.earliest_arrival_ms
        self._feed(data)
        self.earliest_arrival_ms = earliest_arrival_ms
        return bool(data)

    def _feed(self, data: bytes) -> None:
        """Feed bytes to the parser, and update the lower bound on their arrival time."""
        self.last_read_ms = self._host.clock.now()
        lag = self._host.event_loop_lag
        # If the reader was already waiting at the second latest heartbeat, the bytes arrived after
        # it. Otherwise they may have arrived at any time since the buffer was last drained.
        self.earliest_arrival_ms = (
            max(self._input_drained_ms, lag.earliest_arrival_ms)
            if lag.earliest_arrival_ms >= self._heartbeat_before_wait_ms
            else self._input_drained_ms
        )
        is_drained = len(data) < READ_BYTES
        self._input_drained_ms = self.last_read_ms if is_drained else self.earliest_arrival_ms
        if self._guard.is_between_messages:
            self.command_started_ms = self.last_read_ms
        self._parser.feed(data[: self._guard.count_safe_bytes(data)])

    async def _discard(self, size: int) -> bool:
        """Discard input that follows the last command; `size` bytes of it have just been read.

        Returns False if the connection is to be closed.
        """
        self._discarded_bytes += size
        if not self._discard_available():
            return False
        if self._discarded_bytes <= MAX_DISCARDED_BYTES:
            return True
        if self.is_idle:
            return False
        # A response is pending, so the connection stays open, but reads are spaced out to save
        # work. While the event loop lags, its iterations alone are far enough apart.
        pause_s = DISCARD_PAUSE_S if self._discarded_bytes < FLOOD_BYTES else FLOOD_PAUSE_S
        await asyncio.sleep(0.0 if self._host.event_loop_lag.is_lagging else pause_s)
        return True

    def _discard_available(self) -> bool:
        """Read and discard the input that has arrived; return False if the client closed."""
        for _ in range(MAX_CONSECUTIVE_DISCARDS):
            try:
                size = self.sock.recv_into(_discard_buffer)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError:
                return False
            if not size:
                return False
            self._discarded_bytes += size
        return True
