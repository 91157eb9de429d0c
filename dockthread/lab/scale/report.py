"""Builds the report of a run as one JSON object, and compares its figures with the bounds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Final

from dockthread.lab.load_result import ANSWERED, LoadResult, RequestOutcome, new_histogram
from dockthread.lab.scale.checker import (
    MAX_LISTED_VIOLATIONS,
    final_list,
    final_routes,
    find_violations,
)
from dockthread.lab.scale.plan import REGIONS, ZONES
from dockthread.lab.scale.run import MeasurementWindow, ScaleRun
from dockthread.lab.scale.usage import MEGABYTE, cpu_percent

VERSION: Final = 2  # Report format version; 2 counts messages in each direction.
MIN_CHANGES: Final = 10  # Minimum number of changes in force everywhere for a lag figure.
MIN_ANSWERS: Final = 1000  # Minimum number of answers in each window for a latency figure.
# Maximum CPU of one of the tool's processes, in percent of a core. A busier process can no longer
# keep its schedule.
MAX_TOOL_CPU_PERCENT: Final = 90.0
RATE_NAMES: Final = (
    "bytes_in_s", "bytes_out_s", "configuration_bytes_in_s", "configuration_bytes_out_s", "messages_in_s",
    "messages_out_s", "connections",
)  # fmt: skip
NO_TRAFFIC: Final = {"in": 0, "out": 0, "connections": 0}
ROLES: Final = ("discovery", "voter", "distributor", "backends", "baseline", "host", "real")
HOLDS = "holds"
BROKEN = "broken"
VOID = "void"
METHOD: Final = (
    "CPU and RSS from /proc, bytes from TCP_INFO (payload), times on the machine's monotonic clock. A hollow"
    " ingress's cost: that of its processes, less as many empty ones (the baseline), divided by the number hosted."
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Upper bounds for the figures, infinite for a bound that was not requested."""

    lag_ms: float = math.inf
    cpu_percent: float = math.inf
    memory_bytes: float = math.inf
    traffic_bytes_s: float = math.inf
    added_ms: float = math.inf
    late_ms: float = 250.0


def quantile(ordered: list[float], fraction: float) -> float:
    """Return the quantile of sorted values at a fraction, or NaN if there are no values."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else math.nan


def summarize(values: list[float]) -> dict[str, float]:
    """Return the median, the 99th percentile and the maximum, or nothing if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return {}
    fractions = {"p50": 0.5, "p99": 0.99, "last": 1.0}
    return {name: round(quantile(ordered, fraction), 1) for name, fraction in fractions.items()}


def measure_lags(
    changes: list[Any], findings: list[dict[str, Any]], expected: int, fault: dict[str, float]
) -> dict[str, Any]:
    """Measure for each change how many ms passed until all `expected` ingresses had it in force.

    Changes published during a fault are summarized separately. Each of `changes` begins with its
    revision and publication time. `fault` is empty or holds the start and end of the fault and the
    last revision published by its end.
    """
    ingress_counts: dict[int, int] = {}
    last_times: dict[int, float] = {}
    for finding in findings:
        for revision, ingress_count, time_s in finding["in_force"]:
            ingress_counts[int(revision)] = ingress_counts.get(int(revision), 0) + int(
                ingress_count
            )
            last_times[int(revision)] = max(last_times.get(int(revision), 0.0), time_s)
    lags_ms = []
    fault_lags_ms = []
    never_count = 0
    for revision, published_at, *_ in changes:
        if ingress_counts.get(revision, 0) < expected:
            never_count += 1
        elif fault and published_at >= fault["begun"] and revision <= fault["revision"]:
            fault_lags_ms.append((last_times[revision] - published_at) * 1000.0)
        else:
            lags_ms.append((last_times[revision] - published_at) * 1000.0)
    recovery_s = None
    if fault:
        informed_at = max(finding["informed_at"] for finding in findings)
        recovery_s = round(
            max(
                0.0,
                informed_at - fault["ended"],
                last_times.get(int(fault["revision"]), 0.0) - fault["ended"],
            ),
            3,
        )
    return {
        "changes": len(lags_ms) + len(fault_lags_ms) + never_count,
        "never": never_count,
        "lag_ms": summarize(lags_ms),
        "lag_in_fault_ms": summarize(fault_lags_ms),
        "recovery_s": recovery_s,
        "samples": len(lags_ms),
    }


