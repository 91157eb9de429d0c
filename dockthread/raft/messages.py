"""What ingresses of a fleet say to each other about their log; it travels in frames
(dockthread/framing.py).
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import Final

import msgspec

from dockthread.framing import FRAME_HEADER, Codec, MalformedFrameError, UnknownMessageError

VERSION: Final = 1
# bytes of a message: 64 entries of 64 KiB bodies, as one `Append` may hold, and room
MAX_MESSAGE_BYTES: Final = 8 << 20
CHUNK_BYTES: Final = 256 << 10  # bytes of a state in one frame; a larger one goes in parts
MAX_SNAPSHOT_BYTES: Final = 256 << 20  # bytes of a state: some five times that of 90,000 resources

__all__ = ["FRAME_HEADER", "MalformedFrameError", "UnknownMessageError"]


class EntryKind(IntEnum):
    """What an entry of the log carries."""

    NO_OP = 0
    COMMAND = 1
    VOTERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log. `kind`: `NOTHING`, `COMMAND` or `VOTERS`."""

    term: int
    kind: int
    data: bytes = b""


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """`pre`: would you, if I asked? `handed`: the leader itself told me to ask."""

    term: int
    sender: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    term: int
    sender: str
    granted: bool
    pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    term: int
    sender: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    heartbeat_round: int


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """`match`: where both logs are alike, or, where not `ok`, the last place at which they may
    be.
    """

    term: int
    sender: str
    success: bool
    match_index: int
    heartbeat_round: int


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """The state after entry `last`, for one that is too far behind for the log."""

    term: int
    sender: str
    last_index: int
    last_term: int
    voters: tuple[str, ...]
    snapshot: bytes
    heartbeat_round: int


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Part `number`, from 0, of an `Install` whose state has `size` bytes: its head is that of the
    message itself.
    """

    header: InstallSnapshot
    number: int
    snapshot_size: int
    data: bytes


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    term: int
    sender: str


class ForwardedProposal(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A member that does not lead has the leader propose this for it."""

    term: int
    sender: str
    token: int
    data: bytes


class ForwardedProposalResponse(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Whether what was asked under `token` stands in the log, at `index`."""

    term: int
    sender: str
    token: int
    index: int


class StatusReport(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """What the sender sees, for whoever leads; the owner of the log knows what it means."""

    term: int
    sender: str
    data: bytes


Message = (
    VoteRequest
    | VoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | TimeoutNow
    | ForwardedProposal
    | ForwardedProposalResponse
    | StatusReport
)
Frame = Message | SnapshotChunk

_codec: Codec[Frame] = Codec(Frame, VERSION, MAX_MESSAGE_BYTES)
pack, length, unpack = _codec.pack, _codec.length, _codec.unpack


def split_snapshot(whole: InstallSnapshot, key: bytes) -> Iterator[bytes]:
    """The frames of a state in parts."""
    head = msgspec.structs.replace(whole, snapshot=b"")
    for number, at in enumerate(range(0, len(whole.snapshot), CHUNK_BYTES)):
        yield pack(
            SnapshotChunk(head, number, len(whole.snapshot), whole.snapshot[at : at + CHUNK_BYTES]),
            key,
        )


class SnapshotAssembler:
    """Parts of one connection, joined to the message that they were cut from."""

    def __init__(self) -> None:
        self._head: InstallSnapshot | None = None
        self._size, self._state = 0, bytearray()

    def add(self, part: SnapshotChunk) -> InstallSnapshot | None:
        """The message once its last part is there. Raises `MalformedFrame` for parts that don't
        follow each other.
        """
        if part.number == 0:
            self._head, self._size, self._state = part.header, part.snapshot_size, bytearray()
        at = part.number * CHUNK_BYTES
        follows = (
            self._head == part.header
            and self._size == part.snapshot_size
            and len(self._state) == at
        )
        if (
            not follows
            or len(part.data) != min(CHUNK_BYTES, part.snapshot_size - at)
            or not part.snapshot_size <= MAX_SNAPSHOT_BYTES
        ):
            raise MalformedFrameError(
                f"part {part.number} of a state of {part.snapshot_size} bytes does not follow {at}"
            )
        self._state += part.data
        if len(self._state) < self._size:
            return None
        whole = msgspec.structs.replace(part.header, snapshot=bytes(self._state))
        self._head, self._state = None, bytearray()
        return whole
