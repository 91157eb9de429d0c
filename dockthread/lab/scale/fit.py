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

LEAST_SIZES: Final = 4  # Minimum number of different sizes for a line.
# Maximum root mean square of the residuals for a line to fit, relative to the figures' mean.
FITS: Final = 0.15
FAR: Final = 4.0  # Extrapolations beyond this multiple of the largest measured size are marked.
# Absolute value of a scaled pivot below which the system counts as singular.
SINGULAR: Final = 1e-9
SIZES: Final = {
    "ingresses": "ingresses",
    "backends": "backends",
    "changes": "list_changes_s",
    "configuration": "configuration_changes_s",
    "routes": "routes",
    "distributors": "distributors",
}
FIGURES: Final = (
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
class Line:
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
        return math.sqrt(sum(r * r for r in self.residuals) / len(self.residuals)) / abs(self.mean)

    @property
    def fits(self) -> bool:
        """Whether the misfit is small enough for the line to be used."""
        return self.misfit <= FITS

    def at(self, size: dict[str, float]) -> float:
        """Evaluate the line at a size."""
        return self.constant + sum(
            slope * value_of(term, size) for term, slope in self.slopes.items()
        )


def figure_of(report: dict[str, Any], path: str) -> float | None:
    """Return a figure by its path, such as `each.hollow.rss_mb`, or None if the report lacks it."""
    found: Any = report
    for name in path.split("."):
        if not isinstance(found, dict) or (found := found.get(name)) is None:
            return None
    return float(found) if isinstance(found, int | float) and math.isfinite(found) else None


def size_of(report: dict[str, Any]) -> dict[str, float]:
    """Return the sizes of a run under the names used in a fit."""
    return {name: float(report["size"].get(key, 0.0)) for name, key in SIZES.items()}


def value_of(term: str, size: dict[str, float]) -> float:
    """Return the value of a term: a size, or a product such as `backends*changes`."""
    return math.prod(size[name] for name in term.split("*"))


def terms_of(words: str) -> tuple[str, ...]:
    """Parse terms such as `ingresses,backends*changes`. Raises FitError for an unknown size."""
    terms = tuple(term.strip() for term in words.split(",") if term.strip())
    for name in [name for term in terms for name in term.split("*")]:
        if name not in SIZES:
            raise FitError(
                f"{name!r} is not a size: write {', '.join(SIZES)}, or products such as backends*changes"
            )
    return terms


def varied(reports: Sequence[dict[str, Any]], terms: Sequence[str]) -> list[str]:
    """Return the terms that differ among the reports, since a constant term has no slope to fit."""
    sizes = [size_of(one) for one in reports]
    return [term for term in terms if len({value_of(term, size) for size in sizes}) > 1]


def line(reports: Sequence[dict[str, Any]], figure: str, terms: Sequence[str]) -> Line | None:
    """Fit a line to one figure, or return None if too few sizes have it.

    Raises FitError if the slopes of the terms cannot be told apart.
    """
    found = [
        (size_of(one), value) for one in reports if (value := figure_of(one, figure)) is not None
    ]
    if len({tuple(size.values()) for size, _ in found}) < max(LEAST_SIZES, len(terms) + 2):
        return None
    scales = [max(abs(value_of(term, size)) for size, _ in found) or 1.0 for term in terms]
    rows = [
        [1.0, *(value_of(t, size) / s for t, s in zip(terms, scales, strict=True))]
        for size, _ in found
    ]
    values = [value for _, value in found]
    width = range(len(terms) + 1)
    normal = [[sum(row[i] * row[j] for row in rows) for j in width] for i in width]
    right = [sum(row[i] * value for row, value in zip(rows, values, strict=True)) for i in width]
    solved = solve(normal, right)
    residuals = tuple(
        value - sum(c * x for c, x in zip(solved, row, strict=True))
        for row, value in zip(rows, values, strict=True)
    )
    slopes = {term: c / scale for term, c, scale in zip(terms, solved[1:], scales, strict=True)}
    return Line(figure, solved[0], slopes, residuals, sum(values) / len(values))


def solve(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solve a linear system. Raises FitError if it has no unique solution."""
    rows = [[*row, value] for row, value in zip(matrix, right, strict=True)]
    size = len(rows)
    for at in range(size):
        pivot = max(range(at, size), key=lambda n: abs(rows[n][at]))
        rows[at], rows[pivot] = rows[pivot], rows[at]
        if abs(rows[at][at]) < SINGULAR:
            raise FitError(
                "the sizes vary together, so their slopes cannot be told apart: keep one constant"
            )
        for n in range(at + 1, size):
            factor = rows[n][at] / rows[at][at]
            rows[n] = [x - factor * y for x, y in zip(rows[n], rows[at], strict=True)]
    solved = [0.0] * size
    for at in reversed(range(size)):
        rest = sum(rows[at][n] * solved[n] for n in range(at + 1, size))
        solved[at] = (rows[at][size] - rest) / rows[at][at]
    return solved


def beyond(reports: Sequence[dict[str, Any]], at: dict[str, float]) -> list[str]:
    """Return the requested sizes that lie far beyond the largest measured ones."""
    largest = {name: max(size_of(one)[name] for one in reports) for name in SIZES}
    return [name for name, value in at.items() if value > FAR * largest[name]]


def fitted(
    reports: Sequence[dict[str, Any]],
    terms: Sequence[str],
    at: dict[str, float],
    with_void: bool = True,
) -> dict[str, Any]:
    """Fit a line to every figure that enough runs have, except figures that are always 0.

    `at` is a size to extrapolate to, or empty.
    """
    used = [one for one in reports if "size" in one and (with_void or one["verdict"] != "void")]
    told = varied(used, terms)
    if not told:
        raise FitError("the reports are of one size: a line needs runs at four or more sizes")
    drawn = (line(used, figure, told) for figure in FIGURES)
    lines = [one for one in drawn if one is not None and (one.mean or any(one.residuals))]
    if not lines:
        raise FitError(
            f"too few sizes: a line over {', '.join(told)} needs at least {max(LEAST_SIZES, len(told) + 2)}"
        )
    full = {name: at.get(name, 0.0) for name in SIZES}
    return {
        "terms": told,
        "sizes": [size_of(one) for one in used],
        "not_used": len(reports) - len(used),
        "void": sum(one["verdict"] == "void" for one in used),
        "threshold": FITS,
        "at": at,
        "beyond": beyond(used, at),
        "lines": [
            {
                "figure": one.figure,
                "constant": one.constant,
                "slopes": one.slopes,
                "residuals": [round(r, 5) for r in one.residuals],
                "misfit": round(one.misfit, 4),
                "fits": one.fits,
                **({"at": one.at(full)} if at else {}),
            }
            for one in lines
        ],
    }
