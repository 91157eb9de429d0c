"""Estimates of backends' latency, load and concurrency from few samples.

With many ingresses, each of them sees few responses of any one backend: about three per minute with
forty ingresses, a hundred with three. A value that is smoothed with a small step would hardly
change from its initial value. So the estimate of one backend is pulled towards the mean of its kind
by a fixed number of prior samples (shrinkage, as in empirical Bayes estimation), whose influence
vanishes once the backend has many samples. The load of a report decays to the smoothed mean of the
backend's reports and not to zero, and a backend that has not sent a report counts as being as
loaded as the mean of its kind, because one that counted as idle would attract every request.

Latencies are relative to the usual latency of the request's class; 1.0 is the usual latency.
"""

from __future__ import annotations

import math

# Number of prior samples, with its kind's mean, in each backend's estimate.
PRIOR_SAMPLES = 2.0
# Relative latency to which each sample is clipped.
MAX_RELATIVE_LATENCY = 8.0
# Minimum weight of a new sample in the estimate of a backend.
MIN_BACKEND_SAMPLE_WEIGHT = 0.05
# Minimum weight of a new sample in the mean of a kind.
MIN_KIND_SAMPLE_WEIGHT = 0.05
# Number of ingresses up to which the weight and the half-life of a failure are not scaled up.
REFERENCE_INGRESS_COUNT = 3.0
# Number of requests that a backend serves concurrently as fast as a single one.
BASE_CONCURRENCY = 2.0
# Weight of a new request in the usual concurrency.
CONCURRENCY_SAMPLE_WEIGHT = 0.02
# Samples are clipped at this many mean deviations above the usual latency.
MAX_DEVIATIONS = 3.0


def failure_scaling_factor(ingress_count: int) -> float:
    """Return the factor by which failures weigh more, and decay more slowly, with more ingresses.

    With more ingresses each of them sees fewer responses of a backend. When a backend fails, every
    ingress loses requests until it has seen enough failures.
    """
    return max(1.0, math.sqrt(ingress_count / REFERENCE_INGRESS_COUNT))


class KindEstimates:
    """Mean relative latency and mean load of the backends of one kind.

    Attributes:
        relative_latency: mean relative latency of the kind; 1.0 is the usual latency.
        sample_count: number of latency samples so far.
        remote_requests: mean number of requests of other ingresses at a backend of the kind.
        report_count: number of load reports so far.
    """

    __slots__ = ("relative_latency", "remote_requests", "report_count", "sample_count")

    def __init__(self) -> None:
        self.relative_latency = 1.0
        self.sample_count = 0
        self.remote_requests = 0.0
        self.report_count = 0

    def add_latency(self, relative_latency: float) -> None:
        """Add the relative latency of one response from a backend of the kind."""
        self.sample_count += 1
        step = max(MIN_KIND_SAMPLE_WEIGHT, 1 / self.sample_count)
        self.relative_latency += step * (relative_latency - self.relative_latency)

    def add_load(self, remote_requests: float) -> None:
        """Add the requests of other ingresses according to one load report of the kind."""
        self.report_count += 1
        step = max(MIN_KIND_SAMPLE_WEIGHT, 1 / self.report_count)
        self.remote_requests += step * (remote_requests - self.remote_requests)


class DecayRounds:
    """Counts the rounds of periodic maintenance, in each of which latency samples lose weight.

    Attributes:
        count: number of rounds so far.
        remaining_per_round: fraction of a sample's weight that remains after each round.
    """

    __slots__ = ("count", "remaining_per_round")

    def __init__(self) -> None:
        self.count = 0
        self.remaining_per_round = 1.0

    def advance(self, remaining: float) -> None:
        """Count one more round, which multiplies each weight by `remaining`."""
        self.count += 1
        self.remaining_per_round = remaining

    def remaining_since(self, round_number: int) -> float:
        """Return the fraction that remains of a weight set in an earlier round."""
        return self.remaining_per_round ** (self.count - round_number)


class RelativeLatency:
    """The mean relative latency of one backend, pulled towards the mean of its kind.

    The weight is decayed when it is read and not in each round: most backends of a long list have
    an estimate, but few of them are read in a round.
    """

    __slots__ = ("_mean", "_rounds", "_updated_in", "_weight")

    def __init__(self, rounds: DecayRounds) -> None:
        self._mean = 1.0
        self._weight = 0.0
        self._rounds = rounds
        self._updated_in = rounds.count

    @property
    def sample_count(self) -> float:
        """The decayed number of samples in the mean."""
        return self._weight * self._rounds.remaining_since(self._updated_in)

    def add_sample(self, relative_latency: float) -> None:
        """Add the relative latency of one response."""
        self._weight = min(self.sample_count + 1, 1 / MIN_BACKEND_SAMPLE_WEIGHT)
        self._updated_in = self._rounds.count
        self._mean += (relative_latency - self._mean) / self._weight

    def estimate(self, kind: KindEstimates) -> float:
        """Return the backend's relative latency, pulled towards that of its kind."""
        weight = self.sample_count
        prior = PRIOR_SAMPLES * kind.relative_latency
        return (prior + weight * self._mean) / (PRIOR_SAMPLES + weight)


class ConcurrencyEstimate:
    """Estimates the usual number of concurrent requests at the backend of a request.

    A backend's relative latency must reflect how fast the backend is, and not how loaded it was.
    Without this correction, a backend with little load during slow start looked four times as fast
    as the loaded backends. As soon as it was warm it got sixty requests for fifteen of theirs, and
    was overloaded (seen with 3 ingresses and 17 backends in the scenario pool-bern).

    Attributes:
        usual_concurrency: smoothed number of requests at a backend plus `BASE_CONCURRENCY`.
    """

    __slots__ = ("usual_concurrency",)

    def __init__(self) -> None:
        self.usual_concurrency = BASE_CONCURRENCY

    def relative_concurrency(self, load: float) -> float:
        """Count a request sent to a backend with this load; return its relative concurrency.

        1.0 is the usual concurrency.
        """
        concurrency = load + BASE_CONCURRENCY
        self.usual_concurrency += CONCURRENCY_SAMPLE_WEIGHT * (concurrency - self.usual_concurrency)
        return concurrency / self.usual_concurrency


def smooth_latency(
    usual_latency: float, deviation: float, duration: float, step: float
) -> tuple[float, float]:
    """Return the usual latency and its mean deviation (s) after one more response.

    Both are exponentially weighted means, as in TCP's retransmission timer (RFC 6298). The far
    longer duration of a response from a failing backend is clipped, because it would make later
    slow responses look normal.

    Args:
        usual_latency: usual latency before this response, s.
        deviation: mean absolute deviation before this response, s.
        duration: duration of the response, s.
        step: weight of the new sample, from 0 to 1.
    """
    clipped_duration = min(
        duration, usual_latency + MAX_DEVIATIONS * max(deviation, usual_latency / 4)
    )
    deviation += step * (abs(clipped_duration - usual_latency) - deviation)
    return usual_latency + step * (clipped_duration - usual_latency), deviation
