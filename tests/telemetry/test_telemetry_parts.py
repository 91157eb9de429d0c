"""Telemetry's parts without sockets: formats both ways, the queue, the sender's table, stamps, the
busiest firms.
"""

from __future__ import annotations

import pickle
import random
import struct
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockthread.policy import Outcome
from dockthread.telemetry import collectd, graphite, putval
from dockthread.telemetry.catalogue import DERIVE, GAUGE, METRICS, Point, path_part
from dockthread.telemetry.collectd import Opener, PacketEncoder, PacketError, packet_sealer
from dockthread.telemetry.delivery_queue import DeliveryQueue, Report
from dockthread.telemetry.heavy_hitters import HeavyHitters
from dockthread.telemetry.latency_histogram import LatencyHistogram
from dockthread.telemetry.receiver.decode import (
    DecodeError,
    PickleDecoder,
    PlaintextDecoder,
    ReceivedPoint,
)
from dockthread.telemetry.receiver.ledger import Ledger
from dockthread.telemetry.receiver.stand_in import Span
from dockthread.telemetry.sender import TRANSITIONS, Action, ActionKind, Event, Sender, SenderState
from dockthread.telemetry.timestamps import TimestampSource

POINTS = [
    Point(("life",), GAUGE, 1_700_000_000_123.0),
    Point(("answers", "seat-status", "gross", "served"), DERIVE, 12345678901),
    Point(("loop", "p99"), GAUGE, 0.25),
]

# Names


@pytest.mark.parametrize(
    "name", ["a.b", "a b", "a\nb", "", ".", "ü", "a/b", "x" * 65536, "a;b=c", "\ud800"]
)
def test_a_name_that_would_break_a_path_is_one_bounded_part(name: str) -> None:
    found = path_part(name)
    assert 0 < len(found) <= 64
    assert found.replace("-", "").replace("_", "").isalnum()
    assert found != path_part(name + "x"), "unlike names stay apart"
    assert path_part(found) == found


@given(st.text(max_size=80), st.text(max_size=80))
def test_unlike_names_never_share_a_part(one: str, other: str) -> None:
    assert (path_part(one) == path_part(other)) == (one == other)


def test_every_path_of_the_catalogue_is_listed_once() -> None:
    assert len({m.path for m in METRICS}) == len(METRICS)


# Graphite


def test_plaintext_says_what_carbon_reads() -> None:
    named = [(graphite.series("a.b", "n0", p.path, False), p) for p in POINTS]
    text = graphite.plaintext(named, 1_700_000_001)
    assert text == (
        b"a.b.n0.life 1700000000123 1700000001\n"
        b"a.b.n0.answers.seat-status.gross.served 12345678901 1700000001\n"
        b"a.b.n0.loop.p99 0.25 1700000001\n"
    )
    assert list(PlaintextDecoder().feed(text))[1] == ReceivedPoint(
        "a.b.n0.answers.seat-status.gross.served", 1_700_000_001, 12345678901
    )


def test_tags_name_the_parts_of_a_path() -> None:
    assert graphite.series("p", "n0", POINTS[1].path, True) == (
        "p.answers;ingress=n0;class=seat-status;plan=gross;outcome=served"
    )
    assert graphite.series("p", "n0", ("loop", "p99"), True) == "p.loop.p99;ingress=n0"


def test_pickles_are_frames_of_protocol_2() -> None:
    many = [(f"s{n}", Point((f"s{n}",), DERIVE, n)) for n in range(600)]
    data = graphite.pickled(many, 7)
    (size,) = struct.unpack_from("!I", data)
    assert pickle.loads(data[4 : 4 + size])[3] == ("s3", (7, 3))
    assert data[4:6] == b"\x80\x02"
    reader, found = PickleDecoder(), list[ReceivedPoint]()
    for at in range(0, len(data), 100):  # in pieces
        found += reader.feed(data[at : at + 100])
    assert found == [ReceivedPoint(f"s{n}", 7.0, float(n)) for n in range(600)]


def test_a_spoilt_line_is_counted_and_the_rest_goes_on() -> None:
    lines = PlaintextDecoder()
    assert [g.series for g in lines.feed(b"a 1 2\nnonsense\nb nan 2\nc 1 2\nd 1")] == ["a", "c"]
    assert lines.invalid_lines == 2
    assert [g.series for g in lines.feed(b" 2\n")] == ["d"]