def measure_list_lags(run: ScaleRun) -> dict[str, Any]:
    """Measure how long changes of the list took to come into force."""
    changes = [change for change in run.list_log["changes"] if change[0] != run.list_revision]
    fault = (
        {name: run.fault_record[name] for name in ("begun", "ended", "revision")}
        if run.fault_record
        else {}
    )
    findings = [*run.findings, *run.findings_before_restart]
    whole_list_times = [
        time_s
        for finding in findings
        for revision, _, time_s in finding["in_force"]
        if revision == run.list_revision
    ]
    published_at = next(
        changed_at
        for revision, changed_at, _ in run.list_log["changes"]
        if revision == run.list_revision
    )
    whole_list_figure = (
        {"whole_list_s": round(max(whole_list_times) - published_at, 3)}
        if whole_list_times and not run.fault_record
        else {}
    )
    return {**measure_lags(changes, findings, run.plan.ingresses, fault), **whole_list_figure}


def measure_configuration_lags(run: ScaleRun) -> dict[str, Any] | None:
    """Measure how long configuration changes took, or return None if the run has none."""
    if not run.plan.distributes_configuration:
        return None
    fault = {}
    if run.fault_record:
        fault = {**run.fault_record, "revision": run.fault_record["configuration_revision"]}
    changes = [change for change in run.routes_log["changes"] if change[0] > run.routes_revision]
    findings = [
        finding["configuration"] for finding in [*run.findings, *run.findings_before_restart]
    ]
    refused = run.routes_log["refused"]
    return {
        **measure_lags(changes, findings, run.plan.ingresses, fault),
        "refused": len(refused),
        "why": refused[:MAX_LISTED_VIOLATIONS],
    }


def cpu_percents(window: MeasurementWindow, role: str) -> list[float]:
    """Return the CPU usage of each process of a role, in percent of a core."""
    return [cpu_percent(before, after) for before, after in window.usage.get(role, [])]


def sum_rates(window: MeasurementWindow, role: str) -> dict[str, float]:
    """Return the bytes and messages per second of a role's processes, and their connections."""
    durations_s = [after.time_s - before.time_s for before, after in window.usage.get(role, [])]
    totals = dict.fromkeys(RATE_NAMES, 0.0)
    for duration_s, (before, after) in zip(durations_s, window.states.get(role, []), strict=True):
        for traffic_key, prefix in (("traffic", ""), ("control_traffic", "configuration_")):
            bytes_before = before.get(traffic_key, NO_TRAFFIC)
            bytes_after = after.get(traffic_key, NO_TRAFFIC)
            totals[f"{prefix}bytes_in_s"] += (
                max(0, bytes_after["in"] - bytes_before["in"]) / duration_s
            )
            totals[f"{prefix}bytes_out_s"] += (
                max(0, bytes_after["out"] - bytes_before["out"]) / duration_s
            )
            totals["connections"] += bytes_after["connections"]
        for direction in ("messages_in", "messages_out"):
            totals[f"{direction}_s"] += (
                max(0, after.get(direction, 0) - before.get(direction, 0)) / duration_s
            )
    return totals


def role_figures(run: ScaleRun, role: str) -> dict[str, Any]:
    """Return the figures of all processes of a role together."""
    rss_readings = run.resident_bytes.get(role, [])
    return {
        "processes": len(rss_readings),
        "cpu_quiet_percent": round(sum(cpu_percents(run.quiet_window, role)), 3),
        "cpu_percent": round(sum(cpu_percents(run.busy_window, role)), 3),
        "rss_before_list_mb": round(sum(before for before, _ in rss_readings) / MEGABYTE, 2),
        "rss_mb": round(sum(after for _, after in rss_readings) / MEGABYTE, 2),
        **{name: round(value, 1) for name, value in sum_rates(run.busy_window, role).items()},
    }


