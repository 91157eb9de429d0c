"""Renders the metrics of `/_vars` in Prometheus's text format, without I/O.

Counters start from 0 in each process. Each request class has the metrics `ok`, `shed` and `errors`
(served, rejected, failed), and each `DropReason` the metric `drops`. All other metrics are fields
of `MetricsSnapshot`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dockthread.observer import FAILED, REJECTED, SERVED, DropReason

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
    "memory_bytes": "gauge",
    "memory_limit_bytes": "gauge",
    "blocks_reserved": "gauge",
    "blocks_max": "gauge",
    "client_connections": "gauge",
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
        drops: Number of connections and attempts that were given up, by reason.
        memory_bytes: Resident size of the process.
        memory_limit_bytes: Memory that the platform gives to the process.
        blocks_reserved: Number of blocks reserved for bodies and values.
        blocks_max: Maximum number of these blocks.
        client_connections: Number of open client connections.
    """

    classes: Sequence[str]
    outcomes: Mapping[str, Sequence[int]]
    tries: int
    active: int
    pool_size: int
    pool_ejected: int
    config_applied: int
    config_rejected: int
    drops: Mapping[DropReason, int]
    memory_bytes: int
    memory_limit_bytes: int
    blocks_reserved: int
    blocks_max: int
    client_connections: int


def render_metrics(snapshot: MetricsSnapshot, prefix: str = PREFIX) -> bytes:
    """Return the metrics in Prometheus's text format; every name starts with `prefix`."""
    lines: list[str] = []
    for name, outcome in OUTCOME_METRICS.items():
        lines.append(f"# TYPE {prefix}_{name} counter")
        counts = snapshot.outcomes[outcome]
        for number, request_class in enumerate(snapshot.classes):
            count = counts[number] if number < len(counts) else 0
            lines.append(f'{prefix}_{name}{{kind="{request_class}"}} {count}')
    lines.append(f"# TYPE {prefix}_drops counter")
    for reason, count in snapshot.drops.items():
        lines.append(f'{prefix}_drops{{reason="{reason.value}"}} {count}')
    for name, metric_type in SINGLE_VALUE_METRICS.items():
        lines.append(f"# TYPE {prefix}_{name} {metric_type}")
        lines.append(f"{prefix}_{name} {getattr(snapshot, name)}")
    return ("\n".join(lines) + "\n").encode()
