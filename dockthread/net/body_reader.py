"""Reads the body of one request into blocks, or skips it.

No byte of a body is read before all of its blocks are reserved. If they are not free in time, the
request is rejected and its body is skipped, so that the client gets its answer and can go on.
"""

from __future__ import annotations

import asyncio
import socket

from dockthread.errors import DockthreadError
from dockthread.net.block_pool import BlockBuffer, blocks_for
from dockthread.net.connection_host import ConnectionHost
from dockthread.net.input_clock import InputClock
from dockthread.net.resp import CommandReader, ProtocolError
from dockthread.net.resp.command_reader import LINE_END

# Longest wait for blocks, and the share of the client's time that it may take: the client's time
# runs from its last byte, which the system may have accepted already.
MAX_RESERVATION_S = 1.0
RESERVATION_SHARE = 0.25
MS_PER_S = 1000.0
# Longest time after which data behind a closed receive window arrives once there is space again:
# Linux probes such a window after 200 ms.
MAX_WINDOW_DELAY_MS = 300.0
# Slowest pace of a body on the whole; a client may pause for the time-out of a command.
MIN_BYTES_PER_MS = 32.0

_skip_buffer = bytearray(32 * 1024)  # Shared by all connections; its content is never used.


class BodyCancelledError(DockthreadError):
    """The body is not needed any more, because its connection is ending."""


class BodyReader:
    """Reads the body of one request.

    Attributes:
        content: The body; None before `read`, and after it was handed over.
        is_rejected: Whether the request was answered and its body is only skipped.
        is_waiting_for_blocks: Whether it is the ingress that is not ready for the body.
        last_progress_ms: When its last bytes were read.
    """

    __slots__ = (
        "_host",
        "_input",
        "_is_cancelled",
        "_loop",
        "_may_be_backlogged",
        "_overdue_ms",
        "_reader",
        "_sock",
        "content",
        "is_rejected",
        "is_waiting_for_blocks",
        "last_progress_ms",
    )

    def __init__(
        self, host: ConnectionHost, sock: socket.socket, reader: CommandReader, input_: InputClock
    ) -> None:
        self._host = host
        self._sock = sock
        self._reader = reader
        self._input = input_
        self._loop = asyncio.get_running_loop()
        self.content: BlockBuffer | None = None
        self.is_rejected = False
        self.is_waiting_for_blocks = False
        self._is_cancelled = False
        # Whether the rest of the body may wait in the client's send buffer since before the wait
        # for blocks, so that its reads tell nothing of when the client sent it.
        self._may_be_backlogged = False
        self.last_progress_ms = host.clock.now()
        self._overdue_ms = self.last_progress_ms

    @property
    def waiting_since_ms(self) -> float:
        """When the last byte arrived; earlier if the body has taken longer than the slowest pace."""
        return min(self.last_progress_ms, self._overdue_ms)

    async def read(self, size: int, time_left_ms: float) -> bool:
        """Read a body of `size` bytes; return False if there is no memory for it.

        Raises:
            ProtocolError: The body does not end with its line.
            ConnectionError: The client closed the connection.
            BodyCancelledError: `cancel` was called.
        """
        wait_s = min(MAX_RESERVATION_S, time_left_ms / MS_PER_S * RESERVATION_SHARE)
        pool = self._host.body_blocks
        blocks = blocks_for(size)
        if not pool.try_reserve(blocks):
            self._may_be_backlogged = True
            self.is_waiting_for_blocks = True
            is_reserved = await pool.reserve(blocks, wait_s)
            self.is_waiting_for_blocks = False
            if not is_reserved:
                return False
        self.content = content = BlockBuffer(pool, size)
        if self._is_cancelled:
            self.cancel()
            raise BodyCancelledError
        self._start(size)
        content.append(self._reader.take(size))
        while not content.is_full:
            content.filled += await self._receive(content.free_space())
        await self._read_line_end()
        return True

    async def skip(self, size: int) -> None:
        """Read and drop a body of `size` bytes and its line end.

        Raises:
            ConnectionError: The client closed the connection.
            BodyCancelledError: `cancel` was called.
        """
        self._start(size)
        left = size + len(LINE_END)
        left -= len(self._reader.take(left))
        while left:
            left -= await self._receive(memoryview(_skip_buffer)[: min(left, len(_skip_buffer))])

    def cancel(self) -> None:
        """Drop what has been read, and read no more."""
        self._is_cancelled = True
        content, self.content = self.content, None
        if content is not None:
            content.release()

    def _start(self, size: int) -> None:
        self.last_progress_ms = self._host.clock.now()
        self._overdue_ms = self.last_progress_ms + size / MIN_BYTES_PER_MS

    async def _read_line_end(self) -> None:
        line_end = self._reader.take(len(LINE_END))
        while len(line_end) < len(LINE_END):
            rest = bytearray(len(LINE_END) - len(line_end))
            received = await self._receive(memoryview(rest))
            line_end += bytes(rest[:received])
        if line_end != LINE_END:
            raise ProtocolError("a body does not end with its line")

    async def _receive(self, space: memoryview) -> int:
        """Read into `space`; return the number of bytes.

        Raises:
            ConnectionError: The client closed the connection.
            BodyCancelledError: `cancel` was called meanwhile.
        """
        # Until now the socket was not read, so what it has may have arrived long ago.
        self._input.on_wait()
        asked_ms = self._host.clock.now()
        size = await self._loop.sock_recv_into(self._sock, space)
        if not size:
            raise ConnectionResetError("the client closed the connection within a request")
        if self._is_cancelled:
            raise BodyCancelledError
        now = self._host.clock.now()
        self._host.traffic.client_bytes_in += size
        if now - asked_ms > MAX_WINDOW_DELAY_MS:
            self._may_be_backlogged = False
        if not self._may_be_backlogged:
            self._input.on_read(now, is_drained=size < len(space))
        self.last_progress_ms = now
        return size
