"""Builds the report of a run as one JSON object, and compares its figures with the bounds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Final

from dockthread.lab.load_result import ANSWERED, LoadResult, RequestOutcome, new_histogram
from dockthread.lab.scale.checker import MOST_NAMED, judge, published, published_routes
from dockthread.lab.scale.plan import REGIONS, ZONES
from dockthread.lab.scale.run import Run, Window
from dockthread.lab.scale.usage import MEGABYTE, share

VERSION: Final = 2  # Report format version; 2 counts messages in each direction.
LEAST_CHANGES: Final = 10  # Minimum number of changes in force everywhere for a lag figure.
LEAST_ANSWERS: Final = 1000  # Minimum number of answers in each window for a latency figure.
# Maximum CPU of one of the tool's processes, in percent of a core. A busier process can no longer
# keep its schedule.
MOST_SHARE: Final = 90.0
RATES: Final = (
    "bytes_in_s", "bytes_out_s", "configuration_bytes_in_s", "configuration_bytes_out_s", "messages_in_s",
    "messages_out_s", "connections",
)  # fmt: skip
NOTHING: Final = {"in": 0, "out": 0, "connections": 0}
ROLES: Final = ("discovery", "voter", "distributor", "backends", "baseline", "host", "real")
HOLDS, BROKEN, VOID = "holds", "broken", "void"
METHOD: Final = (
    "CPU and RSS from /proc, bytes from TCP_INFO (payload), times on the machine's monotonic clock. A hollow"
    " ingress's cost: that of its processes, less as many empty ones (the baseline), divided by the number hosted."
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Upper bounds for the figures, infinite for a bound that was not requested."""

    lag: float = math.inf
    cpu: float = math.inf
    memory: float = math.inf
    traffic: float = math.inf
    added: float = math.inf
    late: float = 250.0


def quantile(ordered: list[float], part: float) -> float:
    """Return the quantile of ordered values at a fraction, or NaN if there are none."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else math.nan


def summary_of(found: list[float]) -> dict[str, float]:
    """Return the median, the 99th percentile and the maximum, or nothing if there are no values."""
    ordered = sorted(found)
    if not ordered:
        return {}
    marks = {"p50": 0.5, "p99": 0.99, "last": 1.0}
    return {name: round(quantile(ordered, part), 1) for name, part in marks.items()}


def lags(
    changes: list[Any], found: list[dict[str, Any]], expected: int, fault: dict[str, float]
) -> dict[str, Any]:
    """Measure for each change how many ms passed until all `expected` ingresses had it in force.

    Changes published during a fault are listed apart. `changes` holds the revision, the publication
    time and more. `fault` holds when the fault began and ended and the last revision published by
    its end, or is empty.
    """
    count: dict[int, int] = {}
    last: dict[int, float] = {}
    for one in found:
        for number, many, at in one["in_force"]:
            count[int(number)] = count.get(int(number), 0) + int(many)
            last[int(number)] = max(last.get(int(number), 0.0), at)
    plain, within, never = [], [], 0
    for number, at, *_ in changes:
        if count.get(number, 0) < expected:
            never += 1
        elif fault and at >= fault["begun"] and number <= fault["revision"]:
            within.append((last[number] - at) * 1000.0)
        else:
            plain.append((last[number] - at) * 1000.0)
    again = None
    if fault:
        informed = max(one["informed_at"] for one in found)
        again = round(
            max(
                0.0,
                informed - fault["ended"],
                last.get(int(fault["revision"]), 0.0) - fault["ended"],
            ),
            3,
        )
    return {
        "changes": len(plain) + len(within) + never,
        "never": never,
        "lag_ms": summary_of(plain),
        "lag_in_fault_ms": summary_of(within),
        "recovery_s": again,
        "samples": len(plain),
    }


def list_lags(run: Run) -> dict[str, Any]:
    """Measure how long changes of the list took to be in force."""
    changes = [one for one in run.log["changes"] if one[0] != run.opened]
    fault = {name: run.fault[name] for name in ("begun", "ended", "revision")} if run.fault else {}
    found = [*run.findings, *run.ended]
    whole = [at for one in found for number, _, at in one["in_force"] if number == run.opened]
    opened = next(at for number, at, _ in run.log["changes"] if number == run.opened)
    first = {"whole_list_s": round(max(whole) - opened, 3)} if whole and not run.fault else {}
    return {**lags(changes, found, run.plan.ingresses, fault), **first}


def configuration_lags(run: Run) -> dict[str, Any] | None:
    """Measure how long configuration changes took, or return None if the run has none."""
    if not run.plan.distributes:
        return None
    fault = {}
    if run.fault:
        fault = {**run.fault, "revision": run.fault["configuration_revision"]}
    changes = [one for one in run.routes_log["changes"] if one[0] > run.filled]
    found = [one["configuration"] for one in [*run.findings, *run.ended]]
    refused = run.routes_log["refused"]
    return {
        **lags(changes, found, run.plan.ingresses, fault),
        "refused": len(refused),
        "why": refused[:MOST_NAMED],
    }


def cost(window: Window, role: str) -> list[float]:
    """Return the CPU of each process of a role, in percent of a core."""
    return [share(before, after) for before, after in window.usage.get(role, [])]


def rates(window: Window, role: str) -> dict[str, float]:
    """Return the bytes and messages per second of a role's processes, and their connections."""
    seconds = [after.at - before.at for before, after in window.usage.get(role, [])]
    found = dict.fromkeys(RATES, 0.0)
    for length, (before, after) in zip(seconds, window.states.get(role, []), strict=True):
        for kind, prefix in (("traffic", ""), ("control_traffic", "configuration_")):
            old, new = before.get(kind, NOTHING), after.get(kind, NOTHING)
            found[f"{prefix}bytes_in_s"] += max(0, new["in"] - old["in"]) / length
            found[f"{prefix}bytes_out_s"] += max(0, new["out"] - old["out"]) / length
            found["connections"] += new["connections"]
        for way in ("messages_in", "messages_out"):
            found[f"{way}_s"] += max(0, after.get(way, 0) - before.get(way, 0)) / length
    return found


