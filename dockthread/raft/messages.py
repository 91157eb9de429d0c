"""Messages between Raft members, and the chunks in which a large snapshot is sent.

The names follow the Raft paper (Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm", 2014) and Ongaro's dissertation (2014). Each message is sent in a frame
(dockthread/framing.py). Messages are encoded as arrays, so the order of their fields is part of the
protocol but the names of the fields are not.
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
# An `AppendEntries` may hold 64 entries of 64 KiB, which is 4 MiB plus overhead.
MAX_MESSAGE_BYTES: Final = 8 << 20
# Maximum size of a snapshot sent in one frame; a larger snapshot is sent in chunks of this size.
CHUNK_BYTES: Final = 256 << 10
# About five times the size of a snapshot of 90,000 resources.
MAX_SNAPSHOT_BYTES: Final = 256 << 20

__all__ = ["FRAME_HEADER", "MalformedFrameError", "UnknownMessageError"]


class EntryKind(IntEnum):
    """The type of a log entry's data."""

    NO_OP = 0  # empty; a new leader appends it to commit the entries of earlier terms
    COMMAND = 1  # a command for the state machine
    VOTERS = 2  # the names of all voters from this entry on, separated by spaces


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    `kind` is an `EntryKind`, typed as `int` so that an unknown kind of a later release can be read.
    """

    term: int
    kind: int
    data: bytes = b""


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """RequestVote (Raft paper, section 5.2), also as a pre-vote (dissertation, section 9.6).

    Attributes:
        term: the candidate's term; in a pre-vote, the term in which it would become candidate.
        sender: the candidate.
        last_index: index of the candidate's last entry.
        last_term: term of the candidate's last entry.
        pre_vote: whether the candidate only asks if it would receive the vote.
        leadership_transfer: whether the leader asked the candidate to campaign.
    """

    term: int
    sender: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Response to a `VoteRequest`; a granted pre-vote carries the term of its request."""

    term: int
    sender: str
    granted: bool
    pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """AppendEntries (Raft paper, section 5.3); a message without entries is a heartbeat.

    Attributes:
        term: the leader's term.
        sender: the leader.
        previous_index: index of the entry immediately before `entries`.
        previous_term: term of the entry immediately before `entries`.
        entries: the entries to append.
        commit_index: the leader's commit index; 0 if the message does not include it.
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
    """Response to `AppendEntries` and to `InstallSnapshot`.

    Attributes:
        term: the follower's term.
        sender: the follower.
        success: whether the follower's log now holds the entries or the snapshot that was sent.
        match_index: the last index up to which both logs are equal; without `success`, an upper
            bound of it.
        heartbeat_round: the heartbeat round of the message that this responds to.
    """

    term: int
    sender: str
    success: bool
    match_index: int
    heartbeat_round: int


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """InstallSnapshot (Raft paper, section 7), sent to a follower that needs compacted entries.

    Attributes:
        term: the leader's term.
        sender: the leader.
        last_index: index of the last entry that the snapshot includes.
        last_term: term of that entry.
        voters: the voters as of that entry.
        snapshot: the encoded state machine after that entry.
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
        header: the `InstallSnapshot` message with an empty snapshot.
        number: number of this chunk, counted from 0.
        snapshot_size: size of the complete snapshot in bytes.
        data: `CHUNK_BYTES` of the snapshot; fewer in the last chunk.
    """

    header: InstallSnapshot
    number: int
    snapshot_size: int
    data: bytes


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Tells a follower to campaign at once (leadership transfer, dissertation section 3.10)."""

    term: int
    sender: str


class ForwardedProposal(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks the leader to propose a command on behalf of another member."""

    term: int
    sender: str
    token: int
    data: bytes


class ForwardedProposalResponse(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Reports the index at which a forwarded proposal was committed; 0 if that is unknown."""

    term: int
    sender: str
    token: int
    index: int


class StatusReport(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A member's observations for the leader's state machine; Raft does not interpret them."""

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
message_size = _codec.message_size
unpack = _codec.unpack


def split_snapshot(message: InstallSnapshot, key: bytes) -> Iterator[bytes]:
    """Yield the frames of a message whose snapshot is sent in chunks."""
    header = msgspec.structs.replace(message, snapshot=b"")
    size = len(message.snapshot)
    for number, start in enumerate(range(0, size, CHUNK_BYTES)):
        data = message.snapshot[start : start + CHUNK_BYTES]
        yield pack(SnapshotChunk(header, number, size, data), key)


class SnapshotAssembler:
    """Reassembles the chunks received on one connection into the original message."""

    def __init__(self) -> None:
        self._header: InstallSnapshot | None = None
        self._size = 0
        self._received = bytearray()

    def add(self, chunk: SnapshotChunk) -> InstallSnapshot | None:
        """Return the complete message if this was its last chunk, otherwise None.

        Raises:
            MalformedFrameError: the chunk does not follow the previous one.
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
