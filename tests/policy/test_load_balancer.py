"""Load balancing by backend state, load reports and relative latency."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dockthread.policy import (
    AttemptEnded,
    BackendState,
    EndpointListKind,
    Outcome,
)
from dockthread.policy.context import NEVER
from dockthread.policy.load_reports import LoadReportReader
from tests.policy.harness import (
    LOAD_REPORT_SETTINGS,
    SETTINGS,
    UNSAFE,
    IngressHarness,
    answer_with_load,
    endpoint,
    requests_by_backend,
)


def test_draining_and_removed_backends_get_no_new_request() -> None:
    ingress = IngressHarness()
    ingress.list_endpoints(endpoint(0, BackendState.DRAINING), endpoint(1, BackendState.REMOVED))
    assert {ingress.attempts[ingress.send_request()][0].backend for _ in range(20)} == {1002}
    ingress.list_endpoints(endpoint(1), kind=EndpointListKind.FULL)
    assert {ingress.attempts[ingress.send_request()][0].backend for _ in range(20)} == {1001}


@pytest.mark.parametrize(
    ("names", "report", "expected"),
    [
        # 7 in flight, minus two of this ingress and the attempt that carried the report.
        (("rif", "rate", "q"), (7.0, 30.0, 2.0), 4.0),
        (("busy",), (0.9,), 0.9),  # full CPU usage counts as one request
        (("busy", "q"), (0.9, 4.0), 4.9),
        # 40 requests/s of 0.1 s each are 4 in flight, minus two of this ingress.
        (("rate",), (40.0,), 2.0),
        (("lat_ms", "fail_rate"), (350.0, 0.0), 1.5),
        (("q",), (5.0,), 5.0),
        (("fail_rate",), (0.1,), None),
        ((), (), None),
    ],
)
def test_requests_of_other_ingresses_are_derived_from_any_load_report(
    names: tuple[str, ...], report: tuple[float, ...], expected: float | None
) -> None:
    remote_requests = LoadReportReader(names).remote_requests(report, 2, 0.1)
    assert remote_requests == (expected if expected is None else pytest.approx(expected))


@pytest.mark.parametrize("names", [("busy",), ()])
def test_load_is_balanced_with_reports_of_cpu_use_only_and_without_reports(
    names: tuple[str, ...],
) -> None:
    ingress = IngressHarness(replace(SETTINGS, load_report_fields=names))
    cpu_use = {1000: 0.9, 1001: 0.3, 1002: 0.3}
    sent = dict.fromkeys(cpu_use, 0)
    for number in range(600):
        ingress.run_until(ingress.now + 0.05)
        request = ingress.send_request(UNSAFE)
        backend = ingress.attempts[request][0].backend
        sent[backend] += number >= 100
        load = (cpu_use[backend] + number % 7 / 1000,) if names else ()
        ingress.run_until(ingress.now + 0.05)
        ingress.handle(AttemptEnded(request, 0, backend, Outcome.OK, True, 0.05, load_report=load))
    if names:
        assert sent[1000] < min(sent[1001], sent[1002]) / 2, "the busy backend must get fewer"
    assert all(sent.values()), "each backend must get some requests"


def test_requests_of_other_ingresses_count_as_load() -> None:
    durations = {1000: 0.1, 1001: 0.1}
    sent = requests_by_backend(
        IngressHarness(LOAD_REPORT_SETTINGS, backends=2), {1000: 12.0, 1001: 1.0}, durations
    )
    assert sent[1001] > 5 * sent[1000]


def test_a_slow_backend_gets_fewer_requests() -> None:
    sent = requests_by_backend(
        IngressHarness(LOAD_REPORT_SETTINGS, backends=2),
        {1000: 3.0, 1001: 3.0},
        {1000: 0.4, 1001: 0.1},
    )
    assert sent[1001] > 2 * sent[1000]


def test_a_load_report_decays_to_the_mean_and_a_repeated_report_is_ignored() -> None:
    ingress = IngressHarness(LOAD_REPORT_SETTINGS, backends=1)
    backend = ingress.engine.backends.by_number[1000]
    answer_with_load(ingress, ingress.send_request(), (5.0, 10.0, 0.0))
    smoothed_mean, reported_at = backend.smoothed_remote_requests, ingress.now
    assert backend.load(reported_at) == pytest.approx(backend.remote_requests)
    # The report is the same as before, so it is ignored.
    answer_with_load(ingress, ingress.send_request(), (5.0, 10.0, 0.0))
    assert backend.report_at == reported_at
    assert backend.load(reported_at + 10) == pytest.approx(smoothed_mean, abs=0.01)


def test_after_a_restart_only_a_changed_load_report_counts() -> None:
    ingress = IngressHarness(LOAD_REPORT_SETTINGS, backends=1)
    backend = ingress.engine.backends.by_number[1000]
    answer_with_load(ingress, ingress.send_request(), (5.0, 10.0, 0.0))
    ingress.run_until(ingress.now + 1.0)
    ingress.list_endpoints(replace(backend.endpoint, started_at=ingress.now))
    answer_with_load(ingress, ingress.send_request(), (5.0, 10.0, 0.0))
    assert (backend.report_at, backend.load(ingress.now)) == (NEVER, 0.0)
    answer_with_load(ingress, ingress.send_request(), (6.0, 10.0, 0.0))
    assert backend.report_at == ingress.now
