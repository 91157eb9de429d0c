"""Frames of another release, and frames that are damaged."""

from __future__ import annotations

import msgspec
import pytest

from dockthread.raft import messages


def test_a_message_of_a_later_release_is_told_from_spoilt_bytes() -> None:
    later = msgspec.msgpack.encode(["z", 1, "n1"])
    with pytest.raises(messages.UnknownMessage):
        messages.unpack(messages.HEAD.pack(len(later), messages.VERSION, bytes(16)), later)
    whole = messages.pack(messages.Show(1, "n1", b"x"), b"k" * 16)
    with pytest.raises(messages.MalformedFrame) as spoilt:
        messages.unpack(whole[: messages.HEAD.size], whole[messages.HEAD.size :], b"l" * 16)
    assert not isinstance(spoilt.value, messages.UnknownMessage), (
        "another key: the connection is closed"
    )
