"""`dockthread metrics`: the list of them, and the stand-in that receives them."""

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
from dockthread.telemetry.collectd import Opener
from dockthread.telemetry.receiver.ledger import Ledger
from dockthread.telemetry.receiver.stand_in import (
    COLLECTD,
    KINDS,
    PICKLE,
    PLAINTEXT,
    UNIX,
    Span,
    StandIn,
)


@click.group()
def metrics() -> None:
    """What an ingress counts, and a receiver to try it with."""


@metrics.command("list")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def list_(as_json: bool) -> None:
    """Every metric: path behind PREFIX.INGRESS, kind, unit, meaning."""
    width = max(len(m.path) for m in METRICS)
    for m in METRICS:
        if as_json:
            click.echo(
                json.dumps({"path": m.path, "kind": m.kind, "unit": m.unit, "meaning": m.meaning})
            )
        else:
            click.echo(f"{m.path:<{width}}  {m.kind:<6}  {m.unit:<11}  {m.meaning}")


class SpanType(click.ParamType[Span]):
    name = "span"

    def convert(self, value: Any, param: Any, ctx: Any) -> Span:
        try:
            return Span.parse(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


class DurationType(click.ParamType[Duration]):
    name = "duration"

    def convert(self, value: Any, param: Any, ctx: Any) -> Duration:
        try:
            return value if isinstance(value, Duration) else Duration.parse(value)
        except ValueError as error:
            self.fail(f"{value!r} {error}", param, ctx)


@metrics.command()
@click.option(
    "--plaintext", default="127.0.0.1:0", show_default=True, help="Graphite's lines; '' for none."
)
@click.option(
    "--pickle", default="127.0.0.1:0", show_default=True, help="Graphite's pickles; '' for none."
)
@click.option(
    "--collectd", default="127.0.0.1:0", show_default=True, help="Collectd's packets; '' for none."
)
@click.option("--unix", default="", help="Path of a socket that takes PUTVAL.")
@click.option(
    "--security", type=click.Choice(["none", "sign", "encrypt"]), default="none", show_default=True
)
@click.option("--user", default="", help="For signed and encrypted packets.")
@click.option("--password-file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--store", default=":memory:", show_default=True, help="An SQLite file that keeps what comes."
)
@click.option(
    "--for", "span", type=DurationType(), default=None, help="End after so long, such as 60s."
)
@click.option(
    "--misbehave",
    type=SpanType(),
    multiple=True,
    metavar="KIND@START+LENGTH",
    help=f"Such as vanish@10s+60s. Kinds: {', '.join(KINDS)}.",
)
@click.option(
    "--only", default="", help="Print only totals of series with this text in their name."
)
@click.option("--json", "as_json", is_flag=True, help="Totals as one JSON object.")
def receive(
    plaintext: str,
    pickle: str,
    collectd: str,
    unix: str,
    security: str,
    user: str,
    password_file: str | None,
    store: str,
    span: Duration | None,
    misbehave: tuple[Span, ...],
    only: str,
    as_json: bool,
) -> None:
    """Play Graphite and collectd, and print the totals of all counts over all lives at the end.

    Prints where it listens, one line a protocol, then waits for SIGINT, SIGTERM or the end of
    --for.
    """
    passwords = {}
    if password_file:
        with open(password_file, "rb") as file:
            passwords[user] = file.read().split(b"\n")[0]
    ledger = Ledger(store)
    stand_in = StandIn(ledger, Opener(security, passwords))
    wanted = {PLAINTEXT: plaintext, PICKLE: pickle, COLLECTD: collectd, UNIX: unix}
    try:
        asyncio.run(
            _receive(stand_in, {name: at for name, at in wanted.items() if at}, misbehave, span)
        )
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error}") from error
    report(ledger, only, as_json)
    ledger.close()


async def _receive(
    stand_in: StandIn, wanted: dict[str, str], spans: tuple[Span, ...], length: Duration | None
) -> None:
    end, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, end.set)
    await stand_in.start(**wanted)
    for protocol, address in stand_in.addresses.items():
        click.echo(f"{protocol} at {address}")
    sys.stdout.flush()
    playing = loop.create_task(stand_in.play(spans))
    with suppress(TimeoutError):
        await asyncio.wait_for(end.wait(), length / 1000.0 if length else None)
    playing.cancel()
    await asyncio.sleep(0.05)  # for what is in the sockets to be read
    stand_in.stop()


def report(ledger: Ledger, only: str, as_json: bool) -> None:
    totals = ledger.totals(only)
    if as_json:
        found: dict[str, dict[str, float]] = {}
        for total in totals:
            found.setdefault(total.source, {})[total.series] = total.value
        faults = {f"{source}: {kind}": many for (source, kind), many in ledger.faults().items()}
        click.echo(json.dumps({"totals": found, "faults": faults, "points": dict(ledger.seen)}))
        return
    for total in totals:
        click.echo(
            f"{total.source:<9}  {total.value:>14.10g}  {total.incarnations} lives  {total.series}"
        )
    for (source, kind), many in ledger.faults().items():
        click.echo(f"{source:<9}  {many:>14}  faults: {kind}")
    click.echo(f"{sum(ledger.seen.values())} points in all")
