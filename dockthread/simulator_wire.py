"""The simulator's binary protocol: decodes records into events and encodes actions, without I/O.

A frame from the simulator is a header, then records of a fixed size, then a tail with the parts of
variable length, which records refer to by offset and length. A reply has the same layout. All
numbers are little-endian. Times are in microseconds, whereas the policy engine uses seconds.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import TypeVar

from dockthread.config.platform_settings import SECOND
from dockthread.errors import DockthreadError
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
    PollEndpoints,
    Reject,
    RequestArrived,
    ResponseStarted,
    SendAttempt,
    SendGossip,
    SetTimer,
    TimerFired,
)

# Frames. A header holds the clock, the length of the frame and the number of its records. The
# header of a reply holds its length and the number of its actions.
FRAME_HEADER = struct.Struct("<QII")
REPLY_HEADER = struct.Struct("<II")
RECORD_BYTES = 48
ACTION_BYTES = 24

# Every record starts with its code and the number of the ingress that it concerns.
RECORD_HEAD = struct.Struct("<HI")
CODE_BYTES = 2

# Layouts of the records, without their code.
INGRESS_STARTED = struct.Struct("<IQII")
REQUEST_ARRIVED = struct.Struct("<IIBIQIfffH")
ATTEMPT_ENDED = struct.Struct("<IIHHBIB4sHHB4f")
RESPONSE_STARTED = struct.Struct("<IIBI4sH")
HEALTH_CHECK_ENDED = struct.Struct("<I4sHIHB4f")
ENDPOINTS_LISTED = struct.Struct("<IBQII")
GOSSIP_RECEIVED = struct.Struct("<IIII")
COUNTER_REPLIED = struct.Struct("<IQHfI")
TIMER_FIRED = struct.Struct("<II")
CLIENT_DISCONNECTED = struct.Struct("<II")

# Layout of one endpoint in the tail.
ENDPOINT = struct.Struct("<4sHBBHBfQ")

# Layouts of the actions, including their code.
SEND_ATTEMPT = struct.Struct("<HII4sHi")
REJECT = struct.Struct("<HIII")
FAIL = struct.Struct("<HII")
CANCEL_ATTEMPT = struct.Struct("<HIIB")
SET_TIMER = struct.Struct("<HIQI")
CHECK_HEALTH = struct.Struct("<HI4sH")
SEND_GOSSIP = struct.Struct("<HIIII")
POLL_ENDPOINTS = struct.Struct("<HIB")
ADD_TO_COUNTER = struct.Struct("<HIQfI")

# The peer number in SEND_GOSSIP that means all peers.
ALL_PEERS = 0xFFFFFFFF

# Codes of the records that the adapter handles itself; they are not events of the policy engine.
CODE_INGRESS_STARTED = 7
CODE_INGRESS_KILLED = 11

BACKEND_STATES = {0: BackendState.REMOVED, 1: BackendState.READY, 2: BackendState.DRAINING}
LIST_KINDS = {
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

Value = TypeVar("Value")


class WireError(DockthreadError):
    """The simulator sent data that violates its protocol."""


def backend_id(address: bytes, port: int) -> int:
    """Return the policy engine's number of the backend at an IPv4 address and port."""
    return int.from_bytes(address, "big") << 16 | port


def backend_address(backend: int) -> tuple[bytes, int]:
    """Return the IPv4 address and port from which `backend_id` computed the number."""
    return (backend >> 16).to_bytes(4, "big"), backend & 0xFFFF


def tail_part(tail: bytes, offset: int, length: int) -> bytes:
    """Return a part of a frame's tail.

    Raises:
        WireError: The part is not inside the tail.
    """
    if offset + length > len(tail):
        raise WireError("a field points outside the tail")
    return tail[offset : offset + length]


def decode_event(code: int, record: bytes, tail: bytes) -> Event:
    """Decode the event in a record.

    Raises:
        WireError: A code is unknown, or the record points outside the tail.
    """
    return _lookup(EVENT_DECODERS, code, "event")(record, tail)


def decode_attempt_ended(record: bytes, _tail: bytes) -> AttemptEnded:
    """Decode the end of an attempt.

    The record holds the reported usage in percent plus one; 0 means that none was reported.
    """
    (
        _,
        request,
        code,
        units,
        is_final,
        duration,
        attempt,
        address,
        port,
        usage,
        load_field_count,
        *load,
    ) = ATTEMPT_ENDED.unpack_from(record, CODE_BYTES)
    return AttemptEnded(
        request,
        attempt,
        backend_id(address, port),
        _lookup(OUTCOMES, code, "outcome"),
        bool(is_final),
        duration / SECOND,
        units,
        (usage - 1) / 100 if usage else None,
        tuple(load[:load_field_count]),
    )


def _lookup(table: dict[int, Value], code: int, code_kind: str) -> Value:
    if code not in table:
        raise WireError(f"unknown {code_kind} {code}")
    return table[code]


