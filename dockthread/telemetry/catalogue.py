"""The catalogue of all metrics that are sent: the path, kind, unit and meaning of each.

A path is a tuple of parts; placeholders such as `{class}` stand for names. A `derive` is a counter
that never decreases within a telemetry incarnation. A `gauge` is a current value that may rise and
fall. Both kinds are defined in collectd's standard types.db.

A telemetry incarnation is a period in which an ingress counts; all counters start at zero in it. It
begins when the ingress starts or a reload adds the first receiver, and ends when the ingress stops
or a reload removes the last receiver. The metric `life` is the start time of the incarnation.

Paths and meanings are shown by `dockthread metrics list` and used by dashboards, so they keep some
terms that the code no longer uses.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from typing import NamedTuple

DERIVE = "derive"
GAUGE = "gauge"

# Maximum number of characters in one part of a path.
MAX_PART_LENGTH = 64
# Bytes of the hash, written in hexadecimal, that is appended to a name with unsafe characters.
PART_HASH_BYTES = 4
# Characters of the appended hash, including the dash before it.
PART_SUFFIX_LENGTH = 1 + 2 * PART_HASH_BYTES
SAFE_PART = re.compile(r"[A-Za-z0-9_-]{1,64}")
UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]+")

# The path of the metric with the start time of the incarnation, the first point of each report.
LIFE_PATH = ("life",)
# Upper bounds of the latency buckets, in milliseconds.
BUCKET_BOUNDS_MS = (5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)


class Point(NamedTuple):
    """One value of a metric at the time of its report.

    Attributes:
        path: The parts of the metric's path, with names in place of placeholders such as `{class}`.
        kind: `DERIVE` or `GAUGE`.
        value: The value; a whole number for a `DERIVE`.
    """

    path: tuple[str, ...]
    kind: str
    value: float

    @property
    def value_text(self) -> str:
        """The value in decimal: whole numbers exactly, others with seven significant digits."""
        integer = int(self.value)
        return str(integer) if self.value == integer else f"{self.value:.7g}"


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric as it is listed for operators."""

    path: str
    kind: str
    unit: str
    meaning: str


