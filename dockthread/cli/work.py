"""The commands `dockthread work`: requests for maintenance, and the offline plan of a list.

Exit codes: 0 done; 1 the ingress rejects the request or cannot be reached; 2 wrong arguments.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Final, NotRequired, TypedDict

import click

from dockthread.cli.admin_request import endpoint_option, send_admin_request_or_exit
from dockthread.cli.options import json_option, parse_with
from dockthread.cli.output import JsonObject, exit_with_error, print_result
from dockthread.config.address import Address
from dockthread.config.quantities import Duration

if TYPE_CHECKING:
    from dockthread.maintenance.plan import MaintenanceRound

MS_PER_S: Final = 1000.0
"""Milliseconds in a second."""

response_json_option = json_option("As the ingress says it.")


class ListedRequest(TypedDict):
    """What the text shows of a maintenance request in the JSON of the management endpoint.

    Attributes:
        target: The backend or ingress to be taken out of service.
        state: State of the request.
        why: Comment of whoever made the request.
        reason: Why the request is in this state.
    """

    target: str
    state: str
    why: NotRequired[str]
    reason: NotRequired[str]


def _parse_duration_s(text: str) -> float:
    """Return a duration in s, 0 for an empty text; raises ValueError."""
    if not text:
        return 0.0
    try:
        return Duration.parse(text) / MS_PER_S
    except ValueError as error:
        raise ValueError(f"{text!r} {error}") from error


def _request_line(request: ListedRequest) -> str:
    reason = f": {request['reason']}" if request.get("reason") else ""
    comment = f" ({request['why']})" if request.get("why") else ""
    return f"{request['target']}  {request['state']}{reason}{comment}"


def _propose(command: str, body: JsonObject, endpoint: Address, as_json: bool) -> None:
    """Have the ingresses agree on a maintenance command, and print the request's new state."""
    response = send_admin_request_or_exit(endpoint, "POST", f"/_work/{command}", body)
    print_result(as_json, response, (_request_line(request) for request in [response]))


@click.group()
def work() -> None:
    """The order of work: which machine is taken out when, settled among the ingresses."""


@work.command()
@click.argument("target")
@click.option("--why", "comment", default="", help="For whoever looks.")
@click.option(
    "--urgency",
    default=0,
    show_default=True,
    type=click.IntRange(-100, 100),
    help="Higher goes first.",
)
@click.option(
    "--for",
    "duration_s",
    callback=parse_with(_parse_duration_s),
    metavar="TIME",
    help="How long it is to take, such as 2h.",
)
@endpoint_option
@response_json_option
def ask(  # noqa: PLR0913  one for each option
    target: str,
    comment: str,
    urgency: int,
    duration_s: float | None,
    endpoint: Address,
    as_json: bool,
) -> None:
    """Ask for the turn of a licence node or of an ingress. Asked twice it is one request."""
    body: JsonObject = {
        "target": target,
        "why": comment,
        "urgency": urgency,
        "for": duration_s or 0.0,
    }
    _propose("ask", body, endpoint, as_json)


@work.command()
@click.argument("target")
@endpoint_option
@response_json_option
def done(target: str, endpoint: Address, as_json: bool) -> None:
    """The work is done: the machine comes back, cold."""
    _propose("done", {"target": target}, endpoint, as_json)


@work.command()
@click.argument("target")
@endpoint_option
@response_json_option
def withdraw(target: str, endpoint: Address, as_json: bool) -> None:
    """Take a request back; a machine that is out comes back."""
    _propose("withdraw", {"target": target}, endpoint, as_json)


@work.command("list")
@endpoint_option
@response_json_option
def list_requests(endpoint: Address, as_json: bool) -> None:
    """What is asked for, granted, and lately over."""
    listing = send_admin_request_or_exit(endpoint, "GET", "/_work")
    lines = (_request_line(request) for key in ("work", "over") for request in listing[key])
    print_result(as_json, listing, lines)


@work.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--most-out",
    "max_unavailable",
    default=1,
    show_default=True,
    type=click.IntRange(1),
    help="Of one zone at once.",
)
@response_json_option
def plan(file: Path, max_unavailable: int, as_json: bool) -> None:
    """Offline: in what order the machines of FILE would go, and why each waits. A line: MACHINE
    ZONE [URGENCY].
    """  # noqa: D205  shown as the help text
    from dockthread.maintenance.plan import plan_rounds, read_plan

    try:
        rounds = plan_rounds(read_plan(file.read_text(), str(file)), max_unavailable)
    except (ValueError, OSError) as error:
        exit_with_error(str(error))
    content = [{"goes": one.granted, "waits": dict(one.waiting)} for one in rounds]
    print_result(as_json, content, _plan_lines(rounds))


def _plan_lines(rounds: Sequence[MaintenanceRound]) -> Iterator[str]:
    for number, planned_round in enumerate(rounds, 1):
        yield f"{number}. {', '.join(planned_round.granted)}"
        for backend in planned_round.waiting:
            yield f"   {backend.name} waits: {backend.reason}"
