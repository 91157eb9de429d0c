"""The commands `dockthread fleet`, which create a member's directory and show a member's status.

Exit codes: 0 success; 1 the ingress rejects the request or cannot be reached; 2 invalid arguments.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import TypedDict

import click

from dockthread.cli.admin_request import endpoint_option, send_admin_request_or_exit
from dockthread.cli.options import json_option
from dockthread.cli.output import exit_with_error, print_result
from dockthread.config.address import Address


class MemberStatus(TypedDict):
    """The fields of a member's status in the management endpoint's JSON that the text shows.

    Attributes:
        name: Name of the member.
        role: Its role in the Raft group.
        term: Its Raft term.
        leader: Name of the leader; empty or None if the member knows no leader.
        voters: Names of the voters.
        last: Index of its last log entry.
        commit: Its commit index.
        applied: Index of the last entry that it applied.
    """

    name: str
    role: str
    term: int
    leader: str | None
    voters: list[str]
    last: int
    commit: int
    applied: int


@click.group()
def fleet() -> None:
    """Set up and inspect the members of a fleet of ingresses."""


@fleet.command()
@click.argument("directory", metavar="FOLDER", type=click.Path(path_type=Path))
@click.option("--name", required=True, help="Name of the ingress that will own the folder.")
def init(directory: Path, name: str) -> None:
    """Create the folder of a new member. A member that lost its folder must take a new name."""
    from dockthread.raft.storage import RaftStorage, RaftStorageError

    try:
        RaftStorage(directory, name, create=True).close()
    except (OSError, RaftStorageError) as error:
        exit_with_error(f"{directory}: {error}")
    click.echo(f"{directory} is the folder of {name}")


@fleet.command()
@endpoint_option
@json_option("Print the ingress's JSON response.")
def status(endpoint: Address, as_json: bool) -> None:
    """Show one member's role, term, leader, voters and log indexes."""
    member_status = send_admin_request_or_exit(endpoint, "GET", "/_fleet")
    print_result(as_json, member_status, _status_lines(member_status))


def _status_lines(member: MemberStatus) -> Iterator[str]:
    leader = member["leader"] or "nobody"
    yield f"{member['name']} is {member['role']} in term {member['term']}, led by {leader}"
    yield f"voters: {', '.join(member['voters'])}"
    log = f"{member['last']} entries, {member['commit']} committed, {member['applied']} applied"
    yield f"log: {log}"
