"""What ingresses of a fleet say to each other about their log; it travels in frames
(dockthread/framing.py).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec

from dockthread.framing import HEAD, Codec, MalformedFrame, UnknownMessage

VERSION: Final = 1
# bytes of a message: 64 entries of 64 KiB bodies, as one `Append` may hold, and room
MOST_FRAME: Final = 8 << 20
PART: Final = 256 << 10  # bytes of a state in one frame; a larger one goes in parts
MOST_STATE: Final = 256 << 20  # bytes of a state: some five times that of 90,000 resources

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
    """`match`: where both logs are alike, or, where not `ok`, the last place at which they may
    be.
    """

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


class Part(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Part `number`, from 0, of an `Install` whose state has `size` bytes: its head is that of the
    message itself.
    """

    head: Install
    number: int
    size: int
    data: bytes


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
Frame = Message | Part

_codec: Codec[Frame] = Codec(Frame, VERSION, MOST_FRAME)
pack, length, unpack = _codec.pack, _codec.length, _codec.unpack


def cut(whole: Install, key: bytes) -> Iterator[bytes]:
    """The frames of a state in parts."""
    head = msgspec.structs.replace(whole, state=b"")
    for number, at in enumerate(range(0, len(whole.state), PART)):
        yield pack(Part(head, number, len(whole.state), whole.state[at : at + PART]), key)


class Assembly:
    """Parts of one connection, joined to the message that they were cut from."""

    def __init__(self) -> None:
        self._head: Install | None = None
        self._size, self._state = 0, bytearray()

    def add(self, part: Part) -> Install | None:
        """The message once its last part is there. Raises `MalformedFrame` for parts that don't
        follow each other.
        """
        if part.number == 0:
            self._head, self._size, self._state = part.head, part.size, bytearray()
        at = part.number * PART
        follows = self._head == part.head and self._size == part.size and len(self._state) == at
        if (
            not follows
            or len(part.data) != min(PART, part.size - at)
            or not part.size <= MOST_STATE
        ):
            raise MalformedFrame(
                f"part {part.number} of a state of {part.size} bytes does not follow {at}"
            )
        self._state += part.data
        if len(self._state) < self._size:
            return None
        whole = msgspec.structs.replace(part.head, state=bytes(self._state))
        self._head, self._state = None, bytearray()
        return whole
