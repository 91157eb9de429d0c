"""Tests of the scale run: small runs with faults, broken bounds and planted bugs, and its parts."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from dockthread.lab.scale.checker import judge, published
from dockthread.lab.scale.discovery import Book, address_of
from dockthread.lab.scale.fit import FitError, fitted
from dockthread.lab.scale.plan import Changes, Plan, PlanError, parse_changes, plan_of
from dockthread.lab.scale.planted_bugs import LIST_NAMES, NAMES, ROUTE_NAMES
from tests.cli.test_cli import dockthread

# A test machine may be busy, so these bounds are too wide to judge the measurements. The runs are
# checked only for the data in force at the end.
PATIENT = ("--most-late", "30s", "--most-lag", "60s")
SMALL = Plan(0, 4, 30, 3, Changes(5.0, 0.0), 2.0)


def scale(*words: str) -> tuple[int, dict[str, Any]]:
    done = dockthread("lab", "scale", *PATIENT, "--json", *words)
    assert done.stdout, done.stderr
    return done.returncode, json.loads(done.stdout)


Played = dict[str, tuple[int, dict[str, Any]]]
TINY = ("--hollow", "8", "--seconds", "1")
RUNS = {
    "wave": ("--real", "2", "--hollow", "200", "--seconds", "3", "--backends", "60", "--changes", "list=10",
             "--fault", "restart-wave"),
    "bytes": (*TINY, "--changes", "list=12", "--most-bytes", "1B"),
    "few": (*TINY, "--changes", "list=2"),
    **{plant: (*TINY, "--changes", "list=12", "--plant", plant) for plant in LIST_NAMES},
    **{plant: (*TINY, "--changes", "config=12", "--routes", "5", "--plant", plant) for plant in ROUTE_NAMES},
    "cut": ("--real", "1", "--hollow", "40", "--seconds", "4", "--changes", "10", "--routes", "20", "--fault", "cut"),
}  # fmt: skip


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Played:
    """Play all runs in parallel and return the exit code and the report of each.

    Each report is also written to a file.
    """
    folder = tmp_path_factory.mktemp("reports")
    with ThreadPoolExecutor(5) as pool:
        words = [(*run, "--report", str(folder / name)) for name, run in RUNS.items()]
        found = dict(zip(RUNS, pool.map(lambda run: scale(*run), words), strict=True))
    for name, (_, report) in found.items():
        assert report == json.loads((folder / name).read_text())
    return found


def test_real_and_hollow_ingresses_come_through_a_restart_wave(played: Played) -> None:
    code, report = played["wave"]
    assert (code, report["verdict"], report["checker"]["broken"]) == (0, "holds", 0), report
    assert (report["list"]["changes"], report["list"]["never"]) == (30, 0)
    assert report["list"]["recovery_s"] > 0
    assert report["roles"]["discovery"]["connections"] == 202
    assert report["each"]["hollow"]["bytes_in_s"] > 0 < report["each"]["real"]["rss_mb"]
    asked = report["latency"]["busy"]["requests"]
    # 100 requests per second to each of two ingresses for 3 s.
    assert 480 < asked < 720 and report["latency"]["busy"]["served"] > 0


def test_list_and_configuration_are_in_force_everywhere_once_a_cut_heals(played: Played) -> None:
    code, report = played["cut"]
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


@pytest.mark.parametrize("plant", NAMES)
def test_the_checker_sees_a_planted_bug(plant: str, played: Played) -> None:
    code, report = played[plant]
    assert (code, report["verdict"]) == (1, "broken")
    assert report["checker"]["first"] and all(
        "ingress 0 " in one for one in report["checker"]["first"]
    )


def test_a_bound_that_does_not_hold_says_by_how_much(played: Played) -> None:
    code, report = played["bytes"]
    wrong = [one for one in report["bounds"] if not one["holds"]]
    assert (code, [one["name"] for one in wrong]) == (1, ["bytes_s"])
    assert wrong[0]["measured"] > wrong[0]["most"] == 1


def test_too_few_changes_make_a_run_void(played: Played) -> None:
    code, report = played["few"]
    assert (code, report["void"]) == (2, ["too few samples: 2 changes of the list"])


def test_words_that_make_no_run() -> None:
    assert dockthread("lab", "scale", "--hollow", "1600", "--backends", "24000").returncode == 2
    for text in ("x", "list=-1", "lists=1", "1e9"):
        with pytest.raises(PlanError):
            parse_changes(text)
    assert parse_changes("list=3") == Changes(3.0, 0.0)
    assert plan_of(json.loads(json.dumps(SMALL.told()))) == SMALL


def test_the_book_says_each_change_once_and_what_stands_in_the_whole_list() -> None:
    book = Book(SMALL, 80)
    book.open()
    first = book.revision
    for _ in range(40):
        book.drawn()
    gone = len(list(book.zone_leaves()))
    assert gone > 0 and len(book.since(first) or []) == 40 + gone
    assert book.since(-5) is None
    whole = json.loads(book.whole().split(b"\r\n")[1])
    assert len(whole["targets"]) == 30 - gone == len(published(book.changes))
    list(book.zone_returns())
    assert len(published(book.changes)) == 30
    assert len({address_of(n) for n in range(70_000)}) == 70_000


def test_the_checker_names_what_is_missing() -> None:
    entry = {"uid": "a", "endpoint": "h:1", "state": "active", "capacity_hint": 1.0}
    changes: list[Any] = [
        [2, 0.0, [entry, {**entry, "uid": "b"}]],
        [3, 0.0, [{**entry, "uid": "b", "state": "left"}]],
    ]
    right: dict[str, Any] = {
        "tables": [{"rows": [["a", "h:1", True, 1.0]], "ingresses": [0, 1]}],
        "went_back": [],
    }
    wanted = published(changes)
    assert judge(wanted, [right], 2) == []
    assert judge(wanted, [right], 3) == ["2 of 3 ingresses said what they hold"]
    wrong = {**right, "went_back": [[1, [3, 2], []]]}
    assert judge(wanted, [wrong], 2) == ["ingress 1 went back from revision 3 to 2"]
    empty = {**right, "tables": [{"rows": [], "ingresses": [0, 1]}]}
    assert len(judge(wanted, [empty], 2)) == 2


def reports_of(*figures: tuple[int, int, float]) -> list[dict[str, Any]]:
    """Build one report for each triple of ingress count, backend count and figure."""
    return [
        {"verdict": "holds", "each": {"hollow": {"rss_mb": figure}},
         "size": {"ingresses": n, "backends": b, "list_changes_s": 1.0, "configuration_changes_s": 0.0}}
        for n, b, figure in figures
    ]  # fmt: skip


def test_a_fit_finds_the_slopes_again_and_extrapolates(tmp_path: Path) -> None:
    sizes = ((10, 240), (100, 240), (400, 240), (10, 1000), (10, 4000))
    paths = []
    for number, one in enumerate(
        reports_of(*((n, b, 2.0 + 0.001 * n + 0.003 * b) for n, b in sizes))
    ):
        paths.append(tmp_path / f"{number}.json")
        paths[-1].write_text(json.dumps(one))
    at = ("--at", "ingresses=1600,backends=24000")
    done = dockthread("lab", "scale", "fit", "--json", *map(str, paths), *at)
    found = json.loads(done.stdout)
    (line,) = found["lines"]
    assert (done.returncode, found["terms"], found["beyond"]) == (
        0,
        ["ingresses", "backends"],
        ["backends"],
    )
    assert line["at"] == pytest.approx(2.0 + 1.6 + 72.0) and line["slopes"][
        "backends"
    ] == pytest.approx(0.003)
    assert dockthread("lab", "scale", "fit", *map(str, paths[:3]), *at).returncode == 2
    paths[0].write_text(json.dumps({**json.loads(paths[0].read_text()), "verdict": "void"}))
    left = dockthread("lab", "scale", "fit", "--json", "--without-void", *map(str, paths), *at)
    assert json.loads(left.stdout)["not_used"] == 1


def test_a_fit_says_where_a_line_does_not_fit_and_where_sizes_vary_together() -> None:
    bent = fitted(
        reports_of(*((n, 240, n * n / 100.0) for n in (1, 10, 50, 100))), ["ingresses"], {}
    )
    assert not bent["lines"][0]["fits"]
    with pytest.raises(FitError, match="vary together"):
        fitted(reports_of(*((n, 10 * n, 1.0) for n in (1, 2, 3, 4))), ["ingresses", "backends"], {})
    with pytest.raises(FitError, match="one size"):
        fitted(reports_of((1, 1, 1.0)), ["ingresses"], {})
