"""The regression test: runs every bench of every deployment, and compares with recorded scores.

    python -m benchmarks.regress KIT [--full] [--only NAME ...] [--since REV] [--keep] [--again] [--why TEXT]

KIT is the kit's folder. Each of `RUNS` is started from the repository's root and writes a snapshot
to journal/, which is to be committed unchanged. The result is read from that snapshot and compared
with benchmarks/regress.json, which holds quick and full scores separately, each with its noise (see
`benchmarks/kept.py`). `--keep` adds the new scores if every run passes. An interrupted test resumes
with the runs that are missing for this source tree and size; `--again` repeats all runs.
`--since REV` prints which benches have to run after the changes since REV, and runs none.

Exit codes: 0 every run passed; 1 a score fell by more than its noise, a rule was violated, a gate
failed or an ingress crashed; 2 a bench could not be run, or the arguments are invalid. The benches
run one at a time, because each needs the whole machine. CI does not run them.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
import time
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from benchmarks import kept as recorded_scores
from benchmarks.kept import RecordedScores

RUN_TIMEOUT_S = 3600.0  # Timeout of one bench in s.
BERN = "sites/pool-bern.toml"
TAICHUNG = "users/taichung-replay.toml"
TUNIS = "more/mass/other/tunis-catalogue.toml"
OWN_SITES = "deploy/sites/"  # Folder of this project's own sites, below the root.
FLEET_BENCH = "more/mass/bin/lbreal"
SNAPSHOT_LINE = re.compile(r"^snapshot ([0-9a-f]{8})$", re.MULTILINE)
ROOT = Path(__file__).resolve().parent.parent
SCORES_FILE = Path(__file__).with_suffix(".json")
RESUME_FILE = "found/regress.json"  # File below the root with the results of an interrupted test.


@dataclass(frozen=True, slots=True)
class BenchRun:
    """One bench of one deployment."""

    name: str
    program: str  # Path below the kit's folder.
    site: str  # Path below the kit's folder, or below the root for a site of this project.
    group: str  # Group in which `benchmarks.kept.GROUPS_BY_PATH` lists the bench.
    panel: tuple[str, ...] = ()  # Options that select days that exist in one size only.


def short_day_runs(site: str, *seeds: int) -> tuple[BenchRun, ...]:
    """Return one run for each seed: fifteen short days of a few ingresses that stress the rules."""
    name = Path(site).stem
    return tuple(
        BenchRun(
            f"short days {seed}, {name}",
            FLEET_BENCH,
            site,
            "fleet",
            ("--panel", "brink", "--seed", str(seed)),
        )
        for seed in seeds
    )


RUNS = (
    BenchRun("module, pool-bern", "bin/lbsim", BERN, "module"),
    BenchRun("module, taichung-replay", "bin/lbsim", TAICHUNG, "module"),
    BenchRun("sockets, taichung-replay", "real/bin/lbreal", TAICHUNG, "sockets"),
    BenchRun("earlier days, pool-bern", "more/bin/lbreal", BERN, "sockets"),
    BenchRun("operating days, pool-bern", "more/ops/bin/lbreal", BERN, "days"),
    BenchRun("standing fleet, pool-bern", FLEET_BENCH, BERN, "fleet"),
    BenchRun("standing fleet, tunis-catalogue", FLEET_BENCH, TUNIS, "fleet"),
    BenchRun("standing fleet, reede-lotsen", FLEET_BENCH, OWN_SITES + "reede-lotsen.toml", "fleet"),
    BenchRun(
        "standing fleet, funkhaus-regie", FLEET_BENCH, OWN_SITES + "funkhaus-regie.toml", "fleet"
    ),
    *short_day_runs(BERN, 1, 2, 3),
    *short_day_runs(TUNIS, 1, 2),
    *short_day_runs(OWN_SITES + "reede-lotsen.toml", 1, 2),
    *short_day_runs(OWN_SITES + "funkhaus-regie.toml", 1, 2),
)


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of one bench."""

    score: float
    days: int
    broken: tuple[str, ...] = ()  # Violated rules, failed gates and faults, each with its day.
    gate: str = "-"  # "passed" or "failed", if the bench has a gate.


