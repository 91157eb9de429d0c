"""What a route allows one request: given to the module with it, asked by it, and never wider than
the rules.

Theory of operation. The module decides; before it tries again, copies or lets in, it asks the
bounds, which can only say no, or later. A request keeps the bounds with which it came until its
final answer. When the table changes meanwhile (`Table.replace`), the next question finds that out:
the request is matched anew, and of both routes the stricter holds from then on. So nothing has to
walk over the requests in flight, and no reload can widen what one of them may do.

Times are in seconds, as the module's.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from ddsketch import LogCollapsingLowestDenseDDSketch

from dockthread.policy import Endpoint, Outcome
from dockthread.routes.budget import Budget
from dockthread.routes.limit import Limit, Queue

WORDS = {
    "error": Outcome.ERROR,
    "reset": Outcome.RESET,
    "timeout": Outcome.TIMEOUT,
    "turned-away": Outcome.AT_CAPACITY,
    "unreachable": Outcome.UNREACHABLE,
}
BACKOFF_MAX = 1.0  # s
RELEARN = 2000  # answers after which the older half of what the percentile rests on is let go
ENOUGH = 50  # answers before a percentile says anything
UNSENT = Outcome.NOT_SENT  # never left: trying again costs nobody anything


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of one route, effective for all requests that take it. Shapes: seconds, parts,
    numbers.
    """

    name: str
    timeout: float = 0.0  # 0: none
    attempt_timeout: float = 0.0
    attempts: int = 0  # 0: as the settings say
    retry_on: frozenset[Outcome] | None = None  # None: all that the class allows
    backoff: float = 0.0
    backoff_max: float = BACKOFF_MAX
    copies: bool | None = None  # None: as the settings say
    copy_fixed: float = 0.0
    copy_percentile: float = 0.0
    copy_share: float = 1.0
    queue_wait: float = 0.0
    zones: frozenset[int] = frozenset()
    kinds: frozenset[int] = frozenset()


class Spent:
    """What a route's requests share, kept by the route's name over reloads."""

    __slots__ = (
        "_seen", "_times", "attempts", "budget", "copies", "copies_won", "copy_budget", "limit", "open", "queue",
        "queue_wait", "queued", "refused_budget", "refused_limit", "requests", "rng",
    )  # fmt: skip

    def __init__(
        self, budget: Budget | None, limit: Limit, queue: int, now: float, rng: random.Random
    ) -> None:
        self.budget, self.limit, self.queue, self.rng = budget, limit, Queue(queue), rng
        self.copy_budget = Budget(1.0, 0.0, now)
        self.open = self.requests = self.attempts = self.copies = self.copies_won = 0
        self.queued = self.refused_limit = self.refused_budget = 0
        self.queue_wait = 0.0  # s, added up
        # The present one and the one before it; made with the first answer, as most of many routes
        # rest.
        self._times: list[LogCollapsingLowestDenseDDSketch] = []
        self._seen = 0

    @staticmethod
    def _sketch() -> LogCollapsingLowestDenseDDSketch:
        return LogCollapsingLowestDenseDDSketch(0.02, 256)

    def took(self, seconds: float) -> None:
        if not self._times:
            self._times = [self._sketch(), self._sketch()]
        self._times[0].add(seconds)
        self._seen += 1
        if self._seen % RELEARN == 0:
            self._times = [self._sketch(), self._times[0]]

    def percentile(self, part: float) -> float | None:
        if self._seen < ENOUGH:
            return None
        # Early in a period the one before it knows more.
        known = self._times[0] if self._times[0].count >= ENOUGH else self._times[1]
        value = known.get_quantile_value(part)
        return float(value) if value is not None else None


class Rulebook(Protocol):
    """What bounds ask of the table that they came from. `generation` grows with each change of it;
    `dropped`: limits that no route has any more and that may still be held.
    """

    generation: int

    @property
    def dropped(self) -> object: ...
    def rules_for(self, facts: Facts) -> Rules: ...
    def forget_idle(self) -> None: ...


