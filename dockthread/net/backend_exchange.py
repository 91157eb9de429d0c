"""One attempt on an established connection: sends the command, and reads or passes on the reply.

A short reply is read whole. A long value is read into blocks: up to `MAX_TIMED_WHOLE_BYTES`, if
there are blocks for it, before anything of it is passed on, so that the request can be retried
while the value is incomplete. Any longer value is passed on as it arrives. From its first byte the
attempt belongs to the client: no deadline and no other attempt ends it, and the connection is read
at the pace at which the client reads.

A value is passed on without its last byte until the line end behind it has arrived. If that is
missing, the client gets neither, and can tell that the value is not whole.
"""

from __future__ import annotations

import asyncio
import mmap
from dataclasses import dataclass
from typing import Protocol

from dockthread.clock import Clock
from dockthread.net import resp
from dockthread.net.backend_connection import Attempt, BackendConnection
from dockthread.net.block_pool import BlockBuffer, BlockPool, blocks_for
from dockthread.net.resp.limits import MAX_TIMED_WHOLE_BYTES
from dockthread.net.response_queue import ClientDisconnectedError, ResponseStream
from dockthread.observer import Traffic
from dockthread.policy import Outcome

READ_BYTES = 1024  # Size of a connection's own read buffer; most replies are a few hundred bytes.


class ResponseSink(Protocol):
    """Passes long replies on to clients."""

    def begin_response(self, attempt: Attempt) -> ResponseStream | None:
        """Let an attempt answer its request; return None if that is answered already."""
        ...

    def complete_response(self, attempt: Attempt) -> None:
        """Record that the value of an attempt that answers its request was passed on whole."""
        ...


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """How an attempt ended, and whether its connection may be used for another one."""

    reply: resp.BackendReply
    is_reusable: bool = False


RESET = ExchangeResult(resp.BackendReply(Outcome.RESET))
MALFORMED = ExchangeResult(resp.BackendReply(Outcome.ERROR))