@pytest.mark.parametrize(
    "rows", [pickle.dumps(OSError), pickle.dumps([1]), b"\x80\x02", pickle.dumps([("a", 1)])]
)
def test_a_pickle_that_is_no_list_of_points_is_refused(rows: bytes) -> None:
    with pytest.raises(DecodeError):
        list(PickleDecoder().feed(struct.pack("!I", len(rows)) + rows))


# Collectd

SECURITIES = ["none", "sign", "encrypt"]


def packets(security: str, points: list[Point], password: bytes = b"secret") -> list[bytes]:
    sealer = packet_sealer(security, "ops", password)
    return list(PacketEncoder("n0", "dockthread", 10.0, sealer).packets(points, 1_700_000_000.5))


@pytest.mark.parametrize("security", SECURITIES)
def test_packets_are_read_as_they_were_meant_and_never_too_long(security: str) -> None:
    points = [
        *POINTS,
        *(Point(("why", "seat-status", "gross", f"reason-{n}"), DERIVE, n) for n in range(300)),
    ]
    sent = packets(security, points)
    assert len(sent) > 5
    assert max(map(len, sent)) <= collectd.MAX_PACKET_BYTES
    assert min(map(len, sent[:-1])) > collectd.MAX_PACKET_BYTES - 120, "packets are filled"
    told = [one for packet in sent for one in Opener(security, {"ops": b"secret"}).read(packet)]
    assert [(t.kind, t.value) for t in told] == [(p.kind, p.value) for p in points]
    assert {(t.host, t.seconds, t.interval) for t in told} == {("n0", 1_700_000_000.5, 10.0)}
    assert told[1].name == "dockthread-answers/derive-seat-status.gross.served"


def test_a_packet_in_the_clear_byte_for_byte() -> None:
    (packet,) = packets("none", [Point(("cpu", "used"), DERIVE, -2)])
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
    ("sent", "expects", "password", "wrong"),
    [
        ("none", "sign", b"secret", "not signed"),
        ("none", "encrypt", b"secret", "not encrypted"),
        ("sign", "encrypt", b"secret", "not encrypted"),
        ("sign", "sign", b"other", "wrong signature"),
        ("encrypt", "encrypt", b"other", "wrong password"),
    ],
)
def test_what_is_sealed_wrongly_is_refused(
    sent: str, expects: str, password: bytes, wrong: str
) -> None:
    with pytest.raises(PacketError, match=wrong):
        Opener(expects, {"ops": password}).read(packets(sent, POINTS)[0])
    with pytest.raises(PacketError):
        Opener(expects, {"else": b"secret"}).read(
            packets(expects if sent == "none" else sent, POINTS)[0]
        )


@pytest.mark.parametrize("security", SECURITIES)
def test_no_piece_of_a_packet_passes_for_one(security: str) -> None:
    (whole,) = packets(security, POINTS)
    opener = Opener(security, {"ops": b"secret"})
    for size in range(1, len(whole)):
        try:
            found = opener.read(whole[:size])
        except PacketError:
            continue
        # cut between two parts
        assert security == "none" and found == Opener().read(whole)[: len(found)]


@given(st.binary(max_size=200))
def test_any_bytes_are_a_packet_or_a_packet_error(data: bytes) -> None:
    for security in SECURITIES:
        with suppress(PacketError):
            Opener(security, {"ops": b"secret"}).read(data)


def test_putval_both_ways() -> None:
    line = putval.putval("n0", "dockthread", POINTS[1], 1_700_000_000.25, 10.0)
    assert line == (
        b'PUTVAL "n0/dockthread-answers/derive-seat-status.gross.served" interval=10 1700000000.250:12345678901\n'
    )
    (told,) = putval.parse(line.decode())
    assert (told.host, told.name, told.value) == (
        "n0", "dockthread-answers/derive-seat-status.gross.served", 12345678901)  # fmt: skip
    (note,) = putval.parse(putval.putnotif("n0", "dockthread", "n0 is draining", 4, 5.0).decode())
    assert (note.message, note.severity, note.seconds) == ("n0 is draining", 4, 5.0)


@pytest.mark.parametrize(
    "line", ["", "GETVAL x", "PUTVAL a/b 1:2", "PUTVAL a/b/c", "PUTVAL a/b/c 1", 'PUTVAL "a']
)
def test_a_command_that_cannot_be_read(line: str) -> None:
    with pytest.raises((ValueError, IndexError)):
        putval.parse(line)


def test_a_long_type_instance_keeps_its_difference() -> None:
    long = ("why", "c" * 60, "p" * 60)
    assert len(collectd.series_name((*long, "a")).type_instance) == 63
    assert collectd.series_name((*long, "a")) != collectd.series_name((*long, "b"))


