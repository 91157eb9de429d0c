"""Backends that fail or stay silent get fewer requests, and recover."""

from __future__ import annotations

from dataclasses import replace

from dockthread.policy import (
    Outcome,
)
from tests.policy.harness import BASE, RATE, SAFE, UNSAFE, Drive, entry, silence


def test_silent_worker_is_shunned_and_its_safe_requests_copied() -> None:
    drive = Drive(workers=5)
    silence(drive, 1000, 60)
    stuck = [r for r, sends in drive.sent.items() if sends[0].backend == 1000]
    assert any(len(drive.sent[r]) > 1 for r in stuck)
    before = len(stuck)
    silence(drive, 1000, 50)
    after = sum(sends[0].backend == 1000 for sends in drive.sent.values())
    assert after - before < 50 / 5 / 2  # less than half of an even part


def test_an_answer_that_takes_longer_than_most_says_nothing_against_its_worker() -> None:
    """Usual answers take 0.2 s, give or take 0.1 s: one in fifty takes four times that longer, one
    in 2,000 nine.
    """
    drive = Drive(replace(BASE, may_hedge=False))
    request = drive.ask(UNSAFE)
    w = drive.gateway.backends.by_number[drive.sent[request][0].backend]
    drive.run(drive.now + 0.2 + 8 * 0.1)
    assert w.failed == 0.0
    drive.run(drive.now + 0.2)
    assert w.failed > 0.4, "silent by now"


def test_failing_worker_is_shunned_and_comes_back() -> None:
    drive = Drive(workers=5)

    def sends_to_bad(outcome: Outcome, count: int) -> int:
        hits = 0
        for _ in range(count):
            request = drive.ask(SAFE)
            bad = drive.sent[request][0].backend == 1000
            hits += bad
            drive.end(request, 0, outcome if bad else Outcome.OK)
            for number in range(1, len(drive.sent[request])):
                drive.end(request, number, Outcome.OK)
            drive.run(drive.now + 0.1)
        return hits

    assert sends_to_bad(Outcome.ERROR, 200) < 30
    sends_to_bad(Outcome.OK, 150)
    assert sends_to_bad(Outcome.OK, 200) > 20


def test_full_worker_is_busy_and_not_shunned() -> None:
    drive = Drive(workers=3)
    for _ in range(10):
        drive.gateway.delay.smoothed_latency = 0.0  # not pressed
        drive.end(drive.ask(SAFE), 0, Outcome.AT_CAPACITY)
    assert all(w.failed == 0 for w in drive.gateway.backends.by_number.values())


def test_full_for_one_plan_says_nothing_of_others() -> None:
    drive = Drive(workers=1)
    drive.end(drive.ask(SAFE, RATE), 0, Outcome.AT_CAPACITY)
    drive.listed(entry(0), entry(1))
    w = drive.gateway.backends.by_number[1000]
    assert w.at_capacity_until.keys() == {RATE}


def test_a_late_attempt_is_still_out_at_its_worker() -> None:
    drive = Drive(workers=1)
    drive.ask(UNSAFE)
    worker = drive.gateway.backends.by_number[1000]
    drive.run(drive.now + 3)
    assert (worker.in_flight, drive.gateway.delay.in_flight) == (1, 0)
    drive.end(1, 0, Outcome.OK)
    assert (worker.in_flight, drive.gateway.delay.in_flight) == (0, 0)
