"""Outcomes and latencies of a load's requests, which can be merged over several processes.

Latencies are recorded in an HdrHistogram (Gil Tene), in microseconds. They are measured from the due
time of each request, so that a stall of the server or of the load generator shows in the latency of
every request that it delayed.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final, TypeAlias

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

# Shortest and longest time that a histogram records, in microseconds; the longest is 5 min.
MIN_RECORDED_US: Final = 1
MAX_RECORDED_US: Final = 300_000_000
# Significant decimal digits of a recorded time.
SIGNIFICANT_DIGITS: Final = 3
MICROSECONDS_PER_SECOND: Final = 1e6
# Maximum 99th percentile of start lateness for a run to be valid, in seconds.
MAX_START_LATENESS_S: Final = 0.010
# Percentiles of a summary, by their JSON keys.
PERCENTILES: Final = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9, "max": 100.0}

# The JSON object of a summary, or of a result that one process sends to another.
JsonObject: TypeAlias = dict[str, Any]


class RequestOutcome(StrEnum):
    """The outcome of a request; the values are keys of the summary.

    `LOST`: the connection closed before the response. `LATE`: no response arrived by the client's
    deadline. `UNSENT`: no connection could be opened.
    """

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"
    LATE = "late"
    UNSENT = "unsent"


# Outcomes of requests that got a response.
ANSWERED: Final = (RequestOutcome.SERVED, RequestOutcome.REJECTED, RequestOutcome.FAILED)


def new_histogram() -> Any:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(MIN_RECORDED_US, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


def _record(histogram: Any, seconds: float) -> None:
    microseconds = int(seconds * MICROSECONDS_PER_SECOND)
    histogram.record_value(min(MAX_RECORDED_US, max(MIN_RECORDED_US, microseconds)))


def _percentiles_ms(histogram: Any) -> dict[str, float]:
    return {
        key: round(histogram.get_value_at_percentile(percentile) / 1000.0, 3)
        for key, percentile in PERCENTILES.items()
    }


@dataclass
class LoadResult:
    """The result of one load, or of several loads that were merged.

    Attributes:
        counts: number of requests by class and outcome.
        latencies: latency histograms of the answered requests, by class.
        start_lateness: histogram of the delays between due time and start of requests.
        request_count: number of started requests.
        seconds: duration of the load.
        connection_count: number of opened connections.
        cpu_seconds: CPU time of the load generator.
    """

    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    latencies: dict[str, Any] = field(default_factory=dict)
    start_lateness: Any = field(default_factory=new_histogram)
    request_count: int = 0
    seconds: float = 0.0
    connection_count: int = 0
    cpu_seconds: float = 0.0

    def record_outcome(
        self, request_class: str, outcome: RequestOutcome, latency: float | None = None
    ) -> None:
        """Count a request that has ended; `latency` is in seconds, or None without a response."""
        self.counts[request_class, outcome.value] += 1
        if latency is not None:
            _record(self._latency_histogram(request_class), latency)

    def record_start(self, lateness: float) -> None:
        """Count a request that was started `lateness` seconds after its due time."""
        self.request_count += 1
        _record(self.start_lateness, lateness)

    def _latency_histogram(self, request_class: str) -> Any:
        # A histogram is large, and setdefault would create one for each request.
        if request_class not in self.latencies:
            self.latencies[request_class] = new_histogram()
        return self.latencies[request_class]

    @property
    def void_reason(self) -> str:
        """Why the run is not a valid measurement of the server; empty if the run is valid."""
        lateness = self.start_lateness.get_value_at_percentile(99.0) / MICROSECONDS_PER_SECOND
        if self.request_count and lateness > MAX_START_LATENESS_S:
            return (
                "the tool itself fell behind:"
                f" one start in a hundred was {lateness * 1e3:.0f} ms late or more"
            )
        return ""

    def total(self, outcome: str) -> int:
        """Return the number of requests of all classes that had this outcome."""
        return sum(
            count
            for (_, counted_outcome), count in self.counts.items()
            if counted_outcome == outcome
        )

    def to_json(self) -> JsonObject:
        """Return a JSON object that another process can merge into its own result."""
        return {
            "counts": [[*key, count] for key, count in self.counts.items()],
            "times": {
                name: histogram.encode().decode() for name, histogram in self.latencies.items()
            },
            "lateness": self.start_lateness.encode().decode(),
            "asked": self.request_count,
            "seconds": self.seconds,
            "connections": self.connection_count,
            "cpu": self.cpu_seconds,
        }

    def merge(self, encoded: JsonObject) -> None:
        """Add the result of another process, as returned by its `to_json`."""
        for name, outcome, count in encoded["counts"]:
            self.counts[name, outcome] += count
        for name, text in encoded["times"].items():
            self._latency_histogram(name).decode_and_add(text.encode())
        self.start_lateness.decode_and_add(encoded["lateness"].encode())
        self.request_count += encoded["asked"]
        self.seconds = max(self.seconds, encoded["seconds"])
        self.connection_count += encoded["connections"]
        self.cpu_seconds += encoded["cpu"]

    def summary(self) -> JsonObject:
        """Return the JSON object that is shown to users; latencies are in milliseconds."""
        request_classes = sorted({name for name, _ in self.counts})
        return {
            "asked": self.request_count,
            "seconds": round(self.seconds, 3),
            "outcomes": {outcome.value: self.total(outcome) for outcome in RequestOutcome},
            "by_class": {name: self._outcome_counts(name) for name in request_classes},
            "times_ms": {
                name: _percentiles_ms(histogram)
                for name, histogram in sorted(self.latencies.items())
            },
            "start_lateness_ms": _percentiles_ms(self.start_lateness),
            "connections": self.connection_count,
            "tool_cpu_us_per_request": round(
                self.cpu_seconds / max(1, self.request_count) * MICROSECONDS_PER_SECOND, 1
            ),
            "void": self.void_reason,
        }

    def _outcome_counts(self, request_class: str) -> dict[str, int]:
        return {
            outcome.value: self.counts[request_class, outcome.value]
            for outcome in RequestOutcome
            if self.counts[request_class, outcome.value]
        }
