"""The sketch of the design: decayed unit rates of a plan's customers, after rakelimit."""

from __future__ import annotations

import math
import random

from dockthread.policy.context import NEVER

# five rows as in the paper; several times wider than the customers seen lately
ROWS, CELLS = 5, 1024
PRIME, MIX = (1 << 61) - 1, 0x9E3779B97F4A7C15  # of the hashes


class Sketch:
    """Rates over `window` seconds."""

    def __init__(self, window: float, rng: random.Random) -> None:
        self.window = window
        self.salts = [(rng.randrange(1, PRIME), rng.randrange(PRIME)) for _ in range(ROWS)]
        self.rates = [[0.0] * CELLS for _ in range(ROWS)]
        self.times = [[NEVER] * CELLS for _ in range(ROWS)]

    def add(self, customer: int, units: float, now: float) -> float:
        """Units of a customer that come now; its rate with them."""
        least = math.inf
        for (a, b), rates, times in zip(self.salts, self.rates, self.times, strict=True):
            cell = (a * customer + b) % PRIME % CELLS
            rates[cell], times[cell] = self.decayed(rates[cell], units, now - times[cell]), now
            least = min(least, rates[cell])
        return least

    def decayed(self, rate: float, units: float, gap: float) -> float:
        """A rate after a gap, with units that come at its end."""
        return rate * max(0.0, 1 - gap / self.window) + units / max(gap, self.window)
