"""Routes in their order, found by name and by firm: what one route's proof and one route's change
have to look at.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable
from itertools import chain

from dockthread.routes.matcher import Matcher, Place


def _place(one: Matcher) -> Place:
    return one.place


class Ordered:
    """Matchers by their place. Each list is in that order."""

    def __init__(self) -> None:
        self.by_name: dict[str, Matcher] = {}
        self.by_firm: dict[int, list[Matcher]] = {}
        self.broad: list[Matcher] = []  # those that name no firm

    def put(self, one: Matcher) -> None:
        """In place of the one of its name, if there is one."""
        self.remove(one.rules.name)
        self.by_name[one.rules.name] = one
        for firm in one.firms:
            insort(self.by_firm.setdefault(firm, []), one, key=_place)
        if not one.firms:
            insort(self.broad, one, key=_place)

    def remove(self, name: str) -> Matcher | None:
        """The one that was there."""
        one = self.by_name.pop(name, None)
        if one is None:
            return None
        for firm in one.firms:
            named = self.by_firm[firm]
            named.remove(one)
            if not named:
                del self.by_firm[firm]
        if not one.firms:
            self.broad.remove(one)
        return one

    def first_covering(self, one: Matcher) -> Matcher | None:
        """The first before it that takes all its requests. Only one that names no firm, or the same
        ones, can.
        """
        named = self.by_firm.get(min(one.firms), []) if one.firms else []
        earlier = (other for other in chain(self.broad, named) if other.place < one.place)
        return min((other for other in earlier if covers(other, one)), key=_place, default=None)

    def first_covered(self, one: Matcher) -> Matcher | None:
        """The first behind it whose requests it takes all. One that names no firm is held against
        all behind it.
        """
        others: Iterable[Matcher] = self.by_name.values()
        if one.firms:
            others = chain.from_iterable(self.by_firm.get(firm, ()) for firm in one.firms)
        later = (other for other in others if other.place > one.place)
        return min((other for other in later if covers(one, other)), key=_place, default=None)


def covers(earlier: Matcher, later: Matcher) -> bool:
    """Whether all requests of the later are taken by the earlier, at every ingress at which the
    later holds.
    """
    theirs, mine = earlier.halls, later.halls
    return earlier.covers(later) and (not theirs or (bool(mine) and mine <= theirs))


def shadows(found: Iterable[Matcher]) -> Iterable[tuple[str, str]]:
    """Yield each route that can never match, with the route that shadows it.

    `found` lists the matchers in their order.
    """
    before = Ordered()
    for one in found:
        if (earlier := before.first_covering(one)) is not None:
            yield one.rules.name, earlier.rules.name
        before.put(one)
