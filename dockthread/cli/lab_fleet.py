"""The commands `dockthread lab fleet`, which test the members of a fleet under faults.

Members run in simulated time or as real processes. Exit codes: 0 no rule was violated; 1 a rule was
violated (with --plant: the seeded defect was found); 2 the arguments are invalid.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import click

from dockthread.cli.lab_seeds import (
    EXIT_VIOLATION,
    jobs_option,
    json_option,
    seeds_option,
    show_replay,
    show_seeds,
)
from dockthread.lab.maintenance import seeded_defects
from dockthread.lab.maintenance.scenario import ScenarioError, parse_scenario, shipped_scenarios
from dockthread.lab.raft.seeded_defects import DEFECT_NAMES as RAFT_DEFECT_NAMES
from dockthread.lab.raft.seeds import SCENARIOS, run_seed
from dockthread.lab.seeds import run_seeds

EXIT_VOID = 2  # Exit code of a run that is void.
CHUNK_SIZE = 25  # Number of seeds that a worker process runs before it reports its results.
DEFECT_NAMES = (*RAFT_DEFECT_NAMES, *seeded_defects.DEFECT_NAMES)


@click.group("fleet")
def fleet() -> None:
    """Test several members together under injected faults."""


@fleet.command()
def scenarios() -> None:
    """List the shipped scenarios with their descriptions. Those marked (run) are for `run`, on real
    processes; the others are for `seeds` and `replay`, in simulated time.
    """
    for name, scenario in SCENARIOS.items():
        click.echo(f"{name}  {scenario.about}")
    for name, text in shipped_scenarios().items():
        click.echo(f"{name}  (run) {parse_scenario(text, name).settings.about}")


scenario_argument = click.argument("scenario", type=click.Choice(list(SCENARIOS)))
plant_option = click.option(
    "--plant",
    default="",
    metavar="NAME",
    help="Plant this seeded defect in the code under test; `list` prints all names.",
)


def parse_plant_option(name: str) -> str:
    """Return the value of `--plant`; for `list`, print the names of all seeded defects and exit."""
    if name == "list":
        for defect in DEFECT_NAMES:
            click.echo(f"{defect}  a seeded defect")
        raise SystemExit(0)
    if name and name not in DEFECT_NAMES:
        raise click.BadParameter(f"--plant {name!r} is not one of: {', '.join(DEFECT_NAMES)}")
    return name


@fleet.command()
@scenario_argument
@seeds_option
@jobs_option
@plant_option
@json_option
def seeds(scenario: str, seeds: range, jobs: int, plant: str, as_json: bool) -> None:
    """Run many seeds, and print each that violates a rule. With --plant, stop at the first one."""
    plant = parse_plant_option(plant)
    show_seeds(
        scenario, run_seeds(run_seed, scenario, seeds, jobs, plant, CHUNK_SIZE), plant, as_json
    )


@fleet.command()
@click.argument("scenario")
@click.option(
    "--ingresses",
    type=click.IntRange(1, 7),
    help="Number of ingresses (1, 3, 5 or 7) that replaces the scenario's own.",
)
@click.option(
    "--seed",
    default=0,
    show_default=True,
    type=click.IntRange(0),
    help="Seed of the faults that are drawn at random.",
)
@json_option
def run(scenario: str, ingresses: int | None, seed: int, as_json: bool) -> None:
    """Run a scenario on real processes on loopback under injected faults. SCENARIO is the name of a
    shipped scenario or an INI file.

    Exit codes: 0 no rule was violated; 1 a rule was violated; 2 the scenario is invalid, or the run
    is void.
    """
    from dockthread.lab.maintenance.rehearsal import Rehearsal, RehearsalResult, VoidRunError

    shipped = shipped_scenarios()
    try:
        text = shipped[scenario] if scenario in shipped else Path(scenario).read_text()
        parsed_scenario = parse_scenario(text, scenario, ingresses or 0, seed)
    except OSError as error:
        raise click.BadParameter(
            f"{scenario}: neither a shipped scenario nor a readable file: {error.strerror}"
        ) from error
    except ScenarioError as error:
        raise click.BadParameter(str(error)) from error

    async def rehearse(folder: str) -> RehearsalResult:
        return await Rehearsal(Path(folder), parsed_scenario).run()

    try:
        with TemporaryDirectory() as folder:
            result = asyncio.run(rehearse(folder))
    except VoidRunError as error:
        click.echo(f"{scenario}: void: {error}", err=True)
        sys.exit(EXIT_VOID)
    violations = [
        {"rule": violation.rule, "at": round(violation.at_ms), "detail": violation.detail}
        for violation in result.violations
    ]
    if as_json:
        content = {
            "scenario": scenario,
            "ingresses": parsed_scenario.ingresses,
            "seed": seed,
            "broken": violations,
            "asked": result.sent,
            "served": result.served,
            "record": result.record,
        }
        click.echo(json.dumps(content))
    else:
        click.echo("\n".join(result.record))
        click.echo(
            f"{scenario}: {result.served} of {result.sent} requests served, "
            f"{len(violations)} rules violated"
        )
    sys.exit(EXIT_VIOLATION if violations else 0)


@fleet.command()
@scenario_argument
@click.argument("seed", type=click.IntRange(0))
@plant_option
@json_option
def replay(scenario: str, seed: int, plant: str, as_json: bool) -> None:
    """Print the events of one seed line by line. Every replay of a seed is the same."""
    show_replay(run_seed(scenario, seed, parse_plant_option(plant)), as_json)
