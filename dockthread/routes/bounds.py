"""The bounds of one request: implements the policy engine's `Route` protocol.

The engine decides. Before it retries, hedges or admits a request it asks the request's bounds,
which can only say no, or later. A request keeps the bounds with which it arrived until its final
answer. Where the table has changed since (`Table.replace`), the next question finds that out: the
request is matched again, and from then on the stricter of both routes applies. So a reload does not
walk over the requests in flight, and cannot widen what one of them may do.

Times are in seconds, as the engine's.
"""

from __future__ import annotations

from typing import Protocol

from dockthread.policy import Endpoint, Outcome
from dockthread.routes.rules import RequestAttributes, Rules, stricter
from dockthread.routes.usage import RouteUsage

MAX_BACKOFF_DOUBLINGS = 30  # beyond it any wait is over every maximum


class RuleSource(Protocol):
    """What bounds ask of the table that they came from.

    Attributes:
        generation: A number that grows with each change of the table.
    """

    generation: int

    @property
    def dropped(self) -> object:
        """Routes that are gone and may still have open requests; true where there are any."""
        ...

    def rules_for(self, request: RequestAttributes) -> Rules:
        """Return the rules that such a request would get now."""
        ...

    def forget_idle(self) -> None:
        """Drop the state of the routes that are gone and have no open request."""
        ...


