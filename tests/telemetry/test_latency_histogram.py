"""Accuracy of quantiles, and counts per bucket."""

from __future__ import annotations

import pytest

from dockthread.telemetry.latency_histogram import LatencyHistogram


def test_quantiles_are_within_one_percent_and_buckets_are_kept_over_intervals() -> None:
    histogram = LatencyHistogram()
    for duration_ms in range(1, 1001):
        histogram.add(float(duration_ms))
    assert histogram.quantile(0.5) == pytest.approx(500, rel=0.011)
    assert histogram.quantile(0.99) == pytest.approx(990, rel=0.011)
    histogram.begin_interval()
    assert (histogram.quantile(0.5), histogram.longest) == (0.0, 0.0)
    assert histogram.buckets[:3] == [5, 5, 10], (
        "counts up to 5, 10 and 20 ms must be kept over intervals"
    )
