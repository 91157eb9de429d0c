"""The responses of one client connection, sent in the order of its commands.

A response is either known as a whole, or passed on by a `ResponseStream` while its backend writes
it. A stream waits until all responses before it have been sent, and the responses behind it wait
until it has ended. A stream holds no bytes of its own: its writer continues once the client's
socket has accepted what was written, so the pace of the client becomes that of the backend.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from dockthread.clock import Clock
from dockthread.errors import DockthreadError
from dockthread.net.delivery import DELIVERY_TIMEOUT_MS
from dockthread.observer import Traffic

# With more buffered bytes, a connection serves no further command until its client has read some.
MAX_BUFFERED_BYTES = 16 * 1024
WRITE_TIMEOUT_MS = 5_000.0  # Time for a client to receive a part of its responses.


class ClientDisconnectedError(DockthreadError):
    """The client closed its connection, or it broke."""


class ResponseSlot:
    """Holds the response to one command; `response` is None until it is known.

    A connection keeps one slot per command and sends the responses in that order. `stream` is set
    once the response is passed on in parts.
    """

    __slots__ = ("response", "stream")

    def __init__(self, response: bytes | None = None) -> None:
        self.response = response
        self.stream: ResponseStream | None = None


class BufferedResponses:
    """The size of all responses that clients have not read, or that wait for earlier ones.

    Attributes:
        total_bytes: Their size on all connections.
        max_bytes: The size above which no connection that holds some serves further commands.
    """

    __slots__ = ("max_bytes", "total_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether clients must read before they are served again."""
        return self.total_bytes > self.max_bytes


class QueueOwner(Protocol):
    """The connection that owns a queue."""

    def on_send_failed(self) -> None:
        """The connection is broken; it must be closed in a later iteration of the event loop."""
        ...

    def on_all_sent(self) -> None:
        """All responses that were due have been sent."""
        ...


class _NoOwner:
    """The owner of a closed queue."""

    def on_send_failed(self) -> None:
        """Do nothing."""

    def on_all_sent(self) -> None:
        """Do nothing."""


_NO_OWNER = _NoOwner()