def parse_entry(entry: Mapping[str, Any]) -> RunResult:
    """Return the result in a journal entry of a bench; raise ValueError if it has no score."""
    score = entry.get("score")
    if score is None:
        score = (entry.get("figures") or {}).get("real_score")
    if not isinstance(score, int | float):
        raise ValueError(f"journal entry {entry.get('id')} has no score: {entry.get('error')}")
    days = entry.get("days") or []
    broken: list[str] = []
    for day in days:
        name = day.get("name", "?")
        broken += [
            f"{name}: {rule} {count}" for rule, count in (day.get("rules") or {}).items() if count
        ]
        if day.get("fault"):
            broken.append(f"{name}: {day['fault']}")
        if day.get("gate") not in (None, "", "passed"):
            broken.append(f"{name}: gate, {day['gate']}")
    if entry.get("error"):
        broken.append(str(entry["error"]))
    gate = (entry.get("figures") or {}).get("gate")
    if gate is not None and not gate and not broken:
        broken.append("gate failed")
    return RunResult(
        float(score),
        len(days),
        tuple(broken),
        "-" if gate is None else "passed" if gate else "failed",
    )


def has_passed(result: RunResult, recorded: RecordedScores) -> bool:
    """Return whether no rule was violated and the score fell by no more than the noise.

    Without a recorded score only the rules count.
    """
    return not result.broken and (recorded.min_score is None or result.score >= recorded.min_score)


def table_line(name: str, recorded: RecordedScores, result: RunResult) -> str:
    """Return the table line of one run."""
    change = "" if recorded.mean is None else f"{result.score - recorded.mean:+.3f}"
    recorded_mean = "-" if recorded.mean is None else f"{recorded.mean:.3f}"
    noise = "?" if recorded.noise is None else f"{recorded.noise:.3f}"
    rules = "broken" if result.broken else "kept"
    verdict = "holds" if has_passed(result, recorded) else "; ".join(result.broken) or "REGRESSED"
    return f"{name:33} {recorded_mean:>6} {noise:>6} {result.score:6.3f} {change:>7}  {rules:6} {result.gate:6}  {verdict}"


def format_table(rows: Iterable[tuple[str, RecordedScores, RunResult]]) -> str:
    """Return the table of all runs."""
    header = f"{'run':33} {'mean':>6} {'noise':>6} {'now':>6} {'change':>7}  {'rules':6} {'gate':6}  verdict"
    return "\n".join([header, *(table_line(*row) for row in rows)])


def run_bench(run: BenchRun, kit: Path, journal_note: str, is_full: bool = False) -> RunResult:
    """Run one bench and return its result.

    Raises OSError, subprocess.SubprocessError or ValueError if it cannot be run or has no result.
    """
    quick = [] if is_full or run.group == "module" or run.panel else ["--quick"]
    site = (ROOT if run.site.startswith(OWN_SITES) else kit) / run.site
    command = [
        str(kit / run.program),
        "score",
        str(site),
        *quick,
        *run.panel,
        "--why",
        journal_note,
    ]
    process = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
    )
    snapshots = SNAPSHOT_LINE.findall(process.stdout)
    if not snapshots:
        output = (process.stdout + process.stderr)[-300:].strip()
        raise ValueError(f"{run.program} wrote no snapshot: {output}")
    paths = list((ROOT / "journal").glob(f"*-{snapshots[-1]}.json"))
    if len(paths) != 1:
        raise ValueError(
            f"journal/ has {len(paths)} entries for snapshot {snapshots[-1]} instead of one"
        )
    return parse_entry(json.loads(paths[0].read_bytes()))


