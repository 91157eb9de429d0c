"""Estimates how long a request that is admitted now would wait at the backends."""

from __future__ import annotations

import math

from dockthread.policy.context import Context
from dockthread.policy.model import RequestClass
from dockthread.policy.usual_latency import UsualLatencies

# Seconds between two rounds of the engine's periodic maintenance.
MAINTENANCE_INTERVAL = 0.25
# Completions are averaged over this many times the safety limits' `overload_time`.
COMPLETIONS_OVERLOAD_TIMES = 4.0
# With fewer attempts in flight than this, their number does not indicate a queue.
MIN_QUEUE_IN_FLIGHT = 5
# Weight of one more response in the smoothed latency.
RESPONSE_WEIGHT = 0.12
# Weight of one more rejection for lack of capacity in the smoothed latency.
AT_CAPACITY_WEIGHT = 0.25
# A response time is clipped to this multiple of the tightest latency objective: a longer one
# reflects the load when its request was sent and not the present load.
MAX_COUNTED_OBJECTIVES = 1.5
# Requests are rejected when the expected wait exceeds this fraction of the bound for their
# priority.
MAX_DELAY_FRACTION = 0.25


class QueueingDelayEstimator:
    """Estimates the wait from attempts in flight, completions and recent response times.

    Attributes:
        tightest_objective: the shortest latency objective of all classes, in seconds.
        smoothed_latency: the recent response time in seconds. It decays, because a queue that has
            cleared must not cause rejections.
        in_flight: number of attempts in flight that are not overdue.
        completions: decayed number of responses.
    """

    __slots__ = (
        "_context",
        "_latencies",
        "completions",
        "in_flight",
        "smoothed_latency",
        "tightest_objective",
    )

    def __init__(self, context: Context, latencies: UsualLatencies) -> None:
        self._context = context
        self._latencies = latencies
        self.tightest_objective = 0.0
        self.apply_classes(context.settings.classes)
        self.smoothed_latency = 0.0
        self.in_flight = 0
        self.completions = 0.0

    def apply_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Derive the tightest objective from the current classes."""
        self.tightest_objective = min(request_class.latency_objective for request_class in classes)

    @property
    def is_overloaded(self) -> bool:
        """Whether recent responses took so long that requests are rejected."""
        return self.smoothed_latency > MAX_DELAY_FRACTION * self.tightest_objective

    def expected_delay(self) -> float:
        """Return the expected wait in seconds.

        It is the larger of two estimates. The first, by Little's law, divides the attempts in
        flight, less those that random variation explains, by the rate of completions; it detects a
        queue that builds up. The second is the smoothed latency; it detects work that was abandoned
        here and still waits at the backends.
        """
        # After a start, the first responses arrive this much later than the first requests.
        lag = self._latencies.mean()
        period = min(self._averaging_time(), self._context.now - self._context.started_at - lag)
        in_flight = self.in_flight
        if in_flight < MIN_QUEUE_IN_FLIGHT or not self.completions or period < lag:
            queued = 0.0
        else:
            queued = (in_flight - math.sqrt(in_flight)) * period / self.completions
        return max(queued, self.smoothed_latency)

    def record_completion(self) -> None:
        """Count a response."""
        self.completions += 1

    def record_response(self, duration: float, relevance: float) -> None:
        """Count a response of `duration` seconds with a weight of `relevance`, from 0 to 1."""
        weight = RESPONSE_WEIGHT * relevance
        clipped = min(duration, MAX_COUNTED_OBJECTIVES * self.tightest_objective)
        self.smoothed_latency += weight * (clipped - self.smoothed_latency)

    def record_at_capacity(self, relevance: float) -> None:
        """Count a rejection for lack of capacity; many of them indicate overload."""
        weight = AT_CAPACITY_WEIGHT * relevance
        self.smoothed_latency += weight * (self.tightest_objective - self.smoothed_latency)

    def decay(self) -> None:
        """Decay the estimates by one round of periodic maintenance."""
        self.completions *= 1 - MAINTENANCE_INTERVAL / self._averaging_time()
        self.smoothed_latency *= 0.5 ** (MAINTENANCE_INTERVAL / self.tightest_objective)

    def _averaging_time(self) -> float:
        """Return the seconds over which completions are averaged."""
        overload_time = self._context.settings.safety.overload_time
        return COMPLETIONS_OVERLOAD_TIMES * overload_time + MAINTENANCE_INTERVAL
