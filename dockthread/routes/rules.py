"""The rules that a route sets for its requests, and the request attributes that routes match.

Times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from dockthread.policy import Outcome

# The outcomes by the values of the key `retry_on`.
OUTCOMES_BY_NAME = {
    "error": Outcome.ERROR,
    "reset": Outcome.RESET,
    "timeout": Outcome.TIMEOUT,
    "turned-away": Outcome.AT_CAPACITY,
    "unreachable": Outcome.UNREACHABLE,
}
DEFAULT_MAX_BACKOFF = 1.0  # s; a route whose `backoff` is longer uses that as the maximum


class RequestAttributes(NamedTuple):
    """The attributes of a request that routes can match.

    Attributes:
        request_class: The number of the request's class.
        plan: The number of the customer's plan.
        is_write: Whether the request is a write.
        customer: The customer's number.
        units: The units that the request costs.
        is_retry: Whether the client marked the request as a retry.
    """

    request_class: int
    plan: int
    is_write: bool
    customer: int
    units: int
    is_retry: bool


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits that a route sets for every request that takes it; times are in seconds.

    Attributes:
        name: The route's name.
        timeout: The timeout of the whole request; 0 means no timeout.
        attempt_timeout: The timeout of one attempt; 0 means no timeout.
        attempts: The largest number of attempts; 0 uses the limit of the settings.
        retry_on: The outcomes after which to retry; None lets the request's class decide.
        backoff: The upper bound of the first backoff, which doubles per retry; 0 means no backoff.
        max_backoff: The largest value that the doubled upper bound can reach.
        hedging: Whether requests are hedged; None lets the settings decide.
        fixed_hedge_delay: The fixed hedge delay; 0 if it is not fixed.
        hedge_percentile: The quantile (0 to 1) of answer times that is the hedge delay; 0 if unset.
        hedge_share: The largest fraction of requests that may be hedged.
        queue_wait: The longest time that a request may wait in the queue.
        zones: Numbers of the zones whose backends may be used; empty if all may be used.
        kinds: Numbers of the kinds of backends that may be used; empty if all may be used.
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
    """Return rules that allow only what both rules allow, under the name of `first`.

    The timeout, the queue wait and the backends are those of `first`, because clients rely on them.
    """
    if first == second:
        return first
    return Rules(
        name=first.name,
        timeout=first.timeout,
        attempt_timeout=_smaller_bound(first.attempt_timeout, second.attempt_timeout),
        attempts=int(_smaller_bound(first.attempts, second.attempts)),
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


def _smaller_bound(first: float, second: float) -> float:
    """Return the smaller bound; 0 means unbounded."""
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
