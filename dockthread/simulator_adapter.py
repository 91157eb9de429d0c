"""The adapter: plays the simulator's wire on standard input and output. Decides nothing."""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from dockthread.config.platform_settings import SECOND, parse_policy_settings
from dockthread.errors import SettingsError
from dockthread.policy import (
    Action,
    AddToCounter,
    AttemptEnded,
    BackendState,
    CancelAttempt,
    CheckHealth,
    ClientDisconnected,
    CounterReplied,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    Fail,
    GossipReceived,
    HealthCheckEnded,
    Outcome,
    PolicyEngine,
    PollEndpoints,
    Reject,
    RequestArrived,
    ResponseStarted,
    SendAttempt,
    SendGossip,
    SetTimer,
    TimerFired,
)

HEADER = struct.Struct("<QII")
REPLY = struct.Struct("<II")
RECORD, ACTION, LINE = 48, 24, 23
ENTRY = struct.Struct("<4sHBBHBfQ")
REQUEST = struct.Struct("<IIBIQIfffH")
ENDED = struct.Struct("<IIHHBIB4sHHB4f")
BEGUN = struct.Struct("<IIBI4sH")
PROBED = struct.Struct("<I4sHIHB4f")
PAIR = struct.Struct("<II")
UP = struct.Struct("<IQII")
LISTED = struct.Struct("<IBQII")
SAID = struct.Struct("<IIII")
SEND = struct.Struct("<HII4sHi")
REFUSE = struct.Struct("<HIII")
FAIL = struct.Struct("<HII")
CANCEL = struct.Struct("<HIIB")
TIMER = struct.Struct("<HIQI")
PROBE = struct.Struct("<HI4sH")
TELL = struct.Struct("<HIIII")
WATCH = struct.Struct("<HIB")
COUNT = struct.Struct("<HIQfI")
COUNTED = struct.Struct("<IQHfI")
EVERYONE = 0xFFFFFFFF

STATES = {0: BackendState.REMOVED, 1: BackendState.READY, 2: BackendState.DRAINING}
KINDS = {
    0: EndpointListKind.CHANGES,
    1: EndpointListKind.FAILED,
    2: EndpointListKind.FULL,
    3: EndpointListKind.CACHED,
}
OUTCOMES = {
    200: Outcome.OK,
    500: Outcome.ERROR,
    503: Outcome.AT_CAPACITY,
    504: Outcome.TIMEOUT,
    502: Outcome.UNREACHABLE,
    598: Outcome.RESET,
    499: Outcome.CANCELLED,
    410: Outcome.NOT_SENT,
}


class WireError(Exception):
    """The other side sent something that is not on the wire's page."""


def worker_id(address: bytes, port: int) -> int:
    return int.from_bytes(address, "big") << 16 | port


def worker_fields(worker: int) -> tuple[bytes, int]:
    return (worker >> 16).to_bytes(4, "big"), worker & 0xFFFF


