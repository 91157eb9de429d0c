"""Options and output that the commands which run simulation seeds share."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable

import click

from dockthread.lab.raft.checker import RuleViolation
from dockthread.lab.seeds import PlayedSeed, SeedChunk, ViolatingSeed

BROKE = 1  # Exit code if a rule was violated, or with --plant if the seeded defect was found.
LONGEST = 1_000_000  # Maximum number of seeds in one run.

json_option = click.option("--json", "as_json", is_flag=True, help="Print one line of JSON.")


def worded(broken: RuleViolation) -> dict[str, str | float]:
    """Return a rule violation as a JSON object."""
    return {"rule": broken.rule, "at": round(broken.at_ms, 3), "detail": broken.detail}


def line_of(broken: RuleViolation) -> str:
    """Return a rule violation as text."""
    return f"{broken.rule} at {broken.at_ms:.0f} ms: {broken.detail}"


def seeds_of(ctx: click.Context, param: click.Parameter, value: str) -> range:
    """Return the seeds of the option `--seeds`, written as SEED or FIRST..LAST."""
    first, dots, last = value.partition("..")
    if not first.isdigit() or (dots and not last.isdigit()):
        raise click.BadParameter(f"{value!r}: write SEED or FIRST..LAST")
    found = range(int(first), int(last or first) + 1)
    if not 0 < len(found) <= LONGEST:
        raise click.BadParameter(
            f"{value!r}: FIRST must not exceed LAST, and a run has at most {LONGEST} seeds"
        )
    return found


seeds_option = click.option(
    "--seeds",
    default="0..99",
    show_default=True,
    callback=seeds_of,
    metavar="A..B",
    help="Seeds to run.",
)
jobs_option = click.option(
    "--jobs",
    default=1,
    show_default=True,
    type=click.IntRange(1, 64),
    help="Number of worker processes.",
)


def show_seeds(scenario: str, chunks: Iterable[SeedChunk], plant: str, as_json: bool) -> None:
    """Run all chunks of seeds, print the violations, and exit.

    With a seeded defect, stop after the first chunk in which a seed finds it.
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
        click.echo(f"{played} seeds of {scenario}, {len(found)} violated a rule")
    sys.exit(BROKE if found else 0)


def show_replay(played: PlayedSeed, as_json: bool) -> None:
    """Print the events of one seed and its rule violations, and exit."""
    if as_json:
        click.echo(
            json.dumps(
                {"record": played.record, "broken": [worded(one) for one in played.violations]}
            )
        )
    else:
        click.echo(
            "\n".join([*played.record, *(f"VIOLATED {line_of(one)}" for one in played.violations)])
        )
    sys.exit(BROKE if played.violations else 0)
