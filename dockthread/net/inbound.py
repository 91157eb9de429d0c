"""Inbound connections: clients' commands in, answers out in the order of the commands."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Protocol

from loguru import logger

from dockthread.clock import Clock
from dockthread.net import resp

BUFFER = 8 * 1024
MOST_UNSENT = 4 * 1024 * 1024  # bytes of answers that a client has not read
LINGER = 1_000.0  # for a client to read the last answer before its connection is closed


class Slot:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("answer",)

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer


class Host(Protocol):
    """What an inbound connection needs of its ingress."""

    clock: Clock
    vocabulary: resp.Vocabulary

    @property
    def ready(self) -> bool: ...
    @property
    def draining(self) -> bool: ...
    def arrived(self, connection: Inbound, ask: resp.Ask) -> Slot: ...
    def client_gone(self, slot: Slot) -> None: ...
    def closed(self, connection: Inbound) -> None: ...


class Inbound:
    """One client connection. Its task reads for as long as it stands, so that a close is seen at once."""

    def __init__(self, host: Host, sock: socket.socket, surplus: bool = False) -> None:
        self._host, self.sock = host, sock
        self._loop = asyncio.get_running_loop()
        self._pending: deque[Slot] = deque()
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._writer: asyncio.Task[None] | None = None
        self._reader = resp.reader()
        self._unfinished = 0  # bytes since the last whole message
        self._last = False  # no command after those pending is answered
        self._closed = False
        self.surplus = surplus  # over the budget of descriptors: told to come again, and closed
        self.used = host.clock.now()
        self.close_by: float | None = None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task = self._loop.create_task(self._run())

    @property
    def idle(self) -> bool:
        return not (self._pending or self._unsent or self._writer or self._unfinished)

    def close_if_done(self) -> None:
        """Between requests an ingress may close a connection; with an answer owed it may not."""
        if not (self._pending or self._unsent or self._writer):
            self.close()

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._task.cancel()
        if self._writer is not None:
            self._writer.cancel()
        self.sock.close()
        pending, self._pending = self._pending, deque()
        for slot in pending:
            if slot.answer is None:
                self._host.client_gone(slot)
        self._host.closed(self)

    def flush(self) -> None:
        """Send every answer that has none missing before it."""
        if self._collect() and self._writer is None:
            self._writer = self._loop.create_task(self._write())

    def _collect(self) -> bool:
        """Move the answers that may be sent to those unsent; False where there is nothing to send."""
        pending = self._pending
        while pending and (answer := pending[0].answer) is not None:
            pending.popleft()
            self._unsent.append(answer)
            self._unsent_bytes += len(answer)
        if self._unsent_bytes > MOST_UNSENT:
            logger.warning("a client does not read its answers: connection closed")
            self.close()
            return False
        return bool(self._unsent)

    async def _write(self) -> None:
        try:
            while self._unsent:
                data = b"".join(self._unsent)
                self._unsent.clear()
                await self._loop.sock_sendall(self.sock, data)
                self._unsent_bytes -= len(data)
        except OSError:
            self._writer = None
            self.close()
            return
        self._writer = None
        if self._pending:
            return
        if self._last:
            # Closing with input unread would reset the connection and might take the answer with it.
            self.close_by = self._host.clock.now() + LINGER
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()
        elif self._host.draining:
            self.close()

    async def _run(self) -> None:
        buffer = bytearray(BUFFER)
        try:
            while size := await self._loop.sock_recv_into(self.sock, buffer):
                if not self._last:
                    self._take(bytes(buffer[:size]))
                    # What was refused at once is sent from here, with no task of its own.
                    if self._collect() and self._writer is None:
                        self._writer = self._task
                        await self._write()
        except OSError:
            pass
        except Exception:
            logger.exception("an inbound connection failed")
        self.close()

    def _take(self, data: bytes) -> None:
        self.used = self._host.clock.now()
        self._unfinished += len(data)
        reader = self._reader
        reader.feed(data)
        try:
            while (message := reader.gets()) is not resp.INCOMPLETE:
                self._unfinished = len(data) if reader.has_data() else 0
                self._command(message)
                if self._last:
                    break
            else:
                if self._unfinished > resp.MOST_UNFINISHED:
                    self._say_last(resp.TOO_LONG)
        except resp.ProtocolError:
            self._say_last(resp.BAD_FRAMING)

    def _say_last(self, answer: bytes) -> None:
        self._last = True
        self._pending.append(Slot(answer))

    def _command(self, message: object) -> None:
        if isinstance(message, list) and all(type(part) is bytes for part in message):
            if not message:
                return  # an empty array asks nothing
            verb = message[0].upper()
            if verb in (b"API.READ", b"API.WRITE"):
                self._pending.append(self._request(message))
            elif verb == b"QUIT":
                self._say_last(resp.OK)
            else:
                self._pending.append(Slot(self._plain(verb, message)))
        else:
            self._pending.append(Slot(resp.error("a command is an array of bulk strings")))

    def _request(self, args: list[bytes]) -> Slot:
        try:
            ask = self._host.vocabulary.ask(args)
        except resp.BadCommand as error:
            return Slot(resp.error(str(error)))
        if self.surplus:
            self._last = True
            return Slot(resp.BUSY)
        return self._host.arrived(self, ask)

    def _plain(self, verb: bytes, args: list[bytes]) -> bytes:
        if verb == b"PING":
            if not self._host.ready:
                return resp.NOT_READY
            return resp.PONG if len(args) == 1 else resp.served(args[1])
        if verb in (b"CLIENT", b"SELECT"):
            return resp.OK
        return resp.error("unknown command")
