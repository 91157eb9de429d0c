"""`dockthread lab fleet`: members of a fleet under faults, in simulated time and on real processes. Exit
codes: 0 all held; 1 a rule broke (with a planted bug: it was found); 2 the arguments are wrong."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import click

from dockthread.lab.fleet import turns_planted_bugs
from dockthread.lab.fleet.checker import Broken
from dockthread.lab.fleet.planted_bugs import NAMES as AGREEMENT
from dockthread.lab.fleet.scenario import ScenarioError, parse, shipped
from dockthread.lab.fleet.seeds import SCENARIOS, many, play_seed

BROKE, VOID = 1, 2
NAMES = (*AGREEMENT, *turns_planted_bugs.NAMES)
LONGEST = 1_000_000  # seeds in one run


@click.group("fleet")
def fleet() -> None:
    """Rehearse many members together, with faults between them."""


def worded(broken: Broken) -> dict[str, str | float]:
    """A broken rule for JSON."""
    return {"rule": broken.rule, "at": round(broken.at, 3), "detail": broken.detail}


def seeds_of(ctx: click.Context, param: click.Parameter, value: str) -> range:
    first, dots, last = value.partition("..")
    if not first.isdigit() or (dots and not last.isdigit()):
        raise click.BadParameter(f"{value!r}: write SEED or FIRST..LAST")
    found = range(int(first), int(last or first) + 1)
    if not 0 < len(found) <= LONGEST:
        raise click.BadParameter(f"{value!r}: from 1 to {LONGEST} seeds, the first before the last")
    return found


@fleet.command()
def scenarios() -> None:
    """The shipped scenarios, the name first: for `seeds` and `replay`, in simulated time, and for `run`, on
    processes."""
    for name, scenario in SCENARIOS.items():
        click.echo(f"{name}  {scenario.about}")
    for name, text in shipped().items():
        click.echo(f"{name}  (run) {parse(text, name).settings.about}")


scenario_argument = click.argument("scenario", type=click.Choice(list(SCENARIOS)))
plant_option = click.option("--plant", default="", metavar="NAME", help="A planted bug to be found, or `list`.")
json_option = click.option("--json", "as_json", is_flag=True, help="One line of JSON.")


def planted(name: str) -> str:
    if name == "list":
        for one in NAMES:
            click.echo(f"{one}  a planted bug")
        raise SystemExit(0)
    if name and name not in NAMES:
        raise click.BadParameter(f"--plant {name!r} is none of: {', '.join(NAMES)}")
    return name


@fleet.command()
@scenario_argument
@click.option("--seeds", default="0..99", show_default=True, callback=seeds_of, metavar="A..B")
@click.option("--jobs", default=1, show_default=True, type=click.IntRange(1, 64), help="Processes.")
@plant_option
@json_option
def seeds(scenario: str, seeds: range, jobs: int, plant: str, as_json: bool) -> None:
    """Play many seeds; each one that breaks a rule is named."""
    plant, played = planted(plant), 0
    broken: list[dict[str, Any]] = []
    for count, found in many(scenario, seeds, jobs, plant):
        played += count
        broken += [{"seed": seed, **worded(one)} for seed, one in found]
        if plant and broken:
            break
    if as_json:
        click.echo(json.dumps({"scenario": scenario, "plant": plant, "played": played, "broken": broken}))
    else:
        for one in broken:
            click.echo(f"seed {one['seed']}: {one['rule']} at {one['at']:.0f} ms: {one['detail']}")
        click.echo(f"{played} seeds of {scenario}, {len(broken)} broke a rule")
    sys.exit(BROKE if broken else 0)


@fleet.command()
@click.argument("scenario")
@click.option("--ingresses", type=click.IntRange(1, 7), help="In place of the scenario's own number: 1, 3, 5 or 7.")
@click.option("--seed", default=0, show_default=True, type=click.IntRange(0), help="For the faults that are drawn.")
@json_option
def run(scenario: str, ingresses: int | None, seed: int, as_json: bool) -> None:
    """Play a scenario on real processes on loopback, with faults between them. SCENARIO: a shipped one, or an
    INI file.

    Exit codes: 0 all held; 1 a rule broke; 2 the scenario is wrong, or the run is void."""
    from dockthread.lab.fleet.rehearsal import Rehearsal, Verdict, Void

    known = shipped()
    try:
        text = known[scenario] if scenario in known else Path(scenario).read_text()
        played = parse(text, scenario, ingresses or 0, seed)
    except OSError as error:
        raise click.BadParameter(f"{scenario}: no shipped scenario, and no file: {error.strerror}") from error
    except ScenarioError as error:
        raise click.BadParameter(str(error)) from error

    async def rehearse(folder: str) -> Verdict:
        return await Rehearsal(Path(folder), played).play()

    try:
        with TemporaryDirectory() as folder:
            verdict = asyncio.run(rehearse(folder))
    except Void as error:
        click.echo(f"{scenario}: void: {error}", err=True)
        sys.exit(VOID)
    broken = [{"rule": b.rule, "at": round(b.at), "detail": b.detail} for b in verdict.broken]
    if as_json:
        told = {"scenario": scenario, "ingresses": played.ingresses, "seed": seed, "broken": broken}
        click.echo(json.dumps({**told, "asked": verdict.asked, "served": verdict.served, "record": verdict.record}))
    else:
        click.echo("\n".join(verdict.record))
        click.echo(f"{scenario}: {verdict.served} of {verdict.asked} requests served, {len(broken)} rules broken")
    sys.exit(BROKE if broken else 0)


@fleet.command()
@scenario_argument
@click.argument("seed", type=click.IntRange(0))
@plant_option
@json_option
def replay(scenario: str, seed: int, plant: str, as_json: bool) -> None:
    """One seed's course, line by line; the same each time."""
    broken, record = play_seed(SCENARIOS[scenario], seed, planted(plant))
    told = [f"{b.rule} at {b.at:.0f} ms: {b.detail}" for b in broken]
    if as_json:
        click.echo(json.dumps({"record": record, "broken": told}))
    else:
        click.echo("\n".join([*record, *(f"BROKEN {one}" for one in told)]))
    sys.exit(BROKE if broken else 0)
