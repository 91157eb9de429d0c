"""What ingresses of a fleet say to each other about their log, and how it travels.

One frame is four bytes of length, one of the version, 16 of a keyed BLAKE2 tag (zeros where there is no key), and a
message in msgpack. Raises `Spoilt` for whatever is not such a frame, with the reason; a reader drops it and counts.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import Final

import msgspec

VERSION: Final = 1
MOST_FRAME: Final = 1 << 20  # bytes of a message
TAG: Final = 16
HEAD: Final = struct.Struct("<IB16s")


class Spoilt(Exception):
    """Bytes that are no frame of this version with a right tag."""


class Unread(Spoilt):
    """A whole frame whose message means nothing here, as one of a later release may: what follows it can be read."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log. `kind`: `NOTHING`, `COMMAND` or `VOTERS`."""

    term: int
    kind: int
    data: bytes = b""


NOTHING, COMMAND, VOTERS = 0, 1, 2


class VoteAsk(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """`pre`: would you, if I asked? `handed`: the leader itself told me to ask."""

    term: int
    sender: str
    last: int
    last_term: int
    pre: bool = False
    handed: bool = False


class VoteAnswer(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    term: int
    sender: str
    granted: bool
    pre: bool = False


class Append(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    term: int
    sender: str
    before: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Appended(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """`match`: where both logs are alike, or, where not `ok`, the last place at which they may be."""

    term: int
    sender: str
    ok: bool
    match: int
    round: int


class Install(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """The state after entry `last`, for one that is too far behind for the log."""

    term: int
    sender: str
    last: int
    last_term: int
    voters: tuple[str, ...]
    state: bytes
    round: int


class TakeOver(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    term: int
    sender: str


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A member that does not lead has the leader propose this for it."""

    term: int
    sender: str
    token: int
    data: bytes


class Told(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Whether what was asked under `token` stands in the log, at `index`."""

    term: int
    sender: str
    token: int
    index: int


class Show(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """What the sender sees, for whoever leads; the owner of the log knows what it means."""

    term: int
    sender: str
    data: bytes


Message = VoteAsk | VoteAnswer | Append | Appended | Install | TakeOver | Ask | Told | Show

_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def _tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG, key=key).digest() if key else bytes(TAG)


def pack(message: Message, key: bytes = b"") -> bytes:
    body = _encoder.encode(message)
    return HEAD.pack(len(body), VERSION, _tag(key, body)) + body


def length(head: bytes) -> int:
    """Of the message that follows a frame's head."""
    size, version, _ = HEAD.unpack(head)
    if version != VERSION:
        raise Spoilt(f"version {version}, and this program speaks {VERSION}")
    if size > MOST_FRAME:
        raise Spoilt(f"{size} bytes, and {MOST_FRAME} are the most")
    return int(size)


def unpack(head: bytes, body: bytes, key: bytes = b"") -> Message:
    if not hmac.compare_digest(HEAD.unpack(head)[2], _tag(key, body)):
        raise Spoilt("the tag is wrong: another key, or changed on the way")
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise Unread(f"no message: {error}") from error
