"""Messages between members in frames, and snapshots in chunks."""

from __future__ import annotations

import random

import msgspec
import pytest

from dockthread.raft import messages
from dockthread.raft.messages import AppendEntries, Entry, EntryKind, MalformedFrameError

SNAPSHOT = random.Random(1).randbytes(3 * messages.CHUNK_BYTES)
INSTALL_SNAPSHOT = messages.InstallSnapshot(3, "n0", 90_000, 3, ("n0", "n1"), b"", 7)


def test_message_is_decoded_as_sent_and_a_malformed_frame_is_rejected_with_the_reason() -> None:
    message = AppendEntries(3, "n1", 4, 2, (Entry(3, EntryKind.COMMAND, b"x"),), 4, 9)
    frame = messages.pack(message, b"key")
    size = messages.FRAME_HEADER.size
    header, body = frame[:size], frame[size:]
    assert messages.message_size(header) == len(body)
    assert messages.unpack(header, body, b"key") == message
    for key, changed_body in ((b"other", body), (b"key", body[:-1] + b"\x00"), (b"", body)):
        with pytest.raises(MalformedFrameError, match="tag"):
            messages.unpack(header, changed_body, key)
    with pytest.raises(MalformedFrameError, match="version 9"):
        messages.message_size(messages.FRAME_HEADER.pack(3, 9, bytes(16)))
    too_large = messages.FRAME_HEADER.pack(messages.MAX_MESSAGE_BYTES + 1, 1, bytes(16))
    with pytest.raises(MalformedFrameError, match="exceed the maximum"):
        messages.message_size(too_large)
    for garbage in (b"", b"\xc1", b"\x93\xa1a\x01\x02", b"\xff" * 40):
        with pytest.raises(MalformedFrameError, match="unknown message"):
            messages.unpack(messages.FRAME_HEADER.pack(len(garbage), 1, bytes(16)), garbage)


@pytest.mark.parametrize(
    "size", [1, messages.CHUNK_BYTES, messages.CHUNK_BYTES + 1, 3 * messages.CHUNK_BYTES]
)
def test_chunks_are_reassembled_into_the_original_snapshot(size: int) -> None:
    message = msgspec.structs.replace(INSTALL_SNAPSHOT, snapshot=SNAPSHOT[:size])
    assembler = messages.SnapshotAssembler()
    results = []
    for frame in messages.split_snapshot(message, b""):
        header_size = messages.FRAME_HEADER.size
        chunk = messages.unpack(frame[:header_size], frame[header_size:])
        assert isinstance(chunk, messages.SnapshotChunk)
        results.append(assembler.add(chunk))
    assert results == [None] * (len(results) - 1) + [message]


@pytest.mark.parametrize(
    "change",
    [
        {"number": 2},
        {"snapshot_size": 5},
        {"snapshot_size": messages.MAX_SNAPSHOT_BYTES + 1},
        {"data": b"x"},
    ],
)
def test_chunk_out_of_sequence_is_rejected_as_malformed(change: dict[str, object]) -> None:
    size = 2 * messages.CHUNK_BYTES
    data = SNAPSHOT[: messages.CHUNK_BYTES]
    assembler = messages.SnapshotAssembler()
    assembler.add(messages.SnapshotChunk(INSTALL_SNAPSHOT, 0, size, data))
    second = messages.SnapshotChunk(INSTALL_SNAPSHOT, 1, size, data)
    with pytest.raises(MalformedFrameError, match="does not follow"):
        assembler.add(msgspec.structs.replace(second, **change))
