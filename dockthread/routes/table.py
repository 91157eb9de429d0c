"""The table of routes in force at one ingress: finds the route of a request.

The first route that matches is taken. The index: a request's class, plan, verb, retry mark and
units have few values, so for each combination that was met, the routes that could match are listed
once, in their order, and kept. Customers would make that list long: routes that name customers are
found by customer, and of those that name none only the first can match. So a match costs two
look-ups, with one route or a thousand.

When one route changes, each list whose combination it matches is repaired: for each of the route's
customers the first match is looked up again among the routes that name the customer. A list is
dropped, and made again by the next request of its combination, where that would cost more or where
the route names no customer.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dockthread.config.ingress_config import Names
from dockthread.routes.bounds import Bounds
from dockthread.routes.concurrency_limit import (
    DEFAULT_MAXIMUM,
    DEFAULT_MINIMUM,
    ConcurrencyLimit,
)
from dockthread.routes.matcher import Matcher, NameNumbers
from dockthread.routes.options import RouteOptions
from dockthread.routes.ordered import OrderedRoutes
from dockthread.routes.position import file_positions
from dockthread.routes.retry_budget import DEFAULT_FLOOR, DEFAULT_RATIO, RetryBudget
from dockthread.routes.rules import RequestAttributes, Rules
from dockthread.routes.usage import RouteUsage

if TYPE_CHECKING:
    from dockthread.net.resp import RequestCommand

MAX_REPAIRS = 20_000  # customers in all lists that one change looks up again
MAX_COMBINATIONS = 4096  # kept at once: a site whose units have no bound must not fill the memory
DEFAULT = "default"  # the name of what matches no route; it bounds nothing
WRITE_COMMAND = b"API.WRITE"

# Class, plan, verb, retry mark and units. A plain tuple, as one is made for each request.
Combination = tuple[int, int, bool, bool, int]


@dataclass(slots=True)
class _Candidates:
    """The routes that can match one combination of class, plan, verb, retry mark and units.

    Attributes:
        by_customer: The first route for each customer that is named.
        for_others: The first route that names no customer; nothing behind it can match.
    """

    by_customer: dict[int, Matcher] = field(default_factory=dict)
    for_others: Matcher | None = None


class Table:
    """The routes of one ingress and what each has used.

    Attributes:
        generation: A number that grows with each change.
        spent: What each route has used, by its name.
        dropped: Names of the routes that are gone and have open requests.
    """

    def __init__(self, names: Names, zone: int, seed: int) -> None:
        self._numbers = NameNumbers(names)
        self._zone = zone
        self._rng = random.Random(seed)
        self.generation = 0
        self._ordered = OrderedRoutes()
        self._index: dict[Combination, _Candidates] = {}
        self._default = Rules(DEFAULT)
        self.spent: dict[str, RouteUsage] = {}
        self.dropped: set[str] = set()

    def __bool__(self) -> bool:
        return bool(self._ordered.matchers)

    @property
    def matchers(self) -> list[Matcher]:
        """The routes in the order in which they are tried."""
        return self._ordered.matchers

    def set_names(self, names: Names) -> None:
        """Take the names of newer settings, in which each known name keeps its number."""
        self._numbers = NameNumbers(names)

    def replace(self, routes: Mapping[str, RouteOptions], now: float) -> None:
        """Put other routes in force, in their order.

        What was used carries over by name. A route that is gone keeps its state until its last
        request has its answer.

        Raises:
            KeyError: The settings do not know a name. `check` finds this before.
        """
        positions = file_positions(routes)
        numbers = self._numbers
        ordered = OrderedRoutes()
        for name, options in routes.items():
            if numbers.is_in_zone(options, self._zone):
                ordered.put(numbers.matcher(name, options, positions[name]))
        self.generation += 1
        self._index = {}
        self._ordered = ordered
        for matcher in ordered.matchers:
            name = matcher.rules.name
            self._configure_usage(name, routes[name], now)
        self.dropped = self.spent.keys() - ordered.by_name.keys() - {DEFAULT}
        self.forget_idle()

    def put(self, matcher: Matcher, options: RouteOptions, now: float) -> None:
        """Put one route in force, made of `options`, in place of the one with the same name."""
        name = matcher.rules.name
        if not self._numbers.is_in_zone(options, self._zone):
            self.remove(name)
            return
        self._take_out(name)
        self._ordered.put(matcher)
        self._repair_index(matcher)
        self._configure_usage(name, options, now)
        self.dropped.discard(name)
        self.generation += 1

    def remove(self, name: str) -> None:
        """Take out one route, if it is there; its state stays until it has no open request."""
        if self._take_out(name):
            self.dropped.add(name)
            self.generation += 1
            self.forget_idle()

    def forget_idle(self) -> None:
        """Drop the state of the routes that are gone and have no open request."""
        if not self.dropped:
            return
        for name in [name for name in self.dropped if not self.spent[name].open]:
            del self.spent[name]
            self.dropped.discard(name)

    def find(self, request: RequestAttributes) -> Matcher | None:
        """Return the route that a request takes; None where none matches."""
        key = (
            request.request_class,
            request.plan,
            request.is_write,
            request.is_retry,
            request.units,
        )
        candidates = self._index.get(key)
        if candidates is None:
            if len(self._index) >= MAX_COMBINATIONS:
                self._index.clear()
            candidates = self._index[key] = self._candidates(request)
        return candidates.by_customer.get(request.customer, candidates.for_others)

    def rules_for(self, request: RequestAttributes) -> Rules:
        """Return the rules that a request gets; they bound nothing where no route matches."""
        matcher = self.find(request)
        return matcher.rules if matcher is not None else self._default

    def bounds(self, command: RequestCommand) -> Bounds | None:
        """Return the bounds of a request that arrives; None where no route matches."""
        request = RequestAttributes(
            command.request_class,
            command.plan,
            command.arguments[0].upper() == WRITE_COMMAND,
            command.customer,
            int(command.units),
            command.is_retry,
        )
        matcher = self.find(request)
        if matcher is None:
            return None
        return Bounds(self, request, matcher.rules, self.spent[matcher.rules.name])

    def before(self, matcher: Matcher) -> list[Matcher]:
        """Return the routes that are tried before this one."""
        return self._ordered.before(matcher)

    def _candidates(self, request: RequestAttributes) -> _Candidates:
        candidates = _Candidates()
        for matcher in self._ordered.matchers:
            if not matcher.matches_except_customer(request):
                continue
            if not matcher.customers:
                candidates.for_others = matcher
                break
            for customer in matcher.customers:
                candidates.by_customer.setdefault(customer, matcher)
        return candidates

    def _take_out(self, name: str) -> bool:
        matcher = self._ordered.remove(name)
        if matcher is None:
            return False
        self._repair_index(matcher)
        return True

    def _repair_index(self, changed: Matcher) -> None:
        """Repair or drop the lists that `changed` is, or was, part of."""
        repairs = len(changed.customers) * len(self._index)
        must_drop = not changed.customers or repairs > MAX_REPAIRS
        for key, candidates in list(self._index.items()):
            request_class, plan, is_write, is_retry, units = key
            request = RequestAttributes(request_class, plan, is_write, 0, units, is_retry)
            if not changed.matches_except_customer(request):
                continue
            if must_drop:
                del self._index[key]
                continue
            for customer in changed.customers:
                self._repair_customer(candidates, request, customer)

    def _repair_customer(
        self, candidates: _Candidates, request: RequestAttributes, customer: int
    ) -> None:
        naming = self._ordered.by_customer.get(customer, ())
        found = next((route for route in naming if route.matches_except_customer(request)), None)
        rest = candidates.for_others
        if found is not None and (rest is None or found.position < rest.position):
            candidates.by_customer[customer] = found
        else:
            candidates.by_customer.pop(customer, None)

    def _configure_usage(self, name: str, options: RouteOptions, now: float) -> None:
        """Give a route's state the figures of its options; make the state where there is none."""
        ratio = DEFAULT_RATIO if options.retry_budget is None else float(options.retry_budget)
        floor = DEFAULT_FLOOR if options.retry_floor is None else options.retry_floor
        hedge_share = 1.0 if options.copy_share is None else float(options.copy_share)
        fixed, adaptive = options.fixed_limit, options.adaptive
        minimum = options.limit_min or min(DEFAULT_MINIMUM, options.limit_max or DEFAULT_MINIMUM)
        maximum = options.limit_max or max(DEFAULT_MAXIMUM, options.limit_min or 0)
        queue_length = options.queue or 0
        usage = self.spent.get(name)
        if usage is None:
            budget = RetryBudget(ratio, floor, now)
            limit = ConcurrencyLimit(fixed, minimum, maximum, adaptive)
            usage = RouteUsage(budget, limit, queue_length, now, self._rng)
            usage.copy_budget.reconfigure(hedge_share, 0.0)
            self.spent[name] = usage
            return
        usage.copy_budget.reconfigure(hedge_share, 0.0)
        usage.limit.reconfigure(fixed, minimum, maximum, adaptive)
        usage.queue.max_length = queue_length
        if usage.budget is None:
            usage.budget = RetryBudget(ratio, floor, now)
        usage.budget.reconfigure(ratio, floor)
