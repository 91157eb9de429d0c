"""Messages between Raft members, and the chunks in which a large snapshot is sent.

The names are those of the Raft paper (Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm", 2014) and of Ongaro's dissertation (2014). Messages travel in frames
(dockthread/framing.py). All are encoded as arrays, so the order of fields is part of the protocol
and their names are not.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import Final

import msgspec

from dockthread.framing import (
    FRAME_HEADER,
    Codec,
    MalformedFrameError,
    UnknownMessageError,
)

VERSION: Final = 1
# bytes of a message: 64 entries of 64 KiB bodies, as one `AppendEntries` may hold, and some more
MAX_MESSAGE_BYTES: Final = 8 << 20
# bytes of a snapshot in one frame; a larger snapshot is sent in chunks
CHUNK_BYTES: Final = 256 << 10
# bytes of a snapshot: some five times that of 90,000 resources
MAX_SNAPSHOT_BYTES: Final = 256 << 20

__all__ = ["FRAME_HEADER", "MalformedFrameError", "UnknownMessageError"]


class EntryKind(IntEnum):
    """What an entry of the log carries."""

    NO_OP = 0  # appended by a new leader, to commit the entries of earlier terms with it
    COMMAND = 1  # for the state machine
    VOTERS = 2  # the names of all voters from this entry on, separated by blanks


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    `kind` is an `EntryKind`; it is typed as a number so that a kind of a later release can be read.
    """

    term: int
    kind: int
    data: bytes = b""


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """RequestVote (Raft paper, section 5.2), also as a pre-vote (dissertation, section 9.6).

    Attributes:
        term: the candidate's; of a pre-vote, the term in which it would be candidate.
        sender: the candidate.
        last_index: of the candidate's last entry.
        last_term: of the candidate's last entry.
        pre_vote: the candidate only asks whether it would receive the vote.
        leadership_transfer: the leader itself asked the candidate to campaign.
    """

    term: int
    sender: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Answer to a `VoteRequest`; a granted pre-vote bears the term of its request."""

    term: int
    sender: str
    granted: bool
    pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """AppendEntries (Raft paper, section 5.3); without entries, a heartbeat.

    Attributes:
        term: the leader's.
        sender: the leader.
        previous_index: of the entry right before `entries`.
        previous_term: of the entry right before `entries`.
        entries: to be appended.
        commit_index: the leader's; 0 where the message says nothing about it.
        heartbeat_round: number of the leader's last heartbeat; the response repeats it.
    """

    term: int
    sender: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    heartbeat_round: int


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Answer to `AppendEntries` and to `InstallSnapshot`.

    Attributes:
        term: the follower's.
        sender: the follower.
        success: the follower's log now holds what was sent.
        match_index: up to which both logs are equal; without `success`, the last index at which
            they may be equal.
        heartbeat_round: that of the message that is answered.
    """

    term: int
    sender: str
    success: bool
    match_index: int
    heartbeat_round: int


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """InstallSnapshot (Raft paper, section 7), for a follower that needs compacted entries.

    Attributes:
        term: the leader's.
        sender: the leader.
        last_index: of the last entry that the snapshot replaces.
        last_term: of that entry.
        voters: as of that entry.
        snapshot: the state machine after that entry.
        heartbeat_round: number of the leader's last heartbeat.
    """

    term: int
    sender: str
    last_index: int
    last_term: int
    voters: tuple[str, ...]
    snapshot: bytes
    heartbeat_round: int


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A part of an `InstallSnapshot` that is too large for one frame.

    Attributes:
        header: the message, with an empty snapshot.
        number: of this chunk, from 0.
        snapshot_size: bytes of the complete snapshot.
        data: `CHUNK_BYTES` of the snapshot; the last chunk may be shorter.
    """

    header: InstallSnapshot
    number: int
    snapshot_size: int
    data: bytes


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Tells a follower to campaign at once (dissertation, section 3.10, leadership transfer)."""

    term: int
    sender: str


class ForwardedProposal(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks the leader to propose a command for a member that does not lead."""

    term: int
    sender: str
    token: int
    data: bytes


class ForwardedProposalResponse(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Says at which index the proposal with this token was committed; 0 where that is unknown."""

    term: int
    sender: str
    token: int
    index: int


class StatusReport(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """What a member observes, for the leader's state machine; Raft does not read it."""

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
pack = _codec.pack
length = _codec.length
unpack = _codec.unpack


def split_snapshot(message: InstallSnapshot, key: bytes) -> Iterator[bytes]:
    """Yield the frames of a message whose snapshot is sent in chunks."""
    header = msgspec.structs.replace(message, snapshot=b"")
    size = len(message.snapshot)
    for number, start in enumerate(range(0, size, CHUNK_BYTES)):
        data = message.snapshot[start : start + CHUNK_BYTES]
        yield pack(SnapshotChunk(header, number, size, data), key)


class SnapshotAssembler:
    """Joins the chunks of one connection to the message that they were split from."""

    def __init__(self) -> None:
        self._header: InstallSnapshot | None = None
        self._size = 0
        self._received = bytearray()

    def add(self, chunk: SnapshotChunk) -> InstallSnapshot | None:
        """Return the message if this was its last chunk, otherwise None.

        Raises:
            MalformedFrameError: the chunk does not follow the one before it.
        """
        if chunk.number == 0:
            self._header = chunk.header
            self._size = chunk.snapshot_size
            self._received = bytearray()
        if not self._is_next(chunk):
            raise MalformedFrameError(
                f"chunk {chunk.number} of a snapshot of {chunk.snapshot_size} bytes "
                f"does not follow {len(self._received)} bytes"
            )
        self._received += chunk.data
        if len(self._received) < self._size:
            return None
        message = msgspec.structs.replace(chunk.header, snapshot=bytes(self._received))
        self._header = None
        self._received = bytearray()
        return message

    def _is_next(self, chunk: SnapshotChunk) -> bool:
        start = chunk.number * CHUNK_BYTES
        return (
            self._header == chunk.header
            and self._size == chunk.snapshot_size
            and len(self._received) == start
            and len(chunk.data) == min(CHUNK_BYTES, chunk.snapshot_size - start)
            and chunk.snapshot_size <= MAX_SNAPSHOT_BYTES
        )