class ResumeFile:
    """Results for one source tree at one size, stored on disk to resume an interrupted test."""

    def __init__(self, path: Path, run_key: str) -> None:
        self.path = path
        self.run_key = run_key
        self.results = dict[str, RunResult]()
        try:
            raw = json.loads(path.read_bytes())
            if raw["mark"] == run_key:
                self.results = {
                    name: RunResult(
                        stored["score"], stored["days"], tuple(stored["broken"]), stored["gate"]
                    )
                    for name, stored in raw["found"].items()
                }
        except (OSError, ValueError, KeyError, TypeError):
            pass  # There is no valid file to resume from, so every bench runs.

    def add(self, name: str, result: RunResult) -> None:
        """Store the result of one run."""
        self.results[name] = result
        stored = {name: asdict(result) for name, result in self.results.items()}
        self.path.parent.mkdir(exist_ok=True)
        self.path.write_text(json.dumps({"mark": self.run_key, "found": stored}))

    def complete(self) -> None:
        """Delete the file once the test is complete, so that the next test runs every bench."""
        self.path.unlink(missing_ok=True)


def print_due_runs(revision: str) -> int:
    """Print which runs the changes since a revision require."""
    groups = recorded_scores.groups_to_run(recorded_scores.changed_since(ROOT, revision))
    for run in RUNS:
        print(f"{'due' if run.group in groups else '-':4} {run.name}")
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run the benches, print the table, and return the exit code."""
    parser = argparse.ArgumentParser(
        description="Run all benches of every deployment, and compare with recorded scores."
    )
    parser.add_argument("kit", type=Path, help="the kit's folder")
    parser.add_argument("--full", action="store_true", help="each bench at full size")
    parser.add_argument(
        "--only",
        action="append",
        default=[],
        metavar="NAME",
        help="only runs whose name contains NAME",
    )
    parser.add_argument(
        "--since",
        metavar="REV",
        help="print which runs the changes since REV require, and run none",
    )
    parser.add_argument(
        "--again", action="store_true", help="repeat runs that an interrupted test has completed"
    )
    parser.add_argument(
        "--keep", action="store_true", help="record the new scores if every run passes"
    )
    parser.add_argument(
        "--why", default="The regression test over both deployments", help="note for the journal"
    )
    options = parser.parse_args(argv)
    selected = [
        run for run in RUNS if not options.only or any(text in run.name for text in options.only)
    ]
    if not selected:
        names = "; ".join(run.name for run in RUNS)
        print(f"regress: --only matches none of: {names}", file=sys.stderr)
        return 2
    try:
        if options.since:
            return print_due_runs(options.since)
        recorded_table = recorded_scores.load(SCORES_FILE)
    except ValueError as error:
        print(f"regress: {error}", file=sys.stderr)
        return 2
    size = "full" if options.full else "quick"
    recorded_by_run = recorded_table[size]
    tree_hash = recorded_scores.source_tree_hash(ROOT)
    stored_results = ResumeFile(ROOT / RESUME_FILE, f"{tree_hash} {size}")
    rows: list[tuple[str, RecordedScores, RunResult]] = []
    for number, run in enumerate(selected, 1):
        started_at = time.monotonic()
        is_resumed = run.name in stored_results.results and not options.again
        try:
            result = (
                stored_results.results[run.name]
                if is_resumed
                else run_bench(run, options.kit.absolute(), options.why, options.full)
            )
        except (OSError, subprocess.SubprocessError, ValueError) as error:
            print(f"regress: {run.name}: {error}", file=sys.stderr)
            return 2
        stored_results.add(run.name, result)
        rows.append((run.name, recorded_by_run.get(run.name, RecordedScores()), result))
        duration = "resumed" if is_resumed else f"{time.monotonic() - started_at:.0f} s"
        print(f"{number}/{len(selected)} {size} {table_line(*rows[-1])} ({duration})", flush=True)
    stored_results.complete()
    print("\n" + format_table(rows))
    all_passed = all(has_passed(result, recorded) for _, recorded, result in rows)
    if all_passed and options.keep:
        for name, recorded, result in rows:
            recorded_by_run[name] = recorded
            recorded.add(tree_hash, result.score)
        recorded_scores.save(SCORES_FILE, recorded_table)
    return 0 if all_passed else 1


if __name__ == "__main__":
    sys.exit(main())
