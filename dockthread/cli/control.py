"""The commands `dockthread control`, which run a control-plane server or query and change others.

Exit codes: 0 success; 1 the request was rejected, or a server or subscriber lags or cannot be
reached; 2 invalid arguments.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Iterator, Sequence
from typing import BinaryIO

import click

from dockthread.cli.control_status import overview_json, overview_lines
from dockthread.cli.options import config_option, json_option, parse_address
from dockthread.cli.output import EXIT_FAILED, JsonObject, exit_with_error, print_result
from dockthread.config.address import Address
from dockthread.control_plane import admin_client
from dockthread.control_plane.messages import MAX_BODY_BYTES, Resource
from dockthread.control_plane.options import read_key
from dockthread.control_plane.publish_state_machine import ANY_REVISION


def _parse_servers(
    _context: click.Context, _parameter: click.Parameter, values: tuple[str, ...]
) -> list[Address]:
    """Return the addresses of all `--servers` options, each of the form `HOST:PORT,...`."""
    texts = [text.strip() for value in values for text in value.split(",")]
    try:
        return [parse_address(text) for text in texts if text]
    except ValueError as error:
        raise click.BadParameter(str(error)) from error


def _read_key_option(
    _context: click.Context, _parameter: click.Parameter, path: str | None
) -> bytes:
    """Return the key that a file holds, or an empty key if no file is given."""
    try:
        return read_key(path or "")
    except ValueError as error:
        raise click.BadParameter(str(error)) from error


servers_option = click.option(
    "--servers",
    required=True,
    multiple=True,
    callback=_parse_servers,
    metavar="HOST:PORT,...",
    help="Control-plane servers that receive the request.",
)
key_option = click.option(
    "--key-file",
    "key",
    callback=_read_key_option,
    metavar="FILE",
    help="File with the key that all servers share.",
)
control_json_option = json_option("Print JSON.")


@click.group()
def control() -> None:
    """Publish and inspect the configuration that all ingresses share."""


@control.command()
@config_option
@click.pass_context
def serve(ctx: click.Context, file: str | None) -> None:
    """Run the voter or distributor that section [control] of the operator's file configures, until
    SIGTERM or SIGINT.

    Exit codes: 0 stopped by a signal, 1 cannot listen, 2 invalid configuration.
    """  # noqa: D205  shown as the help text
    from dockthread.control_plane_daemon import serve as run_daemon
    from dockthread.section_registry import operator_file_path

    path = operator_file_path(os.environ, file or ctx.find_root().obj)
    if path is None:
        raise click.UsageError("--config FILE or DOCKTHREAD_CONFIG must name the operator's file")
    ctx.exit(run_daemon(path))


@control.command()
@click.argument("kind")
@click.argument("name")
@click.option(
    "--body",
    type=click.File("rb"),
    metavar="FILE",
    help="File with the resource's body; - for standard input.",
)
@click.option("--delete", "is_deletion", is_flag=True, help="Delete the resource.")
@click.option(
    "--expected",
    "expected_revision",
    type=click.IntRange(0),
    help="Publish only if the resource has this revision; 0: only if it does not exist.",
)
@servers_option
@key_option
def publish(  # noqa: PLR0913  one parameter for each option
    kind: str,
    name: str,
    body: BinaryIO | None,
    is_deletion: bool,
    expected_revision: int | None,
    servers: list[Address],
    key: bytes,
) -> None:
    """Publish or delete a resource, and print the revision at which the change was accepted.
    SERVERS must be voters.
    """  # noqa: D205  shown as the help text
    if (body is None) != is_deletion:
        raise click.UsageError("give either --body or --delete")
    # Reads one byte over the limit, so that a body that is too long is rejected and not truncated.
    data = None if body is None else body.read(MAX_BODY_BYTES + 1)
    expected = ANY_REVISION if expected_revision is None else expected_revision
    request = admin_client.new_request(kind, name, data, expected)
    response = asyncio.run(admin_client.publish(servers, request, key))
    if response.revision <= 0:
        outcome = "refused" if response.revision == 0 else "not known to be accepted"
        exit_with_error(f"{kind} {name}: {outcome}: {response.reason}")
    click.echo(f"{kind} {name}: revision {response.revision}")


@control.command("show")
@click.argument("kind")
@click.argument("name", required=False, default="")
@servers_option
@key_option
@control_json_option
def print_resources(
    kind: str, name: str, servers: list[Address], key: bytes, as_json: bool
) -> None:
    """Show the resources of one kind that a server holds: the body of resource NAME, or without
    NAME the names and revisions of all.
    """  # noqa: D205  shown as the help text
    try:
        resources = asyncio.run(admin_client.lookup(servers, kind, name, key))
    except admin_client.NoResponseError as error:
        exit_with_error(str(error))
    if name and not resources:
        exit_with_error(f"{kind} {name}: no such resource")
    lines = [_body_text(resources[0])] if name else _resource_lines(resources)
    print_result(as_json, [_resource_json(resource) for resource in resources], lines)


def _body_text(resource: Resource) -> str:
    return (resource.body or b"").decode(errors="replace")


def _resource_json(resource: Resource) -> JsonObject:
    return {
        "kind": resource.kind,
        "name": resource.name,
        "revision": resource.revision,
        "body": _body_text(resource),
    }


def _resource_lines(resources: Sequence[Resource]) -> Iterator[str]:
    for resource in resources:
        size = len(resource.body or b"")
        yield f"{resource.name}  revision {resource.revision}, {size} bytes"


@control.command()
@servers_option
@key_option
@control_json_option
def status(servers: list[Address], key: bytes, as_json: bool) -> None:
    """Show the revision that each server and subscriber has applied, and which of them lag."""
    overview = asyncio.run(admin_client.fetch_overview(servers, key))
    print_result(as_json, overview_json(overview), overview_lines(overview))
    if not overview.is_healthy:
        sys.exit(EXIT_FAILED)
