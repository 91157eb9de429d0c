"""Slow start: limits the requests to backends that are warming up.

Theory of operation. In a pool that also has warm backends, a backend that is warming up is drawn by
its slow-start weight. The ratio of its load to its capacity is then at most that of a warm backend
times the number of candidates that may be warming up. In a pool without a warm backend, the weights
don't limit the load: all requests go to backends that are warming up, and those that waited while
there was no backend go there at once. The capacity of a backend is not known, but the rate that
backends have served is a lower bound, which `RecoveryRamp` uses. Each ingress counts its own
responses. The sum of the limits of all ingresses is the multiple, set in the settings, of the rate
that the fleet saw served, whatever the size of the fleet and however uneven the traffic.
docs/design/fleet.md has the derivation.
"""

from __future__ import annotations

import math

from dockthread.policy.backend import Backend
from dockthread.policy.context import Context
from dockthread.policy.model import SafetyLimits
from dockthread.policy.usual_latency import UsualLatencies

# Responses are averaged over this many times the safety limits' `overload_time`.
RESPONSES_OVERLOAD_TIMES = 4.0
# Lower bound on a backend's warm-up time in seconds, which avoids a division by 0.
MIN_WARM_UP_TIME = 1e-6


class RecoveryRamp:
    """A token bucket for the attempts of one ingress to a pool without a warm backend.

    The served rate is the rate at which the ingress saw backends of the same total weight respond.
    The bucket refills at `overload_multiple - 1` times the served rate, and holds at most what is
    served in `overload_time`. So in a period of that length, at most `overload_multiple` times as
    many attempts are sent as were served.
    """

    __slots__ = (
        "_ingress_count",
        "_multiple",
        "_responses",
        "_total_weight",
        "_updated_at",
        "_weight_seconds",
        "_window",
        "available",
    )

    def __init__(self, safety: SafetyLimits, ingress_count: int, now: float) -> None:
        self._ingress_count = ingress_count
        self._window = safety.overload_time
        self._multiple = warming_multiple(safety)
        # The decayed number of responses, and the decayed integral over time, in seconds, of the
        # total weight of the backends that sent them. Their ratio is the served rate per weight.
        self._responses = 0.0
        self._weight_seconds = 0.0
        self._total_weight = 0.0
        self._updated_at = now
        self.available = 1.0

    def on_response(self, now: float, total_weight: float, usual_latency: float) -> None:
        """Count a response; `advance` describes the parameters."""
        self.advance(now, total_weight, usual_latency)
        self._responses += 1

    def advance(self, now: float, total_weight: float, usual_latency: float) -> None:
        """Refill the bucket up to now.

        Args:
            now: the current time in seconds.
            total_weight: the sum of the weights of all ready backends from now on.
            usual_latency: the usual response time in seconds.
        """
        gap = now - self._updated_at
        self._updated_at = now
        remaining = math.exp(-gap / (RESPONSES_OVERLOAD_TIMES * self._window))
        self._responses *= remaining
        self._weight_seconds = remaining * self._weight_seconds + gap * self._total_weight
        served = self._total_weight * self.served_rate(usual_latency)
        self.available += gap * self._multiple * served
        self.available = min(self.available, max(1.0, self._window * served))
        self._total_weight = total_weight

    def served_rate(self, usual_latency: float) -> float:
        """Return the responses to this ingress per second and backend of weight 1.

        It is the observed rate, but at least this ingress's share of the rate of a backend that
        serves one request at a time.
        """
        observed_rate = self._responses / self._weight_seconds if self._weight_seconds else 0.0
        return max(observed_rate, 1 / (self._ingress_count * usual_latency))


def warming_multiple(safety: SafetyLimits) -> int:
    """Return how many times its capacity a backend that is warming up may be sent.

    It is the multiple in the settings minus one, which is kept in reserve for random variation.
    """
    return max(1, int(safety.overload_multiple) - 1)


class SlowStart:
    """Weighs backends by how far they have warmed up, and limits a pool without a warm backend."""

    __slots__ = ("_context", "_latencies", "ramp")

    def __init__(self, context: Context, latencies: UsualLatencies) -> None:
        self._context = context
        self._latencies = latencies
        self.ramp = self._new_ramp()

    def _new_ramp(self) -> RecoveryRamp:
        settings = self._context.settings
        return RecoveryRamp(settings.safety, settings.ingress_count, self._context.now)

    def weight(self, backend: Backend) -> float:
        """Return the fraction of its capacity that a backend has now; 1 for a warm backend."""
        safety = self._context.settings.safety
        started_at = backend.endpoint.started_at
        age = max(0.0, self._context.now - started_at) if started_at else math.inf
        cold_capacity = safety.cold_capacity
        return min(
            1.0,
            cold_capacity + (1 - cold_capacity) * age / max(safety.warm_up_time, MIN_WARM_UP_TIME),
        )

    def on_response(self, total_weight: float) -> None:
        """Count a response; `total_weight` is the sum of the weights of all ready backends."""
        self.ramp.on_response(self._context.now, total_weight, self._latencies.mean())

    def attempts_available(self, total_weight: float) -> float:
        """Return how many attempts a pool without a warm backend may be sent now."""
        self.ramp.advance(self._context.now, total_weight, self._latencies.mean())
        return self.ramp.available

    def on_attempt_sent(self) -> None:
        """Count an attempt that was sent to a pool without a warm backend."""
        self.ramp.available -= 1