def figures_per_ingress(
    run: ScaleRun, figures: dict[str, dict[str, Any]]
) -> dict[str, dict[str, float]]:
    """Return the figures of one ingress.

    The CPU and memory of an empty host process (the baseline) are subtracted for hollow ingresses.
    The figures of real ingresses include the cost of serving the load.
    """
    per_ingress: dict[str, dict[str, float]] = {}
    baseline = figures["baseline"]
    host = figures["host"]
    real = figures["real"]
    if run.plan.hollow:
        hollow_count = run.plan.hollow
        process_count = host["processes"]
        per_ingress["hollow"] = {
            name: round((host[name] - process_count * baseline[name]) / hollow_count, 4)
            for name in ("cpu_quiet_percent", "cpu_percent", "rss_before_list_mb", "rss_mb")
        }
        per_ingress["hollow"] |= {name: round(host[name] / hollow_count, 2) for name in RATE_NAMES}
    if run.plan.real:
        per_ingress["real"] = {
            name: round(real[name] / run.plan.real, 3) for name in real if name != "processes"
        }
    return per_ingress


def measure_latency(run: ScaleRun) -> dict[str, Any]:
    """Return the real ingresses' latency in both windows, and the increase of its p99."""
    figures: dict[str, Any] = {}
    for window in (run.quiet_window, run.busy_window):
        if window.load is None:
            return {}
        result = LoadResult()
        histogram = new_histogram()
        result.merge(window.load)
        for latencies in result.latencies.values():
            histogram.add(latencies)
        percentiles = {"p50_ms": 50.0, "p99_ms": 99.0, "max_ms": 100.0}
        figures[window.name] = {
            name: round(histogram.get_value_at_percentile(percentile) / 1000.0, 3)
            for name, percentile in percentiles.items()
        }
        figures[window.name] |= {
            "requests": result.request_count,
            "served": result.total(RequestOutcome.SERVED),
            "void": result.void_reason,
        }
        figures[window.name]["answered"] = sum(result.total(outcome) for outcome in ANSWERED)
    figures["added_p99_ms"] = round(figures["busy"]["p99_ms"] - figures["quiet"]["p99_ms"], 3)
    return figures


def void_reasons(run: ScaleRun, report: dict[str, Any], bounds: Bounds) -> list[str]:
    """Return the reasons why the run is void."""
    reasons = []
    for role, states in run.busy_window.states.items():
        if (lateness_ms := max(after["late"]["p99"] for _, after in states)) > bounds.late_ms:
            reasons.append(
                f"the tool fell behind: a process of {role} ran one timer in a hundred"
                f" {lateness_ms:g} ms late or more"
            )
    reasons += [
        f"the tool fell behind: a process of {role} used {max_percent:.0f}% of a core"
        for role in ("host", "discovery", "backends", "distributor", "voter")
        if (max_percent := max(cpu_percents(run.busy_window, role), default=0.0))
        > MAX_TOOL_CPU_PERCENT
    ]
    for log in (run.list_log, run.routes_log):
        if (lateness_ms := quantile(log["late_starts"], 0.99)) > bounds.late_ms:
            reasons.append(
                f"the tool fell behind: one change in a hundred was published {lateness_ms:.0f} ms late or more"
            )
    if refused := run.routes_log["refused"]:
        reasons.append(
            f"{len(refused)} changes of the configuration were not accepted, the first: {refused[0]}"
        )
    change_rates = {
        "list": run.plan.changes.list_rate,
        "configuration": run.plan.changes.configuration_rate,
    }
    for kind, rate in change_rates.items():
        if rate and math.isfinite(bounds.lag_ms):
            has_too_few = report[kind]["samples"] < MIN_CHANGES and not report[kind]["never"]
            reasons += [
                f"too few samples: {report[kind]['samples']} changes of the {kind}"
            ] * has_too_few
    if math.isfinite(bounds.added_ms):
        reasons += _latency_void_reasons(report["latency"])
        reasons += [
            f"the machine itself was late: an idle process ran one timer in a hundred {lateness_ms:g} ms late in the"
            f" {window.name} window, over the bound of {bounds.added_ms:g} ms on added latency"
            for window in (run.quiet_window, run.busy_window)
            for _, after in window.states["baseline"]
            if (lateness_ms := after["late"]["p99"]) > bounds.added_ms
        ]
    return reasons


