"""The simulator adapter: decoding events, encoding actions, and exiting on invalid input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from dockthread import simulator_adapter, simulator_wire
from dockthread.policy import AttemptEnded, Outcome, SendAttempt, SendGossip, SetTimer
from tests import loopback

SETTINGS = loopback.SETTINGS | {
    "ReplicasOfMe": 1,
    "Classes": [loopback.STATUS_CLASS | {"Aim": 1000000, "Group": "all", "New": 1}],
    "Packages": [loopback.GROSS_PLAN | {"Refill": 2.0, "PeakUnits": 8.0}],
    "Period": 2000,
    "SomethingNew": {"a": 1},
}
BACKEND = bytes.fromhex("0a124a07431f")


def encode_batch(clock: int, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(r.ljust(simulator_wire.RECORD_BYTES, b"\0") for r in records) + tail
    return (
        simulator_wire.FRAME_HEADER.pack(
            clock, simulator_wire.FRAME_HEADER.size + len(body), len(records)
        )
        + body
    )


def start_record(settings: bytes, offset: int = 0) -> bytes:
    return struct.pack("<HIQII", 7, 3, 99, offset, len(settings))


def endpoints_record(offset: int) -> bytes:
    return struct.pack("<HIBQII", 8, 3, 3, 1, offset, 1)


def request_record(request_number: int) -> bytes:
    return struct.pack("<HIIBIQIfffH", 6, 3, request_number, 0, 0, 77, 4000000, 1.0, 1.0, 0.0, 0)


def first_batch() -> bytes:
    settings = json.dumps(SETTINGS).encode()
    endpoint_bytes = BACKEND + bytes([0, 0, 0, 0, 1]) + struct.pack("<fQ", 1.0, 0)
    return encode_batch(
        1_000_000,
        [start_record(settings), endpoints_record(len(settings)), request_record(5)],
        settings + endpoint_bytes,
    )


def split_replies(data: bytes) -> list[list[bytes]]:
    batches = []
    while data:
        length, count = simulator_wire.REPLY_HEADER.unpack_from(data)
        batches.append(
            [
                data[
                    8 + i * simulator_wire.ACTION_BYTES : 8 + (i + 1) * simulator_wire.ACTION_BYTES
                ]
                for i in range(count)
            ]
        )
        data = data[length:]
    return batches


def run_adapter(data: bytes) -> list[list[bytes]]:
    sink = io.BytesIO()
    simulator_adapter.serve(io.BytesIO(data), sink)
    return split_replies(sink.getvalue())


def test_empty_batch_gets_an_empty_reply() -> None:
    sink = io.BytesIO()
    simulator_adapter.serve(io.BytesIO(bytes.fromhex("5a5c8000000000001000000000000000")), sink)
    assert sink.getvalue() == bytes.fromhex("0800000000000000")


def test_request_is_sent_to_the_listed_backend() -> None:
    (actions,) = run_adapter(first_batch())
    sends = [a for a in actions if a[:2] == b"\1\0"]
    assert len(sends) == 1
    assert sends[0][6:16] == struct.pack("<I", 5) + BACKEND
    assert all(len(a) == simulator_wire.ACTION_BYTES for a in actions)


def test_attempt_ended_record_of_the_wire_specification_is_decoded() -> None:
    record = bytes.fromhex(
        "020003000000c4913a5dc80003000144480000000a124a07431f5600" + "0152b81e3f" + "00" * 15
    )
    event = simulator_wire.decode_attempt_ended(record, b"")
    assert isinstance(event, AttemptEnded)
    assert (event.request, event.outcome, event.actual_units, event.is_final) == (
        0x5D3A91C4,
        Outcome.OK,
        3,
        True,
    )
    assert event.duration == pytest.approx(0.018500)
    assert event.reported_usage == pytest.approx(0.85)
    assert list(event.load_report) == pytest.approx([0.62])
    assert simulator_wire.backend_address(event.backend) == (BACKEND[:4], 0x1F43)


def test_actions_of_the_wire_specification_are_encoded() -> None:
    backend = simulator_wire.backend_id(BACKEND[:4], 0x1F43)
    send = simulator_wire.encode_action(3, SendAttempt(0x5D3A91C4, backend, 0.080000), bytearray())
    assert send == bytes.fromhex("010003000000c4913a5d0a124a07431f80380100")
    timer = simulator_wire.encode_action(3, SetTimer(8.911481, 77), bytearray())
    assert timer == struct.pack("<HIQI", 5, 3, 8911481, 77)
    tail = bytearray(b"xx")
    gossip_action = simulator_wire.encode_action(3, SendGossip(b"hi p"), tail)
    assert gossip_action == bytes.fromhex("080003000000ffffffff0200000004000000")
    assert tail == b"xxhi p"


def test_kill_and_restart_in_one_batch() -> None:
    settings = json.dumps(SETTINGS).encode()
    kill = struct.pack("<HI", 11, 3)
    restart_batch = encode_batch(2_000_000, [kill, start_record(settings)], settings)
    adapter_replies = run_adapter(
        first_batch() + restart_batch + encode_batch(3_000_000, [request_record(6)])
    )
    assert adapter_replies[1] == []
    # The restarted ingress has no endpoint list.
    assert not [a for a in adapter_replies[2] if a[:2] == b"\1\0"]


@pytest.mark.parametrize(
    "data",
    [
        first_batch()[:-1],
        encode_batch(1, [start_record(b"{not json")], b"{not json"),
        encode_batch(1, [start_record(b"[]")], b"[]"),
        first_batch() + encode_batch(2_000_000, [struct.pack("<HI", 99, 3)]),
        first_batch() + encode_batch(2_000_000, [struct.pack("<HII", 3, 4, 1)]),
        simulator_wire.FRAME_HEADER.pack(1, 20, 5),
        encode_batch(1, [start_record(b"x" * 50)]),
    ],
    ids=[
        "truncated",
        "not-json",
        "not-settings",
        "unknown-code",
        "not-up",
        "length",
        "outside-tail",
    ],
)
def test_bad_input_exits_with_one_error_line(data: bytes) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "dockthread.simulator_adapter"],
        input=data,
        capture_output=True,
        check=False,
        timeout=60,
    )
    assert process.returncode == 1
    assert len(process.stderr.decode().splitlines()) == 1
    split_replies(process.stdout)


def test_replies_do_not_depend_on_the_hash_seed() -> None:
    data = first_batch() + b"".join(
        encode_batch(1_100_000 + i * 1000, [request_record(10 + i)]) for i in range(60)
    )
    outputs = [
        subprocess.run(
            [sys.executable, "-m", "dockthread.simulator_adapter"],
            input=data,
            capture_output=True,
            check=True,
            timeout=60,
            env={"PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    ]
    assert outputs[0] == outputs[1]
    assert len(split_replies(outputs[0])) == 61
