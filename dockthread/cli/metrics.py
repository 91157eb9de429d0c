"""The commands `dockthread metrics`: the list of all metrics, and a stand-in receiver for them."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from contextlib import suppress
from typing import Any

import click

from dockthread.config.quantities import Duration
from dockthread.telemetry.catalogue import METRICS
from dockthread.telemetry.collectd import PacketDecoder
from dockthread.telemetry.receiver.ledger import Ledger
from dockthread.telemetry.receiver.stand_in import (
    COLLECTD,
    FAULT_KINDS,
    PICKLE,
    PLAINTEXT,
    PUTVAL,
    FaultWindow,
    StandIn,
)


@click.group()
def metrics() -> None:
    """List the metrics of an ingress, or receive them with a stand-in receiver."""


@metrics.command("list")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def list_metrics(as_json: bool) -> None:
    """List all metrics with path, kind, unit and meaning. PREFIX.INGRESS precedes each path."""
    path_width = max(len(metric.path) for metric in METRICS)
    for metric in METRICS:
        path, kind, unit, meaning = metric.path, metric.kind, metric.unit, metric.meaning
        if as_json:
            click.echo(json.dumps({"path": path, "kind": kind, "unit": unit, "meaning": meaning}))
        else:
            click.echo(f"{path:<{path_width}}  {kind:<6}  {unit:<11}  {meaning}")


class FaultWindowType(click.ParamType[FaultWindow]):
    """A fault with its start and duration, written as KIND@START+LENGTH."""

    name = "span"

    def convert(self, value: Any, param: Any, ctx: Any) -> FaultWindow:
        try:
            return FaultWindow.parse(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


class DurationType(click.ParamType[Duration]):
    """A duration with its unit, such as 60s."""

    name = "duration"

    def convert(self, value: Any, param: Any, ctx: Any) -> Duration:
        try:
            return value if isinstance(value, Duration) else Duration.parse(value)
        except ValueError as error:
            self.fail(f"{value!r} {error}", param, ctx)


@metrics.command()
@click.option(
    "--plaintext",
    default="127.0.0.1:0",
    show_default=True,
    help="Address for Graphite's plaintext protocol; '' for none.",
)
@click.option(
    "--pickle",
    default="127.0.0.1:0",
    show_default=True,
    help="Address for Graphite's pickle protocol; '' for none.",
)
@click.option(
    "--collectd",
    default="127.0.0.1:0",
    show_default=True,
    help="Address for collectd's packets; '' for none.",
)
@click.option("--unix", default="", help="Path of a Unix socket that accepts PUTVAL commands.")
@click.option(
    "--security",
    type=click.Choice(["none", "sign", "encrypt"]),
    default="none",
    show_default=True,
    help="Security that collectd's packets must have.",
)
@click.option("--user", default="", help="User name of signed and encrypted packets.")
@click.option(
    "--password-file",
    type=click.Path(exists=True, dir_okay=False),
    help="File whose first line is the user's password.",
)
@click.option(
    "--store",
    default=":memory:",
    show_default=True,
    help="SQLite file for the received points.",
)
@click.option(
    "--for",
    "duration",
    type=DurationType(),
    default=None,
    help="Exit after this time, such as 60s.",
)
@click.option(
    "--misbehave",
    type=FaultWindowType(),
    multiple=True,
    metavar="KIND@START+LENGTH",
    help=f"Misbehave for a while, such as vanish@10s+60s. Kinds: {', '.join(FAULT_KINDS)}.",
)
@click.option(
    "--only", default="", help="Print only totals of series whose name contains this text."
)
@click.option("--json", "as_json", is_flag=True, help="Print the totals as one JSON object.")
def receive(
    plaintext: str,
    pickle: str,
    collectd: str,
    unix: str,
    security: str,
    user: str,
    password_file: str | None,
    store: str,
    duration: Duration | None,
    misbehave: tuple[FaultWindow, ...],
    only: str,
    as_json: bool,
) -> None:
    """Receive metrics as Graphite and collectd do, and print the total of each counter at the end.

    A total covers all restarts of an ingress. The command prints the address of each protocol, one
    per line, and then runs until SIGINT, SIGTERM or the end of --for.
    """
    passwords = {}
    if password_file:
        with open(password_file, "rb") as file:
            passwords[user] = file.read().split(b"\n")[0]
    ledger = Ledger(store)
    stand_in = StandIn(ledger, PacketDecoder(security, passwords))
    options = {PLAINTEXT: plaintext, PICKLE: pickle, COLLECTD: collectd, PUTVAL: unix}
    addresses = {protocol: address for protocol, address in options.items() if address}
    try:
        asyncio.run(_receive(stand_in, addresses, misbehave, duration))
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error}") from error
    print_totals(ledger, only, as_json)
    ledger.close()


async def _receive(
    stand_in: StandIn,
    addresses: dict[str, str],
    fault_windows: tuple[FaultWindow, ...],
    duration: Duration | None,
) -> None:
    """Receive metrics until a signal or the end of the time, and simulate the given faults."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stand_in.start(**addresses)
    for protocol, address in stand_in.addresses.items():
        click.echo(f"{protocol} at {address}")
    sys.stdout.flush()
    fault_task = loop.create_task(stand_in.run_faults(fault_windows))
    with suppress(TimeoutError):
        await asyncio.wait_for(stop_requested.wait(), duration / 1000.0 if duration else None)
    fault_task.cancel()
    await asyncio.sleep(0.05)  # Leaves time to read the data that is still in the sockets.
    stand_in.stop()


def print_totals(ledger: Ledger, only: str, as_json: bool) -> None:
    """Print the totals, the faults and the number of points of a ledger."""
    totals = ledger.totals(only)
    if as_json:
        totals_by_source: dict[str, dict[str, float]] = {}
        for total in totals:
            totals_by_source.setdefault(total.source, {})[total.series] = total.value
        faults = {f"{source}: {kind}": count for (source, kind), count in ledger.faults().items()}
        content = {
            "totals": totals_by_source,
            "faults": faults,
            "points": dict(ledger.points_received),
        }
        click.echo(json.dumps(content))
        return
    for total in totals:
        value = f"{total.value:>14.10g}"
        click.echo(f"{total.source:<9}  {value}  {total.incarnations} incarnations  {total.series}")
    for (source, kind), count in ledger.faults().items():
        click.echo(f"{source:<9}  {count:>14}  faults: {kind}")
    click.echo(f"{sum(ledger.points_received.values())} points in total")
