"""The scheduler as a replicated state machine.

The tests cover replicated time, repeated commands, snapshots and random orders of commands.
"""

from __future__ import annotations

import random

import msgspec
import pytest

from dockthread.maintenance.commands import LeaderReport
from dockthread.maintenance.scheduler import MaintenanceScheduler
from tests.maintenance.scheduler_driver import (
    COMPLETE,
    DRAINED,
    MEMBERS,
    RELEASED,
    REPORT,
    REQUEST,
    WITHDRAW,
    SchedulerDriver,
)

STEPS = 150
SNAPSHOT_STEP = 75  # step at which a second scheduler is restored from a snapshot
ACTIONS = (
    REQUEST,
    REQUEST,
    DRAINED,
    DRAINED,
    DRAINED,
    RELEASED,
    RELEASED,
    COMPLETE,
    WITHDRAW,
    REPORT,
    REPORT,
)


def test_time_is_that_of_the_reports_and_a_report_proposed_twice_counts_once() -> None:
    driver = SchedulerDriver()
    for number, clock_ms in ((1, 500.0), (1, 500.0), (3, 500.0), (2, 1_000.0)):
        driver.apply(REPORT, report=LeaderReport(number, 500.0, MEMBERS, MEMBERS))
        assert driver.scheduler.clock_ms == clock_ms


def test_a_command_proposed_again_is_applied_once_also_after_a_snapshot() -> None:
    driver = SchedulerDriver()
    driver.apply(REQUEST, "x", command_id="7f")
    driver.apply(WITHDRAW, "x")
    assert driver.apply(REQUEST, "x", command_id="7f") == "withdrawn"
    other = SchedulerDriver()
    other.scheduler.restore(driver.scheduler.snapshot())
    assert other.apply(REQUEST, "x", command_id="7f") == "withdrawn"


def test_a_target_requested_twice_is_one_request_and_malformed_entries_change_nothing() -> None:
    driver = SchedulerDriver()
    for target in ("x", "x", "y"):
        driver.apply(REQUEST, target)
    assert driver.apply(COMPLETE, "y") == "waiting"
    before = driver.scheduler.snapshot()
    driver.scheduler.apply(9, b"\xc1 rubbish")
    driver.scheduler.apply(9, msgspec.msgpack.encode(["explode", "x"]))
    assert driver.scheduler.snapshot() == before
    assert len(driver.scheduler.requests) == 2


@pytest.mark.parametrize("seed", range(200))
def test_after_any_commands_no_zone_exceeds_its_strictest_limit_and_all_members_agree(
    seed: int,
) -> None:
    rng = random.Random(seed)
    driver = SchedulerDriver()
    other = MaintenanceScheduler()
    away: set[str] = set()
    for step in range(STEPS):
        apply_random_command(driver, rng)
        # A scheduler restored from a snapshot must stay equal to the original.
        if step == SNAPSHOT_STEP:
            other.restore(driver.scheduler.snapshot())
        elif step > SNAPSHOT_STEP:
            other.apply(driver.index, driver.command)
            assert other.snapshot() == driver.scheduler.snapshot()
        away = check_limits(driver.scheduler, away)


def apply_random_command(driver: SchedulerDriver, rng: random.Random) -> None:
    target = f"m{rng.randrange(8)}"
    action = rng.choice(ACTIONS)
    if action is REPORT:
        elapsed_ms = rng.choice((100.0, 500.0, 40_000.0))
        driver.report(elapsed_ms, tuple(rng.sample(MEMBERS, rng.randrange(1, 4))))
        return
    known = driver.scheduler.requests.get(target)
    epoch = known.epoch if known and rng.random() < 0.9 else rng.randrange(STEPS)
    driver.apply(
        action,
        target,
        "ab"[int(target[1:]) % 2],
        max_unavailable=rng.randrange(1, 4),
        sender=rng.choice(MEMBERS),
        epoch=epoch,
        urgency=rng.randrange(3),
    )


def check_limits(scheduler: MaintenanceScheduler, away_before: set[str]) -> set[str]:
    """Check that no grant exceeded its zone's limit; return the targets that are out of service.

    A stricter request does not revoke earlier grants, so only steps with a new grant are checked.
    """
    away = {
        request.target: request
        for request in scheduler.requests.values()
        if request.state != "waiting"
    }
    for zone in "ab":
        in_zone = [one for one in scheduler.requests.values() if one.zone == zone]
        granted = {name for name, one in away.items() if one.zone == zone} - away_before
        away_in_zone = [one for one in in_zone if one.state != "waiting"]
        assert not granted or len(away_in_zone) <= min(one.max_unavailable for one in in_zone)
    return set(away)
