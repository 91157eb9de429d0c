"""The constraints on a grant: order, limits, reachable members, and the health of the zone."""

from __future__ import annotations

from typing import Any

import pytest

from dockthread.maintenance.commands import ZoneStatus
from tests.maintenance.scheduler_driver import (
    DRAINED,
    RELEASED,
    REQUEST,
    WITHDRAW,
    SchedulerDriver,
)


def test_requests_are_granted_by_urgency_then_age_and_zones_are_independent() -> None:
    driver = SchedulerDriver()
    requests: tuple[tuple[str, dict[str, Any]], ...] = (
        ("x", {}),
        ("old", {}),
        ("hot", {"urgency": 5}),
        ("other", {"zone": "b"}),
    )
    for target, fields in requests:
        driver.apply(REQUEST, target, **fields)
    driver.report()
    assert set(driver.scheduler.drained_backends()) == {"hot", "other"}
    assert driver.apply(WITHDRAW, "hot") == "returning"
    assert driver.confirm(RELEASED, "hot") == "warming"
    driver.report()
    assert set(driver.scheduler.drained_backends()) == {"x", "other"}
    assert driver.state("hot") == "withdrawn"


def test_an_unreachable_member_is_awaited_until_the_failure_timeout() -> None:
    driver = SchedulerDriver()
    driver.apply(REQUEST, "x")
    driver.report()
    # The first report without n2 adds almost nothing to its unreachable time, because n2 may have
    # been reachable until just before the report.
    for _ in range(10):
        driver.report(reachable=("n0", "n1"))
    assert driver.confirm(DRAINED, "x", ("n0", "n1")) == "draining"
    driver.report(reachable=("n0", "n1"))
    assert driver.state("x") == "out", "n2 has been unreachable for 5 s"


@pytest.mark.parametrize(
    ("report_fields", "expected_reason"),
    [
        ({"zones": (ZoneStatus("a", 6, ("z",)),)}, "z of a fails"),
        ({"zones": (ZoneStatus("a", 6, is_overloaded=True),)}, "requests wait too long in a"),
        (
            {"zones": (ZoneStatus("a", 6, load=4.1),)},
            "the rest of a would carry 0.82 of what it bears, and 0.80 is most",
        ),
        ({"zones": ()}, "a is not seen by a majority"),
        ({"listed_targets": ()}, "fewer than half of the members see it"),
    ],
)
def test_an_unsafe_zone_blocks_grants_and_revokes_a_grant_that_is_not_drained_yet(
    report_fields: dict[str, Any], expected_reason: str
) -> None:
    driver = SchedulerDriver()
    driver.apply(REQUEST, "x")
    driver.report(**report_fields)
    assert (driver.state("x"), driver.reason("x")) == ("waiting", expected_reason)
    driver.report()
    assert driver.confirm(DRAINED, "x", ("n0",)) == "draining"
    # A grant is not revoked when the backend is no longer listed. A load of 4.1 does not revoke it
    # either: `ready` does not include a draining backend, so all 6 ready backends carry the load.
    if "listed_targets" not in report_fields and "4.1" not in str(report_fields):
        driver.report(**report_fields)
        assert driver.state("x") == "waiting"
        assert f"called back, as {expected_reason}" in driver.reason("x")
    driver.report()
    assert driver.confirm(DRAINED, "x") == "out"
    driver.report(**report_fields)
    assert driver.state("x") == "out", "an unavailable target stays unavailable"
