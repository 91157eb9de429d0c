"""Options and output that the commands which run simulation seeds share."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable

import click

from dockthread.lab.raft.checker import RuleViolation
from dockthread.lab.seeds import SeedChunk, SeedRun, ViolatingSeed

# Exit code if a rule was violated; with --plant this means that the seeded defect was found.
EXIT_VIOLATION = 1
MAX_SEEDS = 1_000_000  # Maximum number of seeds in one run.

json_option = click.option("--json", "as_json", is_flag=True, help="Print one line of JSON.")


def violation_json(violation: RuleViolation) -> dict[str, str | float]:
    """Return a rule violation as a JSON object."""
    return {"rule": violation.rule, "at": round(violation.at_ms, 3), "detail": violation.detail}


def violation_line(violation: RuleViolation) -> str:
    """Return a rule violation as text."""
    return f"{violation.rule} at {violation.at_ms:.0f} ms: {violation.detail}"


def parse_seeds(ctx: click.Context, param: click.Parameter, value: str) -> range:
    """Return the seeds of the option `--seeds`, written as SEED or FIRST..LAST."""
    first, separator, last = value.partition("..")
    if not first.isdigit() or (separator and not last.isdigit()):
        raise click.BadParameter(f"{value!r}: write SEED or FIRST..LAST")
    seeds = range(int(first), int(last or first) + 1)
    if not 0 < len(seeds) <= MAX_SEEDS:
        raise click.BadParameter(
            f"{value!r}: FIRST must not exceed LAST, and a run has at most {MAX_SEEDS} seeds"
        )
    return seeds


seeds_option = click.option(
    "--seeds",
    default="0..99",
    show_default=True,
    callback=parse_seeds,
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
    seed_count = 0
    violating_seeds: list[ViolatingSeed] = []
    for chunk in chunks:
        seed_count += chunk.seed_count
        violating_seeds += chunk.violating_seeds
        if plant and violating_seeds:
            break
    if as_json:
        violations = [
            {"seed": violating_seed.seed, **violation_json(violating_seed.violation)}
            for violating_seed in violating_seeds
        ]
        content = {
            "scenario": scenario,
            "plant": plant,
            "played": seed_count,
            "broken": violations,
        }
        click.echo(json.dumps(content))
    else:
        for violating_seed in violating_seeds:
            click.echo(f"seed {violating_seed.seed}: {violation_line(violating_seed.violation)}")
        click.echo(f"{seed_count} seeds of {scenario}, {len(violating_seeds)} violated a rule")
    sys.exit(EXIT_VIOLATION if violating_seeds else 0)


def show_replay(seed_run: SeedRun, as_json: bool) -> None:
    """Print the events of one seed and its rule violations, and exit."""
    if as_json:
        violations = [violation_json(violation) for violation in seed_run.violations]
        click.echo(json.dumps({"record": seed_run.record, "broken": violations}))
    else:
        violation_lines = [
            f"VIOLATED {violation_line(violation)}" for violation in seed_run.violations
        ]
        click.echo("\n".join([*seed_run.record, *violation_lines]))
    sys.exit(EXIT_VIOLATION if seed_run.violations else 0)