def _latency_void_reasons(figures: dict[str, Any]) -> list[str]:
    if not figures:
        return ["too few samples: added latency needs a real ingress under load"]
    reasons = [
        f"latency, {name} window: {figures[name]['void']}"
        for name in ("quiet", "busy")
        if figures[name]["void"]
    ]
    answer_count = min(figures[name]["answered"] for name in ("quiet", "busy"))
    return reasons + (
        [f"too few samples: {answer_count} answers in a window"]
        if answer_count < MIN_ANSWERS
        else []
    )


def check_bounds(report: dict[str, Any], bounds: Bounds) -> list[dict[str, Any]]:
    """Compare each requested bound with the measured value."""
    figures = report["each"].get("hollow") or report["each"]["real"]
    bytes_s = sum(figures[name] for name in RATE_NAMES if "bytes" in name)
    measured = {
        "cpu_percent": (bounds.cpu_percent, figures["cpu_percent"]),
        "memory_mb": (bounds.memory_bytes / MEGABYTE, figures["rss_mb"]),
        "bytes_s": (bounds.traffic_bytes_s, bytes_s),
        "added_p99_ms": (bounds.added_ms, report["latency"].get("added_p99_ms", 0.0)),
    }
    max_never = 0.0 if math.isfinite(bounds.lag_ms) else math.inf
    for kind in ("list", "configuration"):
        if lag_figures := report[kind]:
            measured[f"{kind}_lag_ms"] = (bounds.lag_ms, lag_figures["lag_ms"].get("last", 0.0))
            measured[f"{kind}_recovery_ms"] = (
                bounds.lag_ms,
                (lag_figures["recovery_s"] or 0.0) * 1000.0,
            )
            measured[f"{kind}_never"] = (max_never, float(lag_figures["never"]))
    return [
        {"name": name, "most": bound, "measured": round(value, 3), "holds": value <= bound}
        for name, (bound, value) in measured.items()
        if math.isfinite(bound)
    ]


def build_report(run: ScaleRun, bounds: Bounds) -> dict[str, Any]:
    """Build the report of a completed run."""
    plan = run.plan
    figures = {}
    for role in ROLES:
        figures[role] = role_figures(run, role)
    report: dict[str, Any] = {
        "version": VERSION,
        "method": METHOD,
        "size": {
            "ingresses": plan.ingresses, "real": plan.real, "hollow": plan.hollow, "backends": plan.backends,
            "services": plan.services, "zones": ZONES, "regions": REGIONS,
            "list_changes_s": plan.changes.list_rate, "configuration_changes_s": plan.changes.configuration_rate,
            "routes": plan.routes * plan.distributes_configuration,
            "distributors": plan.distributors * plan.distributes_configuration,
        },
        "seconds": plan.seconds, "seed": plan.seed, "fault": plan.fault, "plant": plan.plant,
        "roles": figures,
        "each": figures_per_ingress(run, figures),
        "list": measure_list_lags(run),
        "configuration": measure_configuration_lags(run),
        "latency": measure_latency(run),
        "late_ms": {
            role: max(state["late"]["p99"] for _, state in states)
            for role, states in run.busy_window.states.items()
        },
    }  # fmt: skip
    violations = find_violations(final_list(run.list_log["changes"]), run.findings, plan.ingresses)
    if plan.distributes_configuration:
        configuration_findings = [finding["configuration"] for finding in run.findings]
        violations += find_violations(
            final_routes(run.routes_log["changes"]), configuration_findings, plan.ingresses
        )
    report["settled"] = run.settled
    report["checker"] = {"broken": len(violations), "first": violations[:MAX_LISTED_VIOLATIONS]}
    report["bounds"] = check_bounds(report, bounds)
    report["void"] = void_reasons(run, report, bounds)
    is_passed = not violations and all(bound["holds"] for bound in report["bounds"])
    report["verdict"] = (
        BROKEN if violations else VOID if report["void"] else HOLDS if is_passed else BROKEN
    )
    return report
