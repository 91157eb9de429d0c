"""The figures of `/_vars`, in Prometheus's text form, from plain counts. Free of I/O.

Each process counts from 0. Per class: `ok`, `shed`, `errors` (served, refused, failed); then
`tries` (attempts whose last byte went out), `active` (requests taken and not answered), `pool_size`
(backends listed), `pool_ejected` (listed ones avoided now), `config_applied` and `config_rejected`
(files at SIGHUP).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dockthread.observer import FAILED, REJECTED, SERVED

PREFIX = "app"
BY_CLASS = (("ok", SERVED), ("shed", REJECTED), ("errors", FAILED))


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    classes: Sequence[str]
    outcomes: Mapping[str, Sequence[int]]  # by outcome, by class's number
    tries: int
    active: int
    pool_size: int
    pool_ejected: int
    config_applied: int
    config_rejected: int


def render_metrics(figures: MetricsSnapshot, prefix: str = PREFIX) -> bytes:
    lines: list[str] = []
    for name, outcome in BY_CLASS:
        lines.append(f"# TYPE {prefix}_{name} counter")
        counts = figures.outcomes[outcome]
        for number, kind in enumerate(figures.classes):
            lines.append(
                f'{prefix}_{name}{{kind="{kind}"}} {counts[number] if number < len(counts) else 0}'
            )
    for name, kind in (
        ("tries", "counter"),
        ("active", "gauge"),
        ("pool_size", "gauge"),
        ("pool_ejected", "gauge"),
        ("config_applied", "counter"),
        ("config_rejected", "counter"),
    ):
        lines.append(f"# TYPE {prefix}_{name} {kind}")
        lines.append(f"{prefix}_{name} {getattr(figures, name)}")
    return ("\n".join(lines) + "\n").encode()
