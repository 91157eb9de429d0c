"""One connection that carries frames of the distribution: bounded reading, and writing that can be
held back.
"""

from __future__ import annotations

import asyncio

from dockthread.control_plane.messages import Message, codec
from dockthread.framing import FRAME_HEADER, MalformedFrameError, MessageCounts


class FrameStream(asyncio.Protocol):
    """Cuts what arrives into messages. `most`: bytes that a message of the other side may have.
    `counts`: where the messages are counted, each way.

    What is malformed ends the connection, after `malformed` was told of it; nothing of it is read
    any more.
    """

    def __init__(self, key: bytes, most: int, counts: MessageCounts) -> None:
        self._key, self._most, self._counts = key, most, counts
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.writable = True  # the transport's buffer is low

    # For whoever carries it

    def on_open(self) -> None:
        """The connection stands."""

    def on_message(self, message: Message) -> None:
        """A whole message."""

    def on_bytes(self) -> None:
        """Some bytes came, and no whole message with them yet."""

    def on_malformed(self, reason: str) -> None:
        """Bytes that are no message, or too many; the connection ends."""

    def on_closed(self, reason: str) -> None:
        """The connection is gone, whoever ended it."""

    def on_writable(self) -> None:
        """The transport's buffer is low again."""

    def send(self, message: Message) -> None:
        """Write a message, tagged with the key."""
        self.write(codec.pack(message, self._key))

    def write(self, frame: bytes) -> None:
        """Write a frame that is packed already; nothing where the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self._counts.sent += 1
            self.transport.write(frame)

    @property
    def is_closing(self) -> bool:
        """Whether it is closed, or about to be."""
        return self.transport is None or self.transport.is_closing()

    def pause_reading(self) -> None:
        """Read nothing more until `resume_reading`."""
        if self.transport is not None and not self.is_closing and self.transport.is_reading():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on after `pause_reading`."""
        if self.transport is not None and not self.is_closing and not self.transport.is_reading():
            self.transport.resume_reading()

    def close(self) -> None:
        """What was written still leaves."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, whatever is not yet written."""
        if self.transport is not None:
            self.transport.abort()

    # What asyncio tells

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """From asyncio: the connection is open."""
        self.transport = transport  # type: ignore[assignment]  # uvloop's own class
        self.on_open()

    def connection_lost(self, error: Exception | None) -> None:
        """From asyncio: the connection is gone."""
        self._buffer.clear()
        self.on_closed(str(error) if error is not None else "closed")

    def pause_writing(self) -> None:
        """From asyncio: the write buffer is full."""
        self.writable = False

    def resume_writing(self) -> None:
        """From asyncio: the write buffer has room again."""
        self.writable = True
        self.on_writable()

    def data_received(self, data: bytes) -> None:
        """From asyncio: bytes came."""
        if self.is_closing:
            return
        self._buffer += data
        try:
            if not self._cut():
                self.on_bytes()
        except MalformedFrameError as error:
            self._buffer.clear()
            self.on_malformed(str(error))
            self.abort()

    def _cut(self) -> bool:
        """All whole messages; whether there was one. Raises `MalformedFrame`: what is too large is
        so by its head.
        """
        at, buffer = 0, self._buffer
        while len(buffer) - at >= FRAME_HEADER.size:
            head = bytes(buffer[at : at + FRAME_HEADER.size])
            size = codec.length(head)
            if size > self._most:
                raise MalformedFrameError(f"{size} bytes, and {self._most} are the most here")
            if len(buffer) - at < FRAME_HEADER.size + size:
                break
            body = bytes(buffer[at + FRAME_HEADER.size : at + FRAME_HEADER.size + size])
            at += FRAME_HEADER.size + size
            self._counts.received += 1
            self.on_message(codec.unpack(head, body, self._key))
            if self.is_closing:
                return True
        del buffer[:at]
        return at > 0
