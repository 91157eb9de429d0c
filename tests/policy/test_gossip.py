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


def test_gossip_about_a_backend_is_ignored_after_a_recent_local_response() -> None:
    ingress = IngressHarness()
    request = ingress.send_request(UNSAFE)
    backend = ingress.engine.backends.by_number[ingress.attempts[request][0].backend]
    ingress.end_attempt(request, 0, Outcome.OK)
    event = GossipReceived(1, gossip_codec.encode_message(1, [(backend.code, 0.8)], []))
    ingress.handle(event)
    assert backend.failure_fraction == 0.0
    ingress.run_until(ingress.now + gossip.LOCAL_EVIDENCE_TIME + 0.1)
    ingress.handle(event)
    assert backend.failure_fraction == pytest.approx(0.8, abs=0.01)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(-1, 3), st.binary(max_size=80))
def test_malformed_gossip_is_ignored(peer: int, data: bytes) -> None:
    ingress = IngressHarness()
    ingress.handle(GossipReceived(peer, data))
    assert ingress.is_admitted(ingress.send_request(SAFE, RATE_PLAN))


@pytest.mark.parametrize("level", [math.inf, -math.inf, math.nan])
def test_gossip_with_out_of_range_values_is_ignored(level: float) -> None:
    ingress = IngressHarness()
    for report_struct in (gossip_codec.NARROW_REPORT, gossip_codec.WIDE_REPORT):
        header = gossip_codec.HEADER.pack(
            gossip_codec.VERSION, 1, 0, report_struct is gossip_codec.WIDE_REPORT
        )
        ingress.handle(GossipReceived(1, header + report_struct.pack(7, RATE_PLAN, 0, 9, 9, level)))
        ingress.handle(GossipReceived(1, header + report_struct.pack(7, 200, 0, 9, 9, 1.0)))
    ingress.handle(GossipReceived(5, customer_gossip(7, RATE_PLAN, 9.0, 9.0, 0.0)))
    assert 7 not in ingress.engine.customers.by_number


@pytest.mark.parametrize(("widest_customer", "max_reports"), [((1 << 32) - 1, 21), (1 << 32, 15)])
def test_message_fits_more_reports_of_customers_with_small_numbers(
    widest_customer: int, max_reports: int
) -> None:
    customer_numbers = [7, widest_customer]
    reports = [
        gossip_codec.CustomerReport(customer_number, RATE_PLAN, 1, 2, 3, 4.0)
        for customer_number in customer_numbers * 10
    ]
    assert gossip_codec.report_capacity(0, customer_numbers) == max_reports
    message = gossip_codec.decode_message(
        data := gossip_codec.encode_message(1, [], reports[:max_reports]), 3
    )
    assert (
        message is not None
        and message.reports == reports[:max_reports]
        and len(data) <= gossip_codec.MAX_MESSAGE_BYTES
    )
    assert gossip_codec.decode_message(data[:-1], 3) is None


def test_gossip_can_report_the_largest_customer_number() -> None:
    customer_number = (1 << 64) - 1
    ingresses = make_ingresses(2)
    for ingress in ingresses:
        for _ in range(4):
            ingress.send_request(SAFE, RATE_PLAN, customer=customer_number, spread=2)
        ingress.run_until(ingress.now + 1)
    exchange_gossip(ingresses)
    assert any(
        ingress.engine.customers.by_number[customer_number].peer_sums for ingress in ingresses
    )


def test_failure_fraction_of_a_suspect_backend_is_taken_from_gossip() -> None:
    ingress = IngressHarness()
    backend = ingress.engine.backends.by_number[1001]
    ingress.handle(GossipReceived(1, gossip_codec.encode_message(1, [(backend.code, 0.8)], [])))
    assert backend.failure_fraction == pytest.approx(0.8, abs=0.01)
