"""Encoding and parsing of commands of collectd's unixsock plugin."""

from __future__ import annotations

import pytest

from dockthread.telemetry import putval
from tests.telemetry.samples import POINTS


def test_commands_are_encoded_and_parsed() -> None:
    line = putval.encode_putval("n0", "dockthread", POINTS[1], 1_700_000_000.25, 10.0)
    assert line == (
        b'PUTVAL "n0/dockthread-answers/derive-seat-status.gross.served" interval=10 1700000000.250:12345678901\n'
    )
    (item,) = putval.parse_command(line.decode())
    assert (item.host, item.name, item.value) == (
        "n0", "dockthread-answers/derive-seat-status.gross.served", 12345678901)  # fmt: skip
    (notification,) = putval.parse_command(
        putval.encode_putnotif("n0", "dockthread", "n0 is draining", 4, 5.0).decode()
    )
    assert (notification.message, notification.severity, notification.unix_seconds) == (
        "n0 is draining",
        4,
        5.0,
    )


@pytest.mark.parametrize(
    "line", ["", "GETVAL x", "PUTVAL a/b 1:2", "PUTVAL a/b/c", "PUTVAL a/b/c 1", 'PUTVAL "a']
)
def test_invalid_command_raises_an_error(line: str) -> None:
    with pytest.raises((ValueError, IndexError)):
        putval.parse_command(line)
