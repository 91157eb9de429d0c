"""Frames from another release, and malformed frames."""

from __future__ import annotations

import msgspec
import pytest

from dockthread.raft import messages


def test_an_unknown_message_is_distinguished_from_a_malformed_frame() -> None:
    unknown_message = msgspec.msgpack.encode(["z", 1, "n1"])
    with pytest.raises(messages.UnknownMessageError):
        messages.unpack(
            messages.FRAME_HEADER.pack(len(unknown_message), messages.VERSION, bytes(16)),
            unknown_message,
        )
    frame = messages.pack(messages.StatusReport(1, "n1", b"x"), b"k" * 16)
    with pytest.raises(messages.MalformedFrameError) as raised:
        messages.unpack(
            frame[: messages.FRAME_HEADER.size], frame[messages.FRAME_HEADER.size :], b"l" * 16
        )
    assert not isinstance(raised.value, messages.UnknownMessageError), (
        "a frame with the wrong key must close the connection"
    )