class Bounds:
    """The bounds of one request, from its arrival to its final answer.

    It has a method for each question of the `Route` protocol, hence more than twenty.
    """

    __slots__ = (
        "_generation",
        "_hedge_numbers",
        "_is_inside",
        "_queued_at",
        "_request",
        "_rules",
        "_table",
        "_usage",
    )

    def __init__(
        self, table: RuleSource, request: RequestAttributes, rules: Rules, usage: RouteUsage
    ) -> None:
        self._table = table
        self._request = request
        self._rules = rules
        self._usage = usage
        self._generation = table.generation
        self._is_inside = False
        self._queued_at = 0.0
        self._hedge_numbers: tuple[int, ...] = ()
        usage.open += 1
        usage.requests += 1

    @property
    def name(self) -> str:
        """The name of the route."""
        return self._rules.name

    @property
    def rules(self) -> Rules:
        """The stricter of the rules at the request's arrival and those since."""
        if self._generation != self._table.generation:
            self._generation = self._table.generation
            self._rules = stricter(self._rules, self._table.rules_for(self._request))
        return self._rules

    @property
    def timeout(self) -> float:
        """The time (ms) for the request, as the ingress counts it; 0 sets no bound."""
        return self._rules.timeout * 1000.0

    @property
    def attempt_timeout(self) -> float:
        """The time (s) that one attempt may take; 0 sets no bound."""
        return self.rules.attempt_timeout

    @property
    def restricts_backends(self) -> bool:
        """Whether the request may go to some backends only."""
        return bool(self._rules.zones or self._rules.kinds)

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether the request may go to this backend."""
        rules = self._rules
        return (not rules.zones or endpoint.zone in rules.zones) and (
            not rules.kinds or endpoint.kind in rules.kinds
        )

    def enter(self, request: int, priority_weight: float, now: float) -> tuple[bool, int | None]:
        """Let the request inside the concurrency limit, or queue it.

        Returns:
            Whether it is inside; and, if not, the request to reject for it: itself, another one
            that waits, or None.
        """
        usage = self._usage
        if usage.limit.has_capacity:
            usage.limit.inside += 1
            self._is_inside = True
            return True, None
        self._queued_at = now
        rejected = usage.queue.put(request, priority_weight)
        if rejected is not None:
            usage.refused_limit += 1
        if rejected != request:
            usage.queued += 1
        return False, rejected

    @property
    def max_queue_wait(self) -> float:
        """The time (s) for which the request may wait for the concurrency limit."""
        return self._rules.queue_wait

    def on_dequeued(self, now: float) -> None:
        """Note that the request was taken from the queue and is inside the limit."""
        self._is_inside = True
        self._usage.queue_wait += now - self._queued_at

    def on_queue_timeout(self, request: int) -> None:
        """Take the request out of the queue, as it has waited for `max_queue_wait`."""
        self._usage.queue.remove(request)
        self._usage.refused_limit += 1

    @property
    def is_queued(self) -> bool:
        """Whether the request is not yet inside the concurrency limit."""
        return not self._is_inside

    def release(self, request: int) -> list[int]:
        """Finish the request and return the queued requests that are inside in its place."""
        usage = self._usage
        usage.open -= 1
        if self._table.dropped:
            self._table.forget_idle()
        if not self._is_inside:
            usage.queue.remove(request)
            return []
        usage.limit.inside -= 1
        admitted: list[int] = []
        while usage.queue and usage.limit.has_capacity:
            following = usage.queue.pop()
            if following is None:
                break
            usage.limit.inside += 1
            admitted.append(following)
        return admitted

    def on_attempt_sent(self, number: int, now: float) -> None:
        """Note that an attempt was sent; the first one fills the budgets."""
        usage = self._usage
        usage.attempts += 1
        if number > 0:
            return
        if self._rules.hedge_share < 1.0:
            usage.copy_budget.on_first_attempt(now)
        if usage.budget is not None:
            usage.budget.on_first_attempt(now)

    def hedge_delay(self) -> float | None:
        """Return the time (s) after which to hedge an attempt; None to leave it to the engine."""
        rules = self.rules
        if not rules.hedging:
            return None
        if rules.hedge_percentile:
            return self._usage.percentile(rules.hedge_percentile)
        return rules.fixed_hedge_delay or None

    def try_hedge(self, sent: int, now: float) -> bool:
        """Return whether a hedged attempt may go now, after `sent` attempts; draw on the budget."""
        rules = self.rules
        usage = self._usage
        if rules.hedging is False or (rules.attempts and sent >= rules.attempts):
            return False
        is_share_bounded = rules.hedging and rules.hedge_share < 1.0
        if is_share_bounded and not usage.copy_budget.try_draw(now):
            usage.refused_budget += 1
            return False
        if not self._try_draw(now):
            return False
        self._hedge_numbers = (*self._hedge_numbers, sent)
        usage.copies += 1
        return True

    def retry_delay(self, sent: int, outcome: Outcome, now: float) -> float | None:
        """Return the time (s) to wait before the next attempt and draw on the retry budget.

        The wait is drawn from a span that doubles with each attempt (full jitter). An attempt that
        was never sent costs no budget, as no backend saw it.

        Returns:
            None where there is to be no further attempt.
        """
        rules = self.rules
        if rules.attempts and sent >= rules.attempts:
            return None
        if outcome is not Outcome.NOT_SENT:
            if rules.retry_on is not None and outcome not in rules.retry_on:
                return None
            if not self._try_draw(now):
                return None
        if not rules.backoff:
            return 0.0
        doublings = min(sent - 1, MAX_BACKOFF_DOUBLINGS)
        span = min(rules.max_backoff, rules.backoff * 2.0**doublings)
        return self._usage.rng.uniform(0.0, span)

    def may_still_retry(self, sent: int, outcome: Outcome) -> bool:
        """Return whether the retry that `retry_delay` allowed is still allowed after the wait."""
        rules = self.rules
        if rules.attempts and sent >= rules.attempts:
            return False
        return rules.retry_on is None or outcome in rules.retry_on or outcome is Outcome.NOT_SENT

    def on_attempt_ended(self, number: int, outcome: Outcome, duration: float, now: float) -> None:
        """Note how an attempt ended and its duration (s)."""
        usage = self._usage
        if outcome is Outcome.OK:
            if self._rules.hedge_percentile:
                usage.note_answer_time(duration)
            usage.limit.on_answer(duration, now)
            usage.copies_won += number in self._hedge_numbers
        elif outcome in (Outcome.AT_CAPACITY, Outcome.TIMEOUT):
            usage.limit.on_overload(now)

    def _try_draw(self, now: float) -> bool:
        budget = self._usage.budget
        if budget is None or budget.try_draw(now):
            return True
        self._usage.refused_budget += 1
        return False
