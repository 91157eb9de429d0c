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
    BASE,
    PLANS,
    RATE,
    UNSAFE,
    Drive,
    exchange,
    fleet,
    report,
    spread_out,
)


@pytest.mark.parametrize("count", [2, 40])
def test_gateways_together_let_in_the_quota(count: int) -> None:
    assert spread_out(fleet(count), 60, 8.0) == pytest.approx(2.0, rel=0.2)


def test_lost_messages_heal() -> None:
    assert spread_out(fleet(10), 60, 8.0, random.Random(3)) == pytest.approx(2.0, rel=0.25)


def test_lone_requests_of_an_ordinary_customer_pass_at_every_gateway() -> None:
    assert spread_out(fleet(40), 40, 1.0) == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("down", [frozenset(), frozenset({"counter"}), frozenset({"messages"})])
def test_with_messages_and_counter_use_is_counted_once_and_held_by_either_alone(
    down: frozenset[str],
) -> None:
    """Three gateways under one clock, of a customer that asks four times its quota: what each
    source tells is the same use, and taken off twice it would halve the quota (so it was where both
    were allowed).
    """
    drives, total, rng = fleet(3, may_use_counter=True), 0.0, random.Random(8)
    passed, calls, start, names = 0, 0, drives[0].now, dict[int, float]()

    def answer(drive: Drive, actions: list[Action]) -> None:
        nonlocal calls, total
        for action in actions:
            if isinstance(action, AddToCounter):
                calls += 1
                if "counter" in down:
                    answer(drive, drive.give(CounterReplied(action.name, Outcome.TIMEOUT)))
                else:
                    names[action.name] = names.get(action.name, 0.0) + action.amount
                    answer(
                        drive,
                        drive.give(CounterReplied(action.name, Outcome.OK, names[action.name])),
                    )

    while drives[0].now < start + 90:
        for drive in drives:
            drive.run(drive.now + 1 / 8)
        if "messages" in down:
            for drive in drives:
                drive.told.clear()
        else:
            exchange(drives, rng)  # one in five is lost
        drive = rng.choice(drives)
        drive.next += 1
        answer(drive, drive.give(RequestArrived(drive.next, UNSAFE, RATE, 7, 4.0, 1.0, 3, 0)))
        if drive.let_in(drive.next):
            passed += 1
            drive.end(drive.next, 0, Outcome.OK)
    assert passed / 90 == pytest.approx(2.0, rel=0.2)
    assert calls < 10 if "messages" not in down else calls > 50, (
        "the counter is asked where messages fail only"
    )


def test_a_silent_gateway_is_no_longer_taken_to_tell_all() -> None:
    drives = fleet(3)
    c = drives[0].gateway.customers.get(11, RATE)
    c.spread = 3

    def pass_time(until: float, heard: list[Drive]) -> None:
        while drives[0].now < until:
            for drive in drives:
                drive.run(drive.now + 0.1)
            for drive in drives:
                if drive not in heard:
                    drive.told.clear()
            exchange(drives)

    pass_time(drives[0].now + 5, drives)
    assert drives[0].gateway.gossip.knows_peers_use(c), "with nothing to tell, that is told"
    pass_time(drives[0].now + 3, drives[:2])
    assert not drives[0].gateway.gossip.knows_peers_use(c)


def test_who_starts_again_is_told_whose_quota_is_used_up() -> None:
    drives = fleet(8)
    spread_out(drives, 20, 8.0)
    new = 3
    again = Drive(replace(BASE, ingress_count=8, ingress_number=new), seed=99)
    again.now = drives[0].now
    drives[new] = again
    for _ in range(10):
        for drive in drives:
            drive.run(drive.now + 0.05)
        exchange(drives)
    assert again.gateway.customers.by_number[7].quota.level < 0.75 * PLANS[RATE].burst


def test_spending_told_is_taken_from_the_store_once() -> None:
    drive = Drive()
    for arrived in (1.0, 2.0, 2.0):
        drive.give(GossipReceived(1, report(7, RATE, arrived, arrived, 8.0 - arrived)))
    assert drive.gateway.customers.by_number[7].quota.level == pytest.approx(6.0)
    drive.give(GossipReceived(1, report(7, RATE, 1.5, 1.5, 8.0, life=2)))  # it started again
    assert drive.gateway.customers.by_number[7].quota.level == pytest.approx(4.5)
