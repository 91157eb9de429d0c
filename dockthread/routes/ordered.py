"""Keeps matchers sorted by position and indexed by name and by customer.

Only this module sorts routes. When a route changes or is checked for shadowing, the index by
customer restricts the search to the routes that may overlap it.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from itertools import chain

from dockthread.routes.matcher import Matcher
from dockthread.routes.position import Position


class OrderedRoutes:
    """Matchers in the order of their positions.

    Attributes:
        matchers: All matchers.
        by_name: Each matcher by its route's name.
        by_customer: The matchers that name a customer, by customer.
        for_any_customer: The matchers that name no customer.
    """

    def __init__(self) -> None:
        self.matchers: list[Matcher] = []
        self.by_name: dict[str, Matcher] = {}
        self.by_customer: dict[int, list[Matcher]] = {}
        self.for_any_customer: list[Matcher] = []

    def put(self, matcher: Matcher) -> None:
        """Add a matcher, or replace the one with the same name."""
        self.remove(matcher.rules.name)
        self.by_name[matcher.rules.name] = matcher
        insort(self.matchers, matcher, key=_position)
        for customer in matcher.customers:
            insort(self.by_customer.setdefault(customer, []), matcher, key=_position)
        if not matcher.customers:
            insort(self.for_any_customer, matcher, key=_position)

    def remove(self, name: str) -> Matcher | None:
        """Remove and return the matcher of the given name, or return None if there is none."""
        matcher = self.by_name.pop(name, None)
        if matcher is None:
            return None
        del self.matchers[self._index(matcher)]
        for customer in matcher.customers:
            routes_of_customer = self.by_customer[customer]
            routes_of_customer.remove(matcher)
            if not routes_of_customer:
                del self.by_customer[customer]
        if not matcher.customers:
            self.for_any_customer.remove(matcher)
        return matcher

    def matchers_before(self, matcher: Matcher) -> list[Matcher]:
        """Return the matchers that come before `matcher`."""
        return self.matchers[: self._index(matcher)]

    def first_covering(self, matcher: Matcher) -> Matcher | None:
        """Return the first earlier matcher that takes all requests of `matcher`.

        Such a matcher names no customer, or names at least all customers of `matcher`.
        """
        routes_of_customer: list[Matcher] = []
        if matcher.customers:
            routes_of_customer = self.by_customer.get(min(matcher.customers), [])
        candidates = chain(self.for_any_customer, routes_of_customer)
        earlier = (other for other in candidates if other.position < matcher.position)
        covering = (other for other in earlier if _covers_everywhere(other, matcher))
        return min(covering, key=_position, default=None)

    def first_covered(self, matcher: Matcher) -> Matcher | None:
        """Return the first later matcher all of whose requests `matcher` takes.

        If `matcher` names no customer, it is compared with all later matchers.
        """
        candidates: Iterable[Matcher] = self.by_name.values()
        if matcher.customers:
            candidates = chain.from_iterable(
                self.by_customer.get(customer, ()) for customer in matcher.customers
            )
        later = (other for other in candidates if other.position > matcher.position)
        covered = (other for other in later if _covers_everywhere(matcher, other))
        return min(covered, key=_position, default=None)

    def _index(self, matcher: Matcher) -> int:
        return bisect_left(self.matchers, matcher.position, key=_position)


def shadowed_routes(matchers: Iterable[Matcher]) -> Iterable[tuple[str, str]]:
    """Yield the name of each route that can never match, with the name of the route that shadows it.

    Args:
        matchers: The matchers, sorted by position.
    """
    earlier_routes = OrderedRoutes()
    for matcher in matchers:
        if (earlier := earlier_routes.first_covering(matcher)) is not None:
            yield matcher.rules.name, earlier.rules.name
        earlier_routes.put(matcher)


def _covers_everywhere(earlier: Matcher, later: Matcher) -> bool:
    """Return whether `earlier` takes all requests of `later` at each ingress that has `later`."""
    if not earlier.covers(later):
        return False
    if not earlier.zones:
        return True
    return bool(later.zones) and later.zones <= earlier.zones


def _position(matcher: Matcher) -> Position:
    return matcher.position