def _decode_endpoints_listed(record: bytes, tail: bytes) -> Event:
    _, list_kind, _, offset, count = ENDPOINTS_LISTED.unpack_from(record, CODE_BYTES)
    block = tail_part(tail, offset, count * ENDPOINT.size)
    entries = tuple(map(_decode_endpoint, ENDPOINT.iter_unpack(block)))
    return EndpointsListed(_lookup(LIST_KINDS, list_kind, "kind of list"), entries)


def _decode_endpoint(fields: tuple[bytes, int, int, int, int, int, float, int]) -> Endpoint:
    address, port, zone, kind, cell, state, weight, started = fields
    return Endpoint(
        backend_id(address, port),
        _lookup(BACKEND_STATES, state, "state"),
        zone,
        kind,
        cell,
        weight,
        started / SECOND,
    )


def _decode_request_arrived(record: bytes, _tail: bytes) -> Event:
    _, request, request_class, plan, customer, remaining_time, units, spread, first_ingress, _ = (
        REQUEST_ARRIVED.unpack_from(record, CODE_BYTES)
    )
    return RequestArrived(
        request,
        request_class,
        plan,
        customer,
        remaining_time / SECOND,
        units,
        int(spread),
        int(first_ingress),
    )


def _decode_response_started(record: bytes, _tail: bytes) -> Event:
    _, request, attempt, _, address, port = RESPONSE_STARTED.unpack_from(record, CODE_BYTES)
    return ResponseStarted(request, attempt, backend_id(address, port))


def _decode_health_check_ended(record: bytes, _tail: bytes) -> Event:
    _, address, port, duration, code, load_field_count, *load = HEALTH_CHECK_ENDED.unpack_from(
        record, CODE_BYTES
    )
    return HealthCheckEnded(
        backend_id(address, port),
        _lookup(OUTCOMES, code, "outcome"),
        duration / SECOND,
        tuple(load[:load_field_count]),
    )


def _decode_timer_fired(record: bytes, _tail: bytes) -> Event:
    _, token = TIMER_FIRED.unpack_from(record, CODE_BYTES)
    return TimerFired(token)


def _decode_client_disconnected(record: bytes, _tail: bytes) -> Event:
    _, request = CLIENT_DISCONNECTED.unpack_from(record, CODE_BYTES)
    return ClientDisconnected(request)


def _decode_gossip_received(record: bytes, tail: bytes) -> Event:
    _, sender, offset, length = GOSSIP_RECEIVED.unpack_from(record, CODE_BYTES)
    return GossipReceived(sender, tail_part(tail, offset, length))


def _decode_counter_replied(record: bytes, _tail: bytes) -> Event:
    _, name, code, total, _ = COUNTER_REPLIED.unpack_from(record, CODE_BYTES)
    return CounterReplied(name, _lookup(OUTCOMES, code, "outcome"), total)


# The decoder for each record code.
EVENT_DECODERS: dict[int, Callable[[bytes, bytes], Event]] = {
    1: _decode_counter_replied,
    2: decode_attempt_ended,
    3: _decode_timer_fired,
    4: _decode_client_disconnected,
    5: _decode_health_check_ended,
    6: _decode_request_arrived,
    8: _decode_endpoints_listed,
    9: _decode_response_started,
    10: _decode_gossip_received,
}


def encode_action(instance: int, action: Action, tail: bytearray) -> bytes:
    """Encode an action of ingress `instance`; append data of variable length to `tail`."""
    match action:
        case SendAttempt(request, backend, timeout, _):
            microseconds = round(timeout * SECOND)
            return SEND_ATTEMPT.pack(1, instance, request, *backend_address(backend), microseconds)
        case CancelAttempt(request, attempt):
            return CANCEL_ATTEMPT.pack(4, instance, request, attempt)
        case Reject(request, retry_after):
            return REJECT.pack(2, instance, request, round(retry_after * SECOND))
        case Fail(request):
            return FAIL.pack(3, instance, request)
    return _encode_engine_action(instance, action, tail)


def _encode_engine_action(instance: int, action: Action, tail: bytearray) -> bytes:
    """Encode an action that does not concern a single request."""
    match action:
        case SetTimer(at, token):
            return SET_TIMER.pack(5, instance, round(at * SECOND), token)
        case CheckHealth(backend):
            return CHECK_HEALTH.pack(6, instance, *backend_address(backend))
        case SendGossip(data, peer):
            offset = len(tail)
            tail += data
            receiver = ALL_PEERS if peer is None else peer
            return SEND_GOSSIP.pack(8, instance, receiver, offset, len(data))
        case AddToCounter(name, amount, lifetime):
            return ADD_TO_COUNTER.pack(13, instance, name, amount, round(lifetime * SECOND))
        case PollEndpoints():
            return POLL_ENDPOINTS.pack(11, instance, 1)
    raise TypeError(f"unsupported action: {action!r}")
