"""The text of `/_vars`: counts of one process in Prometheus's text format, without I/O.

Counters start from 0 in each process. Per class of requests there are `ok`, `shed` and `errors`
(served, rejected, failed). The others are the fields of `MetricsSnapshot`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dockthread.observer import FAILED, REJECTED, SERVED

PREFIX = "app"

# The metric of each outcome of a request.
OUTCOME_METRICS = {"ok": SERVED, "shed": REJECTED, "errors": FAILED}

# The types of the metrics that have one value; each has the name of a field of `MetricsSnapshot`.
SINGLE_METRICS = {
    "tries": "counter",
    "active": "gauge",
    "pool_size": "gauge",
    "pool_ejected": "gauge",
    "config_applied": "counter",
    "config_rejected": "counter",
}


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The values at one moment.

    Attributes:
        classes: The names of the classes, by the policy engine's number.
        outcomes: Completed requests by outcome, then by the number of their class.
        tries: Attempts whose last byte was sent.
        active: Requests that were received and have no response yet.
        pool_size: Backends that discovery lists.
        pool_ejected: Listed backends that are avoided now.
        config_applied: Reloads that were applied.
        config_rejected: Reloads that were rejected.
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
    """Return the values in Prometheus's text format, each name led by `prefix`."""
    lines: list[str] = []
    for name, outcome in OUTCOME_METRICS.items():
        lines.append(f"# TYPE {prefix}_{name} counter")
        counts = snapshot.outcomes[outcome]
        for number, request_class in enumerate(snapshot.classes):
            count = counts[number] if number < len(counts) else 0
            lines.append(f'{prefix}_{name}{{kind="{request_class}"}} {count}')
    for name, metric_type in SINGLE_METRICS.items():
        lines.append(f"# TYPE {prefix}_{name} {metric_type}")
        lines.append(f"{prefix}_{name} {getattr(snapshot, name)}")
    return ("\n".join(lines) + "\n").encode()
