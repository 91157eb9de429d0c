"""Estimates of backends' latency, load and concurrency from few samples; it decides nothing.

With many ingresses each of them sees few responses of any one backend: some three a minute with
forty ingresses, a hundred with three. A value that is smoothed with a small step would hardly leave
its start. So the estimate of one backend is drawn towards the mean of its kind by a fixed number of
imaginary samples (shrinkage, as in empirical Bayes estimation), and counts alone once it has many
samples. The load of a report decays to the kind's mean and not to zero: a backend without
a recent report counts as loaded as the others, where an idle one would attract every request.

Latencies are relative to the usual latency of the request's class, so 1.0 is as usual.
"""

from __future__ import annotations

import math

# Imaginary samples with its kind's mean that each backend's estimate starts from.
PRIOR_SAMPLES = 2.0
# Largest relative latency that one sample counts as.
MAX_RELATIVE_LATENCY = 8.0
# Least weight of one more sample in the estimate of a backend.
BACKEND_STEP = 0.05
# Least weight of one more sample in the mean of a kind.
KIND_STEP = 0.05
# Ingress count for which the weight of one failure, and how long it lasts, were set.
REFERENCE_INGRESS_COUNT = 3.0
# Requests that a backend serves at once with none of them taking longer than one alone.
BASE_CONCURRENCY = 2.0
# Weight of one more request in the usual concurrency.
CONCURRENCY_STEP = 0.02
# Deviations above the usual latency at which one sample is clipped.
MAX_DEVIATIONS = 3.0


def sample_scarcity(ingress_count: int) -> float:
    """Return the factor by which one failure weighs more, and lasts longer, with more ingresses.

    Each of many ingresses sees fewer responses of a backend, so a backend that fails at once costs
    each of them as many requests as it takes to notice.
    """
    return max(1.0, math.sqrt(ingress_count / REFERENCE_INGRESS_COUNT))


class KindEstimates:
    """Mean relative latency and mean load of the backends of one kind.

    Attributes:
        relative_latency: mean over the kind; 1.0 is as usual.
        sample_count: latency samples so far.
        remote_requests: mean number of requests of other ingresses at a backend of the kind.
        report_count: load reports so far.
    """

    __slots__ = ("relative_latency", "remote_requests", "report_count", "sample_count")

    def __init__(self) -> None:
        self.relative_latency = 1.0
        self.sample_count = 0
        self.remote_requests = 0.0
        self.report_count = 0

    def add_latency(self, relative_latency: float) -> None:
        """Count the relative latency of one response of a backend of the kind."""
        self.sample_count += 1
        step = max(KIND_STEP, 1 / self.sample_count)
        self.relative_latency += step * (relative_latency - self.relative_latency)

    def add_load(self, remote_requests: float) -> None:
        """Count the requests of other ingresses in one load report of the kind."""
        self.report_count += 1
        step = max(KIND_STEP, 1 / self.report_count)
        self.remote_requests += step * (remote_requests - self.remote_requests)


class DecayRounds:
    """Rounds of periodic maintenance so far, in each of which latency samples lose weight.

    Attributes:
        count: rounds so far.
        remaining_per_round: fraction of a sample's weight that is left after each round.
    """

    __slots__ = ("count", "remaining_per_round")

    def __init__(self) -> None:
        self.count = 0
        self.remaining_per_round = 1.0

    def advance(self, remaining: float) -> None:
        """Count one more round, which leaves the fraction `remaining` of each weight."""
        self.count += 1
        self.remaining_per_round = remaining

    def remaining_since(self, round_number: int) -> float:
        """Return the fraction that is left of a weight set in an earlier round."""
        return self.remaining_per_round ** (self.count - round_number)


class RelativeLatency:
    """The mean relative latency of one backend, drawn towards the mean of its kind.

    Its weight decays by the rounds gone by whenever it is read: most backends of a long list have
    an estimate, and few of them are read in a round.
    """

    __slots__ = ("_mean", "_rounds", "_updated_in", "_weight")

    def __init__(self, rounds: DecayRounds) -> None:
        self._mean = 1.0
        self._weight = 0.0
        self._rounds = rounds
        self._updated_in = rounds.count

    @property
    def sample_count(self) -> float:
        """The decayed number of samples that the mean counts as."""
        return self._weight * self._rounds.remaining_since(self._updated_in)

    def add_sample(self, relative_latency: float) -> None:
        """Count the relative latency of one more response."""
        self._weight = min(self.sample_count + 1, 1 / BACKEND_STEP)
        self._updated_in = self._rounds.count
        self._mean += (relative_latency - self._mean) / self._weight

    def estimate(self, kind: KindEstimates) -> float:
        """Return the backend's relative latency, drawn towards that of its kind."""
        weight = self.sample_count
        prior = PRIOR_SAMPLES * kind.relative_latency
        return (prior + weight * self._mean) / (PRIOR_SAMPLES + weight)


class ConcurrencyEstimate:
    """The usual concurrency that a request meets at its backend.

    A backend's relative latency is to say how fast it is, and not how loaded it was: without this
    correction a backend that was spared during slow start looked four times as fast as the loaded
    ones, got sixty requests to their fifteen as soon as it was warm, and was overloaded (seen with
    3 ingresses and 17 backends in the scenario pool-bern).

    Attributes:
        usual_concurrency: smoothed number of requests at a backend, `BASE_CONCURRENCY` included.
    """

    __slots__ = ("usual_concurrency",)

    def __init__(self) -> None:
        self.usual_concurrency = BASE_CONCURRENCY

    def relative_concurrency(self, load: float) -> float:
        """Count a request that meets `load` others and return its concurrency; 1.0 is as usual."""
        concurrency = load + BASE_CONCURRENCY
        self.usual_concurrency += CONCURRENCY_STEP * (concurrency - self.usual_concurrency)
        return concurrency / self.usual_concurrency


def smooth_latency(
    usual: float, deviation: float, duration: float, step: float
) -> tuple[float, float]:
    """Return the usual latency and its mean deviation (s) after one more response.

    Both are exponentially weighted means, as in TCP's retransmission timer (RFC 6298). A far longer
    duration, of a failing backend, is clipped: it would make later slow responses look usual.

    Args:
        usual: usual latency so far, s.
        deviation: its mean absolute deviation so far, s.
        duration: duration of the response, s.
        step: weight of the new sample, from 0 to 1.
    """
    clipped = min(duration, usual + MAX_DEVIATIONS * max(deviation, usual / 4))
    deviation += step * (abs(clipped - usual) - deviation)
    return usual + step * (clipped - usual), deviation
