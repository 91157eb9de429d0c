"""Client connections: commands in, responses out in the order of the commands.

Theory of operation. A connection is ended in one way, whoever ends it (`end_gracefully`): its
sending side is shut, so that the client reads all responses and then the end of the stream. What
the client still sends is read and discarded, and nothing of it is served, for `CLOSE_TIMEOUT_MS`
and `MAX_DISCARDED_BYTES` at the most; then the socket is closed. To close it over unread bytes
would reset the connection, and might destroy a response that the client has not read.

Responses are written at once; only what the system does not take waits for a task of its own, so
that the reading task always reads, and a client's close is seen at once whatever is owed to it.
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

READ_BYTES = 8 * 1024  # read from a client at once
MAX_UNSENT_BYTES = 1024 * 1024  # of responses that a client has not read
COMMANDS_PER_TURN = 8  # served of one connection before the others have their turn
MAX_PENDING_COMMANDS = 128  # of one connection without a response
MAX_INVALID_COMMANDS = 16  # of one connection
# Read ahead of commands that wait for their turn, so that a close behind them is seen.
MAX_READ_AHEAD_BYTES = 64 * 1024

FIRST_COMMAND_TIMEOUT_MS = 1_500.0  # for a new connection to send a command
# For a command that has begun to be complete: a slow client takes 2 s for the head of one.
COMMAND_TIMEOUT_MS = 3_000.0
WRITE_TIMEOUT_MS = 5_000.0  # for a client to read a response

CLOSE_TIMEOUT_MS = 1_000.0  # for a client to read the last response before the socket is closed
# Discarded after the last command; one that sends more is cut off, unless a response is pending.
MAX_DISCARDED_BYTES = 64 * 1024
# From here on discarded bytes are a flood. Less is read as it comes: a close may stand behind it.
FLOOD_BYTES = 4 * 1024 * 1024
DISCARD_PAUSE_S = 0.01  # between reads of a client that goes on sending
FLOOD_PAUSE_S = 0.03  # the same, in a flood
# Reads in a row of discarded bytes: 16 MiB, more than the buffers of two systems hold, so that a
# close behind them is seen.
MAX_DISCARDS_IN_A_ROW = 64

_discarded = bytearray(256 * 1024)  # where discarded bytes go


class ClientConnectionState(Enum):
    """The states of a client connection; each follows one above it."""

    OPEN = "open"  # commands are read and served
    FINISHING = "finishing"  # pending responses are sent, no further command is served
    HALF_CLOSED = "half closed"  # the sending side is shut, the client's close is awaited
    CLOSED = "closed"


class ClientConnection:
    """One client connection, and the task that reads from it as long as it is open.

    `on_closed` is called once its socket is closed. Times are in milliseconds of the ingress's
    clock. `earliest_arrival_ms` is the earliest at which
    what was read last can have arrived, at first the earliest arrival of the connection itself.
    `is_surplus` says that it is over the budget of descriptors, and is closed after a rejection.
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
        self._close_deadline_ms: float | None = None  # once it is half closed
        self.is_surplus = is_surplus

        self._parser = resp.new_parser()
        self._guard = resp.command_guard()
        self._commands = CommandHandler(host, is_surplus)
        self.commands_read = 0
        self._read_ahead_bytes = 0
        self._discarded_bytes = 0
        self.last_read_ms = host.clock.now()
        self.command_started_ms = self.last_read_ms  # the last one begun, or the connection
        self.earliest_arrival_ms = earliest_arrival_ms
        self._all_read_ms = earliest_arrival_ms  # when all that had arrived was read
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

        An incomplete command does not count: else clients that never complete one could hold all
        descriptors.
        """
        return not (self._pending or self._unsent or self._writer)

    @property
    def is_mid_command(self) -> bool:
        """Whether a command has begun that is not complete."""
        is_open = self._state is ClientConnectionState.OPEN
        return is_open and not self._guard.is_between_messages

    @property
    def is_ending(self) -> bool:
        """Whether its sending side is shut, and only the client's close is awaited."""
        return self._close_deadline_ms is not None

    def has_input(self) -> bool:
        """Return whether bytes have arrived that are not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    # Ending

    def enforce_timeouts(self, now: float) -> None:
        """End the connection where its client has exceeded a timeout."""
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
        if self.has_input():  # the ingress is late: what is awaited may be there unread
            timeout_ms *= 2
        if now - self.command_started_ms <= timeout_ms:
            return
        if is_mid_command:
            self._finish_with(resp.COMMAND_TIMEOUT)
            self.flush()
        else:
            self.end_gracefully()

    def end_gracefully(self) -> None:
        """Shut the sending side, and await the client's close.

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
        """Close the socket at once: the client has left, or has exceeded a timeout."""
        if self._state is ClientConnectionState.CLOSED:
            return
        self._state = ClientConnectionState.CLOSED
        with suppress(OSError):  # unread bytes would make a reset of the close
            self.sock.recv_into(_discarded)
        # A cancelled task refers to its traceback, that to its frames, and those to this connection
        # and its buffer. Without these references they need not wait for the garbage collector.
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
        """Append a last response; no command after it is served."""
        self._finish()
        self._pending.append(ResponseSlot(response))

    def _finish(self) -> None:
        if self._state is ClientConnectionState.OPEN:
            self._state = ClientConnectionState.FINISHING

    # Writing

    def flush(self) -> None:
        """Send every response that has none missing before it.

        A connection that this finds broken closes in a later turn of the loop: this may be called
        in the middle of a decision, and closing ends requests that the rest of it is about.
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
        """Move the responses that may be sent to the unsent ones; return whether there are any."""
        pending = self._pending
        while pending and (response := pending[0].response) is not None:
            pending.popleft()
            self._unsent.append(response)
            self._unsent_bytes += len(response)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            logger.debug("a client does not read its responses: connection closed")
            self._loop.call_soon(self.close)
            return False
        return bool(self._unsent)

    async def _write(self) -> None:
        """Send what the system did not take at once."""
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
        """Read until the client closes the connection or has exceeded a limit."""
        buffer = bytearray(READ_BYTES)
        try:
            while size := await self._loop.sock_recv_into(
                self.sock, buffer if self._state is ClientConnectionState.OPEN else _discarded
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
                    if self._reader is None:  # closed meanwhile
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
        except Exception:  # noqa: BLE001 - a fault costs this connection, and no other
            logger.exception("a client connection failed")
        self.close()

    def _serve_commands(self) -> bool:
        """Serve one turn's commands of what was read; return whether there may be more."""
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
                if self._commands.is_last:
                    self._finish()
                is_abusive = self._commands.invalid_commands >= MAX_INVALID_COMMANDS
                if is_abusive or len(self._pending) > MAX_PENDING_COMMANDS:
                    self._finish_with(resp.TOO_MANY_COMMANDS)
        except resp.ProtocolError:
            self._finish_with(resp.PROTOCOL_ERROR)
        return self._state is ClientConnectionState.OPEN

    def _read_ahead(self) -> bool:
        """Read between two turns, so that a close is seen at once; return False at a close."""
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
        # The commands that wait arrived before what was read now.
        earliest_arrival_ms = self.earliest_arrival_ms
        self._feed(data)
        self.earliest_arrival_ms = earliest_arrival_ms
        return bool(data)

    def _feed(self, data: bytes) -> None:
        """Give bytes to the parser, and work out when they can have arrived."""
        self.last_read_ms = self._host.clock.now()
        lag = self._host.event_loop_lag
        # They arrived while this waited to read, or before that, behind what was read before.
        self.earliest_arrival_ms = (
            max(self._all_read_ms, lag.earliest_arrival_ms)
            if lag.earliest_arrival_ms >= self._heartbeat_before_wait_ms
            else self._all_read_ms
        )
        has_read_all = len(data) < READ_BYTES
        self._all_read_ms = self.last_read_ms if has_read_all else self.earliest_arrival_ms
        if self._guard.is_between_messages:
            self.command_started_ms = self.last_read_ms
        self._parser.feed(data[: self._guard.count_safe_bytes(data)])

    async def _discard(self, size: int) -> bool:
        """Discard what follows the last command, of which `size` bytes were read.

        Returns False where the connection is to be closed.
        """
        self._discarded_bytes += size
        if not self._discard_available():
            return False
        if self._discarded_bytes <= MAX_DISCARDED_BYTES:
            return True
        if self.is_idle:
            return False
        # A response is pending: the connection stays open, but may cost little work. Where the
        # loop lags, its turns are pause enough.
        pause_s = DISCARD_PAUSE_S if self._discarded_bytes < FLOOD_BYTES else FLOOD_PAUSE_S
        await asyncio.sleep(0.0 if self._host.event_loop_lag.is_lagging else pause_s)
        return True

    def _discard_available(self) -> bool:
        """Read and discard what has arrived; return False at a close."""
        for _ in range(MAX_DISCARDS_IN_A_ROW):
            try:
                size = self.sock.recv_into(_discarded)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError:
                return False
            if not size:
                return False
            self._discarded_bytes += size
        return True
