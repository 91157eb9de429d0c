"""The state that an ingress keeps for one listed backend."""

from __future__ import annotations

import struct
from math import inf
from typing import Protocol

from dockthread.policy.context import NEVER
from dockthread.policy.gossip_codec import backend_code
from dockthread.policy.latency_estimates import DecayRounds, KindEstimates, RelativeLatency
from dockthread.policy.model import Endpoint

# Bytes of one value in a packed load report.
DOUBLE_SIZE = 8
# Half-life in seconds of the difference between a load report and the smoothed mean of reports.
REPORT_HALF_LIFE = 0.4
# Half-life in seconds of the smoothed mean of the reports.
REPORT_MEAN_HALF_LIFE = 8.0
# Empty dictionary shared by all backends that never rejected an attempt for lack of capacity, which
# saves memory in a long list. It must never be modified.
NEVER_AT_CAPACITY: dict[int, float] = {}


class OwningPool(Protocol):
    """The part of a pool that the backends in it use."""

    decay_rounds: DecayRounds
    failing: dict[int, Backend]


class Backend:
    """One listed backend.

    There may be tens of thousands of backends, so objects that most of them never need are created
    on first use.

    Attributes:
        kind: the statistics of the backend's kind.
        pool: the pool that the backend is drawn from.
        slot: the backend's position in the pool; -1 after it was removed from the pool.
        endpoint: the backend's entry in the endpoint list.
        is_ready: whether the list allows attempts to be sent to the backend.
        in_flight: number of this ingress's attempts in flight there, overdue ones included.
        removed_at: time in seconds at which the backend was delisted; infinite while it is listed.
        last_response_at: time in seconds at which a response last proved the backend alive.
        capacity_backoff: seconds for which the backend is skipped after its last rejection for lack
            of capacity.
        at_capacity_until: for each plan, the time in seconds until which the backend counts as
            being at capacity.
        idle_connections: number of connections left idle by responses.
        last_idle_at: time in seconds at which a connection last became idle.
        report_at: time in seconds at which the last load report arrived.
        remote_requests: requests of other ingresses there, according to the last load report.
        smoothed_remote_requests: smoothed mean of `remote_requests`.
        is_new_process: whether its process started or restarted recently; it then counts as idle
            until its first load report.
    """

    __slots__ = (
        "_failure_fraction",
        "_latency",
        "_report",
        "at_capacity_until",
        "capacity_backoff",
        "endpoint",
        "idle_connections",
        "in_flight",
        "is_new_process",
        "is_ready",
        "kind",
        "last_idle_at",
        "last_response_at",
        "pool",
        "remote_requests",
        "removed_at",
        "report_at",
        "slot",
        "smoothed_remote_requests",
    )

    def __init__(self, endpoint: Endpoint, kind: KindEstimates, pool: OwningPool) -> None:
        self.kind = kind
        self.pool = pool
        self.slot = -1
        self.endpoint = endpoint
        self.is_ready = False
        self.in_flight = 0
        self.removed_at = inf
        self._report = b""
        self._clear_process_state()
        self.is_new_process = bool(endpoint.started_at)

    def _clear_process_state(self) -> None:
        """Reset all state learnt about the backend's process.

        The last load report is kept for comparison: an equal report of the new process is ignored.
        """
        self._failure_fraction = 0.0
        self._latency: RelativeLatency | None = None
        self.last_response_at = NEVER
        self.capacity_backoff = 0.0
        self.at_capacity_until = NEVER_AT_CAPACITY
        self.idle_connections = 0
        self.last_idle_at = NEVER
        self.report_at = NEVER
        self.remote_requests = 0.0
        self.smoothed_remote_requests = 0.0

    @property
    def code(self) -> bytes:
        """The backend's identity in gossip messages."""
        return backend_code(self.endpoint.backend)

    @property
    def failure_fraction(self) -> float:
        """The decayed fraction of failed or missing responses, seen here or by a peer."""
        return self._failure_fraction

    @failure_fraction.setter
    def failure_fraction(self, fraction: float) -> None:
        self._failure_fraction = fraction
        if fraction and self.slot >= 0:
            self.pool.failing[self.endpoint.backend] = self

    @property
    def report(self) -> tuple[float, ...]:
        """The last load report, which arrived at `report_at`.

        It is stored packed, because floats take three times as much memory.
        """
        return struct.unpack(f"{len(self._report) // DOUBLE_SIZE}d", self._report)

    def decay_failures(self, remaining: float, negligible: float) -> None:
        """Multiply the failure fraction by `remaining`, and set it to 0 below `negligible`."""
        self._failure_fraction *= remaining
        if self._failure_fraction < negligible:
            self._failure_fraction = 0.0

    @property
    def relative_latency(self) -> float:
        """The response time relative to the usual latency of the request's class."""
        if self._latency is None:
            return self.kind.relative_latency
        return self._latency.estimate(self.kind)

    def record_latency(self, relative_latency: float) -> None:
        """Record the time of one response relative to the usual latency of its class."""
        if self._latency is None:
            self._latency = RelativeLatency(self.pool.decay_rounds)
        self._latency.add_sample(relative_latency)
        self.kind.add_latency(relative_latency)

    def mark_at_capacity(self, plan: int, until: float) -> None:
        """Record that the backend has no capacity for a plan until a time in seconds."""
        if self.at_capacity_until is NEVER_AT_CAPACITY:
            self.at_capacity_until = {}
        self.at_capacity_until[plan] = until

    def record_report(
        self, report: tuple[float, ...], remote_requests: float | None, now: float
    ) -> None:
        """Record a new load report.

        Args:
            report: the reported values.
            remote_requests: requests of other ingresses there, as derived from the report; None if
                the report has no information about them and is to be ignored.
            now: the current time in seconds.
        """
        if remote_requests is None:
            return
        gap = now - self.report_at
        self.report_at = now
        self._report = struct.pack(f"{len(report)}d", *report)
        self.remote_requests = remote_requests
        # The weight depends on the elapsed time, so that one rare report counts as much as many
        # frequent ones.
        weight = 1 - 0.5 ** (gap / REPORT_MEAN_HALF_LIFE)
        self.smoothed_remote_requests += weight * (
            self.remote_requests - self.smoothed_remote_requests
        )
        self.kind.add_load(self.remote_requests)

    def load(self, now: float) -> float:
        """Estimate the number of requests at the backend.

        It is the sum of this ingress's attempts in flight and the requests of other ingresses
        according to the load reports. The older the last report, the more the smoothed mean of the
        reports replaces it.
        """
        if self.report_at == NEVER:
            # Use the kind's mean: if backends without a report counted as idle, they would attract
            # all requests.
            return self.in_flight + (0.0 if self.is_new_process else self.kind.remote_requests)
        weight: float = 0.5 ** ((now - self.report_at) / REPORT_HALF_LIFE)
        return (
            self.in_flight
            + self.smoothed_remote_requests
            + weight * (self.remote_requests - self.smoothed_remote_requests)
        )

    def has_idle_connection(self, since: float) -> bool:
        """Return whether a connection that became idle after `since` should still be open."""
        return self.idle_connections > 0 and self.last_idle_at > since

    def add_idle_connection(self, now: float) -> None:
        """Count a connection that a response left idle."""
        self.idle_connections += 1
        self.last_idle_at = now

    def take_idle_connection(self, since: float) -> None:
        """Use an idle connection for an attempt; those idle since before `since` are closed."""
        if self.has_idle_connection(since):
            self.idle_connections -= 1
        else:
            self.idle_connections = 0

    def reset_process(self) -> None:
        """Reset the learnt state because a new process runs under the backend's number."""
        self._clear_process_state()
        self.is_new_process = True
