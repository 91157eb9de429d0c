"""Frames from another release, and malformed frames."""

from __future__ import annotations

import msgspec
import pytest

from dockthread.raft import messages


def test_a_message_of_a_later_release_is_distinguished_from_a_malformed_one() -> None:
    later = msgspec.msgpack.encode(["z", 1, "n1"])
    with pytest.raises(messages.UnknownMessageError):
        messages.unpack(messages.FRAME_HEADER.pack(len(later), messages.VERSION, bytes(16)), later)
    whole = messages.pack(messages.StatusReport(1, "n1", b"x"), b"k" * 16)
    with pytest.raises(messages.MalformedFrameError) as spoilt:
        messages.unpack(
            whole[: messages.FRAME_HEADER.size], whole[messages.FRAME_HEADER.size :], b"l" * 16
        )
    assert not isinstance(spoilt.value, messages.UnknownMessageError), (
        "a frame with another key closes the connection"
    )
