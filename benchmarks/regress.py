"""The regression test: runs every bench of every deployment, and compares with recorded scores.

    python -m benchmarks.regress KIT [--full] [--only NAME ...] [--since REV] [--keep] [--again] [--why TEXT]

KIT is the kit's folder. Each of `RUNS` is started from the repository's root and writes a snapshot
to journal/, which is to be committed unchanged. The result is read from that snapshot and compared
with benchmarks/regress.json, which holds quick and full scores separately, each with its noise (see
`benchmarks/kept.py`). `--keep` adds the new scores if every run holds. An interrupted test resumes
with the runs that are missing for this source tree and size; `--again` repeats all. `--since REV`
prints which benches have to run after the changes since REV, and runs none.

Exit codes: 0 every run holds; 1 a score fell by more than its noise, a rule was violated, a gate
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

from benchmarks import kept as keeping
from benchmarks.kept import Kept

LONGEST = 3600.0  # Timeout of one bench in s.
BERN, TAICHUNG, TUNIS = (
    "sites/pool-bern.toml",
    "users/taichung-replay.toml",
    "more/mass/other/tunis-catalogue.toml",
)
OWN = "deploy/sites/"  # Folder of this project's own sites, below the root.
MASS = "more/mass/bin/lbreal"
SNAPSHOT = re.compile(r"^snapshot ([0-9a-f]{8})$", re.MULTILINE)
ROOT = Path(__file__).resolve().parent.parent
KEPT = Path(__file__).with_suffix(".json")
DONE = "found/regress.json"  # File below the root with the results of an interrupted test.


@dataclass(frozen=True, slots=True)
class Run:
    """One bench of one deployment."""

    name: str
    program: str  # Path below the kit's folder.
    site: str  # Path below the kit's folder, or below the root for a site of this project.
    group: str  # Group in which `benchmarks.kept.DUE` lists the bench.
    panel: tuple[str, ...] = ()  # Options that choose days which exist in one size only.


def short(site: str, *seeds: int) -> tuple[Run, ...]:
    """Return one run for each seed: fifteen short days of a few ingresses that stress the rules."""
    name = Path(site).stem
    panels = [(seed, ("--panel", "brink", "--seed", str(seed))) for seed in seeds]
    return tuple(
        Run(f"short days {seed}, {name}", MASS, site, "fleet", panel) for seed, panel in panels
    )


RUNS = (
    Run("module, pool-bern", "bin/lbsim", BERN, "module"),
    Run("module, taichung-replay", "bin/lbsim", TAICHUNG, "module"),
    Run("sockets, taichung-replay", "real/bin/lbreal", TAICHUNG, "sockets"),
    Run("earlier days, pool-bern", "more/bin/lbreal", BERN, "sockets"),
    Run("operating days, pool-bern", "more/ops/bin/lbreal", BERN, "days"),
    Run("standing fleet, pool-bern", MASS, BERN, "fleet"),
    Run("standing fleet, tunis-catalogue", MASS, TUNIS, "fleet"),
    Run("standing fleet, reede-lotsen", MASS, OWN + "reede-lotsen.toml", "fleet"),
    Run("standing fleet, funkhaus-regie", MASS, OWN + "funkhaus-regie.toml", "fleet"),
    *short(BERN, 1, 2, 3),
    *short(TUNIS, 1, 2),
    *short(OWN + "reede-lotsen.toml", 1, 2),
    *short(OWN + "funkhaus-regie.toml", 1, 2),
)


@dataclass(frozen=True, slots=True)
class Found:
    """The result of one bench."""

    score: float
    days: int
    broken: tuple[str, ...] = ()  # Violated rules, failed gates and faults, each with its day.
    gate: str = "-"  # "passed" or "failed", if the bench has a gate.


def read(entry: Mapping[str, Any]) -> Found:
    """Return the result in a journal entry of a bench; raise ValueError if it has no score."""
    score = entry.get("score")
    if score is None:
        score = (entry.get("figures") or {}).get("real_score")
    if not isinstance(score, int | float):
        raise ValueError(f"journal entry {entry.get('id')} has no score: {entry.get('error')}")
    days, broken = entry.get("days") or [], list[str]()
    for day in days:
        name = day.get("name", "?")
        broken += [
            f"{name}: {rule} {count}" for rule, count in (day.get("rules") or {}).items() if count
        ]
        broken += [f"{name}: {day['fault']}"] if day.get("fault") else []
        broken += (
            [f"{name}: gate, {day['gate']}"] if day.get("gate") not in (None, "", "passed") else []
        )
    if entry.get("error"):
        broken.append(str(entry["error"]))
    gate = (entry.get("figures") or {}).get("gate")
    if gate is not None and not gate and not broken:
        broken.append("gate failed")
    return Found(
        float(score),
        len(days),
        tuple(broken),
        "-" if gate is None else "passed" if gate else "failed",
    )


def holds(found: Found, kept: Kept) -> bool:
    """Return whether no rule was violated and the score fell by no more than the noise.

    Without a recorded score only the rules count.
    """
    return not found.broken and (kept.least is None or found.score >= kept.least)


def line(name: str, kept: Kept, found: Found) -> str:
    """Return the table line of one run."""
    change = "" if kept.mean is None else f"{found.score - kept.mean:+.3f}"
    was = "-" if kept.mean is None else f"{kept.mean:.3f}"
    noise = "?" if kept.noise is None else f"{kept.noise:.3f}"
    rules = "broken" if found.broken else "kept"
    word = "holds" if holds(found, kept) else "; ".join(found.broken) or "REGRESSED"
    return f"{name:33} {was:>6} {noise:>6} {found.score:6.3f} {change:>7}  {rules:6} {found.gate:6}  {word}"


def table(rows: Iterable[tuple[str, Kept, Found]]) -> str:
    """Return the table of all runs."""
    head = f"{'run':33} {'kept':>6} {'noise':>6} {'now':>6} {'change':>7}  {'rules':6} {'gate':6}  verdict"
    return "\n".join([head, *(line(*row) for row in rows)])


def play(run: Run, kit: Path, why: str, full: bool = False) -> Found:
    """Run one bench and return its result.

    Raises OSError, subprocess.SubprocessError or ValueError if it cannot be run or has no result.
    """
    quick = [] if full or run.group == "module" or run.panel else ["--quick"]
    site = (ROOT if run.site.startswith(OWN) else kit) / run.site
    command = [str(kit / run.program), "score", str(site), *quick, *run.panel, "--why", why]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=LONGEST, check=False
    )
    found = SNAPSHOT.findall(done.stdout)
    if not found:
        raise ValueError(
            f"{run.program} wrote no snapshot: {(done.stdout + done.stderr)[-300:].strip()}"
        )
    paths = list((ROOT / "journal").glob(f"*-{found[-1]}.json"))
    if len(paths) != 1:
        raise ValueError(
            f"journal/ has {len(paths)} entries for snapshot {found[-1]} instead of one"
        )
    return read(json.loads(paths[0].read_bytes()))


class Played:
    """Results for one source tree at one size, stored on disk to resume an interrupted test."""

    def __init__(self, path: Path, mark: str) -> None:
        self.path, self.mark = path, mark
        self.found = dict[str, Found]()
        try:
            raw = json.loads(path.read_bytes())
            if raw["mark"] == mark:
                self.found = {
                    n: Found(f["score"], f["days"], tuple(f["broken"]), f["gate"])
                    for n, f in raw["found"].items()
                }
        except (OSError, ValueError, KeyError, TypeError):
            pass  # There is no valid file to resume from, so every bench runs.

    def add(self, name: str, found: Found) -> None:
        """Store the result of one run."""
        self.found[name] = found
        self.path.parent.mkdir(exist_ok=True)
        self.path.write_text(
            json.dumps({"mark": self.mark, "found": {n: asdict(f) for n, f in self.found.items()}})
        )

    def over(self) -> None:
        """Delete the file once the test is complete, so that the next test runs every bench."""
        self.path.unlink(missing_ok=True)


def since(revision: str) -> int:
    """Print which runs the changes since a revision require."""
    groups = keeping.due(keeping.changed_since(ROOT, revision))
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
        "--keep", action="store_true", help="record the new scores if every run holds"
    )
    parser.add_argument(
        "--why", default="The regression test over both deployments", help="note for the journal"
    )
    options = parser.parse_args(argv)
    chosen = [r for r in RUNS if not options.only or any(word in r.name for word in options.only)]
    if not chosen:
        print(
            f"regress: --only matches none of: {'; '.join(r.name for r in RUNS)}", file=sys.stderr
        )
        return 2
    try:
        if options.since:
            return since(options.since)
        figures = keeping.load(KEPT)
    except ValueError as error:
        print(f"regress: {error}", file=sys.stderr)
        return 2
    size = "full" if options.full else "quick"
    kept, tree = figures[size], keeping.tree_mark(ROOT)
    played = Played(ROOT / DONE, f"{tree} {size}")
    rows = list[tuple[str, Kept, Found]]()
    for number, run in enumerate(chosen, 1):
        began, went_on = time.monotonic(), run.name in played.found and not options.again
        try:
            found = (
                played.found[run.name]
                if went_on
                else play(run, options.kit.absolute(), options.why, options.full)
            )
        except (OSError, subprocess.SubprocessError, ValueError) as error:
            print(f"regress: {run.name}: {error}", file=sys.stderr)
            return 2
        played.add(run.name, found)
        rows.append((run.name, kept.get(run.name, Kept()), found))
        spent = "resumed" if went_on else f"{time.monotonic() - began:.0f} s"
        print(f"{number}/{len(chosen)} {size} {line(*rows[-1])} ({spent})", flush=True)
    played.over()
    print("\n" + table(rows))
    good = all(holds(found, before) for _, before, found in rows)
    if good and options.keep:
        for name, before, found in rows:
            kept[name] = before
            before.add(tree, found.score)
        keeping.save(KEPT, figures)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
