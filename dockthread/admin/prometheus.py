"""Renders the metrics of `/_vars` in Prometheus's text format, without I/O.

Counters start from 0 in each process. Each request class has the metrics `ok`, `shed` and `errors`
(served, rejected, failed). All other metrics are fields of `MetricsSnapshot`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dockthread.observer import FAILED, REJECTED, SERVED

PREFIX = "app"

# Maps metric names to the outcomes of requests that they count.
OUTCOME_METRICS = {"ok": SERVED, "shed": REJECTED, "errors": FAILED}

# Types of the metrics with a single value, keyed by field name of `MetricsSnapshot`.
SINGLE_VALUE_METRICS = {
    "tries": "counter",
    "active": "gauge",
    "pool_size": "gauge",
    "pool_ejected": "gauge",
    "config_applied": "counter",
    "config_rejected": "counter",
}


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The values of all metrics at one point in time.

    Attributes:
        classes: The names of the request classes, indexed by the policy engine's numbers.
        outcomes: Number of completed requests by outcome and class number.
        tries: Number of attempts whose last byte was sent.
        active: Number of received requests without a response.
        pool_size: Number of backends that discovery lists.
        pool_ejected: Number of listed backends that an operator detached.
        config_applied: Number of reloads that were applied.
        config_rejected: Number of reloads that were rejected.
    """

    classes: Sequence[str]
    outcomes: Mapping[str, Sequence[int]]
    tries: int
    active: int
    pool_size: int
    pool_ejected: int
    config_applied: int
    config_rejected: int


def render_metrics(snapshot: MetricsSnapshot, prefix: str = PREFIX) -> bytes:
    """Return the metrics in Prometheus's text format; every name starts with `prefix`."""
    lines: list[str] = []
    for name, outcome in OUTCOME_METRICS.items():
        lines.append(f"# TYPE {prefix}_{name} counter")
        counts = snapshot.outcomes[outcome]
        for number, request_class in enumerate(snapshot.classes):
            count = counts[number] if number < len(counts) else 0
            lines.append(f'{prefix}_{name}{{kind="{request_class}"}} {count}')
    for name, metric_type in SINGLE_VALUE_METRICS.items():
        lines.append(f"# TYPE {prefix}_{name} {metric_type}")
        lines.append(f"{prefix}_{name} {getattr(snapshot, name)}")
    return ("\n".join(lines) + "\n").encode()
