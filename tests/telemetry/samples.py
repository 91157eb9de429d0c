"""Sample points and reports shared by the telemetry tests."""

from __future__ import annotations

from dockthread.telemetry.catalogue import DERIVE, GAUGE, Point
from dockthread.telemetry.delivery_queue import Report

POINTS = [
    Point(("life",), GAUGE, 1_700_000_000_123.0),
    Point(("answers", "seat-status", "gross", "served"), DERIVE, 12345678901),
    Point(("loop", "p99"), GAUGE, 0.25),
]


def report(unix_seconds: float, size: int = 100) -> Report:
    """Return a report with one chunk of the given size."""
    return Report(unix_seconds, (b"x" * size,))
