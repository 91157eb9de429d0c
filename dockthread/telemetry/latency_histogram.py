"""A histogram of durations: quantiles of one interval, and buckets over the whole life.

Quantiles come from DDSketch (Masson, Rim, Lee: "DDSketch", 2019), which bounds the relative error.
"""

from __future__ import annotations

from bisect import bisect_left

from ddsketch import LogCollapsingLowestDenseDDSketch

from dockthread.telemetry.catalogue import BUCKET_BOUNDS_MS

# Relative error of a quantile.
SKETCH_ACCURACY = 0.01
# Bins of a sketch; beyond them the lowest are merged.
SKETCH_MAX_BINS = 512
# Durations that wait before they are added to sketch and buckets in one loop, which is cheaper.
BATCH_SIZE = 64


class LatencyHistogram:
    """Durations of one kind, in milliseconds.

    Durations wait in a short list and are added to sketch and buckets `BATCH_SIZE` at a time.
    """

    __slots__ = ("_buckets", "_longest", "_pending", "_sketch", "_sum")

    def __init__(self) -> None:
        self._buckets = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self._sum = 0.0
        self._pending: list[float] = []
        self.begin_interval()

    def begin_interval(self) -> None:
        """Start a new interval: forget quantiles and the maximum, keep sum and buckets."""
        self.flush()
        self._sketch = LogCollapsingLowestDenseDDSketch(SKETCH_ACCURACY, SKETCH_MAX_BINS)
        self._longest = 0.0

    def add(self, duration_ms: float) -> None:
        """Record one duration."""
        self._pending.append(duration_ms)
        if len(self._pending) >= BATCH_SIZE:
            self.flush()

    def flush(self) -> None:
        """Add the durations that wait to sketch, buckets, sum and maximum."""
        pending = self._pending
        if not pending:
            return
        # Bound to locals, because this loop runs for every request.
        buckets = self._buckets
        add_to_sketch = self._sketch.add
        for duration_ms in pending:
            add_to_sketch(duration_ms)
            buckets[bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1
        self._sum += sum(pending)
        self._longest = max(self._longest, *pending)
        pending.clear()

    def quantile(self, fraction: float) -> float:
        """Return a quantile of the interval; 0 when nothing was recorded."""
        self.flush()
        return min(float(self._sketch.get_quantile_value(fraction) or 0.0), self._longest)

    @property
    def longest(self) -> float:
        """The longest duration of the interval."""
        self.flush()
        return self._longest

    @property
    def sum(self) -> float:
        """The sum of all durations over the life."""
        self.flush()
        return self._sum

    @property
    def buckets(self) -> list[int]:
        """Counts over the life, by the upper bounds in `BUCKET_BOUNDS_MS`, and one beyond them."""
        self.flush()
        return self._buckets
