"""A histogram of durations: quantiles per interval, and cumulative counts per bucket.

Quantiles come from DDSketch (Masson, Rim, Lee: "DDSketch", 2019), which bounds the relative error.
"""

from __future__ import annotations

from bisect import bisect_left

from ddsketch import LogCollapsingLowestDenseDDSketch

from dockthread.telemetry.catalogue import BUCKET_BOUNDS_MS

# Maximum relative error of a quantile.
SKETCH_ACCURACY = 0.01
# Maximum number of bins in a sketch; when there are more, the lowest bins are merged.
SKETCH_MAX_BINS = 512
# Number of durations that are buffered and then added in one loop, which costs less per duration.
BATCH_SIZE = 64


class LatencyHistogram:
    """Durations of one kind, in milliseconds.

    Durations are buffered, and added to the sketch and the buckets `BATCH_SIZE` at a time.
    """

    __slots__ = ("_buckets", "_longest", "_pending", "_sketch", "_sum")

    def __init__(self) -> None:
        self._buckets = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self._sum = 0.0
        self._pending: list[float] = []
        self.begin_interval()

    def begin_interval(self) -> None:
        """Start a new interval: reset the quantiles and the maximum, keep sum and buckets."""
        self.flush()
        self._sketch = LogCollapsingLowestDenseDDSketch(SKETCH_ACCURACY, SKETCH_MAX_BINS)
        self._longest = 0.0

    def add(self, duration_ms: float) -> None:
        """Record one duration."""
        self._pending.append(duration_ms)
        if len(self._pending) >= BATCH_SIZE:
            self.flush()

    def flush(self) -> None:
        """Add the buffered durations to the sketch, the buckets, the sum and the maximum."""
        pending = self._pending
        if not pending:
            return
        # Local variables are faster than attributes, and this loop runs for every request.
        buckets = self._buckets
        add_to_sketch = self._sketch.add
        for duration_ms in pending:
            add_to_sketch(duration_ms)
            buckets[bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1
        self._sum += sum(pending)
        self._longest = max(self._longest, *pending)
        pending.clear()

    def quantile(self, fraction: float) -> float:
        """Return a quantile of the interval, or 0 if nothing was recorded."""
        self.flush()
        return min(float(self._sketch.get_quantile_value(fraction) or 0.0), self._longest)

    @property
    def longest(self) -> float:
        """The longest duration of the interval."""
        self.flush()
        return self._longest

    @property
    def sum(self) -> float:
        """The sum of all durations since the histogram was created."""
        self.flush()
        return self._sum

    @property
    def buckets(self) -> list[int]:
        """Counts per bucket since creation; the last counts durations above `BUCKET_BOUNDS_MS`."""
        self.flush()
        return self._buckets
