"""What an ingress knows of one listed backend."""

from __future__ import annotations

import struct
from math import inf
from typing import Protocol

from dockthread.policy.context import NEVER
from dockthread.policy.gossip_codec import backend_code
from dockthread.policy.latency_estimates import DecayRounds, KindEstimates, RelativeLatency
from dockthread.policy.model import Endpoint

# Bytes of one value of a load report, which is kept packed.
DOUBLE_SIZE = 8
# Half-life in seconds of what a load report says beyond the smoothed mean of the reports.
REPORT_HALF_LIFE = 0.4
# Half-life in seconds of the smoothed mean of the reports.
REPORT_MEAN_HALF_LIFE = 8.0
# Shared by all backends that never rejected an attempt for lack of capacity. It is never written
# to: most backends have none of their own, which saves memory in a long list.
NEVER_AT_CAPACITY: dict[int, float] = {}


class OwningPool(Protocol):
    """What a backend needs of the pool that it is drawn from."""

    decay_rounds: DecayRounds
    failing: dict[int, Backend]


class Backend:
    """One listed backend.

    There may be tens of thousands, so what most of them never need is created on first use.

    Attributes:
        kind: the statistics of the backend's kind.
        pool: the pool that the backend is drawn from.
        slot: the backend's position in the pool; -1 once it is forgotten.
        endpoint: the backend as it is listed.
        is_ready: whether the list lets attempts be sent there.
        in_flight: attempts of this ingress in flight there, overdue ones included.
        removed_at: since when the backend is not listed, in seconds; infinite while it is.
        last_response_at: when a response last proved it alive, in seconds.
        capacity_backoff: seconds for which its last rejection for lack of capacity counts.
        at_capacity_until: by plan, until when it counts as being at capacity, in seconds.
        idle_connections: connections that stood idle after its last responses.
        last_idle_at: when a connection last became idle, in seconds.
        report_at: when the last load report arrived, in seconds.
        remote_requests: requests of other ingresses there, by the last load report.
        smoothed_remote_requests: the smoothed mean of these.
        is_new_process: whether it started not long ago and has sent no load report since.
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
        self._forget_process()
        self.is_new_process = bool(endpoint.started_at)

    def _forget_process(self) -> None:
        """Set what is known of the backend's process to nothing.

        Its last load report stays, for comparison: an equal one of the new process is no news.
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
        """The decayed fraction of outcomes that were failures or missing, here or at a peer."""
        return self._failure_fraction

    @failure_fraction.setter
    def failure_fraction(self, fraction: float) -> None:
        self._failure_fraction = fraction
        if fraction and self.slot >= 0:
            self.pool.failing[self.endpoint.backend] = self

    @property
    def report(self) -> tuple[float, ...]:
        """The last load report, which arrived at `report_at`.

        It is kept packed, as floats take three times as much memory.
        """
        return struct.unpack(f"{len(self._report) // DOUBLE_SIZE}d", self._report)

    def decay_failures(self, remaining: float, negligible: float) -> None:
        """Multiply the failure fraction by `remaining`, and set it to 0 below `negligible`."""
        self._failure_fraction *= remaining
        if self._failure_fraction < negligible:
            self._failure_fraction = 0.0

    @property
    def relative_latency(self) -> float:
        """The response time over what is usual for the request's class."""
        if self._latency is None:
            return self.kind.relative_latency
        return self._latency.estimate(self.kind)

    def record_latency(self, relative_latency: float) -> None:
        """Learn from one response's time over what is usual for its class."""
        if self._latency is None:
            self._latency = RelativeLatency(self.pool.decay_rounds)
        self._latency.add_sample(relative_latency)
        self.kind.add_latency(relative_latency)

    def mark_at_capacity(self, plan: int, until: float) -> None:
        """Note that the backend has no capacity for a plan until a time in seconds."""
        if self.at_capacity_until is NEVER_AT_CAPACITY:
            self.at_capacity_until = {}
        self.at_capacity_until[plan] = until

    def record_report(
        self, report: tuple[float, ...], remote_requests: float | None, now: float
    ) -> None:
        """Take over a new load report.

        Args:
            report: the values reported.
            remote_requests: requests of other ingresses there, as derived from the report; None
                where the report says nothing about them, and is ignored.
            now: the current time in seconds.
        """
        if remote_requests is None:
            return
        gap = now - self.report_at
        self.report_at = now
        self._report = struct.pack(f"{len(report)}d", *report)
        self.remote_requests = remote_requests
        # Weighted by time and not by report: where reports are rare, one says as much as many do.
        weight = 1 - 0.5 ** (gap / REPORT_MEAN_HALF_LIFE)
        self.smoothed_remote_requests += weight * (
            self.remote_requests - self.smoothed_remote_requests
        )
        self.kind.add_load(self.remote_requests)

    def load(self, now: float) -> float:
        """Estimate the requests at the backend.

        They are those of this ingress in flight, and those of others by a load report that counts
        the less the older it is.
        """
        if self.report_at == NEVER:
            # The kind's mean: taken for empty, backends not met yet would draw all requests.
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
        """Forget what was known of the old process, as a new one runs under its number."""
        self._forget_process()
        self.is_new_process = True
