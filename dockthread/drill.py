"""The adapter: plays the simulator's wire on standard input and output. Decides nothing."""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from dockthread import api
from dockthread.rules import Gateway

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
EVERYONE = 0xFFFFFFFF
SECOND = 1_000_000

EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
STATES = {0: api.WorkerState.GONE, 1: api.WorkerState.READY, 2: api.WorkerState.DRAINING}
KINDS = {0: api.ListKind.CHANGES, 1: api.ListKind.FAILED, 2: api.ListKind.FULL, 3: api.ListKind.CACHED}
OUTCOMES = {
    200: api.Outcome.OK,
    500: api.Outcome.ERROR,
    503: api.Outcome.FULL,
    504: api.Outcome.TIMEOUT,
    502: api.Outcome.UNREACHABLE,
    598: api.Outcome.RESET,
    499: api.Outcome.CANCELLED,
    410: api.Outcome.NOT_SENT,
}


class WireError(Exception):
    """The other side sent something that is not on the wire's page."""


def worker_id(address: bytes, port: int) -> int:
    return int.from_bytes(address, "big") << 16 | port


def worker_fields(worker: int) -> tuple[bytes, int]:
    return (worker >> 16).to_bytes(4, "big"), worker & 0xFFFF


def read_settings(text: bytes) -> api.Settings:
    """Settings as the module knows them; keys that it does not know are skipped."""
    try:
        raw: dict[str, Any] = json.loads(text)
        return _settings(raw)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise WireError(f"settings cannot be read: {error!r}") from error


def _settings(raw: dict[str, Any]) -> api.Settings:
    def seconds(value: float) -> float:
        return value / SECOND

    limits, safety = raw.get("Limits", {}), raw.get("Safety", {})
    domain, costs, stats = raw.get("Domain", {}), raw.get("Costs", {}), raw.get("Stats", {})
    classes = tuple(
        api.RequestClass(
            aim=seconds(c["Aim"]),
            deadline=seconds(c["HardLimit"]),
            worth=c.get("Points", 1.0),
            late_worth=c.get("LateShare", 0.0),
            effect=EFFECTS[c["Effect"]],
            group=api.Group(c.get("Group", "all")),
            window=seconds(c.get("Window", 0)),
            stream=c.get("Stream", False),
        )
        for c in raw["Classes"]
    )
    plans = tuple(
        api.Plan(
            rate=p.get("Refill", 0.0),
            burst=p.get("PeakUnits", 0.0),
            most_out=p.get("MaxOut", 0),
            price=p.get("WorthFactor", 1.0),
            over_worth=p.get("OverWorth", 0.0),
            over_cost=p.get("ExcessCost", 0.0),
            ceiling_rate=p.get("CeilingRate", 0.0),
            ceiling_burst=p.get("CapDepth", 0.0),
            ceiling_slack=p.get("Tolerance", 0.0),
        )
        for p in raw.get("Packages", [])
    )
    return api.Settings(
        number=raw["MyNumber"],
        gateways=raw["ReplicasOfMe"],
        classes=classes,
        plans=plans,
        zone=raw.get("Zone", 0),
        tick=seconds(raw.get("Period", 1000)),
        safety=api.Safety(
            answer_slack=seconds(safety.get("AnswerSlack", 0)),
            drain_grace=seconds(safety.get("StopSendingWithin", 0)),
            cold_share=safety.get("ColdShare", 1.0),
            cold_time=seconds(safety.get("Cold", 0)),
            fall_multiple=safety.get("FallMultiple", 1.0),
            fall_time=seconds(safety.get("TipAfter", SECOND)),
            ask_within=seconds(safety.get("AskWithin", 10 * SECOND)),
        ),
        prices=api.Prices(
            cross_zone=costs.get("CrossZone", 0.0),
            waste=costs.get("Waste", 0.0),
            probe=costs.get("Probe", 0.0),
            peer=costs.get("Peer", 0.0),
            late_fail=costs.get("LateFail", 0.0),
        ),
        most_attempts=limits.get("SendCap", 1),
        second_copies=limits.get("SecondCopies", False),
        may_cancel=limits.get("Cancelling", False),
        may_probe=limits.get("Probes", False),
        may_tell=limits.get("Peers", False),
        may_advise=limits.get("RetryAfter", False),
        most_advice=seconds(limits.get("MaxRetryAfter", 0)),
        peer_intake=domain.get("PeerInPerS", 0.0),
        largest_units=domain.get("Largest", 1),
        settles_units=domain.get("TruedUp", False),
        meter_period=seconds(domain.get("Metering", 0)),
        load_names=tuple(stats.get("Names", ())),
        load_in_answers=stats.get("Source") == "inline",
        must_ask_for_list=raw.get("Discovery") == "subscribe",
    )


