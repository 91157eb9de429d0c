"""A connection that carries frames: bounded reading, and writing with back-pressure."""

from __future__ import annotations

import asyncio

from dockthread.control_plane.messages import Message, codec
from dockthread.framing import FRAME_HEADER, MalformedFrameError, MessageCounts


class FrameStream(asyncio.Protocol):
    """Cuts the bytes that arrive into messages; subclasses override the `on_...` methods.

    Bytes that are no frame close the connection after `on_malformed`; nothing behind them is read.

    Attributes:
        transport: Transport of the connection; None before it is open.
        is_writable: Whether the transport's write buffer is below its limit.
    """

    def __init__(self, key: bytes, max_message_bytes: int, counts: MessageCounts) -> None:
        """`key` tags messages; `counts` counts them each way."""
        self._key = key
        self._max_message_bytes = max_message_bytes
        self._counts = counts
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.is_writable = True

    def on_open(self) -> None:
        """Handle that the connection is open."""

    def on_message(self, message: Message) -> None:
        """Handle a complete message."""

    def on_bytes(self) -> None:
        """Handle that bytes came which complete no message yet."""

    def on_malformed(self, reason: str) -> None:
        """Handle bytes that are no frame, or too many; the connection is closed next."""

    def on_closed(self, reason: str) -> None:
        """Handle that the connection is closed, whoever closed it."""

    def on_writable(self) -> None:
        """Handle that the write buffer is below its limit again."""

    def send(self, message: Message) -> None:
        """Write a message, tagged with the key."""
        self.write(codec.pack(message, self._key))

    def write(self, frame: bytes) -> None:
        """Write an encoded frame; nothing where the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self._counts.sent += 1
            self.transport.write(frame)

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self.transport is None or self.transport.is_closing()

    def pause_reading(self) -> None:
        """Read nothing until `resume_reading`."""
        if self.transport is not None and not self.is_closing and self.transport.is_reading():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on after `pause_reading`."""
        if self.transport is not None and not self.is_closing and not self.transport.is_reading():
            self.transport.resume_reading()

    def close(self) -> None:
        """Close the connection after everything written has left."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once and drop what has not left."""
        if self.transport is not None:
            self.transport.abort()

    # Methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is open."""
        self.transport = transport  # type: ignore[assignment]  # uvloop's own class
        self.on_open()

    def connection_lost(self, error: Exception | None) -> None:
        """Called by asyncio when the connection is closed."""
        self._buffer.clear()
        self.on_closed(str(error) if error is not None else "closed")

    def pause_writing(self) -> None:
        """Called by asyncio when the write buffer is above its limit."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Called by asyncio when the write buffer is below its limit again."""
        self.is_writable = True
        self.on_writable()

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with bytes that came."""
        if self.is_closing:
            return
        self._buffer += data
        try:
            if not self._handle_messages():
                self.on_bytes()
        except MalformedFrameError as error:
            self._buffer.clear()
            self.on_malformed(str(error))
            self.abort()

    def _handle_messages(self) -> bool:
        """Handle all complete messages in the buffer and return whether there was one.

        Raises:
            MalformedFrameError: The next frame is none, or too large by its head.
        """
        position = 0
        buffer = self._buffer
        while len(buffer) - position >= FRAME_HEADER.size:
            body_start = position + FRAME_HEADER.size
            head = bytes(buffer[position:body_start])
            size = codec.length(head)
            if size > self._max_message_bytes:
                raise MalformedFrameError(
                    f"{size} bytes, and {self._max_message_bytes} are the most here"
                )
            if len(buffer) < body_start + size:
                break
            body = bytes(buffer[body_start : body_start + size])
            position = body_start + size
            self._counts.received += 1
            self.on_message(codec.unpack(head, body, self._key))
            if self.is_closing:
                return True
        del buffer[:position]
        return position > 0
