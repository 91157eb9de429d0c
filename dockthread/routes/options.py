"""The section `[route NAME]` of the operator's file; routes are matched in the file's order."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Literal

import msgspec

from dockthread.config.ini_reader import KeyProblem, Section
from dockthread.config.quantities import Duration, Share

CUSTOMER_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}")
UNITS_PATTERN = re.compile(r"([0-9]{1,6})(?:\.\.([0-9]{1,6}))?")
PERCENTILE_PATTERN = re.compile(r"p([1-9][0-9]?(?:\.[0-9])?)")
MAX_SHOWN_LENGTH = 40  # characters of an invalid value that a message shows
MIN_TIMEOUT = 5.0  # ms; one round trip to the farthest zone and one to open the connection
CUSTOMERS_END = 1 << 33  # customer numbers are below this
MAX_RETRY_FLOOR = 1000  # retries per second
MAX_RETRY_BUDGET = 1  # retries for each first attempt; with more, most of the load would be retries
MAX_HEDGE_SHARE = 0.5  # fraction of the requests
MAX_LIMIT = 100_000  # concurrent requests
MAX_QUEUE = 10_000  # waiting requests
ADAPTIVE = "adaptive"
OutcomeName = Literal["error", "reset", "timeout", "turned-away", "unreachable"]


class RouteOptions(Section, frozen=True, kw_only=True):
    """The keys of a route: the conditions that requests must match, and the limits for them.

    The fields up to `hall` are conditions; a missing condition matches every request. The fields
    from `timeout` on are limits; if one is missing, the settings of the site and of the request's
    class apply. Every field is named like its key, except `classes`, whose key is `class`.
    """

    classes: tuple[str, ...] = msgspec.field(default=(), name="class")
    plan: tuple[str, ...] = ()
    verb: tuple[Literal["read", "write"], ...] = ()
    firm: tuple[str, ...] = ()
    units: str | None = None
    retry: bool | None = None
    hall: tuple[str, ...] = ()

    timeout: Duration | None = None
    attempt_timeout: Duration | None = None
    attempts: int | None = None
    retry_on: tuple[OutcomeName, ...] | None = None
    backoff: Duration | None = None
    backoff_max: Duration | None = None
    copies: bool | None = None
    copy_after: str | None = None
    copy_share: Share | None = None
    retry_budget: Share | None = None
    retry_floor: float | None = None
    limit: str | None = None
    limit_min: int | None = None
    limit_max: int | None = None
    queue: int | None = None
    queue_wait: Duration | None = None
    nodes: tuple[str, ...] = ()

    @property
    def unit_range(self) -> range | None:
        """The units that a request may cost; None if `units` is missing or malformed."""
        match = UNITS_PATTERN.fullmatch(self.units) if self.units else None
        if match is None:
            return None
        first = int(match[1])
        last = int(match[2] or match[1])
        return range(first, last + 1)

    @property
    def customer_numbers(self) -> frozenset[int]:
        """The numbers of the customers that `firm` names."""
        return frozenset(int(firm, 16) for firm in self.firm)

    @property
    def fixed_hedge_delay(self) -> Duration | None:
        """The fixed hedge delay; None if it is a percentile or missing."""
        return (
            Duration.parse(self.copy_after)
            if self.copy_after and not self.hedge_percentile
            else None
        )

    @property
    def hedge_percentile(self) -> float | None:
        """The quantile (0 to 1) of answer times that is the hedge delay; None if it is not one."""
        match = PERCENTILE_PATTERN.fullmatch(self.copy_after or "")
        return float(match[1]) / 100.0 if match else None

    @property
    def is_adaptive(self) -> bool:
        """Whether the concurrency limit adapts to the answer times."""
        return self.limit == ADAPTIVE

    @property
    def fixed_limit(self) -> int | None:
        """The fixed concurrency limit; None if it is adaptive or missing."""
        return int(self.limit) if self.limit is not None and not self.is_adaptive else None

    def problems(self) -> Iterable[KeyProblem]:
        """Yield the problems that can be found without the settings and the other routes."""
        yield from self._match_problems()
        yield from self._time_problems()
        yield from self._attempt_problems()
        yield from self._retry_budget_problems()
        yield from self._hedge_problems()
        yield from self._limit_problems()

    def _match_problems(self) -> Iterable[KeyProblem]:
        for firm in self.firm:
            if not CUSTOMER_PATTERN.fullmatch(firm) or int(firm, 16) >= CUSTOMERS_END:
                reason = f"{firm[:MAX_SHOWN_LENGTH]!r} is not a firm's number"
                yield KeyProblem("firm", reason, "write a number below 2^33 in hex digits")
        if self.units is not None and not self.unit_range:
            reason = f"{self.units[:MAX_SHOWN_LENGTH]!r} is not a number of units"
            yield KeyProblem("units", reason, "write 2, or 1..3")

    def _time_problems(self) -> Iterable[KeyProblem]:
        for key in ("timeout", "attempt_timeout"):
            value = getattr(self, key)
            if value is not None and value < MIN_TIMEOUT:
                yield _round_trip_problem(key, value)
        if self.timeout and self.attempt_timeout and self.attempt_timeout > self.timeout:
            reason = f"{self.attempt_timeout} is longer than timeout"
            yield KeyProblem("attempt_timeout", reason, f"at most {self.timeout}")

    def _attempt_problems(self) -> Iterable[KeyProblem]:
        if self.attempts is not None and self.attempts < 1:
            reason = f"{self.attempts} would never forward a request"
            yield KeyProblem("attempts", reason, "at least 1")
        if self.backoff_max is not None and self.backoff is None:
            reason = "needs backoff, which is not set"
            yield KeyProblem("backoff_max", reason, "set backoff, or leave it out")
        if self.backoff and self.backoff_max is not None and self.backoff_max < self.backoff:
            reason = f"{self.backoff_max} is shorter than backoff"
            yield KeyProblem("backoff_max", reason, f"at least {self.backoff}")
        if self.attempts == 1 and self.retry_on:
            reason = "names outcomes, but attempts = 1 allows no retry"
            yield KeyProblem("retry_on", reason, "raise attempts, or leave it out")

    def _retry_budget_problems(self) -> Iterable[KeyProblem]:
        budget = self.retry_budget
        floor = self.retry_floor
        if floor is not None and not 0 <= floor <= MAX_RETRY_FLOOR:
            yield KeyProblem("retry_floor", f"{floor:g} is out of range", "0 to 1000 per second")
        if budget is not None and budget > MAX_RETRY_BUDGET:
            reason = f"{budget} allows a load of {1 + budget:g} times the first attempts"
            yield KeyProblem("retry_budget", reason, "at most 1; 0.2 is usual")
        allows_no_retry = budget is not None and not budget and not floor
        if allows_no_retry and (self.attempts or 0) > 1:
            reason = "0 without retry_floor allows no retry, but attempts is above 1"
            yield KeyProblem("retry_budget", reason, "0.2, or attempts = 1")

    def _hedge_problems(self) -> Iterable[KeyProblem]:
        if self.copy_after is not None and self.hedge_percentile is None:
            delay_problem = self._hedge_delay_problem(self.copy_after)
            if delay_problem is not None:
                yield delay_problem
                return
            hedge_delay = Duration.parse(self.copy_after)
            if hedge_delay < MIN_TIMEOUT:
                yield _round_trip_problem("copy_after", hedge_delay)
        for key in ("copy_after", "copy_share"):
            if getattr(self, key) is not None and not self.copies:
                yield KeyProblem(
                    key, "is set, but copies is not yes", "set copies = yes, or leave it out"
                )
        if self.copy_share is not None and not 0 < self.copy_share <= MAX_HEDGE_SHARE:
            reason = f"{self.copy_share} is out of range"
            yield KeyProblem("copy_share", reason, "above 0 and at most 0.5; 0.05 is usual")
        if self.copies and self.attempts == 1:
            reason = "yes needs a second attempt, but attempts = 1"
            yield KeyProblem("copies", reason, "at least attempts = 2")

    def _hedge_delay_problem(self, text: str) -> KeyProblem | None:
        """Return the problem if the text is not a duration shorter than the set timeouts."""
        try:
            hedge_delay = Duration.parse(text)
        except ValueError:
            reason = f"{text[:MAX_SHOWN_LENGTH]!r} is not a delay"
            return KeyProblem("copy_after", reason, "a duration such as 300ms, or p95")
        for key in ("attempt_timeout", "timeout"):
            timeout = getattr(self, key)
            if timeout is not None and hedge_delay >= timeout:
                reason = f"{hedge_delay} is not before {key} = {timeout}"
                return KeyProblem("copy_after", reason, f"below {timeout}")
        return None

    def _limit_problems(self) -> Iterable[KeyProblem]:
        if self.limit is not None and not self.is_adaptive:
            if not self.limit.isdecimal() or not 1 <= int(self.limit) <= MAX_LIMIT:
                reason = f"{self.limit[:MAX_SHOWN_LENGTH]!r} is not a limit"
                yield KeyProblem("limit", reason, "1 to 100000, or adaptive")
                return
            yield from self._problems_of_set_keys(
                ("limit_min", "limit_max"),
                "bounds an adaptive limit, but limit is fixed",
                "limit = adaptive, or leave it out",
            )
        if self.limit is None:
            keys = ("limit_min", "limit_max", "queue", "queue_wait")
            yield from self._problems_of_set_keys(keys, "needs a limit", "set limit")
        yield from self._limit_range_problems()
        yield from self._queue_problems()

    def _problems_of_set_keys(
        self, keys: Iterable[str], reason: str, remedy: str
    ) -> Iterable[KeyProblem]:
        """Yield the same problem for each of `keys` that is set."""
        for key in keys:
            if getattr(self, key) is not None:
                yield KeyProblem(key, reason, remedy)

    def _limit_range_problems(self) -> Iterable[KeyProblem]:
        minimum = self.limit_min
        maximum = self.limit_max
        if minimum is not None and minimum < 1:
            yield KeyProblem("limit_min", f"{minimum} would block all requests", "at least 1")
        if minimum is not None and maximum is not None and minimum > maximum:
            reason = f"{maximum} is below limit_min = {minimum}"
            yield KeyProblem("limit_max", reason, f"at least {minimum}")

    def _queue_problems(self) -> Iterable[KeyProblem]:
        if self.queue is not None and not 0 <= self.queue <= MAX_QUEUE:
            yield KeyProblem("queue", f"{self.queue} is out of range", "0 to 10000")
        if self.queue_wait is not None and not self.queue:
            reason = "needs queue, which is not set"
            yield KeyProblem("queue_wait", reason, "set queue, or leave it out")
        if self.queue and self.queue_wait is None:
            yield KeyProblem("queue", "needs a longest wait", "set queue_wait")


def _round_trip_problem(key: str, value: Duration) -> KeyProblem:
    reason = f"{value} is shorter than the network's round trip"
    return KeyProblem(key, reason, f"at least {MIN_TIMEOUT:g}ms")
