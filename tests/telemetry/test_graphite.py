"""Encoding of points for Graphite: plain text, tags and pickles."""

from __future__ import annotations

import pickle
import struct

from dockthread.telemetry import graphite
from dockthread.telemetry.catalogue import DERIVE, Point
from dockthread.telemetry.receiver.decode import (
    PickleDecoder,
    PlaintextDecoder,
    ReceivedPoint,
)
from tests.telemetry.samples import POINTS


def test_plaintext_has_one_line_per_point_with_path_value_and_timestamp() -> None:
    named_points = [
        (graphite.series_name("a.b", "n0", point.path, False), point) for point in POINTS
    ]
    text = graphite.encode_plaintext(named_points, 1_700_000_001)
    assert text == (
        b"a.b.n0.life 1700000000123 1700000001\n"
        b"a.b.n0.answers.seat-status.gross.served 12345678901 1700000001\n"
        b"a.b.n0.loop.p99 0.25 1700000001\n"
    )
    assert list(PlaintextDecoder().feed(text))[1] == ReceivedPoint(
        "a.b.n0.answers.seat-status.gross.served", 1_700_000_001, 12345678901
    )


def test_path_parts_become_tags() -> None:
    assert graphite.series_name("p", "n0", POINTS[1].path, True) == (
        "p.answers;ingress=n0;class=seat-status;plan=gross;outcome=served"
    )
    assert graphite.series_name("p", "n0", ("loop", "p99"), True) == "p.loop.p99;ingress=n0"


def test_pickles_have_a_length_header_and_protocol_2_and_decode_from_partial_reads() -> None:
    named_points = [(f"s{index}", Point((f"s{index}",), DERIVE, index)) for index in range(600)]
    data = graphite.encode_pickles(named_points, 7)
    (size,) = struct.unpack_from("!I", data)
    assert pickle.loads(data[4 : 4 + size])[3] == ("s3", (7, 3))
    assert data[4:6] == b"\x80\x02"
    decoder, decoded = PickleDecoder(), list[ReceivedPoint]()
    for start in range(0, len(data), 100):  # each read returns a part of a pickle
        decoded += decoder.feed(data[start : start + 100])
    assert decoded == [ReceivedPoint(f"s{index}", 7.0, float(index)) for index in range(600)]
