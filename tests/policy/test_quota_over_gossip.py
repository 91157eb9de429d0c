"""A quota that several ingresses share by gossip, with and without the counter."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from dockthread.policy import (
    Action,
    AddToCounter,
    CounterReplied,
    GossipReceived,
    Outcome,
    RequestArrived,
)
from tests.policy.harness import (
    PLANS,
    RATE_PLAN,
    SETTINGS,
    UNSAFE,
    IngressHarness,
    admitted_rate_of_all,
    customer_gossip,
    exchange_gossip,
    make_ingresses,
)


@pytest.mark.parametrize("count", [2, 40])
def test_ingresses_together_admit_the_quota(count: int) -> None:
    assert admitted_rate_of_all(make_ingresses(count), 60, 8.0) == pytest.approx(2.0, rel=0.2)


def test_later_gossip_makes_up_for_lost_messages() -> None:
    assert admitted_rate_of_all(make_ingresses(10), 60, 8.0, random.Random(3)) == pytest.approx(
        2.0, rel=0.25
    )


def test_rare_requests_of_a_customer_within_its_quota_are_admitted_at_every_ingress() -> None:
    assert admitted_rate_of_all(make_ingresses(40), 40, 1.0) == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize(
    "unavailable", [frozenset(), frozenset({"counter"}), frozenset({"messages"})]
)
def test_usage_is_counted_once_with_gossip_and_counter_and_either_enforces_the_quota_alone(
    unavailable: frozenset[str],
) -> None:
    """A customer sends four times its quota to three ingresses.

    Gossip and the counter report the same usage. If it were subtracted twice, the customer would
    get half its quota, which once happened when both were enabled.
    """
    ingresses = make_ingresses(3, may_use_counter=True)
    rng = random.Random(8)
    start = ingresses[0].now
    admitted = 0
    calls = 0
    counter_totals: dict[int, float] = {}

    def answer_counter_calls(ingress: IngressHarness, actions: list[Action]) -> None:
        nonlocal calls
        for action in actions:
            if isinstance(action, AddToCounter):
                calls += 1
                if "counter" in unavailable:
                    answer_counter_calls(
                        ingress, ingress.handle(CounterReplied(action.name, Outcome.TIMEOUT))
                    )
                else:
                    counter_totals[action.name] = (
                        counter_totals.get(action.name, 0.0) + action.amount
                    )
                    answer_counter_calls(
                        ingress,
                        ingress.handle(
                            CounterReplied(action.name, Outcome.OK, counter_totals[action.name])
                        ),
                    )

    while ingresses[0].now < start + 90:
        for ingress in ingresses:
            ingress.run_until(ingress.now + 1 / 8)
        if "messages" in unavailable:
            for ingress in ingresses:
                ingress.sent_gossip.clear()
        else:
            exchange_gossip(ingresses, rng)  # one message in five is lost
        ingress = rng.choice(ingresses)
        ingress.last_request += 1
        answer_counter_calls(
            ingress,
            ingress.handle(
                RequestArrived(ingress.last_request, UNSAFE, RATE_PLAN, 7, 4.0, 1.0, 3, 0)
            ),
        )
        if ingress.is_admitted(ingress.last_request):
            admitted += 1
            ingress.end_attempt(ingress.last_request, 0, Outcome.OK)
    assert admitted / 90 == pytest.approx(2.0, rel=0.2)
    assert calls < 10 if "messages" not in unavailable else calls > 50, (
        "the counter must be called only if gossip fails"
    )


def test_usage_is_not_fully_known_while_a_peer_is_silent() -> None:
    ingresses = make_ingresses(3)
    customer = ingresses[0].engine.customers.get(11, RATE_PLAN)
    customer.spread = 3

    def run_with_senders(until: float, senders: list[IngressHarness]) -> None:
        while ingresses[0].now < until:
            for ingress in ingresses:
                ingress.run_until(ingress.now + 0.1)
            for ingress in ingresses:
                if ingress not in senders:
                    ingress.sent_gossip.clear()
            exchange_gossip(ingresses)

    run_with_senders(ingresses[0].now + 5, ingresses)
    assert ingresses[0].engine.gossip.knows_peer_usage(customer), (
        "peers without anything to report send heartbeats"
    )
    run_with_senders(ingresses[0].now + 3, ingresses[:2])
    assert not ingresses[0].engine.gossip.knows_peer_usage(customer)


def test_a_restarted_ingress_learns_which_quotas_are_used_up() -> None:
    ingresses = make_ingresses(8)
    admitted_rate_of_all(ingresses, 20, 8.0)
    number = 3
    restarted = IngressHarness(replace(SETTINGS, ingress_count=8, ingress_number=number), seed=99)
    restarted.now = ingresses[0].now
    ingresses[number] = restarted
    for _ in range(10):
        for ingress in ingresses:
            ingress.run_until(ingress.now + 0.05)
        exchange_gossip(ingresses)
    assert restarted.engine.customers.by_number[7].quota.level < 0.75 * PLANS[RATE_PLAN].burst


def test_usage_in_gossip_is_taken_from_the_token_bucket_once() -> None:
    ingress = IngressHarness()
    for units in (1.0, 2.0, 2.0):
        ingress.handle(GossipReceived(1, customer_gossip(7, RATE_PLAN, units, units, 8.0 - units)))
    assert ingress.engine.customers.by_number[7].quota.level == pytest.approx(6.0)
    # The peer has restarted, so its sums begin at 0 again.
    ingress.handle(GossipReceived(1, customer_gossip(7, RATE_PLAN, 1.5, 1.5, 8.0, incarnation=2)))
    assert ingress.engine.customers.by_number[7].quota.level == pytest.approx(4.5)
