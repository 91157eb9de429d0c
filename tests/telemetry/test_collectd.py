"""Encoding and decoding of collectd packets: values, signatures and encryption."""

from __future__ import annotations

from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockthread.telemetry import collectd
from dockthread.telemetry.catalogue import DERIVE, Point
from dockthread.telemetry.collectd import PacketDecoder, PacketEncoder, PacketError, packet_sealer
from tests.telemetry.samples import POINTS

SECURITY_LEVELS = ["none", "sign", "encrypt"]


def encode_packets(security: str, points: list[Point], password: bytes = b"secret") -> list[bytes]:
    sealer = packet_sealer(security, "ops", password)
    return list(PacketEncoder("n0", "dockthread", 10.0, sealer).packets(points, 1_700_000_000.5))


@pytest.mark.parametrize("security", SECURITY_LEVELS)
def test_packets_decode_to_the_same_points_and_are_filled_up_to_the_size_limit(
    security: str,
) -> None:
    points = [
        *POINTS,
        *(
            Point(("why", "seat-status", "gross", f"reason-{number}"), DERIVE, number)
            for number in range(300)
        ),
    ]
    sent = encode_packets(security, points)
    assert len(sent) > 5
    assert max(map(len, sent)) <= collectd.MAX_PACKET_BYTES
    assert min(map(len, sent[:-1])) > collectd.MAX_PACKET_BYTES - 120, (
        "each packet but the last must be nearly full"
    )
    items = [
        item
        for packet in sent
        for item in PacketDecoder(security, {"ops": b"secret"}).decode_packet(packet)
    ]
    assert [(item.kind, item.value) for item in items] == [
        (point.kind, point.value) for point in points
    ]
    assert {(item.host, item.unix_seconds, item.interval) for item in items} == {
        ("n0", 1_700_000_000.5, 10.0)
    }
    assert items[1].name == "dockthread-answers/derive-seat-status.gross.served"


def test_unprotected_packet_has_the_documented_bytes() -> None:
    (packet,) = encode_packets("none", [Point(("cpu", "used"), DERIVE, -2)])
    assert packet == (
        b"\0\0\0\x07n0\0"
        + b"\0\x08\0\x0c" + (1_700_000_000 * (1 << 30) + (1 << 29)).to_bytes(8, "big")
        + b"\0\x09\0\x0c" + (10 << 30).to_bytes(8, "big")
        + b"\0\x02\0\x0fdockthread\0"
        + b"\0\x03\0\x08cpu\0"
        + b"\0\x04\0\x0bderive\0"
        + b"\0\x05\0\x09used\0"
        + b"\0\x06\0\x0f\0\x01\x02" + (-2).to_bytes(8, "big", signed=True)
    )  # fmt: skip


@pytest.mark.parametrize(
    ("sent", "required", "password", "error"),
    [
        ("none", "sign", b"secret", "not signed"),
        ("none", "encrypt", b"secret", "not encrypted"),
        ("sign", "encrypt", b"secret", "not encrypted"),
        ("sign", "sign", b"other", "wrong signature"),
        ("encrypt", "encrypt", b"other", "wrong password"),
    ],
)
def test_packets_with_too_low_security_or_a_wrong_password_are_rejected(
    sent: str, required: str, password: bytes, error: str
) -> None:
    with pytest.raises(PacketError, match=error):
        PacketDecoder(required, {"ops": password}).decode_packet(encode_packets(sent, POINTS)[0])
    with pytest.raises(PacketError):
        PacketDecoder(required, {"else": b"secret"}).decode_packet(
            encode_packets(required if sent == "none" else sent, POINTS)[0]
        )


@pytest.mark.parametrize("security", SECURITY_LEVELS)
def test_truncated_protected_packets_are_rejected(security: str) -> None:
    (packet,) = encode_packets(security, POINTS)
    decoder = PacketDecoder(security, {"ops": b"secret"})
    for size in range(1, len(packet)):
        try:
            items = decoder.decode_packet(packet[:size])
        except PacketError:
            continue
        # Without protection, a packet that is truncated between two parts is valid.
        assert security == "none" and items == PacketDecoder().decode_packet(packet)[: len(items)]


@given(st.binary(max_size=200))
def test_random_bytes_raise_no_error_other_than_packet_error(data: bytes) -> None:
    for security in SECURITY_LEVELS:
        with suppress(PacketError):
            PacketDecoder(security, {"ops": b"secret"}).decode_packet(data)


def test_long_type_instances_are_shortened_and_stay_distinct() -> None:
    long_path = ("why", "c" * 60, "p" * 60)
    assert len(collectd.series_name((*long_path, "a")).type_instance) == 63
    assert collectd.series_name((*long_path, "a")) != collectd.series_name((*long_path, "b"))
