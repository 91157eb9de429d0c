"""Fits lines a + b * size + ... by least squares to the figures of several scale runs.

The lines serve to extrapolate to other sizes. The fit is ordinary least squares by the normal
equations, with each term scaled to at most one, solved by Gaussian elimination with pivoting.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from dockthread.errors import DockthreadError

MIN_SIZES: Final = 4  # Minimum number of different sizes for a line.
# Maximum root mean square of the residuals for a line to fit, relative to the figures' mean.
MAX_MISFIT: Final = 0.15
# Extrapolations beyond this multiple of the largest measured size are marked.
MAX_EXTRAPOLATION: Final = 4.0
# Absolute value of a scaled pivot below which the system counts as singular.
MIN_PIVOT: Final = 1e-9
SIZE_KEYS: Final = {
    "ingresses": "ingresses",
    "backends": "backends",
    "changes": "list_changes_s",
    "configuration": "configuration_changes_s",
    "routes": "routes",
    "distributors": "distributors",
}
FIGURE_PATHS: Final = (
    "each.hollow.cpu_quiet_percent",
    "each.hollow.cpu_percent",
    "each.hollow.rss_before_list_mb",
    "each.hollow.rss_mb",
    "each.hollow.bytes_in_s",
    "each.hollow.configuration_bytes_in_s",
    "each.hollow.configuration_bytes_out_s",
    "each.hollow.messages_in_s",
    "each.hollow.messages_out_s",
    "each.real.cpu_percent",
    "each.real.rss_mb",
    "roles.discovery.cpu_percent",
    "roles.discovery.rss_mb",
    "roles.discovery.bytes_out_s",
    "roles.discovery.messages_out_s",
    "roles.distributor.cpu_percent",
    "roles.distributor.rss_mb",
    "roles.distributor.bytes_out_s",
    "roles.distributor.messages_in_s",
    "roles.distributor.messages_out_s",
    "roles.voter.cpu_percent",
    "roles.voter.rss_mb",
    "roles.voter.bytes_out_s",
    "roles.voter.messages_in_s",
    "roles.voter.messages_out_s",
    "list.lag_ms.p50",
    "list.lag_ms.last",
    "list.whole_list_s",
    "configuration.lag_ms.p50",
    "configuration.lag_ms.last",
)


class FitError(DockthreadError, ValueError):
    """No line can be fitted to the given reports."""


@dataclass(frozen=True, slots=True)
class FittedLine:
    """A fitted line for one figure.

    `slopes` maps each term to the slope per unit of it. `residuals` are the measured values minus
    the fitted ones, in the order of the reports.
    """

    figure: str
    constant: float
    slopes: dict[str, float]
    residuals: tuple[float, ...]
    mean: float

    @property
    def misfit(self) -> float:
        """Root mean square of the residuals relative to the figure's mean."""
        if not self.mean:
            return math.inf if any(self.residuals) else 0.0
        return math.sqrt(
            sum(residual * residual for residual in self.residuals) / len(self.residuals)
        ) / abs(self.mean)

    @property
    def fits(self) -> bool:
        """Whether the misfit is small enough for the line to be used."""
        return self.misfit <= MAX_MISFIT

    def value_at(self, size: dict[str, float]) -> float:
        """Evaluate the line at a size."""
        return self.constant + sum(
            slope * term_value(term, size) for term, slope in self.slopes.items()
        )


def read_figure(report: dict[str, Any], path: str) -> float | None:
    """Return a figure by its path, such as `each.hollow.rss_mb`, or None if the report lacks it."""
    value: Any = report
    for key in path.split("."):
        if not isinstance(value, dict) or (value := value.get(key)) is None:
            return None
    return float(value) if isinstance(value, int | float) and math.isfinite(value) else None


def run_size(report: dict[str, Any]) -> dict[str, float]:
    """Return the sizes of a run under the names used in a fit."""
    return {name: float(report["size"].get(key, 0.0)) for name, key in SIZE_KEYS.items()}


def term_value(term: str, size: dict[str, float]) -> float:
    """Return the value of a term: a size, or a product such as `backends*changes`."""
    return math.prod(size[name] for name in term.split("*"))


def parse_terms(text: str) -> tuple[str, ...]:
    """Parse terms such as `ingresses,backends*changes`. Raises FitError for an unknown size."""
    terms = tuple(term.strip() for term in text.split(",") if term.strip())
    for name in [name for term in terms for name in term.split("*")]:
        if name not in SIZE_KEYS:
            raise FitError(
                f"{name!r} is not a size: write {', '.join(SIZE_KEYS)}, or products such as backends*changes"
            )
    return terms


def varying_terms(reports: Sequence[dict[str, Any]], terms: Sequence[str]) -> list[str]:
    """Return the terms that differ among the reports, since a constant term has no slope to fit."""
    sizes = [run_size(report) for report in reports]
    return [term for term in terms if len({term_value(term, size) for size in sizes}) > 1]