def role_figures(run: Run, role: str) -> dict[str, Any]:
    """Return the figures of all processes of a role together."""
    resident = run.resident.get(role, [])
    return {
        "processes": len(resident),
        "cpu_quiet_percent": round(sum(cost(run.quiet, role)), 3),
        "cpu_percent": round(sum(cost(run.busy, role)), 3),
        "rss_before_list_mb": round(sum(before for before, _ in resident) / MEGABYTE, 2),
        "rss_mb": round(sum(after for _, after in resident) / MEGABYTE, 2),
        **{name: round(value, 1) for name, value in rates(run.busy, role).items()},
    }


def each(run: Run, figures: dict[str, dict[str, Any]]) -> dict[str, dict[str, float]]:
    """Return the figures of one ingress.

    The baseline is subtracted from hollow ingresses. Figures of real ones include the cost of the
    load.
    """
    found: dict[str, dict[str, float]] = {}
    base, host, real = figures["baseline"], figures["host"], figures["real"]
    if run.plan.hollow:
        many, processes = run.plan.hollow, host["processes"]
        found["hollow"] = {
            name: round((host[name] - processes * base[name]) / many, 4)
            for name in ("cpu_quiet_percent", "cpu_percent", "rss_before_list_mb", "rss_mb")
        }
        found["hollow"] |= {name: round(host[name] / many, 2) for name in RATES}
    if run.plan.real:
        found["real"] = {
            name: round(real[name] / run.plan.real, 3) for name in real if name != "processes"
        }
    return found


def latency(run: Run) -> dict[str, Any]:
    """Return the real ingresses' latency in both windows, and the increase of its p99."""
    found: dict[str, Any] = {}
    for window in (run.quiet, run.busy):
        if window.load is None:
            return {}
        result, times = LoadResult(), new_histogram()
        result.merge(window.load)
        for latencies in result.latencies.values():
            times.add(latencies)
        marks = {"p50_ms": 50.0, "p99_ms": 99.0, "max_ms": 100.0}
        found[window.name] = {
            name: round(times.get_value_at_percentile(at) / 1000.0, 3) for name, at in marks.items()
        }
        found[window.name] |= {
            "requests": result.request_count,
            "served": result.total(RequestOutcome.SERVED),
            "void": result.void_reason,
        }
        found[window.name]["answered"] = sum(result.total(outcome) for outcome in ANSWERED)
    found["added_p99_ms"] = round(found["busy"]["p99_ms"] - found["quiet"]["p99_ms"], 3)
    return found


