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

STEP_COUNT = 150
SNAPSHOT_STEP = 75  # step at which a second scheduler is restored from a snapshot
RANDOM_ACTIONS = (
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


def test_the_clock_advances_by_reports_and_a_duplicate_report_is_ignored() -> None:
    driver = SchedulerDriver()
    for number, clock_ms in ((1, 500.0), (1, 500.0), (3, 500.0), (2, 1_000.0)):
        driver.apply(REPORT, report=LeaderReport(number, 500.0, MEMBERS, MEMBERS))
        assert driver.scheduler.clock_ms == clock_ms


def test_a_repeated_command_is_applied_once_even_after_a_snapshot() -> None:
    driver = SchedulerDriver()
    driver.apply(REQUEST, "x", command_id="7f")
    driver.apply(WITHDRAW, "x")
    assert driver.apply(REQUEST, "x", command_id="7f") == "withdrawn"
    restored = SchedulerDriver()
    restored.scheduler.restore(driver.scheduler.snapshot())
    assert restored.apply(REQUEST, "x", command_id="7f") == "withdrawn"


def test_a_target_requested_twice_is_one_request_and_malformed_entries_change_nothing() -> None:
    driver = SchedulerDriver()
    for target in ("x", "x", "y"):
        driver.apply(REQUEST, target)
    assert driver.apply(COMPLETE, "y") == "waiting"
    snapshot_before = driver.scheduler.snapshot()
    driver.scheduler.apply(9, b"\xc1 rubbish")
    driver.scheduler.apply(9, msgspec.msgpack.encode(["explode", "x"]))
    assert driver.scheduler.snapshot() == snapshot_before
    assert len(driver.scheduler.requests) == 2


@pytest.mark.parametrize("seed", range(200))
def test_random_commands_never_exceed_a_zone_limit_and_a_restored_member_agrees(
    seed: int,
) -> None:
    rng = random.Random(seed)
    driver = SchedulerDriver()
    restored = MaintenanceScheduler()
    out_of_service: set[str] = set()
    for step in range(STEP_COUNT):
        apply_random_command(driver, rng)
        # A scheduler restored from a snapshot must stay equal to the original.
        if step == SNAPSHOT_STEP:
            restored.restore(driver.scheduler.snapshot())
        elif step > SNAPSHOT_STEP:
            restored.apply(driver.index, driver.command)
            assert restored.snapshot() == driver.scheduler.snapshot()
        out_of_service = check_limits(driver.scheduler, out_of_service)


def apply_random_command(driver: SchedulerDriver, rng: random.Random) -> None:
    target = f"m{rng.randrange(8)}"
    action = rng.choice(RANDOM_ACTIONS)
    if action is REPORT:
        elapsed_ms = rng.choice((100.0, 500.0, 40_000.0))
        driver.report(elapsed_ms, tuple(rng.sample(MEMBERS, rng.randrange(1, 4))))
        return
    existing_request = driver.scheduler.requests.get(target)
    epoch = (
        existing_request.epoch
        if existing_request and rng.random() < 0.9
        else rng.randrange(STEP_COUNT)
    )
    driver.apply(
        action,
        target,
        "ab"[int(target[1:]) % 2],
        max_unavailable=rng.randrange(1, 4),
        sender=rng.choice(MEMBERS),
        epoch=epoch,
        urgency=rng.randrange(3),
    )


def check_limits(scheduler: MaintenanceScheduler, previously_out_of_service: set[str]) -> set[str]:
    """Check that no grant exceeded its zone's limit; return the targets that are out of service.

    A stricter request does not revoke earlier grants, so only steps with a new grant are checked.
    """
    out_of_service = {
        request.target: request
        for request in scheduler.requests.values()
        if request.state != "waiting"
    }
    for zone in "ab":
        requests_in_zone = [
            request for request in scheduler.requests.values() if request.zone == zone
        ]
        granted = {
            name for name, request in out_of_service.items() if request.zone == zone
        } - previously_out_of_service
        out_of_service_in_zone = [
            request for request in requests_in_zone if request.state != "waiting"
        ]
        assert not granted or len(out_of_service_in_zone) <= min(
            request.max_unavailable for request in requests_in_zone
        )
    return set(out_of_service)
