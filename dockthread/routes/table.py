"""The table of routes: which one a request takes. First match wins; an index keeps a thousand routes as cheap as one.

The index. A request's class, plan, verb, retry mark and units have few values, so for each combination met, the
routes that could match are listed once, in their order, and kept. Firms would make that list long: routes that name
firms are found by firm, and of those that name none only the first can match. So a match costs two look-ups.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from dockthread.routes.bounds import BACKOFF_MAX, WORDS, Bounds, Facts, Rules, Spent
from dockthread.routes.budget import FLOOR, PART, Budget
from dockthread.routes.limit import LEAST, MOST, Limit
from dockthread.routes.options import RouteOptions
from dockthread.settings import Names

if TYPE_CHECKING:
    from dockthread.net.resp import Ask

MOST_LISTED = 4096  # combinations kept: a site whose units have no bound must not fill the memory
DEFAULT = "default"  # the name of what matches no route; it bounds nothing


@dataclass(frozen=True, slots=True)
class Matcher:
    """One route as the index sees it. Empty sets match all."""

    place: int
    rules: Rules
    classes: frozenset[int]
    plans: frozenset[int]
    write: frozenset[bool]
    firms: frozenset[int]
    units: range | None
    retry: bool | None

    def suits(self, facts: Facts) -> bool:
        return (
            (not self.classes or facts.request_class in self.classes)
            and (not self.plans or facts.plan in self.plans)
            and (not self.write or facts.write in self.write)
            and (self.retry is None or facts.retry == self.retry)
            and (self.units is None or facts.units in self.units)
        )

    def fits(self, facts: Facts) -> bool:
        """Of one that suits: whether the firm is right too."""
        return not self.firms or facts.firm in self.firms

    def misses(self, facts: Facts) -> list[str]:
        """Which of its keys the request does not fit."""
        return [
            key
            for key, right in {
                "class": not self.classes or facts.request_class in self.classes,
                "plan": not self.plans or facts.plan in self.plans,
                "verb": not self.write or facts.write in self.write,
                "retry": self.retry is None or facts.retry == self.retry,
                "firm": not self.firms or facts.firm in self.firms,
                "units": self.units is None or facts.units in self.units,
            }.items()
            if not right
        ]

    def covers(self, other: Matcher) -> bool:
        """Whether every request that the other matches is matched by this one."""
        return (
            _within(self.classes, other.classes)
            and _within(self.plans, other.plans)
            and _within(self.write, other.write)
            and _within(self.firms, other.firms)
            and (self.retry is None or self.retry == other.retry)
            and (
                self.units is None
                or (other.units is not None and other.units[0] in self.units and other.units[-1] in self.units)
            )
        )


def _within(wide: frozenset[int], narrow: frozenset[int]) -> bool:
    return not wide or (bool(narrow) and narrow <= wide)


@dataclass(slots=True)
class _Listed:
    """The routes for one combination of class, plan, verb, retry mark and units: the first for each firm, and the
    first that names none, behind which nothing can match."""

    by_firm: dict[int, Matcher] = field(default_factory=dict)
    rest: Matcher | None = None


def matchers(routes: Mapping[str, RouteOptions], names: Names, zone: int) -> list[Matcher]:
    """In the file's order. Raises KeyError for a name that the settings do not know (`check` says so first).
    Routes of other halls are left out."""
    classes, plans = ({n: i for i, n in enumerate(known)} for known in (names.classes, names.plans))
    zones, kinds = ({n: i for i, n in enumerate(known)} for known in (names.zones, names.kinds))
    found: list[Matcher] = []
    for name, o in routes.items():
        if o.hall and zone not in {zones[h] for h in o.hall}:
            continue
        found.append(
            Matcher(
                place=len(found),
                rules=rules_of(name, o, zones, kinds),
                classes=frozenset(classes[c] for c in o.classes),
                plans=frozenset(plans[p] for p in o.plan),
                write=frozenset(v == "write" for v in o.verb),
                firms=o.firms,
                units=o.unit_range,
                retry=o.retry,
            )
        )
    return found


def rules_of(name: str, o: RouteOptions, zones: Mapping[str, int], kinds: Mapping[str, int]) -> Rules:
    def seconds(value: float | None) -> float:
        return (value or 0.0) / 1000.0

    return Rules(
        name=name,
        timeout=seconds(o.timeout),
        attempt_timeout=seconds(o.attempt_timeout),
        attempts=o.attempts or 0,
        retry_on=None if o.retry_on is None else frozenset(WORDS[w] for w in o.retry_on),
        backoff=seconds(o.backoff),
        backoff_max=seconds(o.backoff_max) or max(BACKOFF_MAX, seconds(o.backoff)),
        copies=o.copies,
        copy_fixed=seconds(o.fixed_copy),
        copy_percentile=o.percentile or 0.0,
        copy_share=1.0 if o.copy_share is None else float(o.copy_share),
        queue_wait=seconds(o.queue_wait),
        zones=frozenset(zones[n] for n in o.nodes if n in zones),
        kinds=frozenset(kinds[n] for n in o.nodes if n in kinds and n not in zones),
    )


class Table:
    """The routes that hold now, and what each has spent. `generation` grows with each replacement."""

    def __init__(self, names: Names, zone: int, seed: int) -> None:
        self._names, self._zone = names, zone
        self._rng = random.Random(seed)
        self.generation = 0
        self._matchers: list[Matcher] = []
        self._index: dict[tuple[int, int, bool, bool, int], _Listed] = {}
        self._default = Rules(DEFAULT)
        self.spent: dict[str, Any] = {}  # of Spent, by name
        self.dropped: set[str] = set()

    def __bool__(self) -> bool:
        return bool(self._matchers)

    def replace(self, routes: Mapping[str, RouteOptions], now: float) -> None:
        """Other routes from now on. What was spent carries over by name; a route that is gone drains."""
        found = matchers(routes, self._names, self._zone)
        self.generation += 1
        self._matchers, self._index = found, {}
        for matcher in found:
            name = matcher.rules.name
            self._spend(name, routes[name], now)
        self.dropped = self.spent.keys() - {m.rules.name for m in found} - {DEFAULT}
        self.forget_idle()

    def _spend(self, name: str, o: RouteOptions, now: float) -> None:
        least, most = o.limit_min or min(LEAST, o.limit_max or LEAST), o.limit_max or max(MOST, o.limit_min or 0)
        part = PART if o.retry_budget is None else float(o.retry_budget)
        floor = FLOOR if o.retry_floor is None else o.retry_floor
        share = 1.0 if o.copy_share is None else float(o.copy_share)
        spent = self.spent.get(name)
        if spent is None:
            limit = Limit(o.fixed_limit, least, most, o.adaptive)
            self.spent[name] = spent = Spent(Budget(part, floor, now), limit, o.queue or 0, now, self._rng)
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

    def bounds(self, ask: Ask) -> Bounds | None:
        """None where no route matches: then nothing bounds the request."""
        write = ask.args[0].upper() == b"API.WRITE"
        facts = Facts(ask.request_class, ask.plan, write, ask.customer, int(ask.units), ask.retry)
        one = self.find(facts)
        if one is None:
            return None
        return Bounds(self, facts, one.rules, self.spent[one.rules.name])

    def before(self, one: Matcher) -> list[Matcher]:
        """The routes that were looked at before it."""
        return self._matchers[: one.place]


def shadows(found: list[Matcher], halls: Mapping[str, frozenset[str]]) -> Iterable[tuple[str, str]]:
    """Routes that can never match, each with one that shadows it. `halls` by route; empty: everywhere."""
    broad: list[Matcher] = []
    by_firm: dict[int, list[Matcher]] = {}
    for one in found:
        mine = halls[one.rules.name]
        # Only one that names no firm, or the same ones, can cover it: a thousand routes by firm are no square.
        named = by_firm.get(min(one.firms), []) if one.firms else []
        for earlier in (*broad, *named):
            theirs = halls[earlier.rules.name]
            if earlier.covers(one) and (not theirs or (mine and mine <= theirs)):
                yield one.rules.name, earlier.rules.name
                break
        if not one.firms:
            broad.append(one)
        for firm in one.firms:
            by_firm.setdefault(firm, []).append(one)
