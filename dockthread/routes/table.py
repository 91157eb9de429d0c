"""The table of the routes that are active at one ingress; finds the route for a request.

A request takes the first route that matches it. To avoid testing every route for every request,
the table keeps an index. The class, plan, verb, retry mark and units of requests have few distinct
combinations, so the first request of each combination computes which routes can match it, and the
result is cached. A cached result maps each customer that a route names to the first such route. Of
the routes that name no customer, only the first one can match, and it is stored separately. A match
therefore costs two dictionary look-ups, with one route or a thousand.

When a route changes, every cached result whose combination it matches is updated: for each customer
of the route, the first match is looked up again among the routes that name this customer. If the
route names no customer, or if the update would be too expensive, the cached result is dropped
instead, and the next request of that combination computes it again.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dockthread.config.ingress_config import Names
from dockthread.routes.bounds import Bounds
from dockthread.routes.concurrency_limit import (
    DEFAULT_MAX_LIMIT,
    DEFAULT_MIN_LIMIT,
    ConcurrencyLimit,
)
from dockthread.routes.matcher import Matcher, NameNumbering
from dockthread.routes.options import RouteOptions
from dockthread.routes.ordered import OrderedRoutes
from dockthread.routes.position import file_positions
from dockthread.routes.retry_budget import DEFAULT_FLOOR, DEFAULT_RATIO, RetryBudget
from dockthread.routes.rules import RequestAttributes, Rules
from dockthread.routes.usage import RouteUsage

if TYPE_CHECKING:
    from dockthread.net.resp import RequestCommand

# Customer look-ups, over all cached results, that one changed route may cause. If it would cause
# more, the cached results are dropped instead.
MAX_CUSTOMER_LOOKUPS = 20_000
# Combinations in the index. It is bounded because a site whose units are unbounded would otherwise
# fill the memory.
MAX_COMBINATIONS = 4096
DEFAULT_ROUTE = "default"  # name of the rules for requests that match no route; they limit nothing
WRITE_COMMAND = b"API.WRITE"

# Class, plan, verb, retry mark and units. It is a plain tuple because each request creates one.
Combination = tuple[int, int, bool, bool, int]


@dataclass(slots=True)
class _CachedMatches:
    """The routes that can match one combination of class, plan, verb, retry mark and units.

    Attributes:
        by_customer: The first matching route for each customer that a route names.
        for_any_customer: The first matching route that names no customer; later routes cannot match.
    """

    by_customer: dict[int, Matcher] = field(default_factory=dict)
    for_any_customer: Matcher | None = None


class RouteTable:
    """The routes of one ingress and the usage of each route.

    Attributes:
        generation: A number that grows with each change.
        usage_by_route: The usage of each route, by the route's name.
        draining: Names of removed routes that still have open requests.
    """

    def __init__(self, names: Names, zone: int, seed: int) -> None:
        self._numbering = NameNumbering(names)
        self._zone = zone
        self._rng = random.Random(seed)
        self.generation = 0
        self._ordered = OrderedRoutes()
        self._index: dict[Combination, _CachedMatches] = {}
        self._default = Rules(DEFAULT_ROUTE)
        self.usage_by_route: dict[str, RouteUsage] = {}
        self.draining: set[str] = set()

    def __bool__(self) -> bool:
        return bool(self._ordered.matchers)

    @property
    def matchers(self) -> list[Matcher]:
        """The routes in matching order."""
        return self._ordered.matchers

    def set_names(self, names: Names) -> None:
        """Use the names of new settings, in which each existing name keeps its number."""
        self._numbering = NameNumbering(names)

    def replace(self, routes: Mapping[str, RouteOptions], now: float) -> None:
        """Replace all routes by `routes`, which are matched in the given order.

        A route keeps the usage of the former route with the same name. The usage of a removed
        route is kept until its last open request has been answered.

        Raises:
            KeyError: The settings do not define a name. `check` reports this beforehand.
        """
        positions = file_positions(routes)
        numbering = self._numbering
        ordered = OrderedRoutes()
        for name, options in routes.items():
            if numbering.is_in_zone(options, self._zone):
                ordered.put(numbering.matcher(name, options, positions[name]))
        self.generation += 1
        self._index = {}
        self._ordered = ordered
        for matcher in ordered.matchers:
            name = matcher.rules.name
            self._configure_usage(name, routes[name], now)
        self.draining = self.usage_by_route.keys() - ordered.by_name.keys() - {DEFAULT_ROUTE}
        self.delete_idle_usage()

    def put(self, matcher: Matcher, options: RouteOptions, now: float) -> None:
        """Add the route compiled from `options`, or replace the route with the same name."""
        name = matcher.rules.name
        if not self._numbering.is_in_zone(options, self._zone):
            self.remove(name)
            return
        self._remove_matcher(name)
        self._ordered.put(matcher)
        self._update_index(matcher)
        self._configure_usage(name, options, now)
        self.draining.discard(name)
        self.generation += 1

    def remove(self, name: str) -> None:
        """Remove a route if it exists; its usage is kept until it has no open requests."""
        if self._remove_matcher(name):
            self.draining.add(name)
            self.generation += 1
            self.delete_idle_usage()

    def delete_idle_usage(self) -> None:
        """Delete the usage of removed routes that have no open requests."""
        if not self.draining:
            return
        for name in [name for name in self.draining if not self.usage_by_route[name].open]:
            del self.usage_by_route[name]
            self.draining.discard(name)

    def find(self, request: RequestAttributes) -> Matcher | None:
        """Return the route that a request takes, or None if no route matches."""
        key = (
            request.request_class,
            request.plan,
            request.is_write,
            request.is_retry,
            request.units,
        )
        matches = self._index.get(key)
        if matches is None:
            if len(self._index) >= MAX_COMBINATIONS:
                self._index.clear()
            matches = self._index[key] = self._compute_matches(request)
        return matches.by_customer.get(request.customer, matches.for_any_customer)

    def rules_for(self, request: RequestAttributes) -> Rules:
        """Return the rules for a request; if no route matches, they limit nothing."""
        matcher = self.find(request)
        return matcher.rules if matcher is not None else self._default

    def bounds(self, command: RequestCommand) -> Bounds | None:
        """Return the bounds of an arriving request, or None if no route matches."""
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
        return Bounds(self, request, matcher.rules, self.usage_by_route[matcher.rules.name])

    def matchers_before(self, matcher: Matcher) -> list[Matcher]:
        """Return the routes that are matched before this one."""
        return self._ordered.matchers_before(matcher)

    def _compute_matches(self, request: RequestAttributes) -> _CachedMatches:
        matches = _CachedMatches()
        for matcher in self._ordered.matchers:
            if not matcher.matches_except_customer(request):
                continue
            if not matcher.customers:
                matches.for_any_customer = matcher
                break
            for customer in matcher.customers:
                matches.by_customer.setdefault(customer, matcher)
        return matches

    def _remove_matcher(self, name: str) -> bool:
        matcher = self._ordered.remove(name)
        if matcher is None:
            return False
        self._update_index(matcher)
        return True

    def _update_index(self, changed: Matcher) -> None:
        """Update or drop the cached results that the added or removed route `changed` affects."""
        customer_lookups = len(changed.customers) * len(self._index)
        must_drop = not changed.customers or customer_lookups > MAX_CUSTOMER_LOOKUPS
        for key, matches in list(self._index.items()):
            request_class, plan, is_write, is_retry, units = key
            request = RequestAttributes(request_class, plan, is_write, 0, units, is_retry)
            if not changed.matches_except_customer(request):
                continue
            if must_drop:
                del self._index[key]
                continue
            for customer in changed.customers:
                self._update_first_match(matches, request, customer)

    def _update_first_match(
        self, matches: _CachedMatches, request: RequestAttributes, customer: int
    ) -> None:
        routes_of_customer = self._ordered.by_customer.get(customer, ())
        first_match = next(
            (route for route in routes_of_customer if route.matches_except_customer(request)), None
        )
        fallback = matches.for_any_customer
        if first_match is not None and (
            fallback is None or first_match.position < fallback.position
        ):
            matches.by_customer[customer] = first_match
        else:
            matches.by_customer.pop(customer, None)

    def _configure_usage(self, name: str, options: RouteOptions, now: float) -> None:
        """Apply a route's options to its usage, which is created if it does not exist."""
        ratio = DEFAULT_RATIO if options.retry_budget is None else float(options.retry_budget)
        floor = DEFAULT_FLOOR if options.retry_floor is None else options.retry_floor
        hedge_share = 1.0 if options.copy_share is None else float(options.copy_share)
        fixed_limit, adaptive = options.fixed_limit, options.is_adaptive
        minimum = options.limit_min or min(
            DEFAULT_MIN_LIMIT, options.limit_max or DEFAULT_MIN_LIMIT
        )
        maximum = options.limit_max or max(DEFAULT_MAX_LIMIT, options.limit_min or 0)
        queue_length = options.queue or 0
        usage = self.usage_by_route.get(name)
        if usage is None:
            budget = RetryBudget(ratio, floor, now)
            limit = ConcurrencyLimit(fixed_limit, minimum, maximum, adaptive)
            usage = RouteUsage(budget, limit, queue_length, now, self._rng)
            usage.hedge_budget.reconfigure(hedge_share, 0.0)
            self.usage_by_route[name] = usage
            return
        usage.hedge_budget.reconfigure(hedge_share, 0.0)
        usage.limit.reconfigure(fixed_limit, minimum, maximum, adaptive)
        usage.queue.max_length = queue_length
        if usage.budget is None:
            usage.budget = RetryBudget(ratio, floor, now)
        usage.budget.reconfigure(ratio, floor)
