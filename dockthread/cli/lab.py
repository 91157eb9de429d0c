"""The commands `dockthread lab`, which test ingresses under load and under injected faults."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import click

from dockthread.cli.lab_distribution import distribution
from dockthread.cli.lab_fleet import fleet
from dockthread.cli.lab_scale import scale
from dockthread.config.address import Address, host_port
from dockthread.config.platform_settings import read_policy_settings_file
from dockthread.errors import SettingsError
from dockthread.lab.arrivals import (
    RequestMix,
    parse_rate_shape,
    parse_weights,
    read_trace,
    write_trace,
)
from dockthread.lab.load import LoadTarget
from dockthread.lab.load_result import ANSWERED, LoadResult, RequestOutcome
from dockthread.lab.processes import LoadPlan, send_from_processes, send_share
from dockthread.policy import Effect

EXIT_NO_RESPONSE = 1
EXIT_INVALID_RUN = 2
DEFAULT_CLASSES = "seat-status:3,seat-checkout:1"
DEFAULT_DEADLINES = "seat-status:4,seat-checkout:12"
PROGRESS_INTERVAL_S = 0.2  # Minimum time between two updates of the progress bar.


@click.group()
def lab() -> None:
    """Test ingresses under a known load and under injected faults."""


lab.add_command(distribution)
lab.add_command(fleet)
lab.add_command(scale)


def option_callback(parse: Any) -> Any:
    """Return a click callback that parses a text; the parser raises ValueError or SettingsError."""

    def callback(ctx: click.Context, param: click.Parameter, value: Any) -> Any:
        try:
            return parse(value) if value is not None else None
        except (ValueError, SettingsError) as error:
            raise click.BadParameter(str(error)) from error

    return callback


def parse_address(text: str) -> Address:
    """Return the address that a text names; raise ValueError if it is not one."""
    host_and_port = host_port(text)
    if host_and_port is None:
        raise ValueError(f"{text!r} is not an address: write HOST:PORT")
    return Address(*host_and_port)


@lab.command()
@click.argument("target", metavar="ADDRESS", callback=option_callback(parse_address))
@click.option(
    "--rate",
    default="140@10s",
    show_default=True,
    callback=option_callback(parse_rate_shape),
    help="Requests per second over time; 100>300@30s,300@1min is a ramp, then a constant rate.",
)
@click.option(
    "--trace",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Send the arrivals of this recorded trace instead of generated ones.",
)
@click.option(
    "--record",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the arrivals as a trace.",
)
@click.option(
    "--class",
    "classes",
    default=DEFAULT_CLASSES,
    show_default=True,
    callback=option_callback(parse_weights),
    help="Request classes and their weights.",
)
@click.option(
    "--plan",
    "plans",
    default="klein:2,mittel:1,gross:1",
    show_default=True,
    callback=option_callback(parse_weights),
    help="Plans and their weights.",
)
@click.option(
    "--firms",
    default=200,
    show_default=True,
    type=click.IntRange(1, 1_000_000),
    help="Number of customers of each plan.",
)
@click.option(
    "--skew",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 10),
    help="Skew of the load across customers; at 0 all customers send equally.",
)
@click.option(
    "--units",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1_000),
    help="Maximum units of a request.",
)
@click.option(
    "--gateways",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1_000),
    help="Number of ingresses over which the customers spread their requests.",
)
@click.option(
    "--deadline",
    default=DEFAULT_DEADLINES,
    show_default=True,
    callback=option_callback(parse_weights),
    help="Deadline of each class, in seconds.",
)
@click.option(
    "--write",
    default="seat-checkout",
    show_default=True,
    help="Classes that are sent with the verb API.WRITE.",
)
@click.option(
    "--settings",
    metavar="JSON",
    help="Take classes' deadlines and verbs from the platform's settings.",
)
@click.option(
    "--connections",
    default=1000,
    show_default=True,
    type=click.IntRange(1, 100_000),
    help="Maximum number of connections of a sending process.",
)
@click.option(
    "--processes",
    default=1,
    show_default=True,
    type=click.IntRange(1, 64),
    help="Number of processes that send the load.",
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the random arrivals and customers."
)
@click.option("--json", "as_json", is_flag=True, help="Print the summary as one JSON object.")
@click.pass_context
def load(
    ctx: click.Context,
    target: Address,
    rate: Any,
    trace: Path | None,
    record: Path | None,
    classes: Any,
    plans: Any,
    firms: int,
    skew: float,
    units: int,
    gateways: int,
    deadline: Any,
    write: str,
    settings: str | None,
    connections: int,
    processes: int,
    seed: int,
    as_json: bool,
) -> None:
    """Send an open-loop load to an ingress, or to any other server of the same protocol.

    Latencies count from the intended start of each request, so that no stall is hidden. Exit codes:
    0 success; 1 no request was answered; 2 the run is void because the load generator fell behind,
    or the arguments are invalid.
    """
    deadlines = dict(deadline)
    write_classes = frozenset(filter(None, write.split(",")))
    if settings:
        policy_settings, names = read_policy_settings_file(settings)
        classes_by_name = list(zip(names.classes, policy_settings.classes, strict=True))
        deadlines = {name: request_class.deadline for name, request_class in classes_by_name}
        write_classes = frozenset(
            name
            for name, request_class in classes_by_name
            if request_class.effect is not Effect.SAFE
        )
    mix = RequestMix(classes, plans, firms, skew, units, gateways)
    load_target = LoadTarget(target.host, target.port, deadlines, write_classes, connections)
    plan = LoadPlan(load_target, seed, rate, mix, trace)
    try:
        sent_classes = (
            {arrival.request_class for arrival in read_trace(trace)}
            if trace
            else {name for name, _ in classes}
        )
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    if unknown := sorted(sent_classes - deadlines.keys()):
        raise click.UsageError(
            f"no deadline is known for {', '.join(unknown)}: set --deadline or --settings"
        )
    if record:
        click.echo(f"{write_trace(record, plan.arrivals())} arrivals written to {record}", err=True)
    expected_requests = sum(segment.expected_requests for segment in rate) if not trace else None
    result = _send(plan, processes, expected_requests)
    if as_json:
        click.echo(json.dumps(result.summary()))
    else:
        for line in summary_lines(result):
            click.echo(line)
    if result.void_reason:
        ctx.exit(EXIT_INVALID_RUN)
    if not any(result.total(outcome) for outcome in ANSWERED):
        ctx.exit(EXIT_NO_RESPONSE)


def _send(plan: LoadPlan, processes: int, expected_requests: float | None) -> LoadResult:
    """Send the load; a single process shows its progress towards the expected request count."""
    if processes > 1:
        return send_from_processes(plan, processes)
    from rich.console import Console
    from rich.progress import Progress

    updated_at = 0.0
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("requests", total=expected_requests)

        def show_progress(sent_requests: int) -> None:
            """Update the progress bar, at most once every `PROGRESS_INTERVAL_S`."""
            nonlocal updated_at
            if time.monotonic() - updated_at > PROGRESS_INTERVAL_S:
                updated_at = time.monotonic()
                progress.update(task, completed=sent_requests)

        return asyncio.run(send_share(plan, 0, 1, show_progress))


def summary_lines(result: LoadResult) -> list[str]:
    """Return the summary of a load run as text."""
    summary = result.summary()
    counts = ", ".join(
        f"{summary['outcomes'][outcome]} {outcome}"
        for outcome in RequestOutcome
        if summary["outcomes"][outcome]
    )
    lines = [
        f"{summary['asked']} requests in {summary['seconds']:g} s "
        f"over {summary['connections']} connections: {counts}"
    ]
    for class_name, quantiles in summary["times_ms"].items():
        times = ", ".join(f"{quantile} {value:g}" for quantile, value in quantiles.items())
        outcomes = summary["by_class"][class_name]
        lines.append(f"{class_name}: {outcomes}; ms from the intended start: {times}")
    lateness = summary["start_lateness_ms"]
    lines.append(
        f"start lateness, ms: p50 {lateness['p50']:g}, p99 {lateness['p99']:g}, "
        f"max {lateness['max']:g}; "
        f"{summary['tool_cpu_us_per_request']:g} us of load generator CPU per request"
    )
    if summary["void"]:
        lines.append(f"void: {summary['void']}")
    return lines
