"""The usual response time of each request class, learnt from this ingress's responses."""

from __future__ import annotations

from dockthread.policy.latency_estimates import smooth_latency
from dockthread.policy.model import RequestClass

# Weight of a new response in the usual response time.
SMOOTHING_FACTOR = 0.05
# Before the first response, the usual time and its mean deviation are assumed to be the class's
# latency objective divided by these two numbers.
OBJECTIVE_OVER_USUAL = 5
OBJECTIVE_OVER_DEVIATION = 10


class UsualLatencies:
    """The usual response time and its mean deviation by request class, in seconds."""

    __slots__ = ("by_class",)

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.by_class: list[tuple[float, float]] = []
        self.reset(classes)

    def reset(self, classes: tuple[RequestClass, ...]) -> None:
        """Replace all estimates by initial values derived from the classes' latency objectives."""
        self.by_class = [
            (
                request_class.latency_objective / OBJECTIVE_OVER_USUAL,
                request_class.latency_objective / OBJECTIVE_OVER_DEVIATION,
            )
            for request_class in classes
        ]

    def mean(self) -> float:
        """Return the mean of the classes' usual response times, in seconds."""
        return sum(usual_latency for usual_latency, _ in self.by_class) / len(self.by_class)

    def record(self, request_class: int, duration: float) -> None:
        """Update the estimates of a class with a response that took `duration` seconds."""
        usual_latency, deviation = self.by_class[request_class]
        self.by_class[request_class] = smooth_latency(
            usual_latency, deviation, duration, SMOOTHING_FACTOR
        )
