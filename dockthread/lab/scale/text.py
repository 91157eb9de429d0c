"""Formats a scale run's report as lines for a person."""

from __future__ import annotations

from typing import Any

SHOWN = (
    "cpu_quiet_percent",
    "cpu_percent",
    "rss_mb",
    "bytes_in_s",
    "bytes_out_s",
    "configuration_bytes_in_s",
    "messages_in_s",
    "messages_out_s",
    "connections",
)


def lines(report: dict[str, Any]) -> list[str]:
    """Format a report, one line for each part."""
    size = report["size"]
    out = [
        f"{size['ingresses']} ingresses ({size['real']} real, {size['hollow']} hollow), {size['backends']} backends"
        f" in {size['services']} services, {size['list_changes_s']:g} changes of the list and"
        f" {size['configuration_changes_s']:g} of the configuration a second for {report['seconds']:g} s,"
        f" fault {report['fault']}, seed {report['seed']}",
        f"load average {report['machine']['load_average'][0]:g} on {report['machine']['cores']} cores",
    ]
    for role, figures in report["roles"].items():
        if figures["processes"]:
            out.append(f"{role} ({figures['processes']}): {_shown(figures)}")
    out += [f"each {kind} ingress: {_shown(figures)}" for kind, figures in report["each"].items()]
    out += [_changes(kind, report[kind]) for kind in ("list", "configuration") if report.get(kind)]
    if latency := report["latency"]:
        out.append(
            f"latency p99: {latency['quiet']['p99_ms']:g} ms with control idle, {latency['busy']['p99_ms']:g} ms with"
            f" changes: {latency['added_p99_ms']:+g} ms"
        )
    out += [f"checker: {one}" for one in report["checker"]["first"]]
    out += [
        f"{one['name']}: {one['measured']:g}, at most {one['most']:g}: "
        + ("holds" if one["holds"] else f"broken by {one['measured'] - one['most']:g}")
        for one in report["bounds"]
    ]
    out += [f"void: {why}" for why in report["void"]]
    return [*out, f"verdict: {report['verdict']}"]


def _shown(figures: dict[str, Any]) -> str:
    return ", ".join(f"{name} {figures[name]:g}" for name in SHOWN if name in figures)


def _changes(kind: str, found: dict[str, Any]) -> str:
    def quantiles(name: str) -> str:
        return ", ".join(f"{mark} {value:g}" for mark, value in found[name].items()) or "none"

    line = f"{kind}: {found['changes']} changes, {found['never']} never in force everywhere"
    line += f"; ms until in force at the last ingress: {quantiles('lag_ms')}"
    if found.get("whole_list_s"):
        line += f"; whole list in {found['whole_list_s']:g} s"
    if found.get("recovery_s") is not None:
        line += f"; recovered {found['recovery_s']:g} s after the fault"
        line += f" (lag in ms of changes during the fault: {quantiles('lag_in_fault_ms')})"
    return line


def fit_lines(found: dict[str, Any]) -> list[str]:
    """Format the result of `dockthread lab scale fit`."""
    out = [
        f"{len(found['sizes'])} runs, {found['void']} of them void, {found['not_used']} others not used"
    ]
    for one in found["lines"]:
        slopes = "".join(f" {slope:+.4g} x {term}" for term, slope in one["slopes"].items())
        line = f"{one['figure']} = {one['constant']:.4g}{slopes}; residuals {', '.join(map(str, one['residuals']))}"
        line += f"; misfit {one['misfit']:.1%}"
        line += (
            ""
            if one["fits"]
            else f": THE LINE DOES NOT FIT (over {found['threshold']:.0%} of the mean)"
        )
        out.append(line + (f"; at the requested size {one['at']:.4g}" if "at" in one else ""))
    if found["beyond"]:
        out.append(f"far beyond the measured sizes: {', '.join(found['beyond'])}")
    return out