class ResponseQueue:
    """The pending responses of a connection, and those that are being sent."""

    __slots__ = (
        "_buffered",
        "_clock",
        "_loop",
        "_owner",
        "_pending",
        "_sock",
        "_traffic",
        "_unsent",
        "_writer",
        "buffered_bytes",
        "is_closed",
        "write_started_ms",
    )

    def __init__(
        self,
        owner: QueueOwner,
        sock: socket.socket,
        clock: Clock,
        traffic: Traffic,
        buffered: BufferedResponses,
    ) -> None:
        self._owner: QueueOwner = owner
        self._sock = sock
        self._clock = clock
        self._traffic = traffic
        self._loop = asyncio.get_running_loop()
        self._pending: list[ResponseSlot] = []
        self._unsent: list[bytes] = []
        self._buffered = buffered
        self.buffered_bytes = 0  # of the responses that are known and not sent
        self._writer: asyncio.Task[None] | None = None
        # When the client's socket last accepted something, or None while nothing waits for it.
        self.write_started_ms: float | None = None
        self.is_closed = False

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def is_empty(self) -> bool:
        """Whether no response is pending or unsent."""
        return not (self._pending or self._unsent or self._writer)

    @property
    def is_streaming(self) -> bool:
        """Whether a response is being passed on, or waits to be."""
        return any(slot.stream is not None for slot in self._pending)

    def append(self, slot: ResponseSlot) -> None:
        """Add the slot of the next command."""
        self._pending.append(slot)

    def is_stalled(self, now: float, received_ms: float) -> bool:
        """Return whether the client has received nothing for too long.

        A write is in progress until the system has taken all of it. Meanwhile the client receives
        what the system took before, the last of it at `received_ms`.
        """
        if self.write_started_ms is None:
            return False
        timeout_ms = DELIVERY_TIMEOUT_MS if self.is_streaming else WRITE_TIMEOUT_MS
        return now - max(self.write_started_ms, received_ms) > timeout_ms

    def flush(self) -> None:
        """Send all responses up to the first one that is not known yet."""
        if self.is_closed:
            return
        self._collect_due()
        if self._writer is not None:
            self._count_buffered()
            return
        if self._unsent and not self._send_unsent():
            return
        self._count_buffered()
        if self._pending and (stream := self._pending[0].stream) is not None:
            stream.on_ready()
        elif not self._pending:
            self._owner.on_all_sent()

    def _collect_due(self) -> None:
        """Move responses that are due to the unsent ones."""
        pending = self._pending
        while pending and (response := pending[0].response) is not None:
            pending.pop(0)
            if response:
                self._unsent.append(response)

    def _count_buffered(self) -> None:
        if not (self.buffered_bytes or self._unsent or self._pending):
            return
        buffered_bytes = sum(map(len, self._unsent))
        buffered_bytes += sum(len(slot.response) for slot in self._pending if slot.response)
        self._buffered.total_bytes += buffered_bytes - self.buffered_bytes
        self.buffered_bytes = buffered_bytes

    @property
    def must_be_read(self) -> bool:
        """Whether the client has to read before further commands are served."""
        return self.buffered_bytes > MAX_BUFFERED_BYTES or bool(
            self.buffered_bytes and self._buffered.is_full
        )

    def _send_unsent(self) -> bool:
        """Send what the socket accepts; return whether that was everything."""
        data = b"".join(self._unsent)
        try:
            sent = self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self._owner.on_send_failed()
            return False
        self._traffic.client_bytes_out += sent
        self._unsent.clear()
        if sent == len(data):
            return True
        self._unsent.append(data[sent:])
        self._count_buffered()
        self.write_started_ms = self._clock.now()
        self._writer = self._loop.create_task(self._write())
        return False

    async def _write(self) -> None:
        """Send the data that the socket buffer did not accept immediately."""
        try:
            while self._unsent:
                data = b"".join(self._unsent)
                self._unsent.clear()
                self._traffic.client_bytes_out += len(data)
                await self._loop.sock_sendall(self._sock, data)
                self._count_buffered()
                self.write_started_ms = self._clock.now()
        except OSError:
            self._writer = None
            self._owner.on_send_failed()
            return
        self.write_started_ms = None
        self._writer = None
        self.flush()

    async def write_chunk(self, data: memoryview | bytes) -> None:
        """Send a part of the response that is being passed on.

        Raises:
            ClientDisconnectedError: The connection is closed or broken.
        """
        if self.is_closed:
            raise ClientDisconnectedError("the client has disconnected")
        self.write_started_ms = self._clock.now()
        self._traffic.client_bytes_out += len(data)
        try:
            await self._loop.sock_sendall(self._sock, data)
        except OSError as error:
            self._owner.on_send_failed()
            raise ClientDisconnectedError(str(error)) from error
        finally:
            self.write_started_ms = None

    def close(self) -> list[ResponseSlot]:
        """Send nothing more; return the slots whose response was not known."""
        self.is_closed = True
        # Without the reference back, the connection is freed without the garbage collector.
        self._owner = _NO_OWNER
        # A cancelled task references its traceback, whose frames reference the connection.
        if self._writer is not None:
            self._writer.cancel()
            self._writer = None
        self._unsent.clear()
        self._buffered.total_bytes -= self.buffered_bytes
        self.buffered_bytes = 0
        unanswered = [slot for slot in self._pending if slot.response is None]
        self._pending = []
        for slot in unanswered:
            if slot.stream is not None:
                slot.stream.on_ready()  # its next write finds the queue closed
        return unanswered


class ResponseStream:
    """A response that is passed on to the client while its backend writes it."""

    __slots__ = ("_queue", "_ready", "_slot")

    def __init__(self, queue: ResponseQueue, slot: ResponseSlot) -> None:
        self._queue = queue
        self._slot = slot
        self._ready: asyncio.Event = asyncio.Event()
        slot.stream = self

    def on_ready(self) -> None:
        """Let the response be sent: all before it have been."""
        self._ready.set()

    async def write(self, data: memoryview | bytes) -> None:
        """Send a part of the response once it is its turn and the client has read enough.

        Raises:
            ClientDisconnectedError: The connection is closed or broken.
        """
        await self._ready.wait()
        await self._queue.write_chunk(data)

    def finish(self) -> None:
        """End the response, all of which has been written, and send the next ones."""
        self._slot.stream = None
        self._slot.response = b""
        self._queue.flush()
