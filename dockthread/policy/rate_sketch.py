"""A count-min sketch of the decayed unit rates of a plan's customers.

It follows rakelimit, Cloudflare's rate limiter, which estimates rates with a count-min sketch
(Cormode and Muthukrishnan, 2005) whose cells hold decayed rates instead of counts. Hash collisions
can only make an estimate too high; taking the minimum over the rows limits this error.
"""

from __future__ import annotations

import math
import random

from dockthread.policy.context import NEVER

# Independent hash rows, as many as in rakelimit.
ROWS = 5
# Cells in a row: several times as many as there are customers in one window.
WIDTH = 1024
# The Mersenne prime 2**61 - 1, modulus of the universal hash functions.
HASH_PRIME = (1 << 61) - 1


class RateSketch:
    """Estimates each customer's rate of units over a window.

    Attributes:
        window: time over which a rate is measured, s.
        hash_coefficients: factor and offset of each row's hash function.
        rates: units per second, by row and cell.
        updated_at: time at which each cell was last updated, s, by row and cell.
    """

    def __init__(self, window: float, rng: random.Random) -> None:
        self.window = window
        self.hash_coefficients = [
            (rng.randrange(1, HASH_PRIME), rng.randrange(HASH_PRIME)) for _ in range(ROWS)
        ]
        self.rates = [[0.0] * WIDTH for _ in range(ROWS)]
        self.updated_at = [[NEVER] * WIDTH for _ in range(ROWS)]

    def add(self, customer: int, units: float, now: float) -> float:
        """Count units that a customer requests now; return its rate in units per second."""
        lowest = math.inf
        rows = zip(self.hash_coefficients, self.rates, self.updated_at, strict=True)
        for (factor, offset), rates, updated_at in rows:
            cell = (factor * customer + offset) % HASH_PRIME % WIDTH
            rate = self.decayed_rate(rates[cell], units, now - updated_at[cell])
            rates[cell] = rate
            updated_at[cell] = now
            lowest = min(lowest, rate)
        return lowest

    def decayed_rate(self, rate: float, units: float, gap: float) -> float:
        """Return a rate after `gap` seconds without units, followed by `units`.

        The rate falls linearly to 0 over the window. If the gap is longer than the window, the new
        units count as spread over the gap.
        """
        return rate * max(0.0, 1 - gap / self.window) + units / max(gap, self.window)
