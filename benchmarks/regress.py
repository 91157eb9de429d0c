"""The regression test over every deployment and bench, one after another, against kept figures.

    python -m benchmarks.regress KIT [--only NAME ...] [--keep] [--why TEXT]

KIT is the kit's folder. Each of `RUNS` is started from the repository's root and leaves its snapshot in journal/, to be
committed as it is; what is judged is read from there. Prints a table against benchmarks/regress.json; `--keep` writes
the new figures there, where nothing fell or broke. Exit codes: 0 all hold; 1 a figure fell by more than `FALL`, a rule
was broken, a gate failed or an ingress crashed; 2 a bench could not be run, or the arguments are wrong. One bench runs
at a time, as each wants the machine for itself; all of them take some twenty minutes. No part of CI.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FALL = 0.03  # below the kept figure by more than this is a fall; less is noise, as the bench's page says
LONGEST = 3600.0  # s for one bench
BERN, TAICHUNG = "sites/pool-bern.toml", "users/taichung-replay.toml"
SNAPSHOT = re.compile(r"^snapshot ([0-9a-f]{8})$", re.MULTILINE)
ROOT = Path(__file__).resolve().parent.parent
KEPT = Path(__file__).with_suffix(".json")


@dataclass(frozen=True, slots=True)
class Run:
    name: str
    program: str  # below the kit's folder, as the site
    site: str
    quick: bool = True


RUNS = (
    Run("module, pool-bern", "bin/lbsim", BERN, quick=False),
    Run("module, taichung-replay", "bin/lbsim", TAICHUNG, quick=False),
    Run("sockets, taichung-replay", "real/bin/lbreal", TAICHUNG),
    Run("earlier days, pool-bern", "more/bin/lbreal", BERN),
    Run("operating days, pool-bern", "more/ops/bin/lbreal", BERN),
    Run("standing fleet, pool-bern", "more/mass/bin/lbreal", BERN),
)


@dataclass(frozen=True, slots=True)
class Found:
    """What one bench found. `broken`: each broken rule, failed gate or fault, with its day."""

    score: float
    days: int
    broken: tuple[str, ...] = ()


def read(entry: Mapping[str, Any]) -> Found:
    """A journal entry as the benches write it. Raises ValueError where it holds no figure."""
    score = entry.get("score")
    if score is None:
        score = (entry.get("figures") or {}).get("real_score")
    if not isinstance(score, int | float):
        raise ValueError(f"the journal's entry {entry.get('id')} holds no score: {entry.get('error')}")
    days, broken = entry.get("days") or [], list[str]()
    for day in days:
        name = day.get("name", "?")
        broken += [f"{name}: {rule} {count}" for rule, count in (day.get("rules") or {}).items() if count]
        broken += [f"{name}: {day['fault']}"] if day.get("fault") else []
        broken += [f"{name}: gate, {day['gate']}"] if day.get("gate") not in (None, "", "passed") else []
    if entry.get("error"):
        broken.append(str(entry["error"]))
    return Found(float(score), len(days), tuple(broken))


def holds(found: Found, kept: float | None) -> bool:
    """Whether nothing broke, and nothing fell by more than noise; without a kept figure only the first counts."""
    return not found.broken and (kept is None or found.score >= kept - FALL)


def line(name: str, kept: float | None, found: Found) -> str:
    change = "" if kept is None else f"{found.score - kept:+.3f}"
    was = "-" if kept is None else f"{kept:.3f}"
    word = "holds" if holds(found, kept) else "; ".join(found.broken) or "FELL"
    return f"{name:28} {was:>6} {found.score:6.3f} {change:>7}  {word}"


def table(rows: Iterable[tuple[str, float | None, Found]]) -> str:
    return "\n".join([f"{'run':28} {'kept':>6} {'now':>6} {'change':>7}  verdict", *(line(*row) for row in rows)])


def play(run: Run, kit: Path, why: str) -> Found:
    """Run one bench. Raises OSError, subprocess.SubprocessError or ValueError where it cannot be run or read."""
    command = [str(kit / run.program), "score", str(kit / run.site), *["--quick"] * run.quick, "--why", why]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=LONGEST, check=False)
    found = SNAPSHOT.findall(done.stdout)
    if not found:
        raise ValueError(f"{run.program} left no snapshot: {(done.stdout + done.stderr)[-300:].strip()}")
    paths = list((ROOT / "journal").glob(f"*-{found[-1]}.json"))
    if len(paths) != 1:
        raise ValueError(f"snapshot {found[-1]} stands {len(paths)} times in journal/, and not once")
    return read(json.loads(paths[0].read_bytes()))


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description="all benches of every deployment, against kept figures")
    parser.add_argument("kit", type=Path, help="the kit's folder")
    parser.add_argument("--only", action="append", default=[], metavar="NAME", help="runs whose name holds NAME")
    parser.add_argument("--keep", action="store_true", help="keep the new figures where all hold")
    parser.add_argument("--why", default="The regression test over both deployments", help="note for the journal")
    options = parser.parse_args(argv)
    chosen = [r for r in RUNS if not options.only or any(word in r.name for word in options.only)]
    if not chosen:
        print(f"regress: --only names none of: {'; '.join(r.name for r in RUNS)}", file=sys.stderr)
        return 2
    kept: dict[str, float] = json.loads(KEPT.read_bytes()) if KEPT.exists() else {}
    rows = list[tuple[str, float | None, Found]]()
    for run in chosen:
        try:
            rows.append((run.name, kept.get(run.name), play(run, options.kit.absolute(), options.why)))
        except (OSError, subprocess.SubprocessError, ValueError) as error:
            print(f"regress: {run.name}: {error}", file=sys.stderr)
            return 2
        print(line(*rows[-1]), flush=True)
    print("\n" + table(rows))
    good = all(holds(found, before) for _, before, found in rows)
    if good and options.keep:
        kept.update({name: round(found.score, 4) for name, _, found in rows})
        KEPT.write_text(json.dumps(kept, indent=2) + "\n")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
