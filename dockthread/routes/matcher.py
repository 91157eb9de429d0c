"""One route as matching sees it: which requests it takes, at which place among the others, and with
which rules.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from dockthread.config.ingress_config import Names
from dockthread.routes.bounds import BACKOFF_MAX, WORDS, Facts, Rules
from dockthread.routes.options import RouteOptions

Place = tuple[int, int, str]
"""Where a route stands among the others: its layer, its number there, its name."""

PUBLISHED_LAYER: Final = 0  # routes that were published, by name
FILE_LAYER: Final = 1  # those of the operator's file, and published ones of the same names


def published_place(name: str) -> Place:
    return PUBLISHED_LAYER, 0, name


def file_places(names: Iterable[str]) -> dict[str, Place]:
    """In the file's order."""
    return {name: (FILE_LAYER, number, name) for number, name in enumerate(names)}


@dataclass(frozen=True, slots=True)
class Matcher:
    """One route as the index sees it. Empty sets match all."""

    place: Place
    rules: Rules
    classes: frozenset[int]
    plans: frozenset[int]
    write: frozenset[bool]
    firms: frozenset[int]
    units: range | None
    retry: bool | None
    halls: frozenset[str] = frozenset()  # at whose ingresses it holds; empty: everywhere

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
                or (
                    other.units is not None
                    and other.units[0] in self.units
                    and other.units[-1] in self.units
                )
            )
        )


def _within(wide: frozenset[int], narrow: frozenset[int]) -> bool:
    return not wide or (bool(narrow) and narrow <= wide)


class Numbers:
    """The numbers by which the module counts the settings' names."""

    def __init__(self, names: Names) -> None:
        def numbered(known: Iterable[str]) -> dict[str, int]:
            return {name: number for number, name in enumerate(known)}

        self.classes, self.plans = numbered(names.classes), numbered(names.plans)
        self.zones, self.kinds = numbered(names.zones), numbered(names.kinds)
        # by key: one for all routes alike in it
        self._sets: dict[tuple[str, frozenset[Any]], frozenset[Any]] = {}

    def holds(self, o: RouteOptions, zone: int) -> bool:
        """Whether a route holds at the ingresses of a hall."""
        return not o.hall or zone in {self.zones[hall] for hall in o.hall}

    def matcher(self, name: str, o: RouteOptions, place: Place) -> Matcher:
        """Raises KeyError for a name that the settings do not know (`check` says so first)."""
        return Matcher(
            place=place,
            rules=rules_of(name, o, self.zones, self.kinds),
            classes=self._shared("class", (self.classes[c] for c in o.classes)),
            plans=self._shared("plan", (self.plans[p] for p in o.plan)),
            write=self._shared("verb", (v == "write" for v in o.verb)),
            firms=o.firms,
            units=o.unit_range,
            retry=o.retry,
            halls=self._shared("hall", o.hall),
        )

    def _shared(self, key: str, members: Iterable[Any]) -> frozenset[Any]:
        found = frozenset(members)
        return self._sets.setdefault((key, found), found)


def rules_of(
    name: str, o: RouteOptions, zones: Mapping[str, int], kinds: Mapping[str, int]
) -> Rules:
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
