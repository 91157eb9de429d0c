"""The section `[route NAME]` of the operator's file. Order in the file is order of matching."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Literal

import msgspec

from dockthread.config.ini_reader import KeyProblem, Section
from dockthread.config.quantities import Duration, Share

FIRM = re.compile(r"[0-9a-fA-F]{1,16}")
UNITS = re.compile(r"([0-9]{1,6})(?:\.\.([0-9]{1,6}))?")
PERCENTILE = re.compile(r"p([1-9][0-9]?(?:\.[0-9])?)")
LEAST_TIME = 5.0  # ms: the way to a node of the farthest hall and back, and its connection's
LARGEST_FIRM = 1 << 33
Word = Literal["error", "reset", "timeout", "turned-away", "unreachable"]


class RouteOptions(Section, frozen=True, kw_only=True):
    """What is left out matches all, and leaves what the class and the settings say."""

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
    retry_on: tuple[Word, ...] | None = None
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
        found = UNITS.fullmatch(self.units) if self.units else None
        return range(int(found[1]), int(found[2] or found[1]) + 1) if found else None

    @property
    def firms(self) -> frozenset[int]:
        return frozenset(int(firm, 16) for firm in self.firm)

    @property
    def fixed_copy(self) -> Duration | None:
        """None where the copy waits for a percentile, or there is no wait."""
        return Duration.parse(self.copy_after) if self.copy_after and not self.percentile else None

    @property
    def percentile(self) -> float | None:
        found = PERCENTILE.fullmatch(self.copy_after or "")
        return float(found[1]) / 100.0 if found else None

    @property
    def adaptive(self) -> bool:
        return self.limit == "adaptive"

    @property
    def fixed_limit(self) -> int | None:
        return int(self.limit) if self.limit is not None and not self.adaptive else None

    def problems(self) -> Iterable[KeyProblem]:
        yield from self._match_problems()
        yield from self._time_problems()
        yield from self._retry_problems()
        yield from self._copy_problems()
        yield from self._limit_problems()

    def _match_problems(self) -> Iterable[KeyProblem]:
        for firm in self.firm:
            if not FIRM.fullmatch(firm) or int(firm, 16) >= LARGEST_FIRM:
                yield KeyProblem(
                    "firm", f"{firm[:40]!r} is no firm", "hex digits of a number below 2^33"
                )
        if self.units is not None and not self.unit_range:
            yield KeyProblem(
                "units", f"{self.units[:40]!r} is no number of units", "write 2, or 1..3"
            )

    def _time_problems(self) -> Iterable[KeyProblem]:
        for key in ("timeout", "attempt_timeout"):
            value = getattr(self, key)
            if value is not None and value < LEAST_TIME:
                yield KeyProblem(
                    key,
                    f"{value} is under the network's round trip",
                    f"{LEAST_TIME:g}ms is the least",
                )
        if self.timeout and self.attempt_timeout and self.attempt_timeout > self.timeout:
            yield KeyProblem(
                "attempt_timeout",
                f"{self.attempt_timeout} is longer than the whole timeout",
                f"{self.timeout}",
            )

    def _retry_problems(self) -> Iterable[KeyProblem]:
        if self.attempts is not None and self.attempts < 1:
            yield KeyProblem(
                "attempts", f"{self.attempts} would never send a request on", "1 is the least"
            )
        if self.backoff_max is not None and self.backoff is None:
            yield KeyProblem(
                "backoff_max", "bounds a wait that is not there", "set backoff, or leave it out"
            )
        if self.backoff and self.backoff_max is not None and self.backoff_max < self.backoff:
            yield KeyProblem(
                "backoff_max", f"{self.backoff_max} is under backoff", f"{self.backoff} at least"
            )
        if self.attempts == 1 and self.retry_on:
            yield KeyProblem(
                "retry_on",
                "names outcomes, but attempts = 1 never tries again",
                "raise attempts, or leave it out",
            )
        if self.retry_floor is not None and not 0 <= self.retry_floor <= 1000:
            yield KeyProblem(
                "retry_floor", f"{self.retry_floor:g} is out of range", "0 to 1000 a second"
            )
        if self.retry_budget is not None and self.retry_budget > 1:
            wrong = f"{self.retry_budget} lets retries alone exceed the fleet: {1 + self.retry_budget:g} times"
            yield KeyProblem("retry_budget", wrong, "1 at most; 0.2 is usual")
        starved = self.retry_budget is not None and not self.retry_budget and not self.retry_floor
        if starved and (self.attempts or 0) > 1:
            yield KeyProblem(
                "retry_budget",
                "0 with no retry_floor starves attempts above 1",
                "0.2, or attempts = 1",
            )

    def _copy_problems(self) -> Iterable[KeyProblem]:
        if self.copy_after is not None and self.percentile is None:
            try:
                after = Duration.parse(self.copy_after)
            except ValueError:
                yield KeyProblem(
                    "copy_after",
                    f"{self.copy_after[:40]!r} is no wait",
                    "a duration such as 300ms, or p95",
                )
                return
            for key in ("attempt_timeout", "timeout"):
                whole = getattr(self, key)
                if whole is not None and after >= whole:
                    yield KeyProblem(
                        "copy_after", f"{after} is later than {key} = {whole}", f"below {whole}"
                    )
                    return
            if after < LEAST_TIME:
                yield KeyProblem(
                    "copy_after",
                    f"{after} is under the network's round trip",
                    f"{LEAST_TIME:g}ms is the least",
                )
        for key in ("copy_after", "copy_share"):
            if getattr(self, key) is not None and not self.copies:
                yield KeyProblem(
                    key, "is set, but copies = no", "set copies = yes, or leave it out"
                )
        if self.copy_share is not None and not 0 < self.copy_share <= 0.5:
            yield KeyProblem(
                "copy_share",
                f"{self.copy_share} is out of range",
                "above 0, 0.5 at most; 0.05 is usual",
            )
        if self.copies and self.attempts == 1:
            yield KeyProblem(
                "copies", "yes needs a second attempt, but attempts = 1", "attempts = 2 at least"
            )

    def _limit_problems(self) -> Iterable[KeyProblem]:
        if self.limit is not None and not self.adaptive:
            if not self.limit.isdecimal() or not 1 <= int(self.limit) <= 100_000:
                yield KeyProblem(
                    "limit", f"{self.limit[:40]!r} is no limit", "1 to 100000, or adaptive"
                )
                return
            for key in ("limit_min", "limit_max"):
                if getattr(self, key) is not None:
                    yield KeyProblem(
                        key,
                        "bounds an adaptive limit, and limit is fixed",
                        "limit = adaptive, or leave it out",
                    )
        if self.limit is None:
            for key in ("limit_min", "limit_max", "queue", "queue_wait"):
                if getattr(self, key) is not None:
                    yield KeyProblem(key, "needs a limit", "set limit")
        least, most = self.limit_min, self.limit_max
        if least is not None and least < 1:
            yield KeyProblem("limit_min", f"{least} would shut the route", "1 is the least")
        if least is not None and most is not None and least > most:
            yield KeyProblem(
                "limit_max", f"{most} is under limit_min = {least}", f"{least} at least"
            )
        if self.queue is not None and not 0 <= self.queue <= 10_000:
            yield KeyProblem("queue", f"{self.queue} is out of range", "0 to 10000")
        if self.queue_wait is not None and not self.queue:
            yield KeyProblem(
                "queue_wait",
                "is the wait in a queue that is not there",
                "set queue, or leave it out",
            )
        if self.queue and self.queue_wait is None:
            yield KeyProblem("queue", "needs a stated wait", "set queue_wait")
