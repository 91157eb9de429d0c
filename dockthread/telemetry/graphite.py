"""Words points for Graphite's carbon: the plaintext and the pickle protocol, over dotted paths or
with tags.

Source: Graphite's documentation, "Feeding In Your Data". Plaintext is `PATH VALUE SECONDS` a line;
pickle is a 4-byte big-endian length and a pickled list of `(path, (seconds, value))`, protocol 2,
at most 1 MiB by carbon's default.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from io import BytesIO
from pickle import dumps

from dockthread.telemetry.catalogue import Point

PICKLED = 256  # points in one pickle: far below the length that carbon takes
TAGS = {
    "answers": ("class", "plan", "outcome"),
    "why": ("class", "plan", "outcome", "reason"),
    "late": ("class",),
    "gone": ("class", "plan"),
    "time": ("class", "what"),
    "attempts": ("outcome",),
    "connections": ("side",),
    "opened": ("side",),
    "bytes": ("side", "way"),
    "quota": ("plan", "what"),
    "firms": ("plan", "firm", "what"),
    "nodes": ("node", "what"),
    "routes": ("route", "what"),
    "telemetry": ("receiver", "what"),
}


def series(prefix: str, ingress: str, path: tuple[str, ...], tags: bool) -> str:
    """`PREFIX.INGRESS.a.b.c`, or `PREFIX.a;ingress=INGRESS;...` with the parts behind the first as
    tags.
    """
    if not tags:
        return ".".join((prefix, ingress, *path))
    names = TAGS.get(path[0], ())
    if len(names) != len(path) - 1:
        return ";".join((".".join((prefix, *path)), f"ingress={ingress}"))
    pairs = [f"{name}={value}" for name, value in zip(names, path[1:], strict=True)]
    return ";".join((f"{prefix}.{path[0]}", f"ingress={ingress}", *pairs))


def figure(value: float) -> str:
    """Whole numbers exactly, others to seven digits."""
    return str(int(value)) if value == int(value) else f"{value:.7g}"


def plaintext(named: Sequence[tuple[str, Point]], seconds: int) -> bytes:
    return "".join(f"{name} {figure(point.value)} {seconds}\n" for name, point in named).encode()


def pickled(named: Sequence[tuple[str, Point]], seconds: int) -> bytes:
    """One frame for each `PICKLED` points."""
    out = BytesIO()
    for at in range(0, len(named), PICKLED):
        rows = [
            (name, (seconds, int(p.value) if p.value == int(p.value) else p.value))
            for name, p in named[at : at + PICKLED]
        ]
        data = dumps(rows, 2)
        out.write(struct.pack("!I", len(data)) + data)
    return out.getvalue()
