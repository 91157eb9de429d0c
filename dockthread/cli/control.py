"""`dockthread control`: the processes of the distribution of control, and what operators ask of
them.

Exit codes: 0 done; 1 refused, or someone lags or cannot be reached; 2 the words are wrong.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections import Counter
from typing import Any, BinaryIO

import click

from dockthread.config.address import Address, host_port
from dockthread.control_plane import admin_client
from dockthread.control_plane.messages import MAX_BODY_BYTES, Resource, SubscriberStatus
from dockthread.control_plane.options import read_key

MOST_SHOWN = 20  # of those that lag, without --json


def servers_of(ctx: click.Context, param: click.Parameter, value: tuple[str, ...]) -> list[Address]:
    """Of `HOST:PORT,...`, given once or more."""
    texts = [text.strip() for one in value for text in one.split(",") if text.strip()]
    found = []
    for text in texts:
        at = host_port(text)
        if at is None:
            raise click.BadParameter(f"{text!r} is no address: write HOST:PORT")
        found.append(Address(*at))
    return found


def key_of(ctx: click.Context, param: click.Parameter, value: str | None) -> bytes:
    try:
        return read_key(value or "")
    except ValueError as error:
        raise click.BadParameter(str(error)) from error


servers_option = click.option(
    "--servers",
    required=True,
    multiple=True,
    callback=servers_of,
    metavar="HOST:PORT,...",
    help="To be asked.",
)
key_option = click.option(
    "--key-file", "key", callback=key_of, metavar="FILE", help="The key that all share."
)
json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@click.group()
def control() -> None:
    """Configuration of all ingresses: published once, in force everywhere."""


@control.command()
@click.option(
    "--config", "file", metavar="FILE", help="The operator's file, before DOCKTHREAD_CONFIG."
)
@click.pass_context
def serve(ctx: click.Context, file: str | None) -> None:
    """Serve as the voter or distributor that [control] of the operator's file names, until SIGTERM
    or SIGINT.

    Exit codes: 0 ended as told, 1 cannot listen, 2 a bad configuration.
    """
    from dockthread.control_plane_daemon import serve as run
    from dockthread.section_registry import operator_file_path

    path = operator_file_path(os.environ, file or ctx.find_root().obj)
    if path is None:
        raise click.UsageError("name the operator's file: --config FILE, or DOCKTHREAD_CONFIG")
    ctx.exit(run(path))


@control.command()
@click.argument("kind")
@click.argument("name")
@click.option(
    "--body", type=click.File("rb"), metavar="FILE", help="The resource; - for standard input."
)
@click.option("--delete", is_flag=True, help="Delete it.")
@click.option(
    "--expected", type=click.IntRange(0), help="The revision that it replaces; 0 for none there."
)
@servers_option
@key_option
def publish(
    kind: str,
    name: str,
    body: BinaryIO | None,
    delete: bool,
    expected: int | None,
    servers: list[Address],
    key: bytes,
) -> None:
    """Publish a resource, or delete it; SERVERS are voters. Says the revision by which it was
    accepted.
    """
    if (body is None) != delete:
        raise click.UsageError("give either --body or --delete")
    data = None if body is None else body.read(MAX_BODY_BYTES + 1)
    change = admin_client.new_request(kind, name, data, -1 if expected is None else expected)
    answer = asyncio.run(admin_client.publish(servers, change, key))
    if answer.revision <= 0:
        word = "refused" if answer.revision == 0 else "not known to be accepted"
        click.echo(f"{kind} {name}: {word}: {answer.reason}", err=True)
        sys.exit(1)
    click.echo(f"{kind} {name}: revision {answer.revision}")


@control.command()
@click.argument("kind")
@click.argument("name", required=False, default="")
@servers_option
@key_option
@json_option
def show(kind: str, name: str, servers: list[Address], key: bytes, as_json: bool) -> None:
    """Show what a server holds of a kind: one resource with its body, or the names and revisions of
    all.
    """
    try:
        found = asyncio.run(admin_client.lookup(servers, kind, name, key))
    except admin_client.NoResponseError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    if name and not found:
        click.echo(f"{kind} {name}: none", err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps([told(one) for one in found]))
    elif name:
        click.echo((found[0].body or b"").decode(errors="replace"))
    else:
        for one in found:
            click.echo(f"{one.name}  revision {one.revision}, {len(one.body or b'')} bytes")


def told(one: Resource) -> dict[str, Any]:
    body = (one.body or b"").decode(errors="replace")
    return {"kind": one.kind, "name": one.name, "revision": one.revision, "body": body}


@control.command()
@servers_option
@key_option
@json_option
def status(servers: list[Address], key: bytes, as_json: bool) -> None:
    """What is in force where, and who lags, by all servers given."""
    whole = asyncio.run(admin_client.fetch_overview(servers, key))
    if as_json:
        click.echo(json.dumps(plain(whole)))
    else:
        for line in lines(whole):
            click.echo(line)
    if not whole.is_healthy:
        sys.exit(1)


def plain(whole: admin_client.ControlPlaneOverview) -> dict[str, Any]:
    return {
        "epoch": whole.epoch,
        "revision": whole.revision,
        "good": whole.is_healthy,
        "servers": {
            at: {
                "name": s.name,
                "role": s.role,
                "epoch": s.epoch,
                "revision": s.revision,
                "age": s.age,
                "digest": s.digest.hex(),
            }
            for at, s in whole.servers.items()
        },
        "missed": whole.unreachable,
        "subscribers": [subscriber(one, whole) for one in whole.subscribers],
    }


def subscriber(one: SubscriberStatus, whole: admin_client.ControlPlaneOverview) -> dict[str, Any]:
    rejected = [
        {"kind": r.kind, "name": r.name, "revision": r.revision, "reason": r.reason}
        for r in one.rejected
    ]
    return {
        "name": one.name,
        "region": one.region,
        "zone": one.zone,
        "connected": one.connected,
        "revision": one.revision,
        "behind": one.behind,
        "lags": whole.lags(one),
        "rejections": one.rejections,
        "rejected": rejected,
    }


def lines(whole: admin_client.ControlPlaneOverview) -> list[str]:
    out = [f"revision {whole.revision} of {whole.epoch or 'no history'}"]
    lagging = whole.lagging_servers()
    for at, s in sorted(whole.servers.items()):
        lags = " (lags)" if s in lagging else ""
        age = f"{s.age / 1000:.1f} s old" if s.age >= 0 else "of unknown age"
        out.append(
            f"{s.role} {s.name} at {at}: revision {s.revision}{lags}, {age}, {len(s.subscribers)} subscribers"
        )
    out += [f"not reached: {at}: {why}" for at, why in sorted(whole.unreachable.items())]
    everywhere, current = Counter[tuple[str, str]](), Counter[tuple[str, str]]()
    for one in whole.subscribers:
        everywhere[one.region, one.zone] += 1
        current[one.region, one.zone] += not whole.lags(one)
    for (region, zone), count in sorted(everywhere.items()):
        out.append(
            f"{region or 'no region'} {zone or 'no zone'}: in force at {current[region, zone]} of {count}"
        )
    behind = whole.lagging()
    out += [line for one in behind[:MOST_SHOWN] for line in lag(one, whole)]
    if len(behind) > MOST_SHOWN:
        out.append(f"and {len(behind) - MOST_SHOWN} more: --json tells them all")
    return out


def lag(one: SubscriberStatus, whole: admin_client.ControlPlaneOverview) -> list[str]:
    out = []
    if not one.connected:
        out.append(f"{one.name}: not connected, revision {one.revision} when it was last seen")
    elif whole.lags(one):
        out.append(f"{one.name}: lags at revision {one.revision} for {one.behind / 1000:.1f} s")
    if one.rejections:
        out.append(f"{one.name}: refuses {one.rejections}")
        out += [f"  {r.kind} {r.name} of revision {r.revision}: {r.reason}" for r in one.rejected]
    return out
