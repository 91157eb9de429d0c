"""What came of a load: counts and histograms, which can be added up over processes.

Times are kept in HdrHistogram (Gil Tene), in microseconds from 1 us to 5 min at three digits; the
time of a request runs from its intended start, so that a stall of the server, or of this tool, is
in every time it touched.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

LEAST, MOST, DIGITS = 1, 300_000_000, 3
OUTCOMES = ("served", "refused", "failed", "lost", "late", "unsent")
LATE_START = 0.010  # s: the 99th percentile of the starts' lateness from which a run is void


def histogram() -> Any:
    """An empty histogram of times, in microseconds."""
    return HdrHistogram(LEAST, MOST, DIGITS)


@dataclass
class Outcome:
    """`counts` by class and outcome: served, refused, failed; `lost`: the connection ended first;
    `late`: nothing came in the client's time; `unsent`: no connection could be had.
    """

    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    times: dict[str, Any] = field(default_factory=dict)  # of the answered, by class
    lateness: Any = field(default_factory=histogram)  # of the starts
    asked: int = 0
    seconds: float = 0.0
    connections: int = 0
    cpu: float = 0.0  # s, of the tool

    def note(self, request_class: str, outcome: str, seconds: float | None) -> None:
        """One request has ended. `seconds`: until its answer, None where none came."""
        self.counts[request_class, outcome] += 1
        if seconds is not None:
            if request_class not in self.times:
                self.times[request_class] = histogram()
            self.times[request_class].record_value(min(MOST, max(LEAST, int(seconds * 1e6))))

    def started(self, late: float) -> None:
        """One more request was sent, `late` seconds after it was due."""
        self.asked += 1
        self.lateness.record_value(min(MOST, max(LEAST, int(late * 1e6))))

    @property
    def void(self) -> str:
        """Why the run says nothing of the server; empty where it does."""
        late = self.lateness.get_value_at_percentile(99.0) / 1e6
        if self.asked and late > LATE_START:
            return f"the tool itself fell behind: one start in a hundred was {late * 1e3:.0f} ms late or more"
        return ""

    def total(self, outcome: str) -> int:
        """Requests of all classes that ended so."""
        return sum(many for (_, word), many in self.counts.items() if word == outcome)

    def packed(self) -> dict[str, Any]:
        """For another process."""
        return {
            "counts": [[*key, many] for key, many in self.counts.items()],
            "times": {name: times.encode().decode() for name, times in self.times.items()},
            "lateness": self.lateness.encode().decode(),
            "asked": self.asked,
            "seconds": self.seconds,
            "connections": self.connections,
            "cpu": self.cpu,
        }

    def add(self, packed: dict[str, Any]) -> None:
        """Add what another process counted."""
        for name, outcome, many in packed["counts"]:
            self.counts[name, outcome] += many
        for name, text in packed["times"].items():
            if name not in self.times:
                self.times[name] = histogram()
            self.times[name].decode_and_add(text.encode())
        self.lateness.decode_and_add(packed["lateness"].encode())
        self.asked += packed["asked"]
        self.seconds = max(self.seconds, packed["seconds"])
        self.connections += packed["connections"]
        self.cpu += packed["cpu"]

    def summary(self) -> dict[str, Any]:
        """For JSON and for people; times in milliseconds."""

        def figures(times: Any) -> dict[str, float]:
            marks = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9, "max": 100.0}
            return {
                word: round(times.get_value_at_percentile(at) / 1000.0, 3)
                for word, at in marks.items()
            }

        return {
            "asked": self.asked,
            "seconds": round(self.seconds, 3),
            "outcomes": {word: self.total(word) for word in OUTCOMES},
            "by_class": {
                name: {
                    word: self.counts[name, word] for word in OUTCOMES if self.counts[name, word]
                }
                for name in sorted({name for name, _ in self.counts})
            },
            "times_ms": {name: figures(times) for name, times in sorted(self.times.items())},
            "start_lateness_ms": figures(self.lateness),
            "connections": self.connections,
            "tool_cpu_us_per_request": round(self.cpu / max(1, self.asked) * 1e6, 1),
            "void": self.void,
        }
