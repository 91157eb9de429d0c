"""Client connections: read commands, and send the responses in the order of the commands.

Theory of operation. `outstanding` tells what the ingress owes a client; unless the client has left,
no connection is ended before that is done. The ingress ends every connection in the same way
(`end_gracefully`): it shuts down the sending side, so that the client reads all responses and then
the end of the stream. Further input is read and discarded without being served, up to
`MAX_DISCARDED_BYTES`; then the socket is closed. `GracefulClose` tells when, if the client does not
close. Closing a socket with unread input would reset the connection and could destroy a response
that the client has not read yet.

A connection holds a small read buffer and at most one incomplete command. Commands are read only as
they are served, and wait while responses are unsent or the client sends faster than `CommandPacer`
allows. What is not read waits in the socket, so the system's flow control slows the client down.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from loguru import logger

from dockthread.net import resp
from dockthread.net.body_reader import BodyCancelledError, BodyReader
from dockthread.net.client_commands import CommandHandler
from dockthread.net.client_connection_state import ClientConnectionState, Outstanding
from dockthread.net.client_timeouts import CommandTimer, is_input_overdue
from dockthread.net.command_pacer import CommandPacer
from dockthread.net.connection_host import ConnectionHost
from dockthread.net.delivery import DeliveryMonitor
from dockthread.net.graceful_close import GracefulClose
from dockthread.net.input_clock import InputClock
from dockthread.net.input_discarder import InputDiscarder, discard_buffer, discard_once
from dockthread.net.peer_state import has_peer_closed, has_unread_input
from dockthread.net.response_queue import ResponseQueue, ResponseSlot, ResponseStream
from dockthread.observer import DropReason

READ_BYTES = 1024  # Size of a connection's own read buffer; most reads are a single command.
LONG_READ_BYTES = 3 * 1024  # Size of a second read if the first one filled the buffer.
COMMANDS_PER_TURN = 8  # Commands served on one connection before other tasks run.
MAX_PENDING_COMMANDS = 128  # Commands without a response above which no further one is served.
MAX_UNKNOWN_COMMANDS = 16  # Unknown commands after which a connection is ended.
CLOSE_CHECK_S = 0.05  # Time between two checks for a close while the connection is not read.


class ClientConnection:
    """One client connection, and the task that reads from it while it is open.

    `on_closed` is called when the socket has been closed. Times are in ms on the ingress's clock.
    `is_surplus` marks one beyond the descriptor budget, which ends once its requests are rejected.
    """

    __slots__ = (
        "__weakref__",
        "_body",
        "_closing",
        "_command_timer",
        "_commands",
        "_delivery",
        "_discarder",
        "_host",
        "_input",
        "_last_read_ms",
        "_loop",
        "_on_closed",
        "_pacer",
        "_reader",
        "_reading",
        "_responses",
        "_state",
        "commands_read",
        "is_surplus",
        "sock",
    )

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
        self._closing: GracefulClose | None = None  # set when the connection is half closed
        self.is_surplus = is_surplus

        now = host.clock.now()
        self._reader = resp.CommandReader()
        self._commands = CommandHandler(host, is_surplus)
        self._pacer = CommandPacer(self._loop.time())
        self._input = InputClock(host.event_loop_lag, earliest_arrival_ms)
        self._body: BodyReader | None = None  # set while the body of a request is being read
        self.commands_read = 0
        self._discarder = InputDiscarder(sock, host.event_loop_lag)
        self._last_read_ms = now
        self._command_timer = CommandTimer(now)
        self._delivery = DeliveryMonitor(sock, now)
        self._responses = ResponseQueue(
            self, sock, host.clock, host.traffic, host.buffered_responses
        )

        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reading: asyncio.Task[None] | None = self._loop.create_task(self._run())

    @property
    def earliest_arrival_ms(self) -> float:
        """A lower bound on the arrival of the bytes read last, or of the connection itself."""
        return self._input.earliest_arrival_ms

    @property
    def outstanding(self) -> Outstanding | None:
        """What the ingress owes the client; None if it is the client's turn."""
        unanswered = self._unanswered
        if unanswered is None and not self.is_delivered:
            return Outstanding.DELIVERY
        return unanswered

    @property
    def _unanswered(self) -> Outstanding | None:
        """What is outstanding before the system has taken all responses."""
        if self._state is ClientConnectionState.OPEN and self._may_hold_command:
            return Outstanding.COMMANDS
        return None if self._responses.is_empty else Outstanding.RESPONSES

    @property
    def _may_hold_command(self) -> bool:
        """Whether a command may have been read that is not served yet."""
        if self._body is not None and self._body.is_waiting_for_blocks:
            return True  # the reader may hold the complete body
        return self._reader.may_hold_command

    @property
    def is_idle(self) -> bool:
        """Whether all commands are served, and the system has taken all responses."""
        return self._unanswered is None

    @property
    def is_delivered(self) -> bool:
        """Whether everything that was written has been sent to the client's system."""
        return not self._delivery.is_waiting_for_client

    @property
    def is_mid_command(self) -> bool:
        """Whether a command has been received only in part, and the client owes the rest."""
        is_open = self._state is ClientConnectionState.OPEN
        return is_open and (self._body is not None or self._reader.is_mid_command)

    def waiting_ms(self, now_ms: float) -> float:
        """Return for how long the client has owed the rest of a command, or its first one."""
        if self._body is None:
            return self._command_timer.elapsed_ms(now_ms)
        return now_ms - self._body.waiting_since_ms

    @property
    def last_read_ms(self) -> float:
        """When its last input was read."""
        return self._last_read_ms if self._body is None else self._body.last_progress_ms

    @property
    def is_reading_body(self) -> bool:
        """Whether the body of a request that may be served is being read."""
        return self._body is not None and not self._body.is_rejected

    @property
    def is_ending(self) -> bool:
        """Whether the sending side is shut down and only the client's close is outstanding."""
        return self._closing is not None

    def is_client_stalled(self, now: float) -> bool:
        """Return whether the client has received nothing of what was written for too long."""
        return self._delivery.is_stalled(now)

    def _is_write_stalled(self, now: float) -> bool:
        """Return whether responses wait for a client that receives nothing."""
        if self._responses.write_started_ms is None:
            return False
        self._delivery.check(now)
        return self._responses.is_stalled(now, self._delivery.progress_ms)

    def has_input(self) -> bool:
        """Return whether the socket has unread input."""
        return has_unread_input(self.sock)

    def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection, even if input is unread."""
        return self._state is ClientConnectionState.CLOSED or has_peer_closed(self.sock)

    # Ending

    def enforce_timeouts(self, now: float) -> None:
        """End the connection if its client has left or has exceeded a timeout."""
        if self._closing is not None:
            if self._closing.may_close(now):
                self.close()
            return
        if self._is_write_stalled(now) or (self._is_to_end and self.is_client_stalled(now)):
            self._host.traffic.drops[DropReason.CLIENT_STALLED] += 1
            self.close()
            return
        if not self.is_idle and self.has_disconnected():
            self.close()
            return
        if is_input_overdue(self, now):
            self._end_overdue_input()
        elif self._is_to_end:
            self.end_between_requests()

    def _end_overdue_input(self) -> None:
        if not self.is_mid_command:
            self.end_gracefully()
            return
        if self._body is None or not self._body.is_rejected:
            self._responses.append(ResponseSlot(resp.COMMAND_TIMEOUT))
        self._host.traffic.drops[DropReason.COMMAND_TIMEOUT] += 1
        self._stop_reading_body()
        self._finish()
        self.flush()

    def end_gracefully(self) -> None:
        """Shut down the sending side, and leave it to the client to close the connection.

        Does nothing while commands or responses are outstanding. A command that is incomplete is
        dropped. What the client has not received yet comes before the end of the stream.
        """
        if self._state is ClientConnectionState.CLOSED or not self.is_idle or self.is_ending:
            return
        self._stop_reading_body()
        self._half_close()

    def end_between_requests(self) -> None:
        """End the connection gracefully, if this ends no request.

        Does nothing while anything is outstanding, or a request has arrived or begun to arrive. A
        client that has not received its responses would not notice the end, and send further
        requests; these are answered until then.
        """
        if self.outstanding is None and not self.is_mid_command and not self.has_input():
            self.end_gracefully()

    @property
    def _is_to_end(self) -> bool:
        """Whether the connection is to be ended as soon as it is between two requests."""
        return self._host.draining or self._commands.ends_connection

    def _half_close(self) -> None:
        self._state = ClientConnectionState.HALF_CLOSED
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._closing = GracefulClose(self._delivery, self._host.clock.now())

    def abort_response(self) -> None:
        """End the connection within a response, so that the client can tell it is not whole."""
        if self._state is ClientConnectionState.CLOSED or self.is_ending:
            return
        self._stop_reading_body()
        unanswered = self._responses.close()
        self._half_close()
        self._abandon(unanswered)

    def close(self) -> None:
        """Close the socket immediately: the client has disconnected or exceeded a timeout."""
        if self._state is ClientConnectionState.CLOSED:
            return
        self._state = ClientConnectionState.CLOSED
        discard_once(self.sock)  # closing with unread input would reset the connection
        # A cancelled task references its traceback, whose frames reference this connection. Dropping
        # the task breaks the cycle, so the memory is freed without the garbage collector.
        if self._reading is not None:
            self._reading.cancel()
        self._reading = None
        self._stop_reading_body()
        self._abandon(self._responses.close())
        self.sock.close()
        self._on_closed(self)

    def close_soon(self) -> None:
        """Close in a later iteration: the actions of a policy decision may refer to its requests."""
        self._loop.call_soon(self.close)

    def _abandon(self, unanswered: list[ResponseSlot]) -> None:
        for slot in unanswered:
            self._host.requests.on_client_disconnected(slot)

    def _stop_reading_body(self) -> None:
        body, self._body = self._body, None
        if body is not None:
            body.cancel()

    def _finish(self) -> None:
        """Serve no further command."""
        if self._state is ClientConnectionState.OPEN:
            self._state = ClientConnectionState.FINISHING

    def _finish_with(self, response: bytes) -> None:
        """Append a final response; no further command is served."""
        self._finish()
        self._responses.append(ResponseSlot(response))

    # Responses

    def flush(self) -> None:
        """Send all responses up to the first one that is not known yet."""
        self._responses.flush()

    def open_stream(self, slot: ResponseSlot) -> ResponseStream:
        """Begin to pass on a response in parts."""
        return ResponseStream(self._responses, slot)

    def on_send_failed(self) -> None:
        """Close the broken connection."""
        self.close_soon()

    def on_all_sent(self) -> None:
        """End the connection if no further request is to be served on it."""
        if self._state is not ClientConnectionState.OPEN:
            self.end_gracefully()
        elif self._is_to_end:
            self.end_between_requests()

    # Reading

    async def _run(self) -> None:
        """Read until the client closes the connection or exceeds a limit."""
        buffer = bytearray(READ_BYTES)
        try:
            while self._state is ClientConnectionState.OPEN:
                size = await self._loop.sock_recv_into(self.sock, buffer)
                if not size:
                    break
                if self._state is not ClientConnectionState.OPEN:
                    break
                self._on_input(bytes(buffer[:size]))
                await self._serve_commands()
            while self._state in (
                ClientConnectionState.FINISHING,
                ClientConnectionState.HALF_CLOSED,
            ):
                size = await self._loop.sock_recv_into(self.sock, discard_buffer)
                if self._closing is not None:
                    self._closing.on_input(self._host.clock.now())
                is_done = self.outstanding is None
                if not size or not await self._discarder.discard(size, is_idle=is_done):
                    break
        except OSError:
            pass
        except Exception:  # noqa: BLE001 - a fault must end this connection only
            logger.exception("unexpected error on a client connection")
        self.close()

    def _on_input(self, data: bytes) -> None:
        """Add input to the reader, and what is waiting in the socket behind it."""
        is_drained = len(data) < READ_BYTES
        if not is_drained:
            with suppress(BlockingIOError, InterruptedError):
                more = self.sock.recv(LONG_READ_BYTES)
                is_drained = len(more) < LONG_READ_BYTES
                data += more
        self._host.traffic.client_bytes_in += len(data)
        self._last_read_ms = self._host.clock.now()
        self._input.on_read(self._last_read_ms, is_drained=is_drained)
        if self._reader.is_between_commands:
            self._command_timer.restart(self._last_read_ms)
        self._reader.feed(data)

    async def _serve_commands(self) -> None:
        """Serve all commands that have been read, a few in each iteration of the event loop."""
        self._command_timer.pause(self._host.clock.now())
        while await self._serve_turn():
            self.flush()
            await self._pause()
            if self.has_disconnected():  # what it sent before is not needed any more
                self.close()
                return
        self.flush()
        await self._wait_for_client()
        self._input.on_wait()
        self._command_timer.resume(self._host.clock.now())

    async def _serve_turn(self) -> bool:
        """Serve up to `COMMANDS_PER_TURN` commands; return whether there may be more."""
        try:
            for _ in range(COMMANDS_PER_TURN):
                if self._state is not ClientConnectionState.OPEN:
                    return False
                command = self._reader.next_command()
                if command is None:
                    return False
                self._count_command()
                if isinstance(command, resp.CommandWithBody):
                    await self._serve_with_body(command)
                else:
                    self._responses.append(self._commands.handle(self, command.arguments))
                self._finish_if_excessive()
        except resp.ProtocolError:
            self._finish_with(resp.PROTOCOL_ERROR)
        except BodyCancelledError:
            return False
        return self._state is ClientConnectionState.OPEN

    def _count_command(self) -> None:
        self.commands_read += 1
        self._command_timer.restart(self._host.clock.now())
        self._pacer.record_command()

    def _finish_if_excessive(self) -> None:
        if self._commands.stops_serving:
            self._finish()
        if self._commands.unknown_commands >= MAX_UNKNOWN_COMMANDS:
            self._finish_with(resp.TOO_MANY_COMMANDS)

    async def _serve_with_body(self, announced: resp.CommandWithBody) -> None:
        """Read the body of a request and serve it, or reject it and skip its body.

        Raises:
            ProtocolError: The body does not end with its line.
        """
        checked = self._commands.check_request(announced.arguments)
        body = self._body = BodyReader(self._host, self.sock, self._reader, self._input)
        if isinstance(checked, resp.RequestCommand):
            if await body.read(announced.body_bytes, checked.time_left_ms):
                checked.body = body.content
                body.content = None
                self._responses.append(self._host.requests.accept(self, checked))
                self._end_of_body(body)
                return
            if self._body is not body:  # the connection was closed meanwhile
                return
            checked = self._host.requests.reject_without_memory(checked)
        body.is_rejected = True
        self._responses.append(checked)
        self.flush()
        await body.skip(announced.body_bytes)
        self._end_of_body(body)

    def _end_of_body(self, body: BodyReader) -> None:
        self._last_read_ms = self._host.clock.now()
        if self._body is body:
            self._body = None

    async def _pause(self) -> None:
        """Let other tasks run before further commands are served."""
        await asyncio.sleep(0)
        await self._wait_for_client()

    async def _wait_for_client(self) -> None:
        """Wait while too many responses are pending or unread, or the client sends too fast."""
        pause_s = self._pacer.pause_s(self._loop.time())
        if pause_s:
            await asyncio.sleep(pause_s)
        while self._is_full and not self.has_disconnected():  # noqa: ASYNC110
            await asyncio.sleep(CLOSE_CHECK_S)

    @property
    def _is_full(self) -> bool:
        """Whether no further command is served until responses are known or read."""
        has_too_many = len(self._responses) > MAX_PENDING_COMMANDS
        return has_too_many or self._responses.must_be_read
