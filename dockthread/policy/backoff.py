"""When to ask again a service that the whole fleet asks: exponential backoff with full jitter, by
the fleet's size.

Theory of operation. One ingress that asks again after a fixed pause is harmless. Forty that lost
the same service in the same instant ask it again in the same instant, for ever; and a service that
works in turn, also on calls whose caller has left, then serves none in time (seen: 13 s without an
answered call, at 7 a second). So each pause after a call that failed is drawn evenly from 0 to an
end that grows with the number of ingresses, `PART` for each, and doubles with the second and the
third failure in a row. Whatever the fleet's size, when all fail from then on, the sum over it is
about 1 / PART new calls a second, then half, then a quarter of it. A start and the loss of a watch
that stood cannot wait that long: what the agent has meanwhile counts as told, and a node that
drains may be sent to for only so long after it. They draw from `hurry`, and those that the service
turns away then are spread over the long pauses. No pause is longer than `longest`: some time after
discovery can be reached its news counts as told, whatever it could serve. A fleet whose ends would
lie beyond asks at an even rate over that time, each ingress once in half of it on average, and a
service that cannot answer them all in it turns the rest away as it did before. Where each ingress
asks an agent of its own, nobody waits for the others, and `longest` is shorter still.
"""

from __future__ import annotations

import random
from math import inf

# ms of the first end for each ingress: eight calls a second over the fleet, then four, then two
FIRST_CAP_PER_INGRESS_MS = 125.0
MAX_CAP_FACTOR = 4.0  # ends at the most, in first ends
MIN_DELAY_MS = 10.0  # ms: a pause of nothing would be none


class Backoff:
    """Pauses in milliseconds of one ingress among `fleet`. `rng`: of its own seed, so that no two
    draw alike.
    """

    def __init__(
        self,
        rng: random.Random,
        ingress_count: int,
        max_initial_delay: float = 500.0,
        max_delay: float = inf,
    ) -> None:
        self._rng, self._max_delay = rng, max_delay
        self.first_cap = FIRST_CAP_PER_INGRESS_MS * max(1, ingress_count)
        self._max_initial_delay = min(max_initial_delay, self.first_cap / 2)
        self._failures = 0

    def initial_delay(self) -> float:
        """Before the first call of a life, and after the loss of what was held."""
        return self._rng.uniform(0.0, self._max_initial_delay)

    def retry_delay(self, most: float = inf) -> float:
        """After one more call in a row that failed, and `most` at the most."""
        end = min(most, self._max_delay, self.first_cap * min(MAX_CAP_FACTOR, 2.0**self._failures))
        self._failures = min(self._failures + 1, 30)
        return max(MIN_DELAY_MS, self._rng.uniform(0.0, end))

    def reset(self) -> None:
        """The service answered."""
        self._failures = 0