class Bounds:
    """One request's, from its arrival to its final answer."""

    __slots__ = (
        "_copied",
        "_entered",
        "_facts",
        "_generation",
        "_rules",
        "_since",
        "_spent",
        "_table",
    )

    def __init__(self, table: Rulebook, facts: Facts, rules: Rules, spent: Spent) -> None:
        self._table, self._facts, self._rules, self._spent = table, facts, rules, spent
        self._generation = table.generation
        self._entered = False
        self._since = 0.0
        self._copied: tuple[int, ...] = ()  # attempts that were copies
        spent.open += 1
        spent.requests += 1

    @property
    def name(self) -> str:
        return self._rules.name

    @property
    def rules(self) -> Rules:
        """As they hold now: the stricter of the route with which it came and the present one."""
        if self._generation != self._table.generation:
            self._generation = self._table.generation
            self._rules = stricter(self._rules, self._table.rules_for(self._facts))
        return self._rules

    @property
    def timeout(self) -> float:
        """In milliseconds, for the ingress."""
        return self._rules.timeout * 1000.0

    # What the module asks

    @property
    def attempt_timeout(self) -> float:
        return self.rules.attempt_timeout

    @property
    def restricts_backends(self) -> bool:
        return bool(self._rules.zones or self._rules.kinds)

    def allows(self, entry: Endpoint) -> bool:
        rules = self._rules
        return (not rules.zones or entry.zone in rules.zones) and (
            not rules.kinds or entry.kind in rules.kinds
        )

    def enter(self, request: int, worth: float, now: float) -> tuple[bool, int | None]:
        """Whether the request is inside the route's limit; if not, who is refused for it: itself,
        another that waits, or nobody.
        """
        spent = self._spent
        if spent.limit.room:
            spent.limit.inside += 1
            self._entered = True
            return True, None
        self._since = now
        loser = spent.queue.put(request, worth)
        if loser is not None:
            spent.refused_limit += 1
        if loser != request:
            spent.queued += 1
        return False, loser

    @property
    def max_queue_wait(self) -> float:
        return self._rules.queue_wait

    def on_dequeued(self, now: float) -> None:
        """Taken from the queue."""
        self._entered = True
        self._spent.queue_wait += now - self._since

    def on_queue_timeout(self, request: int) -> None:
        self._spent.queue.leave(request)
        self._spent.refused_limit += 1

    @property
    def is_queued(self) -> bool:
        return not self._entered

    def release(self, request: int) -> list[int]:
        """The request is finished; who goes inside in its place."""
        spent = self._spent
        spent.open -= 1
        if self._table.dropped:
            self._table.forget_idle()
        if not self._entered:
            spent.queue.leave(request)
            return []
        spent.limit.inside -= 1
        found: list[int] = []
        while spent.queue and spent.limit.room and (following := spent.queue.take()) is not None:
            spent.limit.inside += 1
            found.append(following)
        return found

    def on_attempt_sent(self, number: int, now: float) -> None:
        """An attempt was sent."""
        self._spent.attempts += 1
        if number == 0:
            if self._rules.copy_share < 1.0:
                self._spent.copy_budget.first(now)
            if self._spent.budget is not None:
                self._spent.budget.first(now)

    def hedge_delay(self) -> float | None:
        """When an attempt may get a second copy, where this route says so itself."""
        rules = self.rules
        if not rules.copies:
            return None
        if rules.copy_percentile:
            return self._spent.percentile(rules.copy_percentile)
        return rules.copy_fixed or None

    def try_hedge(self, sent: int, now: float) -> bool:
        """Whether a second copy may go now. Draws on the budget where it may."""
        rules = self.rules
        if rules.copies is False or (rules.attempts and sent >= rules.attempts):
            return False
        if rules.copies and rules.copy_share < 1.0 and not self._spent.copy_budget.draw(now):
            self._spent.refused_budget += 1
            return False
        if not self._draw(now):
            return False
        self._copied = (*self._copied, sent)
        self._spent.copies += 1
        return True

    def retry_delay(self, sent: int, outcome: Outcome, now: float) -> float | None:
        """The wait before the next attempt, or None where there is to be none. Draws on the
        budget.
        """
        rules = self.rules
        if rules.attempts and sent >= rules.attempts:
            return None
        if outcome is not UNSENT:
            if rules.retry_on is not None and outcome not in rules.retry_on:
                return None
            if not self._draw(now):
                return None
        if not rules.backoff:
            return 0.0
        span = min(rules.backoff_max, rules.backoff * 2.0 ** min(sent - 1, 30))
        return self._spent.rng.uniform(0.0, span)

    def may_still_retry(self, sent: int, outcome: Outcome) -> bool:
        """After a wait: whether what was allowed before it still is."""
        rules = self.rules
        if rules.attempts and sent >= rules.attempts:
            return False
        return rules.retry_on is None or outcome in rules.retry_on or outcome is UNSENT

    def on_attempt_ended(self, number: int, outcome: Outcome, took: float, now: float) -> None:
        spent = self._spent
        if outcome is Outcome.OK:
            if self._rules.copy_percentile:
                spent.took(took)
            spent.limit.answered(took, now)
            spent.copies_won += number in self._copied
        elif outcome in (Outcome.AT_CAPACITY, Outcome.TIMEOUT):
            spent.limit.pushed_back(now)

    def _draw(self, now: float) -> bool:
        budget = self._spent.budget
        if budget is None or budget.draw(now):
            return True
        self._spent.refused_budget += 1
        return False


class Facts(NamedTuple):
    """What of a request routes can match."""

    request_class: int
    plan: int
    write: bool
    firm: int
    units: int
    retry: bool


def stricter(one: Rules, other: Rules) -> Rules:
    """Rules that allow what both allow, under the first one's name. The whole time stays: its
    client counts on it.
    """
    if one == other:
        return one

    def least(a: float, b: float) -> float:
        return min(a, b) if a and b else a or b

    both = one.retry_on if other.retry_on is None else other.retry_on
    if one.retry_on is not None and other.retry_on is not None:
        both = one.retry_on & other.retry_on
    copies = False if False in (one.copies, other.copies) else one.copies and other.copies
    return Rules(
        name=one.name,
        timeout=one.timeout,
        attempt_timeout=least(one.attempt_timeout, other.attempt_timeout),
        attempts=int(least(one.attempts, other.attempts)),
        retry_on=both,
        backoff=max(one.backoff, other.backoff),
        backoff_max=max(one.backoff_max, other.backoff_max),
        copies=copies,
        copy_fixed=max(one.copy_fixed, other.copy_fixed),
        copy_percentile=max(one.copy_percentile, other.copy_percentile),
        copy_share=min(one.copy_share, other.copy_share),
        queue_wait=one.queue_wait,
        zones=one.zones,
        kinds=one.kinds,
    )
