"""`dockthread lab distribution`: voters, distributors and ingresses of control under faults, in
simulated time. Exit codes: 0 all held; 1 a rule broke (with a planted bug: it was found); 2 the
arguments are wrong.
"""

from __future__ import annotations

import click

from dockthread.cli.lab_seeds import jobs_option, json_option, seeds_option, show_replay, show_seeds
from dockthread.lab.control_plane.seeded_defects import NAMES, SEEDED_DEFECTS
from dockthread.lab.control_plane.seeds import SCENARIOS, play_seed
from dockthread.lab.seeds import play_seeds


@click.group("distribution")
def distribution() -> None:
    """Play the distribution of control with faults in it."""


def plant_of(ctx: click.Context, param: click.Parameter, value: str) -> str:
    """A planted bug's name, or the list of them and the end."""
    if value == "list":
        for name in NAMES:
            click.echo(f"{name}  a planted bug, for scenario {SEEDED_DEFECTS[name].scenario}")
        ctx.exit(0)
    if value and value not in NAMES:
        raise click.BadParameter(f"{value!r} is none of: {', '.join(NAMES)}")
    return value


scenario_option = click.option(
    "--scenario",
    default="drawn",
    show_default=True,
    type=click.Choice(list(SCENARIOS)),
    help="What goes wrong.",
)
plant_option = click.option(
    "--plant",
    default="",
    callback=plant_of,
    metavar="NAME",
    help="A planted bug to be found, or `list`.",
)


@distribution.command()
def scenarios() -> None:
    """The scenarios, the name first."""
    for name, scenario in SCENARIOS.items():
        click.echo(f"{name}  {scenario.about}")


@distribution.command()
@scenario_option
@seeds_option
@jobs_option
@plant_option
@json_option
def seeds(scenario: str, seeds: range, jobs: int, plant: str, as_json: bool) -> None:
    """Play many seeds; each one that breaks a rule is named. With a planted bug the first that
    finds it ends it.
    """
    show_seeds(scenario, play_seeds(play_seed, scenario, seeds, jobs, plant), plant, as_json)


@distribution.command()
@click.argument("seed", type=click.IntRange(0))
@scenario_option
@plant_option
@json_option
def replay(seed: int, scenario: str, plant: str, as_json: bool) -> None:
    """One seed's course, line by line; the same each time."""
    show_replay(play_seed(scenario, seed, plant), as_json)
