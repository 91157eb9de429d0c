"""The commands `dockthread work`: maintenance requests, and offline planning of their order.

Exit codes: 0 success; 1 the ingress rejects the request or cannot be reached; 2 invalid arguments.
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

response_json_option = json_option("Print the ingress's JSON response.")


class ListedRequest(TypedDict):
    """The fields of a maintenance request in the management endpoint's JSON that the text shows.

    Attributes:
        target: The backend or ingress to take out of service.
        state: State of the request.
        why: Comment of the person or tool that made the request.
        reason: Why the request is in this state.
    """

    target: str
    state: str
    why: NotRequired[str]
    reason: NotRequired[str]


def _parse_duration_s(text: str) -> float:
    """Return a duration in s, or 0 for an empty text; raise ValueError if it is invalid."""
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
    """Propose a maintenance command through an ingress, and print the request's new state."""
    response = send_admin_request_or_exit(endpoint, "POST", f"/_work/{command}", body)
    print_result(as_json, response, (_request_line(request) for request in [response]))


@click.group()
def work() -> None:
    """Schedule maintenance: the ingresses agree on the order in which machines are taken out."""


@work.command()
@click.argument("target")
@click.option("--why", "comment", default="", help="Comment that is shown with the request.")
@click.option(
    "--urgency",
    default=0,
    show_default=True,
    type=click.IntRange(-100, 100),
    help="Requests with a higher urgency are granted first.",
)
@click.option(
    "--for",
    "duration_s",
    callback=parse_with(_parse_duration_s),
    metavar="TIME",
    help="Expected duration of the maintenance, such as 2h.",
)
@endpoint_option
@response_json_option
def ask(  # noqa: PLR0913  one parameter for each option
    target: str,
    comment: str,
    urgency: int,
    duration_s: float | None,
    endpoint: Address,
    as_json: bool,
) -> None:
    """Request maintenance of a licence node or an ingress. A repeated request adds no second one."""
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
    """Report that the maintenance is done; the machine returns to service with a slow start."""
    _propose("done", {"target": target}, endpoint, as_json)


@work.command()
@click.argument("target")
@endpoint_option
@response_json_option
def withdraw(target: str, endpoint: Address, as_json: bool) -> None:
    """Withdraw a request; a machine that is out returns to service."""
    _propose("withdraw", {"target": target}, endpoint, as_json)


@work.command("list")
@endpoint_option
@response_json_option
def list_requests(endpoint: Address, as_json: bool) -> None:
    """List waiting, granted and recently finished requests."""
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
    help="Maximum number of machines of one zone that are out at once.",
)
@response_json_option
def plan(file: Path, max_unavailable: int, as_json: bool) -> None:
    """Compute offline in which order the machines of FILE would be taken out, and why each waits.
    A line of FILE has the form MACHINE ZONE [URGENCY].
    """  # noqa: D205  shown as the help text
    from dockthread.maintenance.plan import plan_rounds, read_plan

    try:
        rounds = plan_rounds(read_plan(file.read_text(), str(file)), max_unavailable)
    except (ValueError, OSError) as error:
        exit_with_error(str(error))
    content = [
        {"goes": planned_round.granted, "waits": dict(planned_round.waiting)}
        for planned_round in rounds
    ]
    print_result(as_json, content, _plan_lines(rounds))


def _plan_lines(rounds: Sequence[MaintenanceRound]) -> Iterator[str]:
    for number, planned_round in enumerate(rounds, 1):
        yield f"{number}. {', '.join(planned_round.granted)}"
        for backend in planned_round.waiting:
            yield f"   {backend.name} waits: {backend.reason}"
