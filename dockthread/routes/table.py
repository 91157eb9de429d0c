"""The table of routes: which one a request takes. First match wins; an index keeps a thousand
routes as cheap as one.

The index. A request's class, plan, verb, retry mark and units have few values, so for each
combination met, the routes that could match are listed once, in their order, and kept. Firms would
make that list long: routes that name firms are found by firm, and of those that name none only the
first can match. So a match costs two look-ups.

A change of one route. In each list whose combination it suits, what its firms find is looked up
anew among the routes that name them; a list that would cost more, or whose route without firms
changes, is dropped and made again by the next request of that combination.
"""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from dockthread.config.ingress_config import Names
from dockthread.routes.bounds import Bounds, Facts, Rules, Spent
from dockthread.routes.budget import FLOOR, PART, Budget
from dockthread.routes.limit import LEAST, MOST, Limit
from dockthread.routes.matcher import Matcher, Numbers, Place, file_places
from dockthread.routes.options import RouteOptions
from dockthread.routes.ordered import Ordered

if TYPE_CHECKING:
    from dockthread.net.resp import RequestCommand

MOST_LOOKED_UP = 20_000  # firms in all lists that one change looks up anew
MOST_LISTED = 4096  # combinations kept: a site whose units have no bound must not fill the memory
DEFAULT = "default"  # the name of what matches no route; it bounds nothing


@dataclass(slots=True)
class _Listed:
    """The routes for one combination of class, plan, verb, retry mark and units: the first for each
    firm, and the first that names none, behind which nothing can match.
    """

    by_firm: dict[int, Matcher] = field(default_factory=dict)
    rest: Matcher | None = None


