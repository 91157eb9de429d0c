"""The command `dockthread lab scale`: measures the control plane's cost for many ingresses.

Exit codes: 0 all requested bounds hold; 1 a bound is broken, or the checker found a fault; 2 the
run is void, or the arguments are invalid.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import click

from dockthread.config.quantities import Duration, Share, Size
from dockthread.lab.scale.channel import ProcessError
from dockthread.lab.scale.plan import FAULTS, PlanError, RunPlan, parse_change_rates
from dockthread.lab.scale.seeded_defects import DEFECT_NAMES
from dockthread.lab.scale.usage import ProcessEndedError

EXIT_CODES = {"holds": 0, "broken": 1, "void": 2}
VOID_EXIT_CODE = 2
MAX_WINDOW_S = 600.0  # Maximum length of a window in seconds.


def parsing_callback(parse: Callable[[str], Any]) -> Any:
    """Return a click callback that parses an option and returns None for an absent one."""

    def callback(ctx: click.Context, param: click.Parameter, value: str | None) -> Any:
        try:
            return None if value is None else parse(value)
        except ValueError as error:
            raise click.BadParameter(str(error)) from error

    return callback


def bound_or_infinity(value: float | None) -> float:
    """Return a requested upper bound, or infinity for an absent one."""
    return math.inf if value is None else float(value)


@click.group("scale", invoke_without_command=True)
@click.option(
    "--real",
    default=0,
    show_default=True,
    type=click.IntRange(0, 32),
    help="Number of real ingresses, each a daemon under load.",
)
@click.option(
    "--hollow",
    default=200,
    show_default=True,
    type=click.IntRange(0, 4000),
    help="Number of hollow (simulated) ingresses, many to a process.",
)
@click.option("--backends", default=240, show_default=True, type=click.IntRange(1, 60_000))
@click.option("--services", default=15, show_default=True, type=click.IntRange(1, 10_000))
@click.option(
    "--changes",
    default="5",
    show_default=True,
    callback=parsing_callback(parse_change_rates),
    metavar="RATE",
    help="Changes per second, for both kinds or as list=RATE,config=RATE.",
)
@click.option(
    "--seconds", default=10.0, show_default=True, type=click.FloatRange(1.0, MAX_WINDOW_S)
)
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--fault", default="none", show_default=True, type=click.Choice(FAULTS))
@click.option("--rate", default=100.0, show_default=True, type=click.FloatRange(0, 5000),
              help="Requests per second to each real ingress.")  # fmt: skip
@click.option("--routes", default=100, show_default=True, type=click.IntRange(1, 20_000),
              help="Routes published before the first window if the configuration changes.")  # fmt: skip
@click.option("--distributors", default=2, show_default=True, type=click.IntRange(1, 32))
@click.option(
    "--hosts",
    default=0,
    type=click.IntRange(0, 64),
    help="Processes that run the hollow ingresses; 0 derives it from their number.",
)
@click.option(
    "--most-lag",
    callback=parsing_callback(Duration.parse),
    metavar="TIME",
    help="Maximum time until a change is in force at the last ingress.",
)
@click.option(
    "--most-cpu",
    callback=parsing_callback(Share.parse),
    metavar="SHARE",
    help="Maximum CPU of one ingress, as a share of a core.",
)
@click.option(
    "--most-memory",
    callback=parsing_callback(Size.parse),
    metavar="SIZE",
    help="Maximum memory of one ingress; 1MB is 1000000 B.",
)
@click.option(
    "--most-bytes",
    callback=parsing_callback(Size.parse),
    metavar="SIZE",
    help="Maximum bytes per second of one ingress.",
)
@click.option(
    "--most-added",
    callback=parsing_callback(Duration.parse),
    metavar="TIME",
    help="Maximum latency added to the p99 of the real ingresses' answers.",
)
@click.option(
    "--most-late",
    default="250ms",
    show_default=True,
    callback=parsing_callback(Duration.parse),
    metavar="TIME",
    help="The run is void when the p99 lateness of the tool's event loops exceeds this.",
)
@click.option(
    "--plant",
    default="",
    type=click.Choice(["", *DEFECT_NAMES]),
    help="Plant this seeded defect, which the checker must find.",
)
@click.option("--label", default="", help="Label kept in the report, such as the measured commit.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as one JSON object.")
@click.option(
    "--report",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the report to this file.",
)
@click.pass_context
def scale(
    ctx: click.Context, /, as_json: bool, path: Path | None, label: str, **plan_values: Any
) -> None:
    """Run real and hollow ingresses under control-plane changes and measure the cost per ingress.

    Exit codes: 0 all requested bounds hold; 1 a bound is broken, or the checker found a fault; 2
    the run is void.
    """
    if ctx.invoked_subcommand is not None:
        return
    from dockthread.lab.scale.report import Bounds, build_report
    from dockthread.lab.scale.run import ScaleRun
    from dockthread.lab.scale.text import report_lines

    bound_values = {
        name: plan_values.pop(f"most_{name}")
        for name in ("lag", "cpu", "memory", "bytes", "added", "late")
    }
    bounds = Bounds(
        bound_or_infinity(bound_values["lag"]),
        100.0 * bound_or_infinity(bound_values["cpu"]),
        bound_or_infinity(bound_values["memory"]),
        bound_or_infinity(bound_values["bytes"]),
        bound_or_infinity(bound_values["added"]),
        bound_or_infinity(bound_values["late"]),
    )
    plan = checked_plan(plan_values)
    header = {
        "label": label,
        "command": " ".join(["dockthread", *sys.argv[1:]]),
        "started": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }
    load_average_before = os.getloadavg()
    try:
        with TemporaryDirectory() as folder:
            run = ScaleRun(plan, Path(folder))
            asyncio.run(run.execute())
        report = build_report(run, bounds)
    except (ProcessError, ProcessEndedError, OSError) as error:
        report = {"void": [str(error)], "verdict": "void"}
    report = {
        **header,
        "machine": {
            "cores": os.cpu_count(),
            "load_average": os.getloadavg(),
            "load_average_before": load_average_before,
        },
        **report,
    }
    if path is not None:
        path.write_text(json.dumps(report, indent=1) + "\n")
    if as_json:
        click.echo(json.dumps(report))
    else:
        click.echo(
            "\n".join(report_lines(report) if "size" in report else [f"void: {report['void'][0]}"])
        )
    sys.exit(EXIT_CODES[report["verdict"]])


def checked_plan(plan_values: dict[str, Any]) -> RunPlan:
    """Build and check the plan of a run. Raises click.UsageError if it cannot be run."""
    plan = RunPlan(**plan_values)
    try:
        plan.check()
    except PlanError as error:
        raise click.UsageError(str(error)) from error
    return plan


def parse_size(text: str) -> dict[str, float]:
    """Parse a size such as `ingresses=1600,backends=24000`."""
    from dockthread.lab.scale.fit import SIZE_KEYS

    size = {}
    for part in filter(None, text.split(",")):
        name, _, value = part.strip().partition("=")
        if name not in SIZE_KEYS:
            raise ValueError(f"{name!r} is not a size: write {', '.join(SIZE_KEYS)}")
        size[name] = float(value)
    return size


@scale.command()
@click.argument(
    "reports", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option(
    "--at",
    default="",
    callback=parsing_callback(parse_size),
    metavar="SIZE=N,...",
    help="Extrapolate to this size.",
)
@click.option("--terms", default="ingresses,backends,changes,configuration,routes", show_default=True,
              help="Terms of the line: sizes, or products such as backends*changes.")  # fmt: skip
@click.option("--without-void", is_flag=True, help="Leave out void runs.")
@click.option("--json", "as_json", is_flag=True, help="Print the result as one JSON object.")
def fit(
    reports: tuple[Path, ...], at: dict[str, float], terms: str, without_void: bool, as_json: bool
) -> None:
    """Fit lines to the figures of at least four reports of different sizes, and extrapolate.

    Exit codes: 0 all lines fit; 1 a line does not fit; 2 no line can be fitted.
    """
    from dockthread.lab.scale.fit import FitError, fit_lines_to_reports, parse_terms
    from dockthread.lab.scale.text import fit_result_lines

    try:
        loaded_reports = [json.loads(path.read_bytes()) for path in reports]
        result = fit_lines_to_reports(loaded_reports, parse_terms(terms), at, not without_void)
    except (FitError, ValueError, KeyError) as error:
        click.echo(f"cannot fit a line: {error}", err=True)
        sys.exit(VOID_EXIT_CODE)
    click.echo(json.dumps(result) if as_json else "\n".join(fit_result_lines(result)))
    sys.exit(0 if all(line["fits"] for line in result["lines"]) else 1)
