"""Frames of a TCP stream: a length, a version, an authentication tag and a message.

A frame consists of a 4-byte little-endian length, a 1-byte version, a 16-byte keyed BLAKE2 tag
(zeros without a key) and a message in msgpack. Other bytes raise `MalformedFrameError`. After
that the connection can't be used; only the subclass `UnknownMessageError` leaves it usable.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass
from typing import Any, Final, Generic, TypeVar

import msgspec

from dockthread.errors import DockthreadError

TAG_BYTES: Final = 16
FRAME_HEADER: Final = struct.Struct(f"<IB{TAG_BYTES}s")  # length, version, tag

MessageT = TypeVar("MessageT")


class MalformedFrameError(DockthreadError):
    """Bytes that are not a frame of this version with a valid tag."""


class UnknownMessageError(MalformedFrameError):
    """A valid frame with a message that this release does not know.

    A later release may send such a message; the frames after it can still be read.
    """


@dataclass(slots=True)
class MessageCounts:
    """Numbers of messages received and sent since the start, shared by several connections."""

    received: int = 0
    sent: int = 0

    def __add__(self, other: MessageCounts) -> MessageCounts:
        return MessageCounts(self.received + other.received, self.sent + other.sent)


class Codec(Generic[MessageT]):
    """Packs and unpacks the frames of one protocol.

    Attributes:
        version: the only protocol version that the codec reads and writes.
        max_message_bytes: maximum size of a message that the codec accepts.
    """

    def __init__(self, messages: Any, version: int, max_message_bytes: int) -> None:
        """Create a codec for `messages`, the union of the protocol's message types."""
        self.version = version
        self.max_message_bytes = max_message_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[MessageT] = msgspec.msgpack.Decoder(messages)

    def pack(self, message: MessageT, key: bytes = b"") -> bytes:
        """Return a message as one frame.

        The caller must not exceed `max_message_bytes`; the receiver rejects larger messages.
        """
        body = self._encoder.encode(message)
        return FRAME_HEADER.pack(len(body), self.version, _tag(key, body)) + body

    def message_size(self, header: bytes) -> int:
        """Return the size in bytes of the message that follows a frame's header.

        Raises:
            MalformedFrameError: the version differs, or the message is too large.
        """
        size, version, _ = FRAME_HEADER.unpack(header)
        if version != self.version:
            raise MalformedFrameError(f"version {version} instead of {self.version}")
        if size > self.max_message_bytes:
            raise MalformedFrameError(
                f"{size} bytes exceed the maximum of {self.max_message_bytes}"
            )
        return int(size)

    def unpack(self, header: bytes, body: bytes, key: bytes = b"") -> MessageT:
        """Return the message of one frame.

        Raises:
            MalformedFrameError: the tag is wrong.
            UnknownMessageError: the body is not a message of this protocol.
        """
        if not hmac.compare_digest(FRAME_HEADER.unpack(header)[2], _tag(key, body)):
            raise MalformedFrameError("the tag is wrong: the key differs or the frame is corrupt")
        try:
            return self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            raise UnknownMessageError(f"unknown message: {error}") from error


def _tag(key: bytes, body: bytes) -> bytes:
    if not key:
        return bytes(TAG_BYTES)
    return hashlib.blake2b(body, digest_size=TAG_BYTES, key=key).digest()
