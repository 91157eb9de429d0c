"""The commands `dockthread lab distribution`, which simulate the control plane under faults.

Voters, distributors and ingresses run in simulated time. Exit codes: 0 no rule was violated; 1 a
rule was violated (with --plant: the seeded defect was found); 2 the arguments are invalid.
"""

from __future__ import annotations

import click

from dockthread.cli.lab_seeds import jobs_option, json_option, seeds_option, show_replay, show_seeds
from dockthread.lab.control_plane.seeded_defects import DEFECT_NAMES, SEEDED_DEFECTS
from dockthread.lab.control_plane.seeds import SCENARIOS, run_seed
from dockthread.lab.seeds import run_seeds


@click.group("distribution")
def distribution() -> None:
    """Simulate the distribution of configuration under faults."""


def parse_plant_option(ctx: click.Context, param: click.Parameter, value: str) -> str:
    """Return the value of `--plant`; for `list`, print the names of all seeded defects and exit."""
    if value == "list":
        for name in DEFECT_NAMES:
            click.echo(f"{name}  a seeded defect, for scenario {SEEDED_DEFECTS[name].scenario}")
        ctx.exit(0)
    if value and value not in DEFECT_NAMES:
        raise click.BadParameter(f"{value!r} is not one of: {', '.join(DEFECT_NAMES)}")
    return value


scenario_option = click.option(
    "--scenario",
    default="drawn",
    show_default=True,
    type=click.Choice(list(SCENARIOS)),
    help="Scenario to run; it determines the faults.",
)
plant_option = click.option(
    "--plant",
    default="",
    callback=parse_plant_option,
    metavar="NAME",
    help="Plant this seeded defect in the code under test; `list` prints all names.",
)


@distribution.command()
def scenarios() -> None:
    """List the scenarios, each with its description."""
    for name, scenario in SCENARIOS.items():
        click.echo(f"{name}  {scenario.about}")


@distribution.command()
@scenario_option
@seeds_option
@jobs_option
@plant_option
@json_option
def seeds(scenario: str, seeds: range, jobs: int, plant: str, as_json: bool) -> None:
    """Run many seeds, and print each one that violates a rule. With --plant, stop once one does."""
    show_seeds(scenario, run_seeds(run_seed, scenario, seeds, jobs, plant), plant, as_json)


@distribution.command()
@click.argument("seed", type=click.IntRange(0))
@scenario_option
@plant_option
@json_option
def replay(seed: int, scenario: str, plant: str, as_json: bool) -> None:
    """Print the events of one seed line by line. Every replay of a seed is the same."""
    show_replay(run_seed(scenario, seed, plant), as_json)
