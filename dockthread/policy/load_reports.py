"""Derives the number of other ingresses' requests at a backend from its load reports.

A backend may add values that describe its load to a response. The settings of the deployment name
these values. This module converts the values that are present into one number of requests.
"""

from __future__ import annotations

# Names of the supported report fields in the platform's settings: requests in flight, fraction of
# the CPU cores in use, requests served per second, latency (ms), and requests in the queue.
LOAD_REPORT_FIELDS = ("rif", "busy", "rate", "lat_ms", "q")
# Number of other ingresses' requests that is assumed for a backend with all cores in use.
FULL_CPU_REQUESTS = 1.0
MS_PER_S = 1000


class LoadReportReader:
    """Estimates the requests of other ingresses at a backend from the fields of a load report.

    The first of these fields that the report contains is used:

    * `rif`, the requests in flight at the backend;
    * `busy`, the fraction of the cores in use, which counts as up to `FULL_CPU_REQUESTS` (a
      learnt number of requests in place of this constant made ingresses herd to backends that had
      capacity according to outdated reports);
    * `rate`, requests served per second, times the usual latency (Little's law);
    * `lat_ms`, the latency as a multiple of the usual latency.

    `q`, the requests in the queue, is added unless the report contains `rif`.

    Attributes:
        positions: position of each supported field in a report, by name.
    """

    __slots__ = ("positions",)

    def __init__(self, names: tuple[str, ...]) -> None:
        self.positions = {name: names.index(name) for name in LOAD_REPORT_FIELDS if name in names}

    def remote_requests(
        self, report: tuple[float, ...], in_flight: int, usual_latency: float
    ) -> float | None:
        """Return the estimated number of other ingresses' requests at a backend.

        Args:
            report: the values of the report, in the order of the names passed to the constructor.
            in_flight: this ingress's attempts in flight there, without the one whose response
                carried the report.
            usual_latency: the usual response time, s.

        Returns:
            A number of requests of at least 0; None if the report has no supported field.
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
