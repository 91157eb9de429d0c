"""Tests the encoding of messages."""

from __future__ import annotations

import msgspec

from dockthread.control_plane.messages import codec
from dockthread.framing import FRAME_HEADER
from tests.control_plane.builders import UNLIMITED, make_table, snapshot_of


def test_update_is_decoded_as_it_was_encoded() -> None:
    update = snapshot_of(make_table(3), UNLIMITED)[0]
    frame = codec.pack(update, b"key")
    assert codec.unpack(frame[: FRAME_HEADER.size], frame[FRAME_HEADER.size :], b"key") == update
    assert msgspec.structs.replace(update, horizon=2) != update
