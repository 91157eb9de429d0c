"""Decoding of valid and invalid Graphite data by the stand-in receiver."""

from __future__ import annotations

import pickle
import struct

import pytest

from dockthread.telemetry.receiver.decode import (
    DecodeError,
    PickleDecoder,
    PlaintextDecoder,
)


def test_invalid_lines_are_counted_and_later_lines_are_decoded() -> None:
    decoder = PlaintextDecoder()
    assert [point.series for point in decoder.feed(b"a 1 2\nnonsense\nb nan 2\nc 1 2\nd 1")] == [
        "a",
        "c",
    ]
    assert decoder.invalid_lines == 2
    assert [point.series for point in decoder.feed(b" 2\n")] == ["d"]


@pytest.mark.parametrize(
    "encoded", [pickle.dumps(OSError), pickle.dumps([1]), b"\x80\x02", pickle.dumps([("a", 1)])]
)
def test_a_pickle_that_is_not_a_list_of_points_is_rejected(encoded: bytes) -> None:
    with pytest.raises(DecodeError):
        list(PickleDecoder().feed(struct.pack("!I", len(encoded)) + encoded))
