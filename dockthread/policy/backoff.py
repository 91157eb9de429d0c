"""When to call again a service that all ingresses call: exponential backoff with full jitter.

Full jitter (Marc Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015) draws each
delay evenly from 0 to a cap that doubles with each failure in a row. Here the first cap also grows
with the number of ingresses.

Theory of operation. One ingress that calls again after a fixed delay is harmless. Forty that lost
the same service in the same instant call it again in the same instant, for ever; and a service that
works in turn, also on calls whose caller has timed out, then answers none in time (seen: 13 s
without an answered call, at 7 calls/s). So the first cap is `FIRST_CAP_PER_INGRESS_MS` for each
ingress, and doubles with the second and the third failure in a row. Whatever the number of
ingresses, when all calls fail from then on, they make some 1000 / `FIRST_CAP_PER_INGRESS_MS` new
calls a second together, then half of that, then a quarter.

A start, and the loss of an established watch, cannot wait that long: changes that the service knows
meanwhile count as received, and a draining backend may be sent to for only so long after that. The
delay before these first calls is at most `max_initial_delay`, and the calls that the service
rejects then are spread over the longer delays.

No delay is longer than `max_delay`: some time after the service can be reached again its changes
count as received, whatever it could answer. Where the caps of many ingresses would lie beyond,
these call at an even rate over that time, each of them once in half of it on average, and a service
that cannot answer them all in it rejects the rest as before. Where each ingress calls an agent of
its own, none waits for the others, and `max_delay` is shorter still.
"""

from __future__ import annotations

import random
from math import inf

# ms of the first cap for each ingress: all together make eight calls a second, then four, then two.
FIRST_CAP_PER_INGRESS_MS = 125.0
# The largest cap, in first caps.
MAX_CAP_FACTOR = 4.0
# ms of the shortest delay before a retry; with none at all it would be no delay.
MIN_DELAY_MS = 10.0
# Default of the longest delay (ms) before the first call.
DEFAULT_MAX_INITIAL_DELAY_MS = 500.0
# Failures in a row beyond which no more are counted, which keeps the power of two finite.
MAX_COUNTED_FAILURES = 30


class Backoff:
    """Delays in milliseconds of one ingress among many.

    Attributes:
        first_cap: the cap of the delay after the first failure, ms.
    """

    def __init__(
        self,
        rng: random.Random,
        ingress_count: int,
        max_initial_delay: float = DEFAULT_MAX_INITIAL_DELAY_MS,
        max_delay: float = inf,
    ) -> None:
        """Start without a failure.

        Args:
            rng: a random source with a seed of the ingress's own, so that no two draw alike.
            ingress_count: how many ingresses call the service.
            max_initial_delay: the longest delay before a first call, ms.
            max_delay: the longest delay before a retry, ms.
        """
        self._rng = rng
        self._max_delay = max_delay
        self.first_cap = FIRST_CAP_PER_INGRESS_MS * max(1, ingress_count)
        self._max_initial_delay = min(max_initial_delay, self.first_cap / 2)
        self._failures = 0

    def initial_delay(self) -> float:
        """Draw the delay (ms) before the first call, and after the loss of an established watch."""
        return self._rng.uniform(0.0, self._max_initial_delay)

    def retry_delay(self, max_delay: float = inf) -> float:
        """Count one more failed call in a row and draw the delay (ms) before the next.

        Args:
            max_delay: a further bound (ms) on the cap of this delay.
        """
        cap_factor = min(MAX_CAP_FACTOR, 2.0**self._failures)
        cap = min(max_delay, self._max_delay, self.first_cap * cap_factor)
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
        return max(MIN_DELAY_MS, self._rng.uniform(0.0, cap))

    def reset(self) -> None:
        """Forget the failures, as a call was answered."""
        self._failures = 0
