"""Tests of scale runs with faults, broken bounds and seeded defects, and of their parts."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from dockthread.lab.scale.checker import final_list, find_violations
from dockthread.lab.scale.discovery import PublishedList, backend_address
from dockthread.lab.scale.fit import FitError, fit_lines_to_reports
from dockthread.lab.scale.plan import (
    ChangeRates,
    PlanError,
    RunPlan,
    parse_change_rates,
    plan_from_json,
)
from dockthread.lab.scale.seeded_defects import DEFECT_NAMES, LIST_DEFECT_NAMES, ROUTE_DEFECT_NAMES
from tests.cli.test_cli import dockthread

# A test machine may be busy, so these bounds are too wide to judge the measurements. The runs are
# checked only for the data in force at the end.
WIDE_BOUNDS = ("--most-late", "30s", "--most-lag", "60s")
SMALL_PLAN = RunPlan(0, 4, 30, 3, ChangeRates(5.0, 0.0), 2.0)


def run_scale(*options: str) -> tuple[int, dict[str, Any]]:
    process = dockthread("lab", "scale", *WIDE_BOUNDS, "--json", *options)
    assert process.stdout, process.stderr
    return process.returncode, json.loads(process.stdout)


RunResults = dict[str, tuple[int, dict[str, Any]]]
SHORT_RUN = ("--hollow", "8", "--seconds", "1")
RUN_OPTIONS = {
    "wave": ("--real", "2", "--hollow", "200", "--seconds", "3", "--backends", "60", "--changes", "list=10",
             "--fault", "restart-wave"),
    "bytes": (*SHORT_RUN, "--changes", "list=12", "--most-bytes", "1B"),
    "few": (*SHORT_RUN, "--changes", "list=2"),
    **{defect: (*SHORT_RUN, "--changes", "list=12", "--plant", defect) for defect in LIST_DEFECT_NAMES},
    **{defect: (*SHORT_RUN, "--changes", "config=12", "--routes", "5", "--plant", defect)
       for defect in ROUTE_DEFECT_NAMES},
    "cut": ("--real", "1", "--hollow", "40", "--seconds", "4", "--changes", "10", "--routes", "20", "--fault", "cut"),
}  # fmt: skip


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> RunResults:
    """Execute all runs in parallel and return the exit code and the report of each.

    Each report is also written to a file.
    """
    folder = tmp_path_factory.mktemp("reports")
    with ThreadPoolExecutor(5) as pool:
        options = [
            (*run_options, "--report", str(folder / name))
            for name, run_options in RUN_OPTIONS.items()
        ]
        result_by_name = dict(
            zip(
                RUN_OPTIONS,
                pool.map(lambda run_options: run_scale(*run_options), options),
                strict=True,
            )
        )
    for name, (_, report) in result_by_name.items():
        assert report == json.loads((folder / name).read_text())
    return result_by_name


def test_real_and_hollow_ingresses_recover_from_a_restart_wave(results: RunResults) -> None:
    code, report = results["wave"]
    assert (code, report["verdict"], report["checker"]["broken"]) == (0, "holds", 0), report
    assert (report["list"]["changes"], report["list"]["never"]) == (30, 0)
    assert report["list"]["recovery_s"] > 0
    assert report["roles"]["discovery"]["connections"] == 202
    assert report["each"]["hollow"]["bytes_in_s"] > 0 < report["each"]["real"]["rss_mb"]
    requests = report["latency"]["busy"]["requests"]
    # 100 requests per second to each of two ingresses for 3 s.
    assert 480 < requests < 720 and report["latency"]["busy"]["served"] > 0


def test_list_and_configuration_are_in_force_everywhere_once_a_cut_heals(
    results: RunResults,
) -> None:
    code, report = results["cut"]
    assert (code, report["checker"]["broken"]) == (0, 0), report
    for kind in ("list", "configuration"):
        assert (report[kind]["changes"], report[kind]["never"]) == (40, 0)
        assert report[kind]["lag_in_fault_ms"]["last"] > 500 and report[kind]["recovery_s"] > 0
    roles = report["roles"]
    assert (roles["voter"]["processes"], roles["distributor"]["processes"]) == (3, 2)
    for role in ("voter", "distributor"):
        assert roles[role]["messages_in_s"] > 1 < roles[role]["messages_out_s"], (
            "heartbeats alone make one message per second"
        )
    hollow = report["each"]["hollow"]
    assert hollow["messages_in_s"] > 0 < hollow["messages_out_s"], (
        "ingresses acknowledge the changes that they apply"
    )


@pytest.mark.parametrize("defect", DEFECT_NAMES)
def test_the_checker_finds_a_seeded_defect(defect: str, results: RunResults) -> None:
    code, report = results[defect]
    assert (code, report["verdict"]) == (1, "broken")
    assert report["checker"]["first"] and all(
        "ingress 0 " in violation for violation in report["checker"]["first"]
    )


def test_a_broken_bound_is_reported_with_its_limit_and_the_measured_value(
    results: RunResults,
) -> None:
    code, report = results["bytes"]
    exceeded_bounds = [bound for bound in report["bounds"] if not bound["holds"]]
    assert (code, [bound["name"] for bound in exceeded_bounds]) == (1, ["bytes_s"])
    assert exceeded_bounds[0]["measured"] > exceeded_bounds[0]["most"] == 1


def test_too_few_changes_make_a_run_void(results: RunResults) -> None:
    code, report = results["few"]
    assert (code, report["void"]) == (2, ["too few samples: 2 changes of the list"])


def test_invalid_run_options_are_rejected_and_a_plan_survives_json() -> None:
    assert dockthread("lab", "scale", "--hollow", "1600", "--backends", "24000").returncode == 2
    for text in ("x", "list=-1", "lists=1", "1e9"):
        with pytest.raises(PlanError):
            parse_change_rates(text)
    assert parse_change_rates("list=3") == ChangeRates(3.0, 0.0)
    assert plan_from_json(json.loads(json.dumps(SMALL_PLAN.to_json()))) == SMALL_PLAN


def test_each_change_is_published_once_and_the_whole_list_is_current() -> None:
    backends = PublishedList(SMALL_PLAN, 80)
    backends.open()
    first_revision = backends.revision
    for _ in range(40):
        backends.publish_random_change()
    removed = len(list(backends.remove_zone()))
    assert removed > 0 and len(backends.changes_since(first_revision) or []) == 40 + removed
    assert backends.changes_since(-5) is None
    whole_list = json.loads(backends.whole_list().split(b"\r\n")[1])
    assert len(whole_list["targets"]) == 30 - removed == len(final_list(backends.changes))
    list(backends.restore_zone())
    assert len(final_list(backends.changes)) == 30
    assert len({backend_address(number) for number in range(70_000)}) == 70_000


def test_the_checker_reports_missing_ingresses_missing_backends_and_regressions() -> None:
    entry = {"uid": "a", "endpoint": "h:1", "state": "active", "capacity_hint": 1.0}
    changes: list[Any] = [
        [2, 0.0, [entry, {**entry, "uid": "b"}]],
        [3, 0.0, [{**entry, "uid": "b", "state": "left"}]],
    ]
    correct_findings: dict[str, Any] = {
        "tables": [{"rows": [["a", "h:1", True, 1.0]], "ingresses": [0, 1]}],
        "went_back": [],
    }
    expected_rows = final_list(changes)
    assert find_violations(expected_rows, [correct_findings], 2) == []
    assert find_violations(expected_rows, [correct_findings], 3) == [
        "2 of 3 ingresses reported their data"
    ]
    regressed_findings = {**correct_findings, "went_back": [[1, [3, 2], []]]}
    assert find_violations(expected_rows, [regressed_findings], 2) == [
        "ingress 1 went back from revision 3 to 2"
    ]
    empty_findings = {**correct_findings, "tables": [{"rows": [], "ingresses": [0, 1]}]}
    assert len(find_violations(expected_rows, [empty_findings], 2)) == 2


def make_reports(*figures: tuple[int, int, float]) -> list[dict[str, Any]]:
    """Build one report for each triple of ingress count, backend count and figure."""
    return [
        {"verdict": "holds", "each": {"hollow": {"rss_mb": figure}},
         "size": {"ingresses": ingresses, "backends": backends,
                  "list_changes_s": 1.0, "configuration_changes_s": 0.0}}
        for ingresses, backends, figure in figures
    ]  # fmt: skip


def test_a_fit_recovers_the_slopes_and_extrapolates(tmp_path: Path) -> None:
    sizes = ((10, 240), (100, 240), (400, 240), (10, 1000), (10, 4000))
    paths = []
    for number, report in enumerate(
        make_reports(
            *(
                (ingresses, backends, 2.0 + 0.001 * ingresses + 0.003 * backends)
                for ingresses, backends in sizes
            )
        )
    ):
        paths.append(tmp_path / f"{number}.json")
        paths[-1].write_text(json.dumps(report))
    target = ("--at", "ingresses=1600,backends=24000")
    process = dockthread("lab", "scale", "fit", "--json", *map(str, paths), *target)
    result = json.loads(process.stdout)
    (line,) = result["lines"]
    assert (process.returncode, result["terms"], result["beyond"]) == (
        0,
        ["ingresses", "backends"],
        ["backends"],
    )
    assert line["at"] == pytest.approx(2.0 + 1.6 + 72.0) and line["slopes"][
        "backends"
    ] == pytest.approx(0.003)
    assert dockthread("lab", "scale", "fit", *map(str, paths[:3]), *target).returncode == 2
    paths[0].write_text(json.dumps({**json.loads(paths[0].read_text()), "verdict": "void"}))
    without_void = dockthread(
        "lab", "scale", "fit", "--json", "--without-void", *map(str, paths), *target
    )
    assert json.loads(without_void.stdout)["not_used"] == 1


def test_a_fit_marks_a_bad_line_and_rejects_sizes_that_vary_together() -> None:
    result = fit_lines_to_reports(
        make_reports(
            *((ingresses, 240, ingresses * ingresses / 100.0) for ingresses in (1, 10, 50, 100))
        ),
        ["ingresses"],
        {},
    )
    assert not result["lines"][0]["fits"]
    with pytest.raises(FitError, match="vary together"):
        fit_lines_to_reports(
            make_reports(*((ingresses, 10 * ingresses, 1.0) for ingresses in (1, 2, 3, 4))),
            ["ingresses", "backends"],
            {},
        )
    with pytest.raises(FitError, match="one size"):
        fit_lines_to_reports(make_reports((1, 1, 1.0)), ["ingresses"], {})
