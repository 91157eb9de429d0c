"""The bounds of one request, which implement the policy engine's `Route` protocol.

The engine makes the decisions. Before it admits, retries or hedges a request it asks the request's
bounds, which can only forbid or delay the action. A request keeps the bounds that it got on arrival
until its final answer. If the table has changed since then (`RouteTable.replace`), the next call
notices it, matches the request again, and applies the stricter of the old and the new rules from
then on. So a reload need not visit the requests in flight, and it never allows such a request more
than before.

Times are in seconds, as in the engine.
"""

from __future__ import annotations

from typing import Protocol

from dockthread.policy import Endpoint, Outcome
from dockthread.routes.rules import RequestAttributes, Rules, stricter
from dockthread.routes.usage import RouteUsage

MAX_BACKOFF_DOUBLINGS = 30  # more doublings exceed every permitted maximum backoff


class RuleSource(Protocol):
    """The part of the route table that bounds use.

    Attributes:
        generation: A number that grows with each change of the table.
    """

    generation: int

    @property
    def draining(self) -> object:
        """The removed routes that may still have open requests; truthy if there are any."""
        ...

    def rules_for(self, request: RequestAttributes) -> Rules:
        """Return the rules that a request with the given attributes would get now."""
        ...

    def delete_idle_usage(self) -> None:
        """Delete the usage of removed routes that have no open requests."""
        ...


class Bounds:
    """The bounds of one request, from its arrival to its final answer.

    The public members are those of the `Route` protocol, and the name and timeout that the ingress
    reads.
    """

    __slots__ = (
        "_generation",
        "_hedge_numbers",
        "_is_admitted",
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
        self._is_admitted = False
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
        """The strictest combination of the rules since the request's arrival."""
        if self._generation != self._table.generation:
            self._generation = self._table.generation
            self._rules = stricter(self._rules, self._table.rules_for(self._request))
        return self._rules

    @property
    def timeout(self) -> float:
        """The timeout (ms) of the whole request, in the ingress's unit; 0 means no timeout."""
        return self._rules.timeout * 1000.0

    @property
    def attempt_timeout(self) -> float:
        """The timeout (s) of one attempt; 0 means no timeout."""
        return self.rules.attempt_timeout

    @property
    def restricts_backends(self) -> bool:
        """Whether the request may go only to certain backends."""
        return bool(self._rules.zones or self._rules.kinds)

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether the request may go to this backend."""
        rules = self._rules
        return (not rules.zones or endpoint.zone in rules.zones) and (
            not rules.kinds or endpoint.kind in rules.kinds
        )

    def admit_or_queue(
        self, request: int, priority_weight: float, now: float
    ) -> tuple[bool, int | None]:
        """Admit the request under the concurrency limit, or queue it.

        Returns:
            Whether the request was admitted, and the request to reject because the queue is full:
            this one, another queued one, or None.
        """
        usage = self._usage
        if usage.limit.has_capacity:
            usage.limit.admitted += 1
            self._is_admitted = True
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
        """The longest time (s) that the request may wait in the queue."""
        return self._rules.queue_wait

    def on_dequeued(self, now: float) -> None:
        """Record that the request was taken from the queue and admitted."""
        self._is_admitted = True
        self._usage.queue_wait += now - self._queued_at

    def on_queue_timeout(self, request: int) -> None:
        """Remove the request from the queue after it has waited for `max_queue_wait`."""
        self._usage.queue.remove(request)
        self._usage.refused_limit += 1

    @property
    def is_queued(self) -> bool:
        """Whether the request has not yet been admitted under the concurrency limit."""
        return not self._is_admitted

    def release(self, request: int) -> list[int]:
        """Finish the request and return the queued requests that are admitted in its place."""
        usage = self._usage
        usage.open -= 1
        if self._table.draining:
            self._table.delete_idle_usage()
        if not self._is_admitted:
            usage.queue.remove(request)
            return []
        usage.limit.admitted -= 1
        admitted: list[int] = []
        while usage.queue and usage.limit.has_capacity:
            next_request = usage.queue.pop()
            if next_request is None:
                break
            usage.limit.admitted += 1
            admitted.append(next_request)
        return admitted

    def on_attempt_sent(self, number: int, now: float) -> None:
        """Record that an attempt was sent; the first one adds tokens to the budgets."""
        usage = self._usage
        usage.attempts += 1
        if number > 0:
            return
        if self._rules.hedge_share < 1.0:
            usage.hedge_budget.on_first_attempt(now)
        if usage.budget is not None:
            usage.budget.on_first_attempt(now)

    def hedge_delay(self) -> float | None:
        """Return the time (s) after which to hedge an attempt, or None to let the engine choose."""
        rules = self.rules
        if not rules.hedging:
            return None
        if rules.hedge_percentile:
            return self._usage.percentile(rules.hedge_percentile)
        return rules.fixed_hedge_delay or None

    def try_hedge(self, sent: int, now: float) -> bool:
        """Return whether a hedge may be sent now, after `sent` attempts; takes budget tokens."""
        rules = self.rules
        usage = self._usage
        if rules.hedging is False or (rules.attempts and sent >= rules.attempts):
            return False
        has_hedge_budget = rules.hedging and rules.hedge_share < 1.0
        if has_hedge_budget and not usage.hedge_budget.try_take_token(now):
            usage.refused_budget += 1
            return False
        if not self._try_take_token(now):
            return False
        self._hedge_numbers = (*self._hedge_numbers, sent)
        usage.hedges += 1
        return True

    def retry_delay(self, sent: int, outcome: Outcome, now: float) -> float | None:
        """Take a token from the retry budget and return the backoff (s) before the next attempt.

        The backoff has full jitter: it is drawn uniformly between 0 and a maximum that doubles with
        each attempt. After an attempt that was never sent the retry takes no token, because no
        backend saw that attempt.

        Returns:
            The backoff, or None if the request must not be retried.
        """
        rules = self.rules
        if rules.attempts and sent >= rules.attempts:
            return None
        if outcome is not Outcome.NOT_SENT:
            if rules.retry_on is not None and outcome not in rules.retry_on:
                return None
            if not self._try_take_token(now):
                return None
        if not rules.backoff:
            return 0.0
        doublings = min(sent - 1, MAX_BACKOFF_DOUBLINGS)
        max_delay = min(rules.max_backoff, rules.backoff * 2.0**doublings)
        return self._usage.rng.uniform(0.0, max_delay)

    def may_still_retry(self, sent: int, outcome: Outcome) -> bool:
        """Return whether a retry that `retry_delay` allowed is still allowed after the backoff."""
        rules = self.rules
        if rules.attempts and sent >= rules.attempts:
            return False
        return rules.retry_on is None or outcome in rules.retry_on or outcome is Outcome.NOT_SENT

    def on_attempt_ended(self, number: int, outcome: Outcome, duration: float, now: float) -> None:
        """Record the outcome and the duration (s) of an attempt."""
        usage = self._usage
        if outcome is Outcome.OK:
            if self._rules.hedge_percentile:
                usage.record_answer_time(duration)
            usage.limit.on_answer(duration, now)
            usage.successful_hedges += number in self._hedge_numbers
        elif outcome in (Outcome.AT_CAPACITY, Outcome.TIMEOUT):
            usage.limit.on_overload(now)

    def _try_take_token(self, now: float) -> bool:
        budget = self._usage.budget
        if budget is None or budget.try_take_token(now):
            return True
        self._usage.refused_budget += 1
        return False
