"""Load reports of backends: how many requests of other ingresses one of them has.

A backend may add numbers on its load to a response. Which ones it sends is set per deployment; this
module reads whichever are there and turns them into one quantity, a number of requests.
"""

from __future__ import annotations

# Names of the report fields that are understood, as they stand in the platform's settings:
# requests in flight, part of the CPU cores in use, requests served per second, latency (ms), and
# requests in the queue.
LOAD_REPORT_FIELDS = ("rif", "busy", "rate", "lat_ms", "q")
# Requests that a backend with all cores in use counts as, beside this ingress's own.
FULL_CPU_REQUESTS = 1.0
MS_PER_S = 1000


class LoadReportReader:
    """Reads the requests of other ingresses at a backend off whichever fields a report has.

    The first of these fields that a report has decides:

    * `rif`, the requests in flight at the backend;
    * `busy`, the part of the cores in use, which counts as up to `FULL_CPU_REQUESTS` (to learn what
      it stands for, and count it in full, made ingresses herd to where late reports saw capacity);
    * `rate`, requests served per second, times the usual latency (Little's law);
    * `lat_ms`, the latency in usual latencies.

    `q`, the requests in the queue, is added to all but the first.

    Attributes:
        positions: position of each understood field in a report, by name.
    """

    __slots__ = ("positions",)

    def __init__(self, names: tuple[str, ...]) -> None:
        self.positions = {name: names.index(name) for name in LOAD_REPORT_FIELDS if name in names}

    def remote_requests(
        self, report: tuple[float, ...], in_flight: int, usual_latency: float
    ) -> float | None:
        """Return how many requests of other ingresses a backend has.

        Args:
            report: the numbers of the report, in the order of the names given at the start.
            in_flight: this ingress's own attempts there, without the one that brought the report.
            usual_latency: s that a response usually takes.

        Returns:
            A number of requests of at least 0; None where the report has no understood field.
        """
        values = {
            name: report[position]
            for name, position in self.positions.items()
            if position < len(report)
        }
        if "rif" in values:
            return max(0.0, values["rif"] - in_flight - 1)
        queue = values.get("q", 0.0)
        if "busy" in values:
            return FULL_CPU_REQUESTS * max(0.0, values["busy"]) + queue
        if "rate" in values:
            return max(0.0, values["rate"] * usual_latency - in_flight) + queue
        if "lat_ms" in values:
            return max(0.0, values["lat_ms"] / MS_PER_S / usual_latency - in_flight) + queue
        return queue if values else None
