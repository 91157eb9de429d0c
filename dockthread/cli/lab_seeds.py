"""What the commands that play seeds have in common: their options, and how they show what was
found.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable

import click

from dockthread.lab.raft.checker import RuleViolation
from dockthread.lab.seeds import PlayedSeed, SeedChunk, ViolatingSeed

BROKE = 1  # exit code: a rule broke; with a planted bug, it was found
LONGEST = 1_000_000  # seeds in one run

json_option = click.option("--json", "as_json", is_flag=True, help="One line of JSON.")


def worded(broken: RuleViolation) -> dict[str, str | float]:
    """A broken rule for JSON."""
    return {"rule": broken.rule, "at": round(broken.at_ms, 3), "detail": broken.detail}


def line_of(broken: RuleViolation) -> str:
    """A broken rule for a person."""
    return f"{broken.rule} at {broken.at_ms:.0f} ms: {broken.detail}"


def seeds_of(ctx: click.Context, param: click.Parameter, value: str) -> range:
    """The value of `--seeds`: SEED or FIRST..LAST."""
    first, dots, last = value.partition("..")
    if not first.isdigit() or (dots and not last.isdigit()):
        raise click.BadParameter(f"{value!r}: write SEED or FIRST..LAST")
    found = range(int(first), int(last or first) + 1)
    if not 0 < len(found) <= LONGEST:
        raise click.BadParameter(f"{value!r}: from 1 to {LONGEST} seeds, the first before the last")
    return found


seeds_option = click.option(
    "--seeds", default="0..99", show_default=True, callback=seeds_of, metavar="A..B"
)
jobs_option = click.option(
    "--jobs", default=1, show_default=True, type=click.IntRange(1, 64), help="Processes."
)


def show_seeds(scenario: str, chunks: Iterable[SeedChunk], plant: str, as_json: bool) -> None:
    """Play on to the end, or with a planted bug to the first seed that finds it; show that, and end
    the program.
    """
    played = 0
    found: list[ViolatingSeed] = []
    for chunk in chunks:
        played += chunk.seed_count
        found += chunk.violating_seeds
        if plant and found:
            break
    if as_json:
        broken = [{"seed": one.seed, **worded(one.violation)} for one in found]
        click.echo(
            json.dumps({"scenario": scenario, "plant": plant, "played": played, "broken": broken})
        )
    else:
        for one in found:
            click.echo(f"seed {one.seed}: {line_of(one.violation)}")
        click.echo(f"{played} seeds of {scenario}, {len(found)} broke a rule")
    sys.exit(BROKE if found else 0)


def show_replay(played: PlayedSeed, as_json: bool) -> None:
    """Show one seed's course, line by line, and end the program."""
    if as_json:
        click.echo(
            json.dumps(
                {"record": played.record, "broken": [worded(one) for one in played.violations]}
            )
        )
    else:
        click.echo(
            "\n".join([*played.record, *(f"BROKEN {line_of(one)}" for one in played.violations)])
        )
    sys.exit(BROKE if played.violations else 0)