def _cut(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError("a field points outside the tail")
    return tail[offset : offset + length]


def _known(table: dict[int, Any], code: int, what: str) -> Any:
    if code not in table:
        raise WireError(f"unknown {what} {code}")
    return table[code]


def _listed(record: bytes, tail: bytes) -> Event:
    _, how, _, offset, count = LISTED.unpack_from(record, 2)
    block = _cut(tail, offset, count * LINE)
    entries = tuple(
        Endpoint(
            worker_id(address, port),
            _known(STATES, state, "state"),
            zone,
            kind,
            cell,
            weight,
            start / SECOND,
        )
        for address, port, zone, kind, cell, state, weight, start in ENTRY.iter_unpack(block)
    )
    return EndpointsListed(_known(KINDS, how, "kind of list"), entries)


def _request(record: bytes, _: bytes) -> Event:
    _, call, grade, plan, customer, left, units, spread, first, _ = REQUEST.unpack_from(record, 2)
    return RequestArrived(
        call, grade, plan, customer, left / SECOND, units, int(spread), int(first)
    )


def _ended(record: bytes, _: bytes) -> Event:
    _, call, reason, actual, settled, took, attempt, address, port, metered, n, *load = (
        ENDED.unpack_from(record, 2)
    )
    outcome = _known(OUTCOMES, reason, "outcome")
    used = (metered - 1) / 100 if metered else None
    return AttemptEnded(
        call,
        attempt,
        worker_id(address, port),
        outcome,
        bool(settled),
        took / SECOND,
        actual,
        used,
        tuple(load[:n]),
    )


def _begun(record: bytes, _: bytes) -> Event:
    _, call, attempt, _, address, port = BEGUN.unpack_from(record, 2)
    return ResponseStarted(call, attempt, worker_id(address, port))


def _probed(record: bytes, _: bytes) -> Event:
    _, address, port, took, reason, n, *load = PROBED.unpack_from(record, 2)
    outcome = _known(OUTCOMES, reason, "outcome")
    return HealthCheckEnded(worker_id(address, port), outcome, took / SECOND, tuple(load[:n]))


def _timer(record: bytes, _: bytes) -> Event:
    return TimerFired(PAIR.unpack_from(record, 2)[1])


def _gone(record: bytes, _: bytes) -> Event:
    return ClientDisconnected(PAIR.unpack_from(record, 2)[1])


def _said(record: bytes, tail: bytes) -> Event:
    _, author, offset, length = SAID.unpack_from(record, 2)
    return GossipReceived(author, _cut(tail, offset, length))


def _counted(record: bytes, _: bytes) -> Event:
    _, name, reason, total, _ = COUNTED.unpack_from(record, 2)
    return CounterReplied(name, _known(OUTCOMES, reason, "outcome"), total)


CODE_UP, CODE_KILL = 7, 11
READERS: dict[int, Callable[[bytes, bytes], Event]] = {
    1: _counted,
    2: _ended,
    3: _timer,
    4: _gone,
    5: _probed,
    6: _request,
    8: _listed,
    9: _begun,
    10: _said,
}


def _write(instance: int, action: Action, tail: bytearray) -> bytes:
    match action:
        case SendAttempt(request, worker, timeout, _):
            return SEND.pack(1, instance, request, *worker_fields(worker), round(timeout * SECOND))
        case Reject(request, retry_after):
            return REFUSE.pack(2, instance, request, round(retry_after * SECOND))
        case Fail(request):
            return FAIL.pack(3, instance, request)
        case CancelAttempt(request, attempt):
            return CANCEL.pack(4, instance, request, attempt)
        case SetTimer(at, token):
            return TIMER.pack(5, instance, round(at * SECOND), token)
        case CheckHealth(worker):
            return PROBE.pack(6, instance, *worker_fields(worker))
        case SendGossip(data, peer):
            tail += data
            to = EVERYONE if peer is None else peer
            return TELL.pack(8, instance, to, len(tail) - len(data), len(data))
        case AddToCounter(name, amount, life):
            return COUNT.pack(13, instance, name, amount, round(life * SECOND))
        case PollEndpoints():
            return WATCH.pack(11, instance, 1)
    raise TypeError(f"not an action: {action!r}")


class Adapter:
    """Hosts the gateways of one process, each by its own number."""

    def __init__(self) -> None:
        self.gateways: dict[int, PolicyEngine] = {}

    def reply(self, clock: int, body: bytes, count: int) -> bytes:
        tail = body[count * RECORD :]
        if len(body) < count * RECORD:
            raise WireError("a frame is shorter than its records")
        records: list[bytes] = []
        out = bytearray()
        now = clock / SECOND
        for at in range(0, count * RECORD, RECORD):
            record = body[at : at + RECORD]
            code, instance = struct.unpack_from("<HI", record)
            if code == CODE_UP:
                _, seed, offset, length = UP.unpack_from(record, 2)
                self.gateways[instance] = PolicyEngine(
                    parse_policy_settings(_cut(tail, offset, length)), seed, now
                )
            elif code == CODE_KILL:
                self.gateways.pop(instance, None)
            else:
                event = _known(READERS, code, "event")(record, tail)
                gateway = self.gateways.get(instance)
                if gateway is None:
                    raise WireError(f"an event for instance {instance}, which is not up")
                actions = gateway.handle(now, event)
                records += [
                    _write(instance, action, out).ljust(ACTION, b"\0") for action in actions
                ]
        block = b"".join(records)
        return REPLY.pack(REPLY.size + len(block) + len(out), len(records)) + block + bytes(out)


def _read(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise WireError("input ends inside a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    adapter = Adapter()
    while first := source.read(1):
        clock, length, count = HEADER.unpack(first + _read(source, HEADER.size - 1))
        if length < HEADER.size + count * RECORD:
            raise WireError(f"a frame of {count} records says that it has {length} bytes")
        sink.write(adapter.reply(clock, _read(source, length - HEADER.size), count))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError, struct.error) as error:
        print(f"dockthread.simulator_adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
