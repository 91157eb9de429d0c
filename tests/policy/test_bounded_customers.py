"""The number of customers whose state is kept is bounded, whoever sends new names."""

from __future__ import annotations

from dataclasses import replace

from dockthread.policy import GossipReceived, Outcome
from tests.policy.harness import (
    OPEN_PLAN,
    RATE_PLAN,
    SAFE,
    SETTINGS,
    IngressHarness,
    customer_gossip,
    exchange_gossip,
    make_ingresses,
)

MAX_CUSTOMERS = 50
KNOWN_CUSTOMER = 7


def test_a_flood_of_new_names_takes_no_memory_and_no_service_from_known_customers() -> None:
    ingress = IngressHarness(replace(SETTINGS, max_customers=MAX_CUSTOMERS))
    for number in range(10_000):
        ingress.run_until(ingress.now + 0.001)
        name = ingress.send_request(SAFE, RATE_PLAN, customer=1_000 + number)
        if ingress.is_admitted(name):
            ingress.end_attempt(name, 0, Outcome.OK)
        assert len(ingress.engine.customers.by_number) <= MAX_CUSTOMERS
        if number % 500 == 0:
            request = ingress.send_request(SAFE, OPEN_PLAN, customer=KNOWN_CUSTOMER)
            assert ingress.is_admitted(request), number
            ingress.end_attempt(request, 0, Outcome.OK)


def test_a_customer_beyond_its_quota_is_not_dropped_for_a_new_name() -> None:
    ingress = IngressHarness(replace(SETTINGS, max_customers=1, may_gossip=False))
    for _ in range(100):
        request = ingress.send_request(SAFE, RATE_PLAN, customer=KNOWN_CUSTOMER)
        if ingress.is_admitted(request):
            ingress.end_attempt(request, 0, Outcome.OK)
    ingress.run_until(ingress.now + 2.5)
    assert ingress.answers[ingress.send_request(SAFE, RATE_PLAN, customer=1)] == ["refused"]
    assert list(ingress.engine.customers.by_number) == [KNOWN_CUSTOMER]


def test_names_from_peers_are_bounded_and_unsent_reports_of_dropped_customers_are_skipped() -> None:
    first, second = ingresses = make_ingresses(2, max_customers=MAX_CUSTOMERS)
    for number in range(4 * MAX_CUSTOMERS):
        second.handle(GossipReceived(0, customer_gossip(1_000 + number, RATE_PLAN, 1.0, 1.0, 7.0)))
    assert len(second.engine.customers.by_number) <= MAX_CUSTOMERS
    for number in range(4 * MAX_CUSTOMERS):
        first.send_request(SAFE, OPEN_PLAN, customer=number, spread=2)
        first.run_until(first.now + 0.1)
        exchange_gossip(ingresses)
    assert len(first.engine.customers.by_number) <= MAX_CUSTOMERS
