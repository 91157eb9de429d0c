"""The choice of a backend by state, load reports and relative latency."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dockthread.policy import (
    AttemptEnded,
    BackendState,
    EndpointListKind,
    Outcome,
)
from dockthread.policy.latency_estimates import Reports
from tests.policy.harness import (
    BASE,
    REPORTS,
    UNSAFE,
    Drive,
    answered,
    chosen,
    entry,
)


def test_nothing_new_to_a_draining_or_missing_worker() -> None:
    drive = Drive()
    drive.listed(entry(0, BackendState.DRAINING), entry(1, BackendState.REMOVED))
    assert {drive.sent[drive.ask()][0].backend for _ in range(20)} == {1002}
    drive.listed(entry(1), kind=EndpointListKind.FULL)
    assert {drive.sent[drive.ask()][0].backend for _ in range(20)} == {1001}


@pytest.mark.parametrize(
    ("names", "report", "others"),
    [
        # less two out here, and the one that was answered
        (("rif", "rate", "q"), (7.0, 30.0, 2.0), 4.0),
        (("busy",), (0.9,), 0.9),  # the whole of its cores counts as one request
        (("busy", "q"), (0.9, 4.0), 4.9),
        (("rate",), (40.0,), 2.0),  # 40 a second at 0.1 s each are 4
        (("lat_ms", "fail_rate"), (350.0, 0.0), 1.5),
        (("q",), (5.0,), 5.0),
        (("fail_rate",), (0.1,), None),
        ((), (), None),
    ],
)
def test_any_load_report_tells_of_the_others(
    names: tuple[str, ...], report: tuple[float, ...], others: float | None
) -> None:
    told = Reports(names).others(report, 2, 0.1)
    assert told == (others if others is None else pytest.approx(others))


@pytest.mark.parametrize("names", [("busy",), ()])
def test_choice_by_use_alone_and_by_no_report(names: tuple[str, ...]) -> None:
    drive = Drive(replace(BASE, load_report_fields=names))
    use = {1000: 0.9, 1001: 0.3, 1002: 0.3}
    sent = dict.fromkeys(use, 0)
    for n in range(600):
        drive.run(drive.now + 0.05)
        request = drive.ask(UNSAFE)
        worker = drive.sent[request][0].backend
        sent[worker] += n >= 100
        load = (use[worker] + n % 7 / 1000,) if names else ()
        drive.run(drive.now + 0.05)
        drive.give(AttemptEnded(request, 0, worker, Outcome.OK, True, 0.05, load_report=load))
    if names:
        assert sent[1000] < min(sent[1001], sent[1002]) / 2, "the busy one gets less"
    assert all(sent.values()), "and each gets some"


def test_what_the_others_have_at_a_worker_counts_as_load() -> None:
    even = {1000: 0.1, 1001: 0.1}
    sent = chosen(Drive(REPORTS, workers=2), {1000: 12.0, 1001: 1.0}, even)
    assert sent[1001] > 5 * sent[1000]


def test_a_slow_worker_gets_less() -> None:
    sent = chosen(Drive(REPORTS, workers=2), {1000: 3.0, 1001: 3.0}, {1000: 0.4, 1001: 0.1})
    assert sent[1001] > 2 * sent[1000]


def test_an_old_report_says_less_than_a_new_one() -> None:
    drive = Drive(REPORTS, workers=1)
    worker = drive.gateway.backends.by_number[1000]
    answered(drive, drive.ask(), (5.0, 10.0, 0.0))
    mean, then = worker.smoothed_remote_requests, drive.now
    assert worker.load(then) == pytest.approx(worker.remote_requests)
    answered(drive, drive.ask(), (5.0, 10.0, 0.0))  # the same again is no news
    assert worker.report_at == then
    assert worker.load(then + 10) == pytest.approx(mean, abs=0.01)
