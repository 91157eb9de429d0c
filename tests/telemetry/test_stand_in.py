"""The stand-in receiver: parsing of faults, and rejection of invalid packets."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from dockthread.telemetry.catalogue import Point
from dockthread.telemetry.collectd import PacketEncoder, packet_sealer
from dockthread.telemetry.receiver.stand_in import FaultWindow
from tests.loopback import run, until
from tests.telemetry.support import PASSWORD, running_stand_in


@pytest.mark.parametrize("text", ["", "vanish", "vanish@1s", "sulk@1s+1s", "vanish@1+1s"])
def test_invalid_fault_text_is_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        FaultWindow.parse(text)


def test_wrongly_protected_or_truncated_packets_are_counted_and_change_no_total(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_stand_in(tmp_path, "collectd") as (stand_in, ledger):
            host, port = stand_in.addresses["collectd"].rsplit(":", 1)
            points = [
                Point(("life",), "gauge", 5.0),
                Point(("answers", "a", "b", "served"), "derive", 7),
            ]

            def send(security: str, password: bytes, truncated_bytes: int = 0) -> None:
                sealer = packet_sealer(security, "ops", password)
                (packet,) = PacketEncoder("n0", "dockthread", 1.0, sealer).packets(points, 9.0)
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
                    udp_socket.sendto(packet[: len(packet) - truncated_bytes], (host, int(port)))

            send("encrypt", b"another password")
            send("sign", PASSWORD)
            send("none", b"")
            send("encrypt", PASSWORD, truncated_bytes=3)
            await until(lambda: sum(ledger.faults().values()) == 4)
            assert not ledger.totals()
            send("encrypt", PASSWORD)
            await until(lambda: ledger.totals("answers"))
            assert [total.value for total in ledger.totals("answers")] == [7.0]
            assert {kind for _, kind in ledger.faults()} == {
                "a wrong password, or spoilt bytes",
                "not encrypted",
                "an encrypted part that is cut short",
            }

    run(scenario())
