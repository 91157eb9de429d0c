"""Runs the policy engines of many ingresses for the simulator, on standard input and output.

The adapter makes no decisions. It passes each record to the engine of its ingress and returns the
engine's actions; `simulator_wire.py` defines the binary layout of both.
"""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from dockthread.config.platform_settings import SECOND, parse_policy_settings
from dockthread.errors import SettingsError
from dockthread.policy import PolicyEngine
from dockthread.simulator_wire import (
    ACTION_BYTES,
    CODE_BYTES,
    CODE_INGRESS_KILLED,
    CODE_INGRESS_STARTED,
    FRAME_HEADER,
    INGRESS_STARTED,
    RECORD_BYTES,
    RECORD_HEAD,
    REPLY_HEADER,
    WireError,
    decode_event,
    encode_action,
    tail_part,
)


class SimulatorAdapter:
    """Runs the policy engines of one process, one for each ingress."""

    def __init__(self) -> None:
        self._engines: dict[int, PolicyEngine] = {}

    def reply(self, clock: int, body: bytes, record_count: int) -> bytes:
        """Handle the records of one frame and return the reply.

        Args:
            clock: The simulator's time in microseconds.
            body: The content of the frame after its header.
            record_count: The number of records at the start of the body; the tail follows them.

        Raises:
            WireError: The frame violates the simulator's protocol.
            SettingsError: An ingress was started with invalid settings.
            struct.error: A record is truncated.
        """
        records_bytes = record_count * RECORD_BYTES
        if len(body) < records_bytes:
            raise WireError("the frame is shorter than its records")
        now = clock / SECOND
        tail = body[records_bytes:]
        actions: list[bytes] = []
        reply_tail = bytearray()
        for start in range(0, records_bytes, RECORD_BYTES):
            record = body[start : start + RECORD_BYTES]
            actions += self._handle_record(now, record, tail, reply_tail)
        action_bytes = b"".join(actions)
        length = REPLY_HEADER.size + len(action_bytes) + len(reply_tail)
        return REPLY_HEADER.pack(length, len(actions)) + action_bytes + bytes(reply_tail)

    def _handle_record(
        self, now: float, record: bytes, tail: bytes, reply_tail: bytearray
    ) -> list[bytes]:
        """Return the encoded actions that result from a record; `now` is in seconds."""
        code, instance = RECORD_HEAD.unpack_from(record)
        if code == CODE_INGRESS_STARTED:
            _, seed, offset, length = INGRESS_STARTED.unpack_from(record, CODE_BYTES)
            settings = parse_policy_settings(tail_part(tail, offset, length))
            self._engines[instance] = PolicyEngine(settings, seed, now)
            return []
        if code == CODE_INGRESS_KILLED:
            self._engines.pop(instance, None)
            return []
        event = decode_event(code, record, tail)
        engine = self._engines.get(instance)
        if engine is None:
            raise WireError(f"received an event for instance {instance}, which is not running")
        return [
            encode_action(instance, action, reply_tail).ljust(ACTION_BYTES, b"\0")
            for action in engine.handle(now, event)
        ]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each frame of `source` until the end of the input.

    Raises:
        WireError: The input violates the simulator's protocol or ends inside a frame.
        SettingsError: An ingress was started with invalid settings.
        struct.error: A record is truncated.
    """
    adapter = SimulatorAdapter()
    while first_byte := source.read(1):
        header = first_byte + _read_exactly(source, FRAME_HEADER.size - 1)
        clock, length, record_count = FRAME_HEADER.unpack(header)
        if length < FRAME_HEADER.size + record_count * RECORD_BYTES:
            raise WireError(
                f"a frame of {record_count} records has a length of only {length} bytes"
            )
        body = _read_exactly(source, length - FRAME_HEADER.size)
        sink.write(adapter.reply(clock, body, record_count))
        sink.flush()


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise WireError("the input ends inside a frame")
    return data


def main() -> int:
    """Serve frames on standard input and output; return 0 at the end of input, 1 on an error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError, struct.error) as error:
        print(f"dockthread.simulator_adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