METRICS = (
    Metric("life", GAUGE, "Unix ms", "start of this life; sent first in every report, with the same time stamp"),
    Metric("phase", GAUGE, "number", "1 starting, 2 serving, 3 lingering, 4 draining, 5 stopped"),
    Metric("answers.{class}.{plan}.{outcome}", DERIVE, "answers", "final answers: served, refused or failed"),
    Metric("why.{class}.{plan}.{outcome}.{reason}", DERIVE, "answers", "refused and failed ones by reason"),
    Metric("late.{class}", DERIVE, "answers", "served after the class's aim"),
    Metric("gone.{class}.{plan}", DERIVE, "requests", "clients that went away before their answer"),
    Metric("time.{class}.p50", GAUGE, "ms", "answer time of the served, over the last interval: median"),
    Metric("time.{class}.p95", GAUGE, "ms", "the same: 95th percentile"),
    Metric("time.{class}.p99", GAUGE, "ms", "the same: 99th percentile"),
    Metric("time.{class}.max", GAUGE, "ms", "the same: the longest"),
    Metric("time.{class}.le_{ms}", DERIVE, "answers", "served within so many ms; can be summed over ingresses"),
    Metric("time.{class}.sum", DERIVE, "ms", "answer times of the served, added up"),
    Metric("attempts.{outcome}", DERIVE, "calls", "outbound calls ended, by outcome"),
    Metric("attempts.started", DERIVE, "calls", "outbound calls begun"),
    Metric("attempts.copies", DERIVE, "calls", "of them, begun while an earlier one was out"),
    Metric("connections.{side}", GAUGE, "connections", "open now: clients, nodes"),
    Metric("opened.{side}", DERIVE, "connections", "opened since the start"),
    Metric("messages.in", DERIVE, "messages", "of other ingresses"),
    Metric("messages.out", DERIVE, "messages", "to other ingresses"),
    Metric("messages.odd", DERIVE, "messages", "passed over: from no address in `peers`, or too long"),
    Metric("requests.open", GAUGE, "requests", "taken and not settled"),
    Metric("requests.bodies", GAUGE, "bytes", "held by the bodies of open requests"),
    Metric("commands.bad", DERIVE, "commands", "commands that could not be served"),
    Metric("bytes.{side}.{way}", DERIVE, "bytes", "by side (clients, nodes) and way (in, out)"),
    Metric("counter.calls.{outcome}", DERIVE, "calls", "calls to the shared counter, by outcome"),
    Metric("counter.p50", GAUGE, "ms", "answer time of the counter over the last interval: median"),
    Metric("counter.p99", GAUGE, "ms", "the same: 99th percentile"),
    Metric("counter.muted", DERIVE, "ms", "time in which the counter was not asked, to a quarter second"),
    Metric("quota.{plan}.asked", DERIVE, "units", "of requests answered, or whose client went away"),
    Metric("quota.{plan}.sent_on", DERIVE, "units", "of them, sent on to nodes: what takes from the quota"),
    Metric("quota.{plan}.refused", DERIVE, "units", "refused"),
    Metric("firms.{plan}.{firm}.asked", GAUGE, "units/s", "of the firms that asked most in the last interval"),
    Metric("firms.{plan}.{firm}.sent_on", GAUGE, "units/s", "the same: sent on"),
    Metric("firms.{plan}.{firm}.refused", GAUGE, "units/s", "the same: refused"),
    Metric("firms_seen", GAUGE, "firms", "with a place in the table of the last interval"),
    Metric("nodes.{node}.out", GAUGE, "calls", "own calls out at the node"),
    Metric("nodes.{node}.inflight", GAUGE, "requests", "there by the node's last report"),
    Metric("nodes.{node}.report_age", GAUGE, "ms", "age of that report"),
    Metric("nodes.{node}.failed", GAUGE, "part", "of its recent outcomes that were failures"),
    Metric("nodes.{node}.skipped", GAUGE, "0 or 1", "1 while it is full for some plan, or not listed as ready"),
    Metric("routes.{route}.requests", DERIVE, "requests", "that took the route"),
    Metric("routes.{route}.attempts", DERIVE, "calls", "outbound calls for them"),
    Metric("routes.{route}.copies", DERIVE, "calls", "of them, second copies"),
    Metric("routes.{route}.copies_won", DERIVE, "answers", "copies that answered first"),
    Metric("routes.{route}.open", GAUGE, "requests", "open now"),
    Metric("routes.{route}.inside", GAUGE, "requests", "inside the limit"),
    Metric("routes.{route}.limit", GAUGE, "requests", "the limit now; not sent where there is none"),
    Metric("routes.{route}.queue", GAUGE, "requests", "waiting for room"),
    Metric("routes.{route}.queued", DERIVE, "requests", "that ever waited"),
    Metric("routes.{route}.queue_wait", DERIVE, "ms", "waited in the queue by those let in, added up"),
    Metric("routes.{route}.refused_limit", DERIVE, "requests", "refused for the limit or the queue"),
    Metric("routes.{route}.refused_budget", DERIVE, "calls", "attempts and copies not made for want of budget"),
    Metric("routes.{route}.budget", GAUGE, "calls", "that the retry budget holds now"),
    Metric("loop.p50", GAUGE, "ms", "delay of the event loop over the last interval: median"),
    Metric("loop.p99", GAUGE, "ms", "the same: 99th percentile"),
    Metric("loop.max", GAUGE, "ms", "the same: the longest"),
    Metric("memory.resident", GAUGE, "bytes", "resident memory"),
    Metric("cpu.used", DERIVE, "ms", "CPU time of the process"),
    Metric("descriptors.open", GAUGE, "descriptors", "held by the process"),
    Metric("descriptors.limit", GAUGE, "descriptors", "that it may hold"),
    Metric("garbage.{generation}", DERIVE, "collections", "of the interpreter's collector, by generation"),
    Metric("telemetry.{receiver}.sent", DERIVE, "reports", "handed to that receiver"),
    Metric("telemetry.{receiver}.dropped", DERIVE, "reports", "given up: its queue was full"),
    Metric("telemetry.{receiver}.queued", GAUGE, "bytes", "waiting for it"),
    Metric("telemetry.{receiver}.lost", DERIVE, "connections", "that failed or broke"),
)  # fmt: skip


def path_part(name: str) -> str:
    """Return a name as one part of a path.

    A name of 1 to 64 safe characters stays unchanged. In any other name each run of unsafe
    characters is replaced by `_`, the result is shortened, and a BLAKE2s hash of the whole name is
    appended, so that different names have different parts.
    """
    if SAFE_PART.fullmatch(name):
        return name
    encoded = name.encode("utf-8", "surrogatepass")
    digest = hashlib.blake2s(encoded, digest_size=PART_HASH_BYTES).hexdigest()
    safe = UNSAFE_CHARACTERS.sub("_", name[:MAX_PART_LENGTH])
    return f"{safe[: MAX_PART_LENGTH - PART_SUFFIX_LENGTH]}-{digest}"
