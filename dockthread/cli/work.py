"""`dockthread work` and `dockthread fleet`: asks one ingress's management door, for all of them.

Exit codes: 0 done; 1 the ingress says no, or cannot be reached; 2 the words are wrong."""

from __future__ import annotations

import http.client
import json
import sys
from pathlib import Path
from typing import Any

import click

from dockthread.config.address import host_port
from dockthread.config.quantities import Duration

PATIENCE = 10.0  # s for an answer


def door_of(ctx: click.Context, param: click.Parameter, value: str) -> tuple[str, int]:
    found = host_port(value)
    if found is None:
        raise click.BadParameter(f"{value!r} is no address: write HOST:PORT of a management door")
    return found


def length_of(ctx: click.Context, param: click.Parameter, value: str | None) -> float:
    """Seconds; 0 where nothing was said."""
    try:
        return Duration.parse(value) / 1000.0 if value else 0.0
    except ValueError as error:
        raise click.BadParameter(f"{value!r} {error}") from error


at_option = click.option(
    "--at", required=True, callback=door_of, metavar="HOST:PORT", help="A management door."
)
json_option = click.option("--json", "as_json", is_flag=True, help="As the ingress says it.")


def call(at: tuple[str, int], method: str, path: str, body: dict[str, Any] | None = None) -> Any:
    """The answer's JSON; ends the command with 1 and one line where there is none."""
    connection = http.client.HTTPConnection(*at, timeout=PATIENCE)
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None)
        answer = connection.getresponse()
        text = answer.read().decode(errors="replace")
    except (OSError, http.client.HTTPException) as error:
        click.echo(f"{at[0]}:{at[1]}: {error}", err=True)
        sys.exit(1)
    finally:
        connection.close()
    if answer.status != 200:
        said = "this ingress is in no fleet" if text.startswith("no such call") else text.strip()
        click.echo(f"{at[0]}:{at[1]}: {said}", err=True)
        sys.exit(1)
    return json.loads(text)


def told(request: dict[str, Any]) -> str:
    why = f" ({request['why']})" if request.get("why") else ""
    reason = f": {request['reason']}" if request.get("reason") else ""
    return f"{request['target']}  {request['state']}{reason}{why}"


def said(do: str, body: dict[str, Any], at: tuple[str, int], as_json: bool) -> None:
    """Have the fleet agree on it, and show what came of it."""
    answer = call(at, "POST", f"/_work/{do}", body)
    click.echo(json.dumps(answer) if as_json else told(answer))


@click.group()
def work() -> None:
    """The order of work: which machine is taken out when, settled among the ingresses."""


@work.command()
@click.argument("target")
@click.option("--why", default="", help="For whoever looks.")
@click.option(
    "--urgency",
    default=0,
    show_default=True,
    type=click.IntRange(-100, 100),
    help="Higher goes first.",
)
@click.option(
    "--for",
    "length",
    callback=length_of,
    metavar="TIME",
    help="How long it is to take, such as 2h.",
)
@at_option
@json_option
def ask(
    target: str, why: str, urgency: int, length: float, at: tuple[str, int], as_json: bool
) -> None:
    """Ask for the turn of a licence node or of an ingress. Asked twice it is one request."""
    said("ask", {"target": target, "why": why, "urgency": urgency, "for": length}, at, as_json)


@work.command()
@click.argument("target")
@at_option
@json_option
def done(target: str, at: tuple[str, int], as_json: bool) -> None:
    """The work is done: the machine comes back, cold."""
    said("done", {"target": target}, at, as_json)


@work.command()
@click.argument("target")
@at_option
@json_option
def withdraw(target: str, at: tuple[str, int], as_json: bool) -> None:
    """Take a request back; a machine that is out comes back."""
    said("withdraw", {"target": target}, at, as_json)


@work.command("list")
@at_option
@json_option
def list_(at: tuple[str, int], as_json: bool) -> None:
    """What is asked for, granted, and lately over."""
    listed = call(at, "GET", "/_work")
    if as_json:
        click.echo(json.dumps(listed))
        return
    for request in [*listed["work"], *listed["over"]]:
        click.echo(told(request))


@work.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--most-out", default=1, show_default=True, type=click.IntRange(1), help="Of one zone at once."
)
@json_option
def plan(file: Path, most_out: int, as_json: bool) -> None:
    """Offline: in what order the machines of FILE would go, and why each waits. A line: MACHINE
    ZONE [URGENCY].
    """
    from dockthread.maintenance.plan import plan_rounds, read_plan

    try:
        planned = plan_rounds(read_plan(file.read_text(), str(file)), most_out)
    except (ValueError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    if as_json:
        click.echo(
            json.dumps([{"goes": one.granted, "waits": dict(one.waiting)} for one in planned])
        )
        return
    for number, one in enumerate(planned, 1):
        click.echo(f"{number}. {', '.join(one.granted)}")
        for name, why in one.waiting:
            click.echo(f"   {name} waits: {why}")


@click.group()
def fleet() -> None:
    """The ingresses among themselves."""


@fleet.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--name", required=True, help="The ingress that the folder is for.")
def init(folder: Path, name: str) -> None:
    """Make the folder of a member that never had one. One that lost its folder needs a new name."""
    from dockthread.raft.storage import RaftStorage, RaftStorageError

    try:
        RaftStorage(folder, name, create=True).close()
    except (OSError, RaftStorageError) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(1)
    click.echo(f"{folder} is the folder of {name}")


@fleet.command()
@at_option
@json_option
def status(at: tuple[str, int], as_json: bool) -> None:
    """What one member knows: its role, the term, who leads, the voters, how far the log is."""
    state = call(at, "GET", "/_fleet")
    if as_json:
        click.echo(json.dumps(state))
        return
    click.echo(
        f"{state['name']} is {state['role']} in term {state['term']}, led by {state['leader'] or 'nobody'}"
    )
    click.echo(f"voters: {', '.join(state['voters'])}")
    click.echo(
        f"log: {state['last']} entries, {state['commit']} agreed, {state['applied']} applied"
    )