def _cut(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError("a field points outside the tail")
    return tail[offset : offset + length]


def _known(table: dict[int, Any], code: int, what: str) -> Any:
    if code not in table:
        raise WireError(f"unknown {what} {code}")
    return table[code]


def _listed(record: bytes, tail: bytes) -> api.Event:
    _, how, _, offset, count = LISTED.unpack_from(record, 2)
    block = _cut(tail, offset, count * LINE)
    entries = tuple(
        api.WorkerEntry(
            worker_id(address, port), _known(STATES, state, "state"), zone, kind, cell, weight, start / SECOND
        )
        for address, port, zone, kind, cell, state, weight, start in ENTRY.iter_unpack(block)
    )
    return api.WorkersListed(_known(KINDS, how, "kind of list"), entries)


def _request(record: bytes, _: bytes) -> api.Event:
    _, call, grade, plan, customer, left, units, spread, first, _ = REQUEST.unpack_from(record, 2)
    return api.RequestArrived(call, grade, plan, customer, left / SECOND, units, int(spread), int(first))


def _ended(record: bytes, _: bytes) -> api.Event:
    _, call, reason, actual, settled, took, attempt, address, port, metered, n, *load = ENDED.unpack_from(
        record, 2
    )
    outcome = _known(OUTCOMES, reason, "outcome")
    used = (metered - 1) / 100 if metered else None
    return api.AttemptEnded(
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


def _begun(record: bytes, _: bytes) -> api.Event:
    _, call, attempt, _, address, port = BEGUN.unpack_from(record, 2)
    return api.StreamBegun(call, attempt, worker_id(address, port))


def _probed(record: bytes, _: bytes) -> api.Event:
    _, address, port, took, reason, n, *load = PROBED.unpack_from(record, 2)
    outcome = _known(OUTCOMES, reason, "outcome")
    return api.ProbeEnded(worker_id(address, port), outcome, took / SECOND, tuple(load[:n]))


def _timer(record: bytes, _: bytes) -> api.Event:
    return api.TimerFired(PAIR.unpack_from(record, 2)[1])


def _gone(record: bytes, _: bytes) -> api.Event:
    return api.ClientGone(PAIR.unpack_from(record, 2)[1])


def _said(record: bytes, tail: bytes) -> api.Event:
    _, author, offset, length = SAID.unpack_from(record, 2)
    return api.PeerSaid(author, _cut(tail, offset, length))


CODE_COUNTED, CODE_UP, CODE_KILL = 1, 7, 11
READERS: dict[int, Callable[[bytes, bytes], api.Event]] = {
    2: _ended,
    3: _timer,
    4: _gone,
    5: _probed,
    6: _request,
    8: _listed,
    9: _begun,
    10: _said,
}


def _write(instance: int, action: api.Action, tail: bytearray) -> bytes:
    match action:
        case api.Send(request, worker, timeout):
            return SEND.pack(1, instance, request, *worker_fields(worker), round(timeout * SECOND))
        case api.Refuse(request, retry_after):
            return REFUSE.pack(2, instance, request, round(retry_after * SECOND))
        case api.Fail(request):
            return FAIL.pack(3, instance, request)
        case api.Cancel(request, attempt):
            return CANCEL.pack(4, instance, request, attempt)
        case api.SetTimer(at, token):
            return TIMER.pack(5, instance, round(at * SECOND), token)
        case api.Probe(worker):
            return PROBE.pack(6, instance, *worker_fields(worker))
        case api.Tell(data, peer):
            tail += data
            to = EVERYONE if peer is None else peer
            return TELL.pack(8, instance, to, len(tail) - len(data), len(data))
        case api.AskForList():
            return WATCH.pack(11, instance, 1)
    raise TypeError(f"not an action: {action!r}")


class Adapter:
    """Hosts the gateways of one process, each by its own number."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}

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
                self.gateways[instance] = Gateway(read_settings(_cut(tail, offset, length)), seed, now)
            elif code == CODE_KILL:
                self.gateways.pop(instance, None)
            elif code == CODE_COUNTED:
                continue  # the shared counter is never called, so nothing waits for its answer
            else:
                event = _known(READERS, code, "event")(record, tail)
                gateway = self.gateways.get(instance)
                if gateway is None:
                    raise WireError(f"an event for instance {instance}, which is not up")
                actions = gateway.handle(now, event)
                records += [_write(instance, action, out).ljust(ACTION, b"\0") for action in actions]
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
    except (WireError, struct.error) as error:
        print(f"dockthread.drill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
