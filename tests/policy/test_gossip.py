"""Gossip messages: what is read, ignored and believed of a peer."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dockthread.policy import (
    GossipReceived,
    Outcome,
    gossip,
    gossip_codec,
)
from tests.policy.harness import RATE, SAFE, UNSAFE, Drive, exchange, fleet, report


def test_what_others_say_of_a_worker_counts_only_where_it_is_silent_here() -> None:
    drive = Drive()
    request = drive.ask(UNSAFE)
    w = drive.gateway.backends.by_number[drive.sent[request][0].backend]
    drive.end(request, 0, Outcome.OK)
    said = GossipReceived(1, gossip_codec.pack(1, [(w.code, 0.8)], []))
    drive.give(said)
    assert w.failed == 0.0
    drive.run(drive.now + gossip.OWN_EVIDENCE_TIME + 0.1)
    drive.give(said)
    assert w.failed == pytest.approx(0.8, abs=0.01)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(-1, 3), st.binary(max_size=80))
def test_garbled_messages_do_no_harm(peer: int, data: bytes) -> None:
    drive = Drive()
    drive.give(GossipReceived(peer, data))
    assert drive.let_in(drive.ask(SAFE, RATE))


@pytest.mark.parametrize("bad", [math.inf, -math.inf, math.nan])
def test_absurd_figures_change_nothing(bad: float) -> None:
    drive = Drive()
    for form in (gossip_codec.NARROW, gossip_codec.WIDE):
        head = gossip_codec.HEAD.pack(gossip_codec.VERSION, 1, 0, form is gossip_codec.WIDE)
        drive.give(GossipReceived(1, head + form.pack(7, RATE, 0, 9, 9, bad)))
        drive.give(GossipReceived(1, head + form.pack(7, 200, 0, 9, 9, 1.0)))
    drive.give(GossipReceived(5, report(7, RATE, 9.0, 9.0, 0.0)))
    assert 7 not in drive.gateway.customers.by_number


@pytest.mark.parametrize(("widest", "most"), [((1 << 32) - 1, 21), (1 << 32, 15)])
def test_short_customer_ids_leave_room_for_more_reports(widest: int, most: int) -> None:
    keys = [7, widest]
    reports = [gossip_codec.Report(key, RATE, 1, 2, 3, 4.0) for key in keys * 10]
    assert gossip_codec.room(0, keys) == most
    told = gossip_codec.unpack(data := gossip_codec.pack(1, [], reports[:most]), 3)
    assert (
        told is not None and told.reports == reports[:most] and len(data) <= gossip_codec.MOST_BYTES
    )
    assert gossip_codec.unpack(data[:-1], 3) is None


def test_largest_customer_id_travels() -> None:
    key = (1 << 64) - 1
    drives = fleet(2)
    for drive in drives:
        for _ in range(4):
            drive.ask(SAFE, RATE, customer=key, spread=2)
        drive.run(drive.now + 1)
    exchange(drives)
    assert any(drive.gateway.customers.by_number[key].peer_sums for drive in drives)


def test_suspicion_is_told() -> None:
    drive = Drive()
    w = drive.gateway.backends.by_number[1001]
    drive.give(GossipReceived(1, gossip_codec.pack(1, [(w.code, 0.8)], [])))
    assert w.failed == pytest.approx(0.8, abs=0.01)