class Table:
    """The routes that hold now, and what each has spent. `generation` grows with each
    replacement.
    """

    def __init__(self, names: Names, zone: int, seed: int) -> None:
        self._numbers, self._zone = Numbers(names), zone
        self._rng = random.Random(seed)
        self.generation = 0
        self._matchers: list[Matcher] = []
        self._ordered = Ordered()
        self._index: dict[tuple[int, int, bool, bool, int], _Listed] = {}
        self._default = Rules(DEFAULT)
        self.spent: dict[str, Any] = {}  # of Spent, by name
        self.dropped: set[str] = set()

    def __bool__(self) -> bool:
        return bool(self._matchers)

    def set_names(self, names: Names) -> None:
        """More names than before, each old one at its number."""
        self._numbers = Numbers(names)

    def replace(self, routes: Mapping[str, RouteOptions], now: float) -> None:
        """Other routes from now on, in their order. What was spent carries over by name; one that
        is gone drains. Raises KeyError for a name that the settings do not know (`check` says so
        first).
        """
        places, numbers, ordered = file_places(routes), self._numbers, Ordered()
        found = [
            numbers.matcher(n, o, places[n])
            for n, o in routes.items()
            if numbers.holds(o, self._zone)
        ]
        for matcher in found:
            ordered.put(matcher)
        self.generation += 1
        self._matchers, self._index, self._ordered = found, {}, ordered
        for matcher in found:
            name = matcher.rules.name
            self._spend(name, routes[name], now)
        self.dropped = self.spent.keys() - ordered.by_name.keys() - {DEFAULT}
        self.forget_idle()

    def put(self, one: Matcher, o: RouteOptions, now: float) -> None:
        """One route more, or in place of the one of its name; at the cost of its size. `o`: what it
        is made of.
        """
        name = one.rules.name
        if not self._numbers.holds(o, self._zone):
            self.remove(name)
            return
        self._take_out(name)
        insort(self._matchers, one, key=_place)
        self._ordered.put(one)
        self._renew(one)
        self._spend(name, o, now)
        self.dropped.discard(name)
        self.generation += 1

    def remove(self, name: str) -> None:
        """One route less; what it has spent stays until it is idle."""
        if self._take_out(name):
            self.dropped.add(name)
            self.generation += 1
            self.forget_idle()

    def _take_out(self, name: str) -> bool:
        one = self._ordered.remove(name)
        if one is None:
            return False
        del self._matchers[bisect_left(self._matchers, one.place, key=_place)]
        self._renew(one)
        return True

    def _renew(self, one: Matcher) -> None:
        """The lists that `one` is, or was, part of."""
        dear = not one.firms or len(one.firms) * len(self._index) > MOST_LOOKED_UP
        for key, listed in list(self._index.items()):
            request_class, plan, write, retry, units = key
            facts = Facts(request_class, plan, write, 0, units, retry)
            if not one.suits(facts):
                continue
            if dear:
                del self._index[key]
                continue
            for firm in one.firms:
                self._renew_firm(listed, facts, firm)

    def _renew_firm(self, listed: _Listed, facts: Facts, firm: int) -> None:
        rest = listed.rest
        found = next((m for m in self._ordered.by_firm.get(firm, ()) if m.suits(facts)), None)
        if found is not None and (rest is None or found.place < rest.place):
            listed.by_firm[firm] = found
        else:
            listed.by_firm.pop(firm, None)

    def _spend(self, name: str, o: RouteOptions, now: float) -> None:
        least, most = (
            o.limit_min or min(LEAST, o.limit_max or LEAST),
            o.limit_max or max(MOST, o.limit_min or 0),
        )
        part = PART if o.retry_budget is None else float(o.retry_budget)
        floor = FLOOR if o.retry_floor is None else o.retry_floor
        share = 1.0 if o.copy_share is None else float(o.copy_share)
        spent = self.spent.get(name)
        if spent is None:
            limit = Limit(o.fixed_limit, least, most, o.adaptive)
            self.spent[name] = spent = Spent(
                Budget(part, floor, now), limit, o.queue or 0, now, self._rng
            )
            spent.copy_budget.set(share, 0.0)
            return
        spent.copy_budget.set(share, 0.0)
        spent.limit.set(o.fixed_limit, least, most, o.adaptive)
        spent.queue.most = o.queue or 0
        if spent.budget is None:
            spent.budget = Budget(part, floor, now)
        spent.budget.set(part, floor)

    def forget_idle(self) -> None:
        """Let go of routes that are gone and have no request left."""
        if self.dropped:
            for name in [n for n in self.dropped if not self.spent[n].open]:
                del self.spent[name]
                self.dropped.discard(name)

    def find(self, facts: Facts) -> Matcher | None:
        key = (facts.request_class, facts.plan, facts.write, facts.retry, facts.units)
        if (listed := self._index.get(key)) is None:
            if len(self._index) >= MOST_LISTED:
                self._index.clear()
            listed = self._index[key] = self._list(facts)
        return listed.by_firm.get(facts.firm, listed.rest)

    def _list(self, facts: Facts) -> _Listed:
        listed = _Listed()
        for one in self._matchers:
            if not one.suits(facts):
                continue
            if not one.firms:
                listed.rest = one
                break
            for firm in one.firms:
                listed.by_firm.setdefault(firm, one)
        return listed

    def rules_for(self, facts: Facts) -> Rules:
        one = self.find(facts)
        return one.rules if one is not None else self._default

    def bounds(self, ask: RequestCommand) -> Bounds | None:
        """None where no route matches: then nothing bounds the request."""
        write = ask.arguments[0].upper() == b"API.WRITE"
        facts = Facts(
            ask.request_class, ask.plan, write, ask.customer, int(ask.units), ask.is_retry
        )
        one = self.find(facts)
        if one is None:
            return None
        return Bounds(self, facts, one.rules, self.spent[one.rules.name])

    def before(self, one: Matcher) -> list[Matcher]:
        """The routes that were looked at before it."""
        return self._matchers[: bisect_left(self._matchers, one.place, key=_place)]


def _place(one: Matcher) -> Place:
    return one.place
