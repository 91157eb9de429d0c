"""Formats a scale run's report as lines for a person."""

from __future__ import annotations

from typing import Any

FIGURE_NAMES = (
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


def report_lines(report: dict[str, Any]) -> list[str]:
    """Format a report, one line for each part."""
    size = report["size"]
    output = [
        f"{size['ingresses']} ingresses ({size['real']} real, {size['hollow']} hollow), {size['backends']} backends"
        f" in {size['services']} services, {size['list_changes_s']:g} list changes and"
        f" {size['configuration_changes_s']:g} configuration changes per second for {report['seconds']:g} s,"
        f" fault {report['fault']}, seed {report['seed']}",
        f"load average {report['machine']['load_average'][0]:g} on {report['machine']['cores']} cores",
    ]
    for role, figures in report["roles"].items():
        if figures["processes"]:
            output.append(f"{role} ({figures['processes']}): {_figure_text(figures)}")
    output += [
        f"each {kind} ingress: {_figure_text(figures)}" for kind, figures in report["each"].items()
    ]
    output += [
        _change_line(kind, report[kind]) for kind in ("list", "configuration") if report.get(kind)
    ]
    if latency := report["latency"]:
        output.append(
            f"latency p99: {latency['quiet']['p99_ms']:g} ms without changes, {latency['busy']['p99_ms']:g} ms with"
            f" changes: {latency['added_p99_ms']:+g} ms"
        )
    output += [f"checker: {violation}" for violation in report["checker"]["first"]]
    output += [
        f"{bound['name']}: {bound['measured']:g}, at most {bound['most']:g}: "
        + ("holds" if bound["holds"] else f"broken by {bound['measured'] - bound['most']:g}")
        for bound in report["bounds"]
    ]
    output += [f"void: {reason}" for reason in report["void"]]
    return [*output, f"verdict: {report['verdict']}"]


def _figure_text(figures: dict[str, Any]) -> str:
    return ", ".join(f"{name} {figures[name]:g}" for name in FIGURE_NAMES if name in figures)


def _change_line(kind: str, figures: dict[str, Any]) -> str:
    def quantiles(name: str) -> str:
        return ", ".join(f"{mark} {value:g}" for mark, value in figures[name].items()) or "none"

    line = f"{kind}: {figures['changes']} changes, {figures['never']} never in force everywhere"
    line += f"; ms until in force at the last ingress: {quantiles('lag_ms')}"
    if figures.get("whole_list_s"):
        line += f"; whole list in {figures['whole_list_s']:g} s"
    if figures.get("recovery_s") is not None:
        line += f"; recovered {figures['recovery_s']:g} s after the fault"
        line += f" (lag in ms of changes during the fault: {quantiles('lag_in_fault_ms')})"
    return line


def fit_result_lines(result: dict[str, Any]) -> list[str]:
    """Format the result of `dockthread lab scale fit`."""
    output = [
        f"{len(result['sizes'])} runs, {result['void']} of them void, {result['not_used']} others not used"
    ]
    for fitted_line in result["lines"]:
        slopes = "".join(f" {slope:+.4g} x {term}" for term, slope in fitted_line["slopes"].items())
        text = f"{fitted_line['figure']} = {fitted_line['constant']:.4g}{slopes}"
        text += f"; residuals {', '.join(map(str, fitted_line['residuals']))}"
        text += f"; misfit {fitted_line['misfit']:.1%}"
        text += (
            ""
            if fitted_line["fits"]
            else f": THE LINE DOES NOT FIT (over {result['threshold']:.0%} of the mean)"
        )
        output.append(
            text
            + (f"; at the requested size {fitted_line['at']:.4g}" if "at" in fitted_line else "")
        )
    if result["beyond"]:
        output.append(f"far beyond the measured sizes: {', '.join(result['beyond'])}")
    return output