class BackendExchange:
    """Runs attempts on established connections.

    `value_blocks` holds values that are read whole. Each value that is passed on while it arrives
    has a buffer of `relay_bytes` of its own, which the bound on requests accounts for.
    """

    def __init__(
        self,
        clock: Clock,
        traffic: Traffic,
        reply_parser: resp.ReplyParser,
        value_blocks: BlockPool,
        relay_bytes: int,
    ) -> None:
        self.responses: ResponseSink | None = None
        self._clock = clock
        self._traffic = traffic
        self._reply_parser = reply_parser
        self._value_blocks = value_blocks
        self._relay_bytes = relay_bytes
        self._loop = asyncio.get_running_loop()

    async def send(
        self, connection: BackendConnection, attempt: Attempt, time_left_ms: float
    ) -> None:
        """Send the command of an attempt.

        Raises:
            OSError: The connection broke before the last byte was sent.
        """
        attempt.has_started = True
        *parts, last_part = attempt.command.parts_for_backend(time_left_ms)
        for part in parts:
            await self._loop.sock_sendall(connection.sock, part)
            self._traffic.backend_bytes_out += len(part)
        attempt.may_have_run = True
        await self._loop.sock_sendall(connection.sock, last_part)
        self._traffic.backend_bytes_out += len(last_part)
        attempt.is_written = True
        self._traffic.attempts_sent += 1

    async def receive(
        self, connection: BackendConnection, attempt: Attempt, buffer: bytearray
    ) -> ExchangeResult:
        """Read the reply, and pass a long value on to the client.

        Raises:
            OSError: The connection broke.
        """
        reader = resp.ReplyReader(self._reply_parser)
        size = await self._loop.sock_recv_into(connection.sock, buffer)
        self._traffic.backend_bytes_in += size
        while True:
            if not size:
                return RESET
            reader.feed(bytes(buffer[:size]))
            if reader.reply is not None:
                return ExchangeResult(reader.reply, reader.is_reusable)
            if reader.long_value_bytes is not None:
                return await self._receive_long(connection, attempt, reader)
            size = await self._read(connection, memoryview(buffer))

    async def _read(self, connection: BackendConnection, space: memoryview) -> int:
        """Read more of a reply that has begun."""
        connection.stalled_since_ms = self._clock.now()
        size = await self._loop.sock_recv_into(connection.sock, space)
        connection.stalled_since_ms = None
        self._traffic.backend_bytes_in += size
        return size

    async def _receive_long(
        self, connection: BackendConnection, attempt: Attempt, reader: resp.ReplyReader
    ) -> ExchangeResult:
        size = reader.long_value_bytes
        assert size is not None
        blocks = blocks_for(size)
        try:
            if size <= MAX_TIMED_WHOLE_BYTES and self._value_blocks.try_reserve(blocks):
                return await self._receive_whole(connection, attempt, reader, size)
            return await self._pass_on(connection, attempt, reader, size)
        except ClientDisconnectedError:
            return ExchangeResult(resp.BackendReply(Outcome.CANCELLED))

    # A value that is read whole before it is passed on

    async def _receive_whole(
        self, connection: BackendConnection, attempt: Attempt, reader: resp.ReplyReader, size: int
    ) -> ExchangeResult:
        value = BlockBuffer(self._value_blocks, size)
        try:
            value.append(reader.value_start[:size])
            while not value.is_full:
                received = await self._read(connection, value.free_space())
                if not received:
                    return RESET
                value.filled += received
            tail = resp.LongReplyTail(self._reply_parser)
            tail.feed(reader.value_start[size:])
            await self._read_until_confirmed(connection, tail)
            if not tail.is_value_confirmed:
                return MALFORMED
            stream = self._begin(attempt)
            if stream is not None:
                await stream.write(b"$%d\r\n" % size)
                for piece in value.pieces():
                    await stream.write(piece)
                await stream.write(b"\r\n")
                self._complete(attempt, stream)
        finally:
            value.release()
        return await self._read_tail(connection, tail)

    # A value that is passed on as it arrives

    async def _pass_on(
        self, connection: BackendConnection, attempt: Attempt, reader: resp.ReplyReader, size: int
    ) -> ExchangeResult:
        stream = self._begin(attempt)
        if stream is None:
            return ExchangeResult(resp.BackendReply(Outcome.CANCELLED))
        await stream.write(b"$%d\r\n" % size)
        start = reader.value_start
        body, last_byte, rest = start[: size - 1], start[size - 1 : size], start[size:]
        if body:
            await stream.write(body)
        left = size - 1 - len(body)
        buffer = memoryview(mmap.mmap(-1, self._relay_bytes))
        while left:
            received = await self._read(connection, buffer[: min(left, len(buffer))])
            if not received:
                return RESET
            await stream.write(buffer[:received])
            left -= received
        tail = resp.LongReplyTail(self._reply_parser)
        if not last_byte:
            if not await self._read(connection, buffer[:1]):
                return RESET
            last_byte = bytes(buffer[:1])
        tail.feed(rest)
        await self._read_until_confirmed(connection, tail)
        if not tail.is_value_confirmed:
            return MALFORMED
        await stream.write(last_byte + b"\r\n")
        self._complete(attempt, stream)
        return await self._read_tail(connection, tail)

    # The end of a long reply

    def _begin(self, attempt: Attempt) -> ResponseStream | None:
        assert self.responses is not None
        return self.responses.begin_response(attempt)

    def _complete(self, attempt: Attempt, stream: ResponseStream) -> None:
        assert self.responses is not None
        self.responses.complete_response(attempt)
        stream.finish()

    async def _read_until_confirmed(
        self, connection: BackendConnection, tail: resp.LongReplyTail
    ) -> None:
        """Read until the value is known to be whole, or the reply to be malformed or broken off."""
        buffer = bytearray(READ_BYTES)
        while not tail.is_value_confirmed and tail.reply is None:
            size = await self._read(connection, memoryview(buffer))
            if not size:
                return
            tail.feed(bytes(buffer[:size]))

    async def _read_tail(
        self, connection: BackendConnection, tail: resp.LongReplyTail
    ) -> ExchangeResult:
        """Read the reports; without them the attempt has succeeded all the same."""
        buffer = bytearray(READ_BYTES)
        while tail.reply is None:
            try:
                size = await self._read(connection, memoryview(buffer))
            except OSError:
                size = 0
            if not size:
                break
            tail.feed(bytes(buffer[:size]))
        if tail.reply is None or not tail.reply.is_well_formed:
            return ExchangeResult(resp.BackendReply(Outcome.OK))
        return ExchangeResult(tail.reply, tail.is_reusable)
