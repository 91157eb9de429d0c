"""Draws from a seed, or reads from a trace, when which request starts; does not send it.

Arrivals are a Poisson process whose rate is piecewise linear: gaps of a unit process are drawn from
the exponential distribution and carried through the inverse of the rate's integral (Çinlar 1975,
"Introduction to Stochastic Processes"). So the same seed gives the same arrivals whatever responses
come, and a slower server does not slow the load down.

Times are in seconds from the start of the load.
"""

from __future__ import annotations

import csv
import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from math import sqrt
from pathlib import Path
from typing import Final, NamedTuple, TypeAlias

from dockthread.clock import MILLISECONDS
from dockthread.config.quantities import Duration

# Requests a second that a shape may reach.
MAX_RATE: Final = 100_000.0
# Requests that a shape may have in all.
MAX_REQUESTS: Final = 50_000_000
# Change of the rate, per second and second, below which it counts as constant.
MIN_SLOPE: Final = 1e-12
# Ingresses that the requests of one customer are spread over at most.
MAX_SPREAD: Final = 3
# First line of a trace, in the order of the fields of `Arrival`.
TRACE_COLUMNS: Final = ("at", "request_class", "plan", "firm", "units", "spread", "first")
# Number of a trace's line after the one with the columns.
FIRST_TRACE_LINE: Final = 2

# Names and how often each is drawn, relative to the others.
NamedWeights: TypeAlias = tuple[tuple[str, float], ...]


class RateShapeError(ValueError):
    """A text is not a shape of rates."""


class WeightsError(ValueError):
    """A text is not a list of names and weights."""


class TraceError(ValueError):
    """A trace has a line that is not an arrival in its order."""


class Arrival(NamedTuple):
    """One request of a load.

    Attributes:
        at: when it starts.
        request_class: the name of its class.
        plan: the name of its customer's plan.
        customer: the number of its customer.
        units: what it counts against the customer's quota.
        spread: how many ingresses the customer's requests are spread over.
        first_ingress: the first of these.
    """

    at: float
    request_class: str
    plan: str
    customer: int
    units: int
    spread: int
    first_ingress: int


@dataclass(frozen=True, slots=True)
class RateSegment:
    """`length` seconds in which the rate goes in a straight line between two requests a second."""

    length: float
    begin_rate: float
    end_rate: float

    @property
    def expected_requests(self) -> float:
        """How many requests are expected to arrive in it."""
        return self.length * (self.begin_rate + self.end_rate) / 2.0

    def time_of(self, expected_count: float) -> float:
        """Return the time into the segment by which so many requests are expected."""
        slope = (self.end_rate - self.begin_rate) / self.length
        if abs(slope) < MIN_SLOPE:
            return expected_count / self.begin_rate
        squared_rate = max(0.0, self.begin_rate**2 + 2.0 * slope * expected_count)
        return (sqrt(squared_rate) - self.begin_rate) / slope


def parse_rate_shape(text: str) -> tuple[RateSegment, ...]:
    """Parse `140@60s` or `100>300@30s`, or several of them with commas between.

    Raises:
        RateShapeError: the text is something else, or a number is out of range.
    """
    segments = tuple(_parse_segment(part.strip()) for part in text.split(","))
    if sum(segment.expected_requests for segment in segments) > MAX_REQUESTS:
        raise RateShapeError(f"{text!r} asks for more than {MAX_REQUESTS} requests")
    return segments


def _parse_segment(text: str) -> RateSegment:
    rates, _, length_text = text.partition("@")
    begin_text, arrow, end_text = rates.partition(">")
    try:
        begin_rate = float(begin_text)
        end_rate = float(end_text if arrow else begin_text)
        length = Duration.parse(length_text) / MILLISECONDS
    except ValueError as error:
        raise RateShapeError(
            f"{text!r} is no piece of load: write 140@60s, or 100>300@30s"
        ) from error
    are_rates_valid = (
        0 <= begin_rate <= MAX_RATE and 0 <= end_rate <= MAX_RATE and begin_rate + end_rate > 0
    )
    if not are_rates_valid or not length > 0:
        raise RateShapeError(f"{text!r} is out of range: rates from 0 to {MAX_RATE:g}, not both 0")
    return RateSegment(length, begin_rate, end_rate)


def poisson_times(segments: Sequence[RateSegment], rng: random.Random) -> Iterator[float]:
    """Draw the times of a Poisson process, in their order."""
    segment_begin = 0.0
    # Expected requests from the last arrival, or from the segment's begin, to the next arrival.
    gap = rng.expovariate(1.0)
    for segment in segments:
        expected_so_far = 0.0
        while expected_so_far + gap <= segment.expected_requests:
            expected_so_far += gap
            yield segment_begin + segment.time_of(expected_so_far)
            gap = rng.expovariate(1.0)
        gap -= segment.expected_requests - expected_so_far
        segment_begin += segment.length


