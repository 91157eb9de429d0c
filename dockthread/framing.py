"""Frames of a TCP stream between members: a length, a version, a keyed tag and a message.

A frame is four bytes of length (little-endian), one byte of version, 16 bytes of a keyed BLAKE2
tag (zeros where there is no key) and a message in msgpack. Anything else raises
`MalformedFrameError`; the connection can't be used after it.
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

    A later release may send one; the frames behind it can still be read.
    """


@dataclass(slots=True)
class MessageCounts:
    """Messages received and sent since the start, over all connections that share it."""

    received: int = 0
    sent: int = 0

    def __add__(self, other: MessageCounts) -> MessageCounts:
        return MessageCounts(self.received + other.received, self.sent + other.sent)


class Codec(Generic[MessageT]):
    """Packs and unpacks the frames of one protocol.

    Attributes:
        version: the one version of the protocol that it accepts and writes.
        max_message_bytes: the size up to which it accepts a message.
    """

    def __init__(self, messages: Any, version: int, max_message_bytes: int) -> None:
        """Make a codec for `messages`, the union of the protocol's message types."""
        self.version = version
        self.max_message_bytes = max_message_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[MessageT] = msgspec.msgpack.Decoder(messages)

    def pack(self, message: MessageT, key: bytes = b"") -> bytes:
        """Return a message as one frame.

        The caller keeps messages under `max_message_bytes`; the receiver rejects larger ones.
        """
        body = self._encoder.encode(message)
        return FRAME_HEADER.pack(len(body), self.version, _tag(key, body)) + body

    def length(self, header: bytes) -> int:
        """Return the size in bytes of the message that follows a frame's header.

        Raises:
            MalformedFrameError: the version is another one, or the message is too large.
        """
        size, version, _ = FRAME_HEADER.unpack(header)
        if version != self.version:
            raise MalformedFrameError(f"version {version}, and this program speaks {self.version}")
        if size > self.max_message_bytes:
            raise MalformedFrameError(f"{size} bytes, and {self.max_message_bytes} are the most")
        return int(size)

    def unpack(self, header: bytes, body: bytes, key: bytes = b"") -> MessageT:
        """Return the message of one frame.

        Raises:
            MalformedFrameError: the tag is wrong.
            UnknownMessageError: the body is not a message of this protocol.
        """
        if not hmac.compare_digest(FRAME_HEADER.unpack(header)[2], _tag(key, body)):
            raise MalformedFrameError("the tag is wrong: another key, or changed on the way")
        try:
            return self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            raise UnknownMessageError(f"no message: {error}") from error


def _tag(key: bytes, body: bytes) -> bytes:
    if not key:
        return bytes(TAG_BYTES)
    return hashlib.blake2b(body, digest_size=TAG_BYTES, key=key).digest()