# The queue and the sender


def report(at: float, size: int = 100) -> Report:
    return Report(at, (b"x" * size,))


@given(st.lists(st.integers(1, 400), max_size=60))
def test_a_queue_is_bounded_and_keeps_order_and_the_newest(sizes: list[int]) -> None:
    delivery_queue = DeliveryQueue(1000)
    for n, size in enumerate(sizes):
        delivery_queue.enqueue(report(float(n), size))
        waiting = list(delivery_queue._waiting)
        assert delivery_queue.size == sum(r.size for r in waiting) <= 1000
        assert [r.seconds for r in waiting] == sorted(r.seconds for r in waiting)
        assert waiting[-1].seconds == n
        assert len(waiting) + delivery_queue.dropped == n + 1


def test_the_older_half_becomes_coarse_before_anything_goes_whole() -> None:
    delivery_queue = DeliveryQueue(800)
    for n in range(9):
        delivery_queue.enqueue(report(float(n)))
    assert [r.seconds for r in delivery_queue._waiting] == [1, 2, 3, 4, 5, 6, 7, 8]
    for n in range(9, 12):
        delivery_queue.enqueue(report(float(n)))
    assert [r.seconds for r in delivery_queue._waiting] == [4, 5, 6, 7, 8, 9, 10, 11]


def test_what_a_broken_connection_may_have_swallowed_goes_once_more_in_order() -> None:
    delivery_queue = DeliveryQueue(10_000)
    for n in range(4):
        delivery_queue.enqueue(report(float(n)))
    for _ in range(3):
        first = delivery_queue.peek()
        assert first is not None
        delivery_queue.mark_delivered(first)
    delivery_queue.requeue_delivered()
    assert [r.seconds for r in delivery_queue._waiting] == [1, 2, 3]
    assert delivery_queue.size == 300


def drive(*events: Event) -> tuple[Sender, list[Action]]:
    sender = Sender(DeliveryQueue(10_000), random.Random(1))
    actions = [sender.enqueue(report(1.0))]
    for event in events:
        if event is Event.DELIVERED:
            first = sender.delivery_queue.peek()
            assert first is not None
            sender.delivery_queue.mark_delivered(first)
        actions.append(sender.handle(event))
    return sender, actions


def test_a_sender_connects_sends_and_rests() -> None:
    sender, actions = drive(Event.CONNECTED, Event.DELIVERED)
    assert [a.kind for a in actions] == [ActionKind.CONNECT, ActionKind.SEND, ActionKind.NOTHING]
    assert (sender.state, sender.sent) == (SenderState.IDLE, 1)


def test_pauses_grow_to_a_bound_with_jitter_and_end_with_a_success() -> None:
    failing = [Event.FAILED, Event.BACKOFF_ELAPSED] * 12
    sender, actions = drive(*failing)
    pauses = [a.backoff_ms for a in actions if a.kind is ActionKind.BACK_OFF]
    assert all(0.1 * 250 * 2**n <= p <= 250 * 2**n for n, p in enumerate(pauses[:6]))
    assert max(pauses) <= 15_000.0
    assert len(set(pauses)) == 12
    sender.handle(Event.CONNECTED)
    first = sender.delivery_queue.peek()
    assert first is not None
    sender.delivery_queue.mark_delivered(first)
    sender.handle(Event.DELIVERED)
    assert sender.failures == 0


@pytest.mark.parametrize(
    ("events", "kinds"),
    [
        ((), [ActionKind.NOTHING]),  # connecting: goes on, then sends, then closes
        ((Event.CONNECTED, Event.DELIVERED), [ActionKind.CLOSE]),
        ((Event.FAILED,), [ActionKind.CONNECT]),  # a pause is cut short
    ],
)
def test_leaving_sends_what_waits_and_then_ends(
    events: tuple[Event, ...], kinds: list[ActionKind]
) -> None:
    sender, _ = drive(*events)
    assert [sender.drain().kind] == kinds
    if sender.state is SenderState.CLOSING:
        assert sender.handle(Event.FAILED).kind is ActionKind.BACK_OFF, (
            "broken at the end: the last reports go once more"
        )
        assert len(sender.delivery_queue) == 1


def test_the_table_leads_out_of_every_phase_but_the_last() -> None:
    after = {phase for phase, _ in TRANSITIONS}
    assert after == set(SenderState) - {SenderState.ENDED}
    for phase in (
        SenderState.CONNECTING,
        SenderState.SENDING,
        SenderState.IDLE,
        SenderState.CLOSING,
    ):
        assert (phase, Event.FAILED) in TRANSITIONS


