"""The policy engine as a whole: settings, determinism, expiry, and polling for endpoints."""

from __future__ import annotations

import math
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

from dockthread.policy import (
    Action,
    EndpointListKind,
    EndpointsListed,
    Outcome,
    Plan,
    PollEndpoints,
    RequestArrived,
    TimerFired,
)
from tests.policy.harness import BASE, RATE, SHARED, UNSAFE, Drive, entry


@pytest.mark.parametrize("change", [{"ingress_count": 1}, {"may_gossip": False}, {"plans": ()}])
def test_ordinary_settings(change: dict[str, object]) -> None:
    s = replace(BASE, **{"plans": (Plan(),), **change})  # type: ignore[arg-type]
    drive = Drive(s)
    drive.run(drive.now + 1)
    assert not drive.told or s.ingress_count > 1
    if s.plans:
        assert drive.let_in(drive.ask())


def test_same_events_same_actions_and_nothing_shared() -> None:
    def play() -> list[list[Action]]:
        drive = Drive(seed=3)
        return [drive.give(RequestArrived(r, r % 3, r % 4, r % 5, 4.0)) for r in range(1, 80)]

    assert play() == play()


def test_files_named_as_policy_exist_and_stay_short() -> None:
    root = Path(__file__).parents[2]
    named = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
    assert len(named) == len(set(named))
    for file in named:
        lines = (root / file).read_text().splitlines()
        assert sum(bool(line.strip()) for line in lines) <= 400, file
        assert max(map(len, lines)) <= 100, file


def test_list_that_failed_is_asked_for_again() -> None:
    drive = Drive(replace(BASE, must_poll_endpoints=True))
    drive.give(EndpointsListed(EndpointListKind.FAILED, ()))
    asked = False
    while drive.timers and not asked and drive.now < 110:
        due = min(drive.timers)
        drive.timers.remove(due)
        drive.now = due[0]
        asked = PollEndpoints() in drive.give(TimerFired(due[1]))
    assert asked
    assert drive.let_in(drive.ask())


def test_who_is_gone_is_forgotten_and_who_comes_again_starts_clean() -> None:
    drive = Drive(SHARED)
    for customer in range(500):
        drive.end(drive.ask(plan=RATE, customer=customer), 0, Outcome.OK)
    held = drive.ask(UNSAFE, plan=RATE, customer=1000)
    worker = drive.gateway.backends.by_number[drive.sent[held][0].backend]
    worker.failed, worker.at_capacity_until = 0.9, {RATE: math.inf}
    drive.listed(replace(worker.entry, started_at=drive.now))
    assert (worker.failed, worker.at_capacity_until) == (0.0, {})
    drive.listed(entry(50), kind=EndpointListKind.FULL)
    drive.run(drive.now + 40)
    assert set(drive.gateway.backends.by_number) == {
        worker.entry.backend,
        1050,
    }  # one has a call out
    assert set(drive.gateway.customers.by_number) == {1000}
    drive.end(held, 0, Outcome.OK)
    drive.run(drive.now + 10)
    assert set(drive.gateway.backends.by_number) == {1050}
    assert not drive.gateway.customers.by_number
