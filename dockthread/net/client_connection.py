"""Inbound connections: clients' commands in, answers out in the order of the commands.

Theory of operation. A connection is ended in one way, whoever ends it (`end`): the sending side is
shut, so that the client reads all that was answered and then the end; what it still sends is read
and dropped, and nothing of it is served, for `CLOSE_TIMEOUT_MS` and `MAX_IGNORED_BYTES` bytes at the most; then
the socket is closed. A close over unread bytes would reset the connection, and might take along an
answer that the client has not read. Answers are written as they come; only what the system does not
take at once waits for a task of its own, so the reader always reads: a client's close is seen at
once, whatever is owed to it.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from contextlib import suppress
from typing import Protocol

from loguru import logger

from dockthread.clock import Clock
from dockthread.net import resp
from dockthread.net.event_loop_lag import EventLoopLagMonitor
from dockthread.observer import Traffic

BUFFER = 8 * 1024
MOST_UNSENT = 1024 * 1024  # bytes of answers that a client has not read
CLOSE_TIMEOUT_MS = 1_000.0  # for a client to read the last answer before its connection is closed
# bytes read meanwhile; one that sends more is cut off, unless an answer is owed
MAX_IGNORED_BYTES = 64 * 1024
TURN = 8  # commands of one connection that are taken before the others have theirs
MOST_WAITING = 128  # commands of one connection without an answer
MOST_BAD = 16  # commands of one connection that cannot be served
# bytes behind the last command, read as they come: an end may stand behind them
FLOOD = 4 * 1024 * 1024
# s between reads of a client that sends on and on there; where it is a flood
PAUSE, LONG_PAUSE = 0.01, 0.03
# reads in a row there: 16 MiB, more than two systems hold, so that an end behind it is seen
DROPS = 64
AHEAD = 64 * 1024  # bytes read while commands before them wait for their turn, for the same reason
UNREAD = 5_000.0  # for a client to read an answer
FIRST_COMMAND_TIMEOUT_MS = 1_500.0  # for a new connection to say something
HEAD = 3_000.0  # for a command that has begun to be whole: a slow client takes 2 s for a head


_dropped = bytearray(256 * 1024)  # where all that is read and dropped goes


class ResponseSlot:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("response",)

    def __init__(self, answer: bytes | None = None) -> None:
        self.response = answer


class ConnectionHost(Protocol):
    """What an inbound connection needs of its ingress."""

    clock: Clock
    request_parser: resp.RequestParser
    traffic: Traffic
    event_loop_lag: EventLoopLagMonitor

    @property
    def ready(self) -> bool:
        """Whether requests are taken."""
        ...

    @property
    def draining(self) -> bool:
        """Whether no new request is taken any more."""
        ...

    def is_in_flight(self, wire_id: bytes) -> bool:
        """Whether a request of this id is open."""
        ...

    def accept(self, connection: ClientConnection, ask: resp.RequestCommand) -> ResponseSlot:
        """A whole request was read; where its answer will stand."""
        ...

    def respond_without_policy(
        self, ask: resp.RequestCommand, reason: str, answer: bytes
    ) -> ResponseSlot:
        """A request that is answered without a decision."""
        ...

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        """The client of a request has left."""
        ...

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """The connection is closed."""
        ...


class ClientConnection:
    """One client connection. Its task reads for as long as it stands, so that a close is seen at
    once.
    """

    def __init__(
        self, host: ConnectionHost, sock: socket.socket, came: float, surplus: bool = False
    ) -> None:
        self._host, self.sock = host, sock
        # the earliest at which what was read last can have come; its own coming, at first
        self.earliest_arrival_ms = came
        self._seen, self._beat = (
            came,
            host.event_loop_lag.last_heartbeat_ms,
        )  # when all that had come was read; the beat before the wait
        self._loop = asyncio.get_running_loop()
        self._pending: deque[ResponseSlot] = deque()
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._writer: asyncio.Task[None] | None = None
        self._writing = 0.0  # since when
        self._reader, self._bounds = resp.new_parser(), resp.command_guard()
        self._bad = 0  # commands that could not be served
        self._ignored = 0  # bytes read after the last command
        self._ahead = 0  # bytes read while commands before them were waiting
        self._last = False  # no command after those pending is answered
        self._closed = False
        self.surplus = surplus  # over the budget of descriptors: told to come again, and closed
        self.commands_read = 0  # whole commands it has sent
        # last read; the start of a command that is not whole
        self.last_read_ms = self.command_started_ms = host.clock.now()
        self.close_by: float | None = None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task: asyncio.Task[None] | None = self._loop.create_task(self._run())

    @property
    def is_idle(self) -> bool:
        """Nothing is owed to it. Half a command is no claim: else clients that never end one could
        hold all descriptors.
        """
        return not (self._pending or self._unsent or self._writer)

    @property
    def is_mid_command(self) -> bool:
        """Whether a command has begun and is not whole."""
        return not self._bounds.is_between_messages and not self._last

    def has_input(self) -> bool:
        """Whether something has come that is not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def enforce_timeouts(self, now: float) -> None:
        """End what does not come to an end by itself."""
        if self.close_by is not None:
            if self.close_by < now:
                self.close()
        elif self._writer is not None and now - self._writing > UNREAD:
            self.close()
        elif now - self.command_started_ms > (
            HEAD if (half := self.is_mid_command) else FIRST_COMMAND_TIMEOUT_MS
        ) * (1 + ((half or not self.commands_read) and self.has_input())):
            if half:
                self._say_last(resp.COMMAND_TIMEOUT)
                self.flush()
            elif not self.commands_read:
                self.end_gracefully()

    def end_gracefully(self) -> None:
        """Between requests an ingress may end a connection; with an answer owed it may not."""
        if self._closed or not self.is_idle or self.is_ending:
            return
        self._last = True
        self.close_by = self._host.clock.now() + CLOSE_TIMEOUT_MS
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    @property
    def is_ending(self) -> bool:
        """Whether its sending side is shut, and only the client's end is awaited."""
        return self.close_by is not None

    def close(self) -> None:
        """At once: the client has left, or has had its time."""
        if self._closed:
            return
        self._closed = True
        with suppress(OSError):  # what has come meanwhile would make a reset of it
            self.sock.recv_into(_dropped)
        # A cancelled task keeps its traceback, that its frames, buffer and all, and those this
        # connection:
        # let go of here, they need not wait for a collection of garbage.
        for task in (self._task, self._writer):
            if task is not None:
                task.cancel()
        self._task = self._writer = None
        self.sock.close()
        pending, self._pending = self._pending, deque()
        for slot in pending:
            if slot.response is None:
                self._host.on_client_disconnected(slot)
        self._host.on_connection_closed(self)

    def flush(self) -> None:
        """Send every answer that has none missing before it. A connection that this finds broken
        closes in a turn of its own: this may stand in the middle of a decision, and the close ends
        requests that the rest of it is about.
        """
        if not self._collect() or self._writer is not None:
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
            self._writing = self._host.clock.now()
            self._writer = self._loop.create_task(self._write())
        elif not self._pending and (self._last or self._host.draining):
            self.end_gracefully()  # nothing is pending: this ends no request

    def _collect(self) -> bool:
        """Move the answers that may be sent to those unsent; False where there is nothing to
        send.
        """
        pending = self._pending
        while pending and (answer := pending[0].response) is not None:
            pending.popleft()
            self._unsent.append(answer)
            self._unsent_bytes += len(answer)
        if self._unsent_bytes > MOST_UNSENT:
            logger.debug("a client does not read its answers: connection closed")
            self._loop.call_soon(self.close)
            return False
        return bool(self._unsent)

    async def _write(self) -> None:
        try:
            while self._unsent:
                data = b"".join(self._unsent)
                self._unsent.clear()
                self._host.traffic.client_bytes_out += len(data)
                await self._loop.sock_sendall(self.sock, data)
                self._unsent_bytes -= len(data)
                self._writing = self._host.clock.now()
        except OSError:
            self._writer = None
            self.close()
            return
        self._writer = None
        if not self._pending and (self._last or self._host.draining):
            self.end_gracefully()

    async def _run(self) -> None:
        buffer = bytearray(BUFFER)
        try:
            while size := await self._loop.sock_recv_into(
                self.sock, _dropped if self._last else buffer
            ):
                if self._last:
                    self._ignored += size
                    if not self._drop():
                        break
                    if self._ignored > MAX_IGNORED_BYTES:
                        if self.is_idle:
                            break
                        # An answer is owed: no close, but little work; where turns are long they
                        # are pause enough.
                        pause = PAUSE if self._ignored < FLOOD else LONG_PAUSE
                        await asyncio.sleep(0.0 if self._host.event_loop_lag.is_lagging else pause)
                    continue
                self._host.traffic.client_bytes_in += size
                self._feed(bytes(buffer[:size]))
                more = True
                while more:
                    more = self._take()
                    self.flush()
                    if self._closed:
                        return
                    if more:
                        await asyncio.sleep(0)
                        if not self._read_ahead():
                            self.close()
                            return
                self._ahead, self._beat = 0, self._host.event_loop_lag.last_heartbeat_ms
        except OSError:
            pass
        except Exception:
            logger.exception("an inbound connection failed")
        self.close()

    def _read_ahead(self) -> bool:
        """Between two turns: what has come, so that an end behind it is seen at once. False at an
        end.
        """
        if self._ahead >= AHEAD:
            return True
        try:
            data = self.sock.recv(BUFFER)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        self._ahead += len(data)
        self._host.traffic.client_bytes_in += len(data)
        since = self.earliest_arrival_ms  # of the commands that wait: these came no earlier
        self._feed(data)
        self.earliest_arrival_ms = since
        return bool(data)

    def _drop(self) -> bool:
        """Read what lies there behind the last command; False at an end."""
        for _ in range(DROPS):
            try:
                size = self.sock.recv_into(_dropped)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError:
                return False
            if not size:
                return False
            self._ignored += size
        return True

    def _feed(self, data: bytes) -> None:
        bounds, self.last_read_ms = self._bounds, self._host.clock.now()
        loop_delay = self._host.event_loop_lag
        # It came while this waited to read, or before it did so, behind what was read before.
        self.earliest_arrival_ms = (
            max(self._seen, loop_delay.earliest_arrival_ms)
            if loop_delay.earliest_arrival_ms >= self._beat
            else self._seen
        )
        self._seen = self.last_read_ms if len(data) < BUFFER else self.earliest_arrival_ms
        if bounds.is_between_messages:
            self.command_started_ms = self.last_read_ms
        self._reader.feed(data[: bounds.count_safe_bytes(data)])

    def _take(self) -> bool:
        """Take a turn's commands from what was read; False once none is left."""
        try:
            for _ in range(TURN):
                if self._last:
                    return False
                if (message := self._reader.gets()) is resp.INCOMPLETE:
                    if self._bounds.is_broken:
                        self._say_last(resp.PROTOCOL_ERROR)
                    return False
                self.commands_read, self.command_started_ms = (
                    self.commands_read + 1,
                    self.last_read_ms,
                )
                self._command(message)
                if self._bad >= MOST_BAD or len(self._pending) > MOST_WAITING:
                    self._say_last(resp.TOO_MANY_COMMANDS)
        except resp.ProtocolError:
            self._say_last(resp.PROTOCOL_ERROR)
        return not self._last

    def _say_last(self, answer: bytes) -> None:
        self._last = True
        self._pending.append(ResponseSlot(answer))

    def _refuse(self, answer: bytes) -> ResponseSlot:
        self._bad += 1
        self._host.traffic.commands_rejected += 1
        return ResponseSlot(answer)

    def _command(self, message: object) -> None:
        if not isinstance(message, list) or not all(type(part) is bytes for part in message):
            raise resp.ProtocolError("a command is an array of bulk strings")
        verb = message[0].upper()
        if verb in (b"API.READ", b"API.WRITE"):
            self._pending.append(self._request(message))
        elif verb == b"QUIT":
            self._say_last(resp.OK)
        else:
            self._pending.append(self._plain(verb, message))

    def _request(self, args: list[bytes]) -> ResponseSlot:
        try:
            ask = self._host.request_parser.parse(args)
        except resp.CommandError as error:
            return self._refuse(resp.encode_error(str(error)))
        if self.surplus:
            self._last = True
            return self._host.respond_without_policy(ask, "surplus", resp.BUSY)
        if self._host.is_in_flight(ask.wire_id):
            self._bad += 1
            return self._host.respond_without_policy(
                ask, "duplicate", resp.encode_error("this id is open already")
            )
        return self._host.accept(self, ask)

    def _plain(self, verb: bytes, args: list[bytes]) -> ResponseSlot:
        if verb == b"PING":
            if not self._host.ready:
                return ResponseSlot(resp.NOT_READY)
            return ResponseSlot(resp.PONG if len(args) == 1 else resp.encode_value(args[1]))
        if verb in (b"CLIENT", b"SELECT"):
            return ResponseSlot(resp.OK)
        return self._refuse(resp.encode_error("unknown command"))
