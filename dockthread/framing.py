"""Frames of one TCP stream: a length, a version, a keyed tag, and a message in msgpack.

One frame is four bytes of length, one of the version, 16 of a keyed BLAKE2 tag (zeros where there
is no key), and a message. Whatever is not such a frame raises `MalformedFrame`, with the reason:
the connection is of no use any more.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass
from typing import Any, Final, Generic, TypeVar

import msgspec

TAG: Final = 16  # bytes of a tag
FRAME_HEADER: Final = struct.Struct("<IB16s")

MessageT = TypeVar("MessageT")


class MalformedFrameError(Exception):
    """Bytes that are no frame of this version with a right tag."""


class UnknownMessageError(MalformedFrameError):
    """A whole frame whose message means nothing here, as one of a later release may: what follows
    it can be read.
    """


@dataclass(slots=True)
class MessageCounts:
    """Whole messages since the start, over all connections that count into it."""

    received: int = 0
    sent: int = 0

    def __add__(self, other: MessageCounts) -> MessageCounts:
        return MessageCounts(self.received + other.received, self.sent + other.sent)


class Codec(Generic[MessageT]):
    """Packs and unpacks the messages of one protocol.

    `messages`: the union of its message types. `version`: the one version it speaks. `most`: the
    bytes that a message may hold.
    """

    def __init__(self, messages: Any, version: int, most: int) -> None:
        self.version, self.most = version, most
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[MessageT] = msgspec.msgpack.Decoder(messages)

    def pack(self, message: MessageT, key: bytes = b"") -> bytes:
        """One frame. The sender keeps messages under the bound; a reader refuses what is over
        it.
        """
        body = self._encoder.encode(message)
        return FRAME_HEADER.pack(len(body), self.version, _tag(key, body)) + body

    def length(self, head: bytes) -> int:
        """Bytes of the message that follows a frame's head. Raises `MalformedFrame`."""
        size, version, _ = FRAME_HEADER.unpack(head)
        if version != self.version:
            raise MalformedFrameError(f"version {version}, and this program speaks {self.version}")
        if size > self.most:
            raise MalformedFrameError(f"{size} bytes, and {self.most} are the most")
        return int(size)

    def unpack(self, head: bytes, body: bytes, key: bytes = b"") -> MessageT:
        """The message of one frame. Raises `MalformedFrame` for a wrong tag, `UnknownMessage` for
        no message.
        """
        if not hmac.compare_digest(FRAME_HEADER.unpack(head)[2], _tag(key, body)):
            raise MalformedFrameError("the tag is wrong: another key, or changed on the way")
        try:
            return self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            raise UnknownMessageError(f"no message: {error}") from error


def _tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG, key=key).digest() if key else bytes(TAG)
