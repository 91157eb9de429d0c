"""When which request starts, drawn from a seed or read from a trace. No I/O; times in seconds from
the start.

Arrivals are a Poisson process whose rate is piecewise linear: gaps of a unit process are drawn from
the exponential distribution and carried through the inverse of the rate's integral (Çinlar 1975,
Stochastic Processes). So the same seed gives the same arrivals whatever answers come, and a slower
server does not slow the load down.
"""

from __future__ import annotations

import csv
import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from math import sqrt
from pathlib import Path
from typing import NamedTuple

from dockthread.config.quantities import Duration

MOST_RATE, MOST_REQUESTS = 100_000.0, 50_000_000


class Arrival(NamedTuple):
    """One request of a load. `at`: seconds from the load's begin."""

    at: float
    request_class: str
    plan: str
    firm: int
    units: int
    spread: int
    first: int


@dataclass(frozen=True, slots=True)
class Piece:
    """`length` seconds in which the rate goes evenly from `begin` to `end` requests a second."""

    length: float
    begin: float
    end: float

    @property
    def requests(self) -> float:
        """How many are expected to come in it."""
        return self.length * (self.begin + self.end) / 2.0

    def after(self, many: float) -> float:
        """The time into the piece at which `many` requests are expected to have come."""
        slope = (self.end - self.begin) / self.length
        if abs(slope) < 1e-12:
            return many / self.begin
        return (sqrt(max(0.0, self.begin**2 + 2.0 * slope * many)) - self.begin) / slope


def shape(text: str) -> tuple[Piece, ...]:
    """`140@60s`, `100>300@30s`, several with commas between. Raises ValueError with what would
    do.
    """
    pieces = []
    for part in text.split(","):
        rates, _, length = part.strip().partition("@")
        begin, _, end = rates.partition(">")
        try:
            first, last = float(begin), float(end if ">" in rates else begin)
            seconds = Duration.parse(length) / 1000.0
        except ValueError as error:
            raise ValueError(
                f"{part.strip()!r} is no piece of load: write 140@60s, or 100>300@30s"
            ) from error
        if not (
            0 <= first <= MOST_RATE and 0 <= last <= MOST_RATE and seconds > 0 and first + last > 0
        ):
            raise ValueError(
                f"{part.strip()!r} is out of range: rates from 0 to {MOST_RATE:g}, not both 0"
            )
        pieces.append(Piece(seconds, first, last))
    if sum(piece.requests for piece in pieces) > MOST_REQUESTS:
        raise ValueError(f"{text!r} asks for more than {MOST_REQUESTS} requests")
    return tuple(pieces)


def poisson(pieces: Sequence[Piece], rng: random.Random) -> Iterator[float]:
    """Starts in order."""
    begun, debt = 0.0, rng.expovariate(1.0)
    for piece in pieces:
        done = 0.0
        while done + debt <= piece.requests:
            done += debt
            yield begun + piece.after(done)
            debt = rng.expovariate(1.0)
        debt -= piece.requests - done
        begun += piece.length


@dataclass(frozen=True, slots=True)
class Mix:
    """Which requests: classes and plans by weight, firms by a Zipf-like share (`skew` 0: all
    alike).
    """

    classes: tuple[tuple[str, float], ...]
    plans: tuple[tuple[str, float], ...]
    firms: int = 200
    skew: float = 0.0
    most_units: int = 1
    gateways: int = 1

    def draw(self, rng: random.Random, at: float) -> Arrival:
        """A request that comes at a time, drawn by the weights."""
        kind = rng.choices([c for c, _ in self.classes], [w for _, w in self.classes])[0]
        plan = rng.choices([p for p, _ in self.plans], [w for _, w in self.plans])[0]
        rank = int(self.firms * rng.random() ** (1.0 + self.skew))
        # each firm has one plan
        firm = 1 + rank + self.firms * [p for p, _ in self.plans].index(plan)
        spread = min(self.gateways, 3)
        return Arrival(
            at, kind, plan, firm, rng.randint(1, self.most_units), spread, firm % self.gateways
        )


def weights(text: str) -> tuple[tuple[str, float], ...]:
    """`seat-status:3,seat-checkout:1`; a weight left out is 1. Raises ValueError."""
    found = []
    for part in text.split(","):
        name, _, weight = part.strip().partition(":")
        try:
            found.append((name, float(weight or 1.0)))
        except ValueError as error:
            raise ValueError(f"{part.strip()!r} is no NAME:WEIGHT") from error
        if not name or found[-1][1] <= 0:
            raise ValueError(f"{part.strip()!r} is no NAME:WEIGHT with a weight above 0")
    return tuple(found)


def drawn(pieces: Sequence[Piece], mix: Mix, seed: int) -> Iterator[Arrival]:
    """The arrivals of a seed. Times and requests are drawn apart, so that another mix keeps the
    times.
    """
    times, rng = random.Random(f"{seed} times"), random.Random(f"{seed} requests")
    for at in poisson(pieces, times):
        yield mix.draw(rng, at)


def read_trace(path: Path) -> Iterator[Arrival]:
    """A CSV with the columns of `Arrival`, in order of time. Raises ValueError naming the line."""
    with path.open(newline="") as file:
        before = 0.0
        for number, row in enumerate(csv.DictReader(file), 2):
            try:
                one = Arrival(
                    float(row["at"]), row["request_class"], row["plan"], int(row["firm"], 16), int(row["units"]),
                    int(row.get("spread") or 1), int(row.get("first") or 0),
                )  # fmt: skip
            except (KeyError, ValueError, TypeError) as error:
                raise ValueError(f"{path}: line {number} is no arrival: {error!r}") from error
            if one.at < before:
                raise ValueError(f"{path}: line {number} goes back in time")
            before = one.at
            yield one


def write_trace(path: Path, arrivals: Iterable[Arrival]) -> int:
    """How many were written."""
    count = 0
    with path.open("w", newline="") as file:
        out = csv.writer(file)
        out.writerow(Arrival._fields)
        for one in arrivals:
            out.writerow([f"{one.at:.6f}", *one[1:3], f"{one.firm:x}", *one[4:]])
            count += 1
    return count
