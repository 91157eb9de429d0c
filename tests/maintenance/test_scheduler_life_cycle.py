"""The lifecycle of a request: grant, drain, timeouts, return, and the restart of an ingress."""

from __future__ import annotations

from dockthread.maintenance.commands import RequestState, TargetKind
from dockthread.maintenance.transitions import FINAL_STATES, TRANSITIONS
from tests.maintenance.scheduler_driver import (
    COMPLETE,
    DRAINED,
    RELEASED,
    REQUEST,
    RESTARTED,
    WITHDRAW,
    SchedulerDriver,
)


def test_every_state_is_reachable_and_only_final_states_have_no_transition() -> None:
    reached_states = set(TRANSITIONS.values()) | {RequestState.WAITING}
    left_states = {state for state, _ in TRANSITIONS}
    assert reached_states == set(RequestState)
    assert set(RequestState) - left_states == set(FINAL_STATES)


def test_a_backend_is_unavailable_once_all_drained_it_and_blocks_its_zone_until_warmed_up() -> None:
    driver = SchedulerDriver()
    assert driver.apply(REQUEST, "x", warm_up_ms=2_000.0) == "waiting"
    assert driver.reason("x") == "it is being looked at"
    driver.apply(REQUEST, "y")
    driver.report()
    assert driver.state("x") == "granted"
    assert driver.reason("y") == "x of a is out, and 1 may be"
    assert driver.confirm(DRAINED, "x", ("n0", "n1")) == "draining"
    assert driver.reason("x") == "waits for n2"
    assert driver.apply(DRAINED, "x", sender="n2", epoch=1) == "draining", (
        "a confirmation with an older epoch is ignored"
    )
    assert driver.confirm(DRAINED, "x", ("n2",)) == "out"
    assert driver.scheduler.drained_backends() == {"x": 3}
    assert driver.apply(COMPLETE, "x") == "returning"
    assert not driver.scheduler.drained_backends()
    assert driver.reason("y") == "x of a is coming back, and 1 may be"
    assert driver.confirm(RELEASED, "x") == "warming"
    driver.report(1_900.0)  # the warm-up is measured from this report on
    driver.report(1_900.0)
    assert (driver.state("x"), driver.state("y")) == ("warming", "waiting")
    driver.report(100.0)
    assert (driver.state("x"), driver.state("y")) == ("done", "granted")


def test_a_grant_that_is_not_drained_in_time_is_revoked_and_the_third_time_abandoned() -> None:
    driver = SchedulerDriver()
    driver.apply(REQUEST, "x")
    driver.report()
    for _ in range(2):
        driver.confirm(DRAINED, "x", ("n0", "n1"))
        driver.report(30_000.0)  # the grant's timeout is measured from this report on
        assert driver.state("x") == "draining"
        driver.report(30_000.0)
        assert driver.state("x") == "granted"
        assert driver.request("x").drained_by == ()
    driver.report()
    driver.report(30_000.0)
    assert driver.state("x") == "abandoned"
    assert not driver.scheduler.drained_backends()


def test_maintenance_that_exceeds_its_duration_is_overdue_and_the_target_stays_unavailable() -> (
    None
):
    driver = SchedulerDriver()
    driver.apply(REQUEST, "x", duration_ms=60_000.0)
    driver.report()
    assert driver.confirm(DRAINED, "x") == "out"
    driver.report(60_000.0)
    assert driver.state("x") == "out", "the duration is measured from the first report on"
    driver.report(60_000.0)
    assert driver.state("x") == "overdue"
    assert "say `done`" in driver.reason("x")
    assert "x" in driver.scheduler.drained_backends()
    assert driver.apply(COMPLETE, "x") == "returning"


def test_an_ingress_confirms_its_own_restart_and_returns_in_another_incarnation() -> None:
    driver = SchedulerDriver()
    driver.apply(REQUEST, "n1", zone="", kind=TargetKind.INGRESS)
    driver.report(reachable=("n0", "n1"))
    assert driver.reason("n1") == "n2 cannot be heard"
    driver.apply(REQUEST, "n2", zone="", kind=TargetKind.INGRESS)
    driver.report()
    assert driver.state("n1") == "granted"
    assert driver.reason("n2") == "n1 of ingresses is out, and 1 may be"
    epoch = driver.request("n1").epoch
    assert driver.apply(DRAINED, "n1", sender="n1", epoch=epoch, incarnation="a") == "out"
    assert not driver.scheduler.drained_backends()
    assert driver.apply(RESTARTED, "n1", sender="n1", epoch=epoch - 1) == "out"
    assert driver.apply(WITHDRAW, "n1") == "out", (
        "an ingress that is shutting down stays out of service until it has restarted"
    )
    assert driver.apply(RESTARTED, "n1", sender="n1", epoch=epoch) == "warming"
    driver.report()
    assert (driver.state("n1"), driver.state("n2")) == ("done", "granted")