def fit_line(
    reports: Sequence[dict[str, Any]], figure: str, terms: Sequence[str]
) -> FittedLine | None:
    """Fit a line to one figure, or return None if it was measured at too few sizes.

    Raises FitError if the slopes of the terms cannot be told apart.
    """
    samples = [
        (run_size(report), value)
        for report in reports
        if (value := read_figure(report, figure)) is not None
    ]
    if len({tuple(size.values()) for size, _ in samples}) < max(MIN_SIZES, len(terms) + 2):
        return None
    scales = [max(abs(term_value(term, size)) for size, _ in samples) or 1.0 for term in terms]
    rows = [
        [1.0, *(term_value(term, size) / scale for term, scale in zip(terms, scales, strict=True))]
        for size, _ in samples
    ]
    values = [value for _, value in samples]
    columns = range(len(terms) + 1)
    normal_matrix = [[sum(row[i] * row[j] for row in rows) for j in columns] for i in columns]
    right_side = [
        sum(row[i] * value for row, value in zip(rows, values, strict=True)) for i in columns
    ]
    coefficients = solve_linear_system(normal_matrix, right_side)
    residuals = tuple(
        value
        - sum(
            coefficient * scaled_value
            for coefficient, scaled_value in zip(coefficients, row, strict=True)
        )
        for row, value in zip(rows, values, strict=True)
    )
    slopes = {
        term: coefficient / scale
        for term, coefficient, scale in zip(terms, coefficients[1:], scales, strict=True)
    }
    return FittedLine(figure, coefficients[0], slopes, residuals, sum(values) / len(values))


def solve_linear_system(matrix: list[list[float]], right_side: list[float]) -> list[float]:
    """Solve a linear system. Raises FitError if it has no unique solution."""
    rows = [[*row, value] for row, value in zip(matrix, right_side, strict=True)]
    size = len(rows)
    for column in range(size):
        pivot = max(range(column, size), key=lambda row: abs(rows[row][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        if abs(rows[column][column]) < MIN_PIVOT:
            raise FitError(
                "the sizes vary together, so their slopes cannot be told apart: keep one constant"
            )
        for row in range(column + 1, size):
            factor = rows[row][column] / rows[column][column]
            rows[row] = [
                value - factor * pivot_value
                for value, pivot_value in zip(rows[row], rows[column], strict=True)
            ]
    solution = [0.0] * size
    for column in reversed(range(size)):
        known_sum = sum(rows[column][row] * solution[row] for row in range(column + 1, size))
        solution[column] = (rows[column][size] - known_sum) / rows[column][column]
    return solution


def far_sizes(reports: Sequence[dict[str, Any]], target: dict[str, float]) -> list[str]:
    """Return the requested sizes that lie far beyond the largest measured ones."""
    largest = {name: max(run_size(report)[name] for report in reports) for name in SIZE_KEYS}
    return [name for name, value in target.items() if value > MAX_EXTRAPOLATION * largest[name]]


def fit_lines_to_reports(
    reports: Sequence[dict[str, Any]],
    terms: Sequence[str],
    target: dict[str, float],
    with_void: bool = True,
) -> dict[str, Any]:
    """Fit a line to every figure that enough runs have, except figures that are always 0.

    `target` is a size to extrapolate to, or empty.
    """
    used_reports = [
        report
        for report in reports
        if "size" in report and (with_void or report["verdict"] != "void")
    ]
    varying = varying_terms(used_reports, terms)
    if not varying:
        raise FitError("the reports are of one size: a line needs runs at four or more sizes")
    candidates = (fit_line(used_reports, figure, varying) for figure in FIGURE_PATHS)
    lines = [line for line in candidates if line is not None and (line.mean or any(line.residuals))]
    if not lines:
        raise FitError(
            f"too few sizes: a line over {', '.join(varying)} needs at least {max(MIN_SIZES, len(varying) + 2)}"
        )
    full_size = {name: target.get(name, 0.0) for name in SIZE_KEYS}
    return {
        "terms": varying,
        "sizes": [run_size(report) for report in used_reports],
        "not_used": len(reports) - len(used_reports),
        "void": sum(report["verdict"] == "void" for report in used_reports),
        "threshold": MAX_MISFIT,
        "at": target,
        "beyond": far_sizes(used_reports, target),
        "lines": [
            {
                "figure": line.figure,
                "constant": line.constant,
                "slopes": line.slopes,
                "residuals": [round(residual, 5) for residual in line.residuals],
                "misfit": round(line.misfit, 4),
                "fits": line.fits,
                **({"at": line.value_at(full_size)} if target else {}),
            }
            for line in lines
        ],
    }