# Stamps


def test_a_lifes_zeros_fall_on_a_later_second_than_the_life_before() -> None:
    old = TimestampSource(100.2, 0.0)
    old.next(100.2, 0.0)
    last, second = old.next(107.9, 7.7)
    assert (last, second) == (107.9, 107)
    assert TimestampSource(108.1, 0.0).next(108.1, 0.0)[1] == 109
    assert TimestampSource(107.92, 0.0).next(107.92, 0.0)[1] > second
    assert old.next(109.98, 9.78)[1] == 110, (
        "a report on a full second is not stamped with the one before"
    )


@given(st.lists(st.tuples(st.floats(-5000, 5000), st.floats(0, 20)), max_size=30))
def test_no_step_of_the_clock_takes_a_point_back(steps: list[tuple[float, float]]) -> None:
    unix = monotonic = 1_000_000.0
    stamps, last = TimestampSource(unix, monotonic), (0.0, 0)
    for step, passed in steps:
        unix, monotonic = unix + step + passed, monotonic + passed
        stamp = stamps.next(unix, monotonic)
        assert stamp[0] > last[0]
        assert stamp[1] >= last[1]
        last = stamp


def test_after_a_step_back_stamps_go_on_slowly_until_the_clock_has_caught_up() -> None:
    stamps = TimestampSource(1000.0, 0.0)
    stamps.next(1000.0, 0.0)
    assert stamps.next(980.0, 10.0)[0] == pytest.approx(1005.0, abs=0.01)  # 30 s behind
    assert stamps.next(1040.0, 70.0)[0] == 1040.0


# Figures


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(1, 9)), max_size=300))
def test_the_busiest_are_bounded_and_wrong_by_no_more_than_they_say(
    asks: list[tuple[int, int]],
) -> None:
    true: dict[int, int] = {}
    heavy_hitters = HeavyHitters(8)
    for firm, units in asks:
        heavy_hitters.add_requested(0, firm, units)
        true[firm] = true.get(firm, 0) + units
    assert len(heavy_hitters.usage) <= 8
    for (_, firm), usage in heavy_hitters.usage.items():
        assert true[firm] <= usage.requested <= true[firm] + usage.error
    for firm, units in true.items():
        if units > sum(true.values()) / 8:
            assert (0, firm) in heavy_hitters.usage


def test_times_are_right_to_a_hundredth_and_steps_hold_over_intervals() -> None:
    histogram = LatencyHistogram()
    for n in range(1, 1001):
        histogram.add(float(n))
    assert histogram.quantile(0.5) == pytest.approx(500, rel=0.011)
    assert histogram.quantile(0.99) == pytest.approx(990, rel=0.011)
    histogram.begin_interval()
    assert (histogram.quantile(0.5), histogram.longest) == (0.0, 0.0)
    assert histogram.buckets[:3] == [5, 5, 10], "up to 5, 10 and 20 ms, over the life"


# The stand-in's ledger


def test_totals_add_up_lives_and_take_a_repeated_point_once() -> None:
    ledger = Ledger()
    a = "p.n0.answers.c.p.served"

    def say(life: int, seconds: float, value: float) -> None:
        ledger.add_graphite(
            "plaintext",
            [ReceivedPoint("p.n0.life", seconds, life), ReceivedPoint(a, seconds, value)],
        )

    say(1000, 1, 0)
    say(1000, 2, 5)
    say(1000, 3, 9)
    say(1000, 2, 5)  # sent again
    say(4000, 4, 0)
    say(4000, 5, 2)
    ledger.add_graphite(
        "plaintext",
        [ReceivedPoint("p.n1.life", 5, 7), ReceivedPoint("p.n1.answers.c.p.served", 5, 3)],
    )
    assert {t.series: (t.value, t.lives) for t in ledger.totals("answers")} == {
        a: (11.0, 2),
        "p.n1.answers.c.p.served": (3.0, 1),
    }
    assert ledger.steps_back("plaintext", a) == 0
    say(4000, 6, 1)
    assert ledger.steps_back("plaintext", a) == 1


@pytest.mark.parametrize("text", ["", "vanish", "vanish@1s", "sulk@1s+1s", "vanish@1+1s"])
def test_no_span(text: str) -> None:
    with pytest.raises(ValueError):
        Span.parse(text)


def test_every_outcome_of_a_call_has_a_word_of_its_own() -> None:
    assert len({path_part(o.value.replace(" ", "-")) for o in Outcome}) == len(Outcome)
