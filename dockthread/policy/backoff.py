"""Exponential backoff with full jitter for retries to a service that all ingresses call.

Full jitter (Marc Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015) draws each
delay uniformly from 0 to a cap that doubles with each failure in a row. Here the first cap is also
proportional to the number of ingresses.

Theory of operation. One ingress that retries after a fixed delay is harmless. Forty ingresses that
lose the same service at the same moment retry at the same moment, again and again. If the service
handles calls one after another, including those whose caller has timed out, it then answers none in
time (13 s without an answered call were observed, at 7 calls/s). So the first cap is
`FIRST_CAP_PER_INGRESS_MS` for each ingress, and doubles with the second and the third failure in a
row. If all calls fail, all ingresses together make about 1000 / `FIRST_CAP_PER_INGRESS_MS` calls
per second, then half as many, then a quarter, whatever the number of ingresses.

After a start, or after the loss of an established watch, an ingress must not wait that long: a
change counts as received even if the ingress has not fetched it yet, and requests may be sent to a
draining backend only for a limited time after that. So the delay before the first call is at most
`max_initial_delay`, and the calls that the service then rejects are retried with the longer delays.

No delay is longer than `max_delay`, because changes count as received some time after the service
is reachable again, even if the service could not answer. If the caps of many ingresses would exceed
this maximum, the ingresses call at an even rate over that time, each on average once in half of it,
and a service that cannot answer all of these calls rejects some of them. If each ingress calls an
agent of its own, no ingress competes with the others, and `max_delay` is shorter still.
"""

from __future__ import annotations

import random
from math import inf

# First cap per ingress (ms): all ingresses together make eight calls per second, then four, then
# two.
FIRST_CAP_PER_INGRESS_MS = 125.0
# Maximum cap, as a multiple of the first cap.
MAX_CAP_FACTOR = 4.0
# Minimum delay before a retry (ms), so that no retry follows at once.
MIN_DELAY_MS = 10.0
# Default maximum delay before the first call (ms).
DEFAULT_MAX_INITIAL_DELAY_MS = 500.0
# Maximum number of failures in a row that are counted, which keeps the power of two finite.
MAX_COUNTED_FAILURES = 30


class Backoff:
    """Draws the retry delays, in milliseconds, of one of many ingresses.

    Attributes:
        first_cap: the cap on the delay after the first failure, ms.
    """

    def __init__(
        self,
        rng: random.Random,
        ingress_count: int,
        max_initial_delay: float = DEFAULT_MAX_INITIAL_DELAY_MS,
        max_delay: float = inf,
    ) -> None:
        """Create a backoff without any recorded failure.

        Args:
            rng: a random source whose seed differs between ingresses, so that their delays differ.
            ingress_count: number of ingresses that call the service.
            max_initial_delay: maximum delay before a first call, ms.
            max_delay: maximum delay before a retry, ms.
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
        """Count a failed call and draw the delay (ms) before the next call.

        Args:
            max_delay: an additional limit (ms) on this delay.
        """
        cap_factor = min(MAX_CAP_FACTOR, 2.0**self._failures)
        cap = min(max_delay, self._max_delay, self.first_cap * cap_factor)
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
        return max(MIN_DELAY_MS, self._rng.uniform(0.0, cap))

    def reset(self) -> None:
        """Reset the number of failures in a row, because a call was answered."""
        self._failures = 0