def voids(run: Run, report: dict[str, Any], bounds: Bounds) -> list[str]:
    """Return the reasons why the run is void."""
    why = []
    for role, states in run.busy.states.items():
        if (late := max(after["late"]["p99"] for _, after in states)) > bounds.late:
            why.append(
                f"the tool fell behind: a process of {role} ran one timer in a hundred {late:g} ms late or more"
            )
    why += [
        f"the tool fell behind: a process of {role} used {most:.0f}% of a core"
        for role in ("host", "discovery", "backends", "distributor", "voter")
        if (most := max(cost(run.busy, role), default=0.0)) > MOST_SHARE
    ]
    for log in (run.log, run.routes_log):
        if (late := quantile(log["late_starts"], 0.99)) > bounds.late:
            why.append(
                f"the tool fell behind: one change in a hundred was published {late:.0f} ms late or more"
            )
    if refused := run.routes_log["refused"]:
        why.append(
            f"{len(refused)} changes of the configuration were not accepted, the first: {refused[0]}"
        )
    rates = {
        "list": run.plan.changes.list_rate,
        "configuration": run.plan.changes.configuration_rate,
    }
    for kind, rate in rates.items():
        if rate and math.isfinite(bounds.lag):
            few = report[kind]["samples"] < LEAST_CHANGES and not report[kind]["never"]
            why += [f"too few samples: {report[kind]['samples']} changes of the {kind}"] * few
    if math.isfinite(bounds.added):
        why += _latency_voids(report["latency"])
        why += [
            f"the machine itself was late: an idle process ran one timer in a hundred {late:g} ms late in the"
            f" {window.name} window, over the {bounds.added:g} ms of added latency that were to be seen"
            for window in (run.quiet, run.busy)
            for _, after in window.states["baseline"]
            if (late := after["late"]["p99"]) > bounds.added
        ]
    return why


def _latency_voids(found: dict[str, Any]) -> list[str]:
    if not found:
        return ["too few samples: added latency needs a real ingress under load"]
    why = [
        f"latency, {name} window: {found[name]['void']}"
        for name in ("quiet", "busy")
        if found[name]["void"]
    ]
    few = min(found[name]["answered"] for name in ("quiet", "busy"))
    return why + ([f"too few samples: {few} answers in a window"] if few < LEAST_ANSWERS else [])


def judged(report: dict[str, Any], bounds: Bounds) -> list[dict[str, Any]]:
    """Compare each requested bound with the measured value."""
    one = report["each"].get("hollow") or report["each"]["real"]
    total = sum(one[name] for name in RATES if "bytes" in name)
    measured = {
        "cpu_percent": (bounds.cpu, one["cpu_percent"]),
        "memory_mb": (bounds.memory / MEGABYTE, one["rss_mb"]),
        "bytes_s": (bounds.traffic, total),
        "added_p99_ms": (bounds.added, report["latency"].get("added_p99_ms", 0.0)),
    }
    nothing_missing = 0.0 if math.isfinite(bounds.lag) else math.inf
    for kind in ("list", "configuration"):
        if found := report[kind]:
            measured[f"{kind}_lag_ms"] = (bounds.lag, found["lag_ms"].get("last", 0.0))
            measured[f"{kind}_recovery_ms"] = (bounds.lag, (found["recovery_s"] or 0.0) * 1000.0)
            measured[f"{kind}_never"] = (nothing_missing, float(found["never"]))
    return [
        {"name": name, "most": most, "measured": round(value, 3), "holds": value <= most}
        for name, (most, value) in measured.items()
        if math.isfinite(most)
    ]


def report_of(run: Run, bounds: Bounds) -> dict[str, Any]:
    """Build the report of a completed run."""
    plan, figures = run.plan, {}
    for role in ROLES:
        figures[role] = role_figures(run, role)
    report: dict[str, Any] = {
        "version": VERSION,
        "method": METHOD,
        "size": {
            "ingresses": plan.ingresses, "real": plan.real, "hollow": plan.hollow, "backends": plan.backends,
            "services": plan.services, "zones": ZONES, "regions": REGIONS,
            "list_changes_s": plan.changes.list_rate, "configuration_changes_s": plan.changes.configuration_rate,
            "routes": plan.routes * plan.distributes, "distributors": plan.distributors * plan.distributes,
        },
        "seconds": plan.seconds, "seed": plan.seed, "fault": plan.fault, "plant": plan.plant,
        "roles": figures,
        "each": each(run, figures),
        "list": list_lags(run),
        "configuration": configuration_lags(run),
        "latency": latency(run),
        "late_ms": {role: max(s["late"]["p99"] for _, s in states) for role, states in run.busy.states.items()},
    }  # fmt: skip
    broken = judge(published(run.log["changes"]), run.findings, plan.ingresses)
    if plan.distributes:
        control = [one["configuration"] for one in run.findings]
        broken += judge(published_routes(run.routes_log["changes"]), control, plan.ingresses)
    report["settled"] = run.settled
    report["checker"] = {"broken": len(broken), "first": broken[:MOST_NAMED]}
    report["bounds"] = judged(report, bounds)
    report["void"] = voids(run, report, bounds)
    held = not broken and all(one["holds"] for one in report["bounds"])
    report["verdict"] = BROKEN if broken else VOID if report["void"] else HOLDS if held else BROKEN
    return report
