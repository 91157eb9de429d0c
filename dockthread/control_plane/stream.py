"""A connection that carries frames, with bounded reads and back-pressure on writes."""

from __future__ import annotations

import asyncio

from dockthread.control_plane.messages import Message, codec
from dockthread.framing import FRAME_HEADER, MalformedFrameError, MessageCounts


class FrameStream(asyncio.Protocol):
    """Splits received bytes into messages; subclasses override the `on_...` methods.

    If the bytes are not a valid frame, `on_malformed` is called, then the connection is closed and
    later bytes are discarded.

    Attributes:
        transport: Transport of the connection; None until the connection is open.
        is_writable: Whether the transport's write buffer is below its limit.
    """

    def __init__(self, key: bytes, max_message_bytes: int, counts: MessageCounts) -> None:
        """`key` authenticates messages; `counts` counts sent and received messages."""
        self._key = key
        self._max_message_bytes = max_message_bytes
        self._counts = counts
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.is_writable = True

    def on_open(self) -> None:
        """Called when the connection has opened."""

    def on_message(self, message: Message) -> None:
        """Handle a complete message."""

    def on_bytes(self) -> None:
        """Handle bytes that do not yet complete a message."""

    def on_malformed(self, reason: str) -> None:
        """Handle an invalid or too large frame; the connection is closed afterwards."""

    def on_closed(self, reason: str) -> None:
        """Called when either side has closed the connection."""

    def on_writable(self) -> None:
        """Called when the write buffer has dropped below its limit again."""

    def send(self, message: Message) -> None:
        """Write a message, authenticated with the key."""
        self.write(codec.pack(message, self._key))

    def write(self, frame: bytes) -> None:
        """Write an encoded frame; do nothing if the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self._counts.sent += 1
            self.transport.write(frame)

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed, closing or not yet open."""
        return self.transport is None or self.transport.is_closing()

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading` is called."""
        if self.transport is not None and not self.is_closing and self.transport.is_reading():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue reading after `pause_reading`."""
        if self.transport is not None and not self.is_closing and not self.transport.is_reading():
            self.transport.resume_reading()

    def close(self) -> None:
        """Close the connection after all buffered data is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately and discard buffered data."""
        if self.transport is not None:
            self.transport.abort()

    # Methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection has opened."""
        self.transport = transport  # type: ignore[assignment]  # uvloop has its own transport class
        self.on_open()

    def connection_lost(self, error: Exception | None) -> None:
        """Called by asyncio when the connection has closed."""
        self._buffer.clear()
        self.on_closed(str(error) if error is not None else "closed")

    def pause_writing(self) -> None:
        """Called by asyncio when the write buffer exceeds its limit."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Called by asyncio when the write buffer has dropped below its limit again."""
        self.is_writable = True
        self.on_writable()

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with received bytes."""
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
            MalformedFrameError: The next frame is invalid, or its header announces too many bytes.
        """
        position = 0
        buffer = self._buffer
        while len(buffer) - position >= FRAME_HEADER.size:
            body_start = position + FRAME_HEADER.size
            header = bytes(buffer[position:body_start])
            size = codec.message_size(header)
            if size > self._max_message_bytes:
                raise MalformedFrameError(
                    f"a message of {size} bytes exceeds the limit of {self._max_message_bytes}"
                )
            if len(buffer) < body_start + size:
                break
            body = bytes(buffer[body_start : body_start + size])
            position = body_start + size
            self._counts.received += 1
            self.on_message(codec.unpack(header, body, self._key))
            if self.is_closing:
                return True
        del buffer[:position]
        return position > 0
