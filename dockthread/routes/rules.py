"""The rules that a route sets for its requests, and what of a request routes can match.

Times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from dockthread.policy import Outcome

# The values of the key `retry_on`.
OUTCOMES_BY_NAME = {
    "error": Outcome.ERROR,
    "reset": Outcome.RESET,
    "timeout": Outcome.TIMEOUT,
    "turned-away": Outcome.AT_CAPACITY,
    "unreachable": Outcome.UNREACHABLE,
}
DEFAULT_MAX_BACKOFF = 1.0  # s; longer only where the route's own backoff is


class RequestAttributes(NamedTuple):
    """What of a request routes can match.

    Attributes:
        request_class: The number of its class.
        plan: The number of its customer's plan.
        is_write: Whether it is a write.
        customer: The customer's number.
        units: The units that it costs.
        is_retry: Whether the client marked it as a retry.
    """

    request_class: int
    plan: int
    is_write: bool
    customer: int
    units: int
    is_retry: bool


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits of one route, the same for all requests that take it; times are in seconds.

    Attributes:
        name: The route's name.
        timeout: The time for the request; 0 sets no bound.
        attempt_timeout: The time for one attempt; 0 sets no bound.
        attempts: The largest number of attempts; 0 leaves it to the settings.
        retry_on: Outcomes after which to retry; None leaves it to the request's class.
        backoff: The span from which the first wait between attempts is drawn; 0 means no wait.
        max_backoff: The longest span, as each doubles the one before.
        hedging: Whether requests are hedged; None leaves it to the settings.
        fixed_hedge_delay: The time after which to hedge; 0 where it is not fixed.
        hedge_percentile: The part of answers that are faster than the hedge delay; 0 for none.
        hedge_share: The largest part of requests that may be hedged.
        queue_wait: The time for which a request may wait for the concurrency limit.
        zones: Numbers of the zones whose backends may be used; empty for no such limit.
        kinds: Numbers of the kinds of backends that may be used; empty for no such limit.
    """

    name: str
    timeout: float = 0.0
    attempt_timeout: float = 0.0
    attempts: int = 0
    retry_on: frozenset[Outcome] | None = None
    backoff: float = 0.0
    max_backoff: float = DEFAULT_MAX_BACKOFF
    hedging: bool | None = None
    fixed_hedge_delay: float = 0.0
    hedge_percentile: float = 0.0
    hedge_share: float = 1.0
    queue_wait: float = 0.0
    zones: frozenset[int] = frozenset()
    kinds: frozenset[int] = frozenset()


def stricter(first: Rules, second: Rules) -> Rules:
    """Return rules that allow only what both allow, under the name of the first.

    The timeout, the queue wait and the backends stay those of the first, on which the client
    counts.
    """
    if first == second:
        return first
    return Rules(
        name=first.name,
        timeout=first.timeout,
        attempt_timeout=_shorter(first.attempt_timeout, second.attempt_timeout),
        attempts=int(_shorter(first.attempts, second.attempts)),
        retry_on=_common_outcomes(first.retry_on, second.retry_on),
        backoff=max(first.backoff, second.backoff),
        max_backoff=max(first.max_backoff, second.max_backoff),
        hedging=_stricter_hedging(first.hedging, second.hedging),
        fixed_hedge_delay=max(first.fixed_hedge_delay, second.fixed_hedge_delay),
        hedge_percentile=max(first.hedge_percentile, second.hedge_percentile),
        hedge_share=min(first.hedge_share, second.hedge_share),
        queue_wait=first.queue_wait,
        zones=first.zones,
        kinds=first.kinds,
    )


def _shorter(first: float, second: float) -> float:
    """Return the smaller bound, where 0 means that there is none."""
    return min(first, second) if first and second else first or second


def _common_outcomes(
    first: frozenset[Outcome] | None, second: frozenset[Outcome] | None
) -> frozenset[Outcome] | None:
    if first is None:
        return second
    return first if second is None else first & second


def _stricter_hedging(first: bool | None, second: bool | None) -> bool | None:
    if first is False or second is False:
        return False
    return first and second