@dataclass(frozen=True, slots=True)
class RequestMix:
    """Which requests arrive.

    Attributes:
        classes: request classes by weight.
        plans: customers' plans by weight.
        customer_count: customers of each plan.
        skew: 0 draws all customers alike; more prefers the first ones, Zipf-like.
        max_units: a request's units are drawn from 1 to this.
        ingress_count: ingresses over which customers are spread.
    """

    classes: NamedWeights
    plans: NamedWeights
    customer_count: int = 200
    skew: float = 0.0
    max_units: int = 1
    ingress_count: int = 1

    def draw(self, rng: random.Random, at: float) -> Arrival:
        """Draw a request that arrives at a time."""
        request_class = _draw_name(rng, self.classes)
        plan = _draw_name(rng, self.plans)
        rank = int(self.customer_count * rng.random() ** (1.0 + self.skew))
        # Each customer has one plan.
        plan_index = [name for name, _ in self.plans].index(plan)
        customer = 1 + rank + self.customer_count * plan_index
        units = rng.randint(1, self.max_units)
        spread = min(self.ingress_count, MAX_SPREAD)
        first_ingress = customer % self.ingress_count
        return Arrival(at, request_class, plan, customer, units, spread, first_ingress)


def _draw_name(rng: random.Random, named_weights: NamedWeights) -> str:
    names = [name for name, _ in named_weights]
    weights = [weight for _, weight in named_weights]
    return rng.choices(names, weights)[0]


def parse_weights(text: str) -> NamedWeights:
    """Parse `seat-status:3,seat-checkout:1`; a weight that is left out is 1.

    Raises:
        WeightsError: the text is something else, or a weight is not above 0.
    """
    return tuple(_parse_weight(part.strip()) for part in text.split(","))


def _parse_weight(text: str) -> tuple[str, float]:
    name, _, weight_text = text.partition(":")
    try:
        weight = float(weight_text or 1.0)
    except ValueError as error:
        raise WeightsError(f"{text!r} is no NAME:WEIGHT") from error
    if not name or weight <= 0:
        raise WeightsError(f"{text!r} is no NAME:WEIGHT with a weight above 0")
    return name, weight


def draw_arrivals(segments: Sequence[RateSegment], mix: RequestMix, seed: int) -> Iterator[Arrival]:
    """Draw the arrivals of a seed.

    Times and requests have random sources of their own, so that another mix keeps the times.
    """
    times_rng = random.Random(f"{seed} times")
    requests_rng = random.Random(f"{seed} requests")
    for at in poisson_times(segments, times_rng):
        yield mix.draw(requests_rng, at)


def read_trace(path: Path) -> Iterator[Arrival]:
    """Read a CSV file with the columns of `TRACE_COLUMNS`, in the order of time.

    Raises:
        TraceError: a line is not an arrival, or is earlier than the one before.
    """
    with path.open(newline="") as file:
        previous_at = 0.0
        for line_number, row in enumerate(csv.DictReader(file), FIRST_TRACE_LINE):
            try:
                arrival = _parse_row(row)
            except (KeyError, ValueError, TypeError) as error:
                raise TraceError(f"{path}: line {line_number} is no arrival: {error!r}") from error
            if arrival.at < previous_at:
                raise TraceError(f"{path}: line {line_number} goes back in time")
            previous_at = arrival.at
            yield arrival


def _parse_row(row: dict[str, str]) -> Arrival:
    return Arrival(
        at=float(row["at"]),
        request_class=row["request_class"],
        plan=row["plan"],
        customer=int(row["firm"], 16),
        units=int(row["units"]),
        spread=int(row.get("spread") or 1),
        first_ingress=int(row.get("first") or 0),
    )


def write_trace(path: Path, arrivals: Iterable[Arrival]) -> int:
    """Write arrivals to a CSV file that `read_trace` reads, and return how many there were."""
    count = 0
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(TRACE_COLUMNS)
        for arrival in arrivals:
            writer.writerow(_format_row(arrival))
            count += 1
    return count


def _format_row(arrival: Arrival) -> tuple[str | int, ...]:
    return (
        f"{arrival.at:.6f}",
        arrival.request_class,
        arrival.plan,
        f"{arrival.customer:x}",
        arrival.units,
        arrival.spread,
        arrival.first_ingress,
    )
