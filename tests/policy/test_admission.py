"""Admission: quotas, priority under overload, the ceiling, and the cap on attempts in flight."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from dockthread.policy import (
    AttemptEnded,
    GossipReceived,
    Outcome,
    gossip_codec,
)
from tests.policy.harness import BASE, CEILING, RATE, SAFE, SHARED, UNSAFE, Drive, heavy, report


def test_flood_is_held_to_the_quota() -> None:
    assert heavy(Drive(), 200, 8.0) == pytest.approx(2.0, rel=0.15)


def test_unheard_peers_leave_an_even_split() -> None:
    drive = Drive(replace(BASE, may_gossip=False))
    assert heavy(drive, 300, 8.0, spread=2) == pytest.approx(1.0, rel=0.25)


def test_within_the_quota_all_pass() -> None:
    drive = Drive()
    assert heavy(drive, 100, 1.0) == pytest.approx(1.0, abs=0.02)


def test_dear_class_gets_more_of_a_short_quota() -> None:
    drive, passed = Drive(), {SAFE: 0, UNSAFE: 0}
    for i in range(2000):
        drive.run(drive.now + 0.125)
        cls = (SAFE, UNSAFE)[i % 2]
        request = drive.ask(cls, RATE)
        if drive.let_in(request):
            passed[cls] += 1
            drive.end(request, 0, Outcome.OK)
    assert passed[UNSAFE] > 1.5 * passed[SAFE]


def test_settled_units_come_off_the_store() -> None:
    drive = Drive(replace(BASE, settles_units=True))
    request = drive.ask(UNSAFE, RATE, units=1.0)
    drive.end(request, 0, Outcome.OK, true_units=5.0)
    assert drive.gateway.customers.by_number[7].quota.level == pytest.approx(3.0)


def test_cap_on_attempts_out_counts_own_and_told() -> None:
    drive = Drive()
    assert [drive.let_in(drive.ask(SAFE, 3)) for _ in range(3)] == [True, True, False]


def test_ceiling_store_starts_empty_and_is_never_passed() -> None:
    drive = Drive(replace(BASE, ingress_count=1))
    assert not drive.let_in(drive.ask(SAFE, CEILING, units=2.0))
    start, passed = drive.now, 0.0
    for _ in range(400):
        drive.run(drive.now + 0.05)
        if drive.let_in(drive.ask(SAFE, CEILING, units=2.0, customer=drive.next % 1 + 9)):
            passed += 2
        assert passed <= 4.0 * (drive.now - start)


@pytest.mark.parametrize("all_ill", [False, True])
def test_late_answers_of_few_ill_workers_refuse_nothing_that_the_others_have_room_for(
    all_ill: bool,
) -> None:
    drive = Drive()
    requests = [drive.ask(SAFE) for _ in range(6)]
    ill = {drive.sent[requests[0]][0].backend}
    for number, w in drive.gateway.backends.by_number.items():
        w.failed = 0.9 if all_ill or number in ill else 0.0
    drive.run(drive.now + 0.3)
    for request in requests:
        if drive.sent[request][0].backend in ill:
            drive.end(request, 0, Outcome.OK, took=3.0)
    refuses = drive.gateway.delay.is_pressed
    assert refuses is all_ill, "where all are ill, it is a jam"


def test_spread_and_first_gateway_are_read_modulo_the_gateways() -> None:
    drive = Drive()
    assert drive.let_in(drive.ask(SAFE, RATE, spread=99, first=77))
    assert drive.let_in(drive.ask(SAFE, RATE, spread=0))
    drive.run(drive.now + 1)
    assert all(tell.peer == 1 and len(tell.data) <= gossip_codec.MOST_BYTES for tell in drive.told)


def test_lost_answers_do_not_press() -> None:
    drive = Drive(workers=4)
    for _ in range(60):
        drive.end(drive.ask(UNSAFE), 0, Outcome.OK)
        drive.run(drive.now + 0.05)
    for i in range(70):  # one in three never comes back
        request = drive.ask(UNSAFE)
        if i % 3 and drive.let_in(request):
            drive.end(request, 0, Outcome.OK)
        drive.run(drive.now + 0.05)
    assert drive.let_in(drive.ask(SAFE))


def test_a_jam_without_answers_refuses() -> None:
    drive = Drive(workers=6)
    for _ in range(40):  # every worker turns everything away; nothing is served that could be slow
        request = drive.ask(UNSAFE)
        for number in range(len(drive.sent.get(request, []))):
            drive.end(request, number, Outcome.AT_CAPACITY)
        drive.run(drive.now + 0.05)
    before = sum(map(len, drive.sent.values()))
    for _ in range(10):
        drive.ask(UNSAFE)
    assert sum(map(len, drive.sent.values())) == before


def test_when_pressed_cheap_requests_leave_first() -> None:
    drive = Drive(workers=4)
    for _ in range(60):
        drive.end(drive.ask(SAFE), 0, Outcome.OK)
        drive.end(drive.ask(UNSAFE), 0, Outcome.OK)
    drive.gateway.delay.smoothed_latency = 0.4  # aims are 1 s
    assert not drive.let_in(drive.ask(SAFE))
    assert drive.let_in(drive.ask(UNSAFE))


def test_told_attempts_out_count_against_the_cap() -> None:
    drive = Drive()
    drive.give(GossipReceived(1, report(7, 3, 2.0, 2.0, 0.0, out=2)))
    assert not drive.let_in(drive.ask(SAFE, 3, customer=7, spread=2))
    drive.give(GossipReceived(1, report(7, 3, 2.0, 2.0, 0.0, out=0)))
    assert drive.let_in(drive.ask(SAFE, 3, customer=7, spread=2))


def test_slow_answers_are_forgotten_when_none_come() -> None:
    drive = Drive(workers=2)
    drive.gateway.delay.smoothed_latency = 4.0
    assert not drive.let_in(drive.ask(UNSAFE))
    drive.run(drive.now + 4.0)
    assert drive.let_in(drive.ask(UNSAFE))


def test_a_start_does_not_fill_the_stores() -> None:
    drive = Drive()
    drive.give(GossipReceived(1, report(7, RATE, 500.0, 400.0, 1.0)))
    assert drive.gateway.customers.get(7, RATE).quota.level <= 1.0


def test_phi_follows_the_part_let_in_here_by_the_meter_where_the_counter_is_silent() -> None:
    def passed(used: float | None) -> int:
        drive, many = Drive(replace(SHARED, may_use_counter=True), seed=5), 0
        drive.gateway.counter.circuit_open_until = math.inf
        for _ in range(400):
            drive.run(drive.now + 0.6)
            if drive.let_in(request := drive.ask(plan=RATE, spread=2)):
                many += 1
                send = drive.sent[request][0]
                drive.give(AttemptEnded(request, 0, send.backend, Outcome.OK, True, 0.1, 0.0, used))
        return many

    # 1.7 units a second asked here alone, of a quota of 2: an even split would let in one a second.
    assert passed(0.85) > 380 > 300 > passed(None)
