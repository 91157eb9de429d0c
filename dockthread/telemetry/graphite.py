"""Encode points for Graphite's carbon, as plain text or as pickles.

Source: Graphite's documentation, "Feeding In Your Data". In plain text each point is a line
`PATH VALUE SECONDS`. A pickle is a list of `(path, (seconds, value))` in pickle protocol 2. It is
preceded by its length (four bytes, big-endian). By default carbon accepts pickles of up to 1 MiB.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from io import BytesIO
from pickle import dumps

from dockthread.telemetry.catalogue import Point

# Maximum number of points in one pickle, which keeps its size far below carbon's limit.
POINTS_PER_PICKLE = 256
PICKLE_PROTOCOL = 2
# The length that precedes each pickle.
PICKLE_HEADER = struct.Struct("!I")
# Names of the tags that hold the remaining parts of a path, by the path's first part.
TAG_NAMES = {
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


def series_name(prefix: str, ingress: str, path: tuple[str, ...], use_tags: bool) -> str:
    """Return the name of the series for a path.

    Without tags it is `PREFIX.INGRESS.a.b.c`. With tags it is `PREFIX.a;ingress=INGRESS;...`, where
    the parts after the first are the values of tags.
    """
    if not use_tags:
        return ".".join((prefix, ingress, *path))
    tag_names = TAG_NAMES.get(path[0], ())
    if len(tag_names) != len(path) - 1:
        return ";".join((".".join((prefix, *path)), f"ingress={ingress}"))
    tag_pairs = [f"{name}={value}" for name, value in zip(tag_names, path[1:], strict=True)]
    return ";".join((f"{prefix}.{path[0]}", f"ingress={ingress}", *tag_pairs))


def encode_plaintext(named_points: Sequence[tuple[str, Point]], unix_seconds: int) -> bytes:
    """Encode pairs of a series name and a point as lines of plain text."""
    return "".join(
        f"{name} {point.value_text} {unix_seconds}\n" for name, point in named_points
    ).encode()


def encode_pickles(named_points: Sequence[tuple[str, Point]], unix_seconds: int) -> bytes:
    """Encode pairs of a series name and a point as pickles of up to `POINTS_PER_PICKLE` points."""
    output = BytesIO()
    for start in range(0, len(named_points), POINTS_PER_PICKLE):
        rows = [
            (name, (unix_seconds, _int_if_whole(point.value)))
            for name, point in named_points[start : start + POINTS_PER_PICKLE]
        ]
        data = dumps(rows, PICKLE_PROTOCOL)
        output.write(PICKLE_HEADER.pack(len(data)) + data)
    return output.getvalue()


def _int_if_whole(value: float) -> float:
    """Convert a whole number to an int, whose pickle is shorter and exact."""
    integer = int(value)
    return integer if value == integer else value
