"""Generates the requests of a load and their start times, from a seed or from a trace file.

Sending them is the task of `load`. Arrivals are a Poisson process with a piecewise linear rate: the
gaps of a unit-rate process are drawn from the exponential distribution and mapped to times by the
inverse of the integrated rate (Çinlar 1975, "Introduction to Stochastic Processes"). The arrivals of
a seed therefore do not depend on the responses, and a slow server does not slow the load down.

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

from dockthread.clock import MS_PER_S
from dockthread.config.quantities import Duration

# Maximum rate of a rate shape, in requests per second.
MAX_RATE: Final = 100_000.0
# Maximum number of requests that a rate shape may generate.
MAX_REQUESTS: Final = 50_000_000
# Slope below which the rate counts as constant, in requests per second squared.
MIN_SLOPE: Final = 1e-12
# Maximum number of ingresses over which the requests of one customer are spread.
MAX_SPREAD: Final = 3
# Header line of a trace, in the order of the fields of `Arrival`.
TRACE_COLUMNS: Final = ("at", "request_class", "plan", "firm", "units", "spread", "first")
# Line number of the first arrival in a trace, after the header.
FIRST_ARRIVAL_LINE: Final = 2

# Names with their relative weights in a random draw.
NamedWeights: TypeAlias = tuple[tuple[str, float], ...]


class RateShapeError(ValueError):
    """A text is not a valid rate shape."""


class WeightsError(ValueError):
    """A text is not a valid list of names and weights."""


class TraceError(ValueError):
    """A line of a trace is not a valid arrival or is out of order."""


class Arrival(NamedTuple):
    """One request of a load.

    Attributes:
        at: the start time.
        request_class: the name of the request class.
        plan: the name of the customer's plan.
        customer: the customer's number.
        units: units that the request takes from the customer's quota.
        spread: number of ingresses over which the customer's requests are spread.
        first_ingress: number of the first of these ingresses.
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
    """A segment of `length` seconds in which the rate changes linearly.

    `start_rate` and `end_rate` are in requests per second.
    """

    length: float
    start_rate: float
    end_rate: float

    @property
    def expected_requests(self) -> float:
        """Expected number of requests that arrive in the segment."""
        return self.length * (self.start_rate + self.end_rate) / 2.0

    def time_at(self, expected_count: float) -> float:
        """Return the time since the segment's start at which this many requests are expected."""
        slope = (self.end_rate - self.start_rate) / self.length
        if abs(slope) < MIN_SLOPE:
            return expected_count / self.start_rate
        squared_rate = max(0.0, self.start_rate**2 + 2.0 * slope * expected_count)
        return (sqrt(squared_rate) - self.start_rate) / slope


def parse_rate_shape(text: str) -> tuple[RateSegment, ...]:
    """Parse a comma-separated list of segments such as `140@60s` or `100>300@30s`.

    Raises:
        RateShapeError: the text has another form, or a number is out of range.
    """
    segments = tuple(_parse_segment(part.strip()) for part in text.split(","))
    if sum(segment.expected_requests for segment in segments) > MAX_REQUESTS:
        raise RateShapeError(f"{text!r} generates more than {MAX_REQUESTS} requests")
    return segments


def _parse_segment(text: str) -> RateSegment:
    rates, _, length_text = text.partition("@")
    start_text, arrow, end_text = rates.partition(">")
    try:
        start_rate = float(start_text)
        end_rate = float(end_text if arrow else start_text)
        length = Duration.parse(length_text) / MS_PER_S
    except ValueError as error:
        raise RateShapeError(
            f"{text!r} is not a segment of a rate shape: write 140@60s or 100>300@30s"
        ) from error
    are_rates_valid = (
        0 <= start_rate <= MAX_RATE and 0 <= end_rate <= MAX_RATE and start_rate + end_rate > 0
    )
    if not are_rates_valid or not length > 0:
        raise RateShapeError(
            f"{text!r} is out of range: rates must be from 0 to {MAX_RATE:g} and not both 0,"
            " and the duration must be above 0"
        )
    return RateSegment(length, start_rate, end_rate)


def poisson_times(segments: Sequence[RateSegment], rng: random.Random) -> Iterator[float]:
    """Draw the arrival times of a Poisson process in ascending order."""
    segment_start = 0.0
    # Expected number of requests between the last arrival, or the segment's start if that is later,
    # and the next arrival.
    gap = rng.expovariate(1.0)
    for segment in segments:
        expected_so_far = 0.0
        while expected_so_far + gap <= segment.expected_requests:
            expected_so_far += gap
            yield segment_start + segment.time_at(expected_so_far)
            gap = rng.expovariate(1.0)
        gap -= segment.expected_requests - expected_so_far
        segment_start += segment.length


@dataclass(frozen=True, slots=True)
class RequestMix:
    """The distributions from which the attributes of requests are drawn.

    Attributes:
        classes: request classes with their weights.
        plans: plans with their weights.
        customer_count: number of customers of each plan.
        skew: 0 draws all customers with equal probability; larger values prefer customers with low
            numbers, as a Zipf distribution does.
        max_units: upper bound of a request's units, which are drawn uniformly from 1.
        ingress_count: number of ingresses over which customers are spread.
    """

    classes: NamedWeights
    plans: NamedWeights
    customer_count: int = 200
    skew: float = 0.0
    max_units: int = 1
    ingress_count: int = 1

    def draw(self, rng: random.Random, at: float) -> Arrival:
        """Draw a request that arrives at this time."""
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
    """Parse a list such as `seat-status:3,seat-checkout:1`; an omitted weight is 1.

    Raises:
        WeightsError: the text has another form, or a weight is not above 0.
    """
    return tuple(_parse_weight(part.strip()) for part in text.split(","))


def _parse_weight(text: str) -> tuple[str, float]:
    name, _, weight_text = text.partition(":")
    try:
        weight = float(weight_text or 1.0)
    except ValueError as error:
        raise WeightsError(f"{text!r} is not of the form NAME:WEIGHT") from error
    if not name or weight <= 0:
        raise WeightsError(f"{text!r} is not of the form NAME:WEIGHT with a weight above 0")
    return name, weight


def draw_arrivals(segments: Sequence[RateSegment], mix: RequestMix, seed: int) -> Iterator[Arrival]:
    """Draw the arrivals of a seed.

    Times and requests use separate random generators, so that a change of the mix does not change
    the arrival times.
    """
    times_rng = random.Random(f"{seed} times")
    requests_rng = random.Random(f"{seed} requests")
    for at in poisson_times(segments, times_rng):
        yield mix.draw(requests_rng, at)


def read_trace(path: Path) -> Iterator[Arrival]:
    """Read arrivals, ordered by time, from a CSV file with the columns `TRACE_COLUMNS`.

    Raises:
        TraceError: a line is not a valid arrival, or is earlier than the previous line.
    """
    with path.open(newline="") as file:
        previous_at = 0.0
        for line_number, row in enumerate(csv.DictReader(file), FIRST_ARRIVAL_LINE):
            try:
                arrival = _parse_row(row)
            except (KeyError, ValueError, TypeError) as error:
                raise TraceError(
                    f"{path}: line {line_number} is not a valid arrival: {error!r}"
                ) from error
            if arrival.at < previous_at:
                raise TraceError(f"{path}: line {line_number} is earlier than the previous line")
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
    """Write arrivals to a CSV file that `read_trace` can read, and return their number."""
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
