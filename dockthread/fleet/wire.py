"""What ingresses of a fleet say to each other about their log; it travels in frames (dockthread/frames.py)."""

from __future__ import annotations

from typing import Final

import msgspec

from dockthread.frames import HEAD, Codec, MalformedFrame, UnknownMessage

VERSION: Final = 1
MOST_FRAME: Final = 1 << 20  # bytes of a message

__all__ = ["HEAD", "MalformedFrame", "UnknownMessage"]


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

_codec: Codec[Message] = Codec(Message, VERSION, MOST_FRAME)
pack, length, unpack = _codec.pack, _codec.length, _codec.unpack
