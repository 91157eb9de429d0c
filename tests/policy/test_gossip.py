"""Gossip messages: encoding, invalid messages, and reports of failing backends."""

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
from tests.policy.harness import (
    RATE_PLAN,
    SAFE,
    UNSAFE,
    IngressHarness,
    customer_gossip,
    exchange_gossip,
    make_ingresses,
)


def test_gossip_about_a_backend_counts_only_without_recent_responses_here() -> None:
    ingress = IngressHarness()
    request = ingress.send_request(UNSAFE)
    backend = ingress.engine.backends.by_number[ingress.attempts[request][0].backend]
    ingress.end_attempt(request, 0, Outcome.OK)
    said = GossipReceived(1, gossip_codec.encode_message(1, [(backend.code, 0.8)], []))
    ingress.handle(said)
    assert backend.failure_fraction == 0.0
    ingress.run_until(ingress.now + gossip.LOCAL_EVIDENCE_TIME + 0.1)
    ingress.handle(said)
    assert backend.failure_fraction == pytest.approx(0.8, abs=0.01)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(-1, 3), st.binary(max_size=80))
def test_garbled_gossip_is_ignored(peer: int, data: bytes) -> None:
    ingress = IngressHarness()
    ingress.handle(GossipReceived(peer, data))
    assert ingress.is_admitted(ingress.send_request(SAFE, RATE_PLAN))


@pytest.mark.parametrize("bad", [math.inf, -math.inf, math.nan])
def test_gossip_with_absurd_numbers_is_ignored(bad: float) -> None:
    ingress = IngressHarness()
    for form in (gossip_codec.NARROW_REPORT, gossip_codec.WIDE_REPORT):
        head = gossip_codec.HEADER.pack(
            gossip_codec.VERSION, 1, 0, form is gossip_codec.WIDE_REPORT
        )
        ingress.handle(GossipReceived(1, head + form.pack(7, RATE_PLAN, 0, 9, 9, bad)))
        ingress.handle(GossipReceived(1, head + form.pack(7, 200, 0, 9, 9, 1.0)))
    ingress.handle(GossipReceived(5, customer_gossip(7, RATE_PLAN, 9.0, 9.0, 0.0)))
    assert 7 not in ingress.engine.customers.by_number


@pytest.mark.parametrize(("widest", "most"), [((1 << 32) - 1, 21), (1 << 32, 15)])
def test_narrow_customer_ids_leave_room_for_more_reports(widest: int, most: int) -> None:
    keys = [7, widest]
    reports = [gossip_codec.CustomerReport(key, RATE_PLAN, 1, 2, 3, 4.0) for key in keys * 10]
    assert gossip_codec.report_capacity(0, keys) == most
    told = gossip_codec.decode_message(
        data := gossip_codec.encode_message(1, [], reports[:most]), 3
    )
    assert (
        told is not None
        and told.reports == reports[:most]
        and len(data) <= gossip_codec.MAX_MESSAGE_BYTES
    )
    assert gossip_codec.decode_message(data[:-1], 3) is None


def test_largest_customer_id_is_carried_by_gossip() -> None:
    key = (1 << 64) - 1
    ingresses = make_ingresses(2)
    for ingress in ingresses:
        for _ in range(4):
            ingress.send_request(SAFE, RATE_PLAN, customer=key, spread=2)
        ingress.run_until(ingress.now + 1)
    exchange_gossip(ingresses)
    assert any(ingress.engine.customers.by_number[key].peer_sums for ingress in ingresses)


def test_suspected_backend_in_gossip_is_believed() -> None:
    ingress = IngressHarness()
    backend = ingress.engine.backends.by_number[1001]
    ingress.handle(GossipReceived(1, gossip_codec.encode_message(1, [(backend.code, 0.8)], [])))
    assert backend.failure_fraction == pytest.approx(0.8, abs=0.01)
