"""`dockthread lab distribution`: voters, distributors and ingresses of control under faults, in simulated time. Exit
codes: 0 all held; 1 a rule broke (with a planted bug: it was found); 2 the arguments are wrong."""

from __future__ import annotations

import json
import sys

import click

from dockthread.cli.lab_fleet import BROKE, seeds_of, worded
from dockthread.lab.distribution.planted_bugs import NAMES, PLANTS
from dockthread.lab.distribution.seeds import SCENARIOS, Found, many, play_seed


@click.group("distribution")
def distribution() -> None:
    """Play the distribution of control with faults in it."""


def plant_of(ctx: click.Context, param: click.Parameter, value: str) -> str:
    """A planted bug's name, or the list of them and the end."""
    if value == "list":
        for name in NAMES:
            click.echo(f"{name}  a planted bug, for scenario {PLANTS[name].scenario}")
        ctx.exit(0)
    if value and value not in NAMES:
        raise click.BadParameter(f"{value!r} is none of: {', '.join(NAMES)}")
    return value


scenario_option = click.option(
    "--scenario", default="drawn", show_default=True, type=click.Choice(list(SCENARIOS)), help="What goes wrong."
)
plant_option = click.option(
    "--plant", default="", callback=plant_of, metavar="NAME", help="A planted bug to be found, or `list`."
)
json_option = click.option("--json", "as_json", is_flag=True, help="One line of JSON.")


@distribution.command()
def scenarios() -> None:
    """The scenarios, the name first."""
    for name, scenario in SCENARIOS.items():
        click.echo(f"{name}  {scenario.about}")


@distribution.command()
@scenario_option
@click.option("--seeds", default="0..99", show_default=True, callback=seeds_of, metavar="A..B")
@click.option("--jobs", default=1, show_default=True, type=click.IntRange(1, 64), help="Processes.")
@plant_option
@json_option
def seeds(scenario: str, seeds: range, jobs: int, plant: str, as_json: bool) -> None:
    """Play many seeds; each one that breaks a rule is named. With a planted bug the first that finds it ends it."""
    played = 0
    found: list[Found] = []
    for chunk in many(scenario, seeds, jobs, plant):
        played += chunk.played
        found += chunk.found
        if plant and found:
            break
    if as_json:
        broken = [{"seed": one.seed, **worded(one.broken)} for one in found]
        click.echo(json.dumps({"scenario": scenario, "plant": plant, "played": played, "broken": broken}))
    else:
        for one in found:
            click.echo(f"seed {one.seed}: {one.broken.rule} at {one.broken.at:.0f} ms: {one.broken.detail}")
        click.echo(f"{played} seeds of {scenario}, {len(found)} broke a rule")
    sys.exit(BROKE if found else 0)


@distribution.command()
@click.argument("seed", type=click.IntRange(0))
@scenario_option
@plant_option
@json_option
def replay(seed: int, scenario: str, plant: str, as_json: bool) -> None:
    """One seed's course, line by line; the same each time."""
    told = play_seed(scenario, seed, plant)
    if as_json:
        click.echo(json.dumps({"record": told.record, "broken": [worded(one) for one in told.broken]}))
    else:
        lines = [f"BROKEN {one.rule} at {one.at:.0f} ms: {one.detail}" for one in told.broken]
        click.echo("\n".join([*told.record, *lines]))
    sys.exit(BROKE if told.broken else 0)
