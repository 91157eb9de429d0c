"""A route compiled for matching: which requests it takes, its position, and its rules."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from dockthread.config.ingress_config import Names
from dockthread.routes.options import RouteOptions
from dockthread.routes.position import Position
from dockthread.routes.rules import DEFAULT_MAX_BACKOFF, OUTCOMES_BY_NAME, RequestAttributes, Rules


@dataclass(frozen=True, slots=True)
class Matcher:
    """Matches requests against one route; an empty set or None matches every request.

    Attributes:
        position: The route's position in the matching order.
        rules: The rules for the requests that the route takes.
        classes: Numbers of the request classes.
        plans: Numbers of the customers' plans.
        writes: {True} for writes only, {False} for reads only.
        customers: Numbers of the customers.
        units: Costs of a request, in units.
        retry: True for requests that the client marked as a retry, False for all others.
        zones: Names of the zones whose ingresses use the route.
    """

    position: Position
    rules: Rules
    classes: frozenset[int]
    plans: frozenset[int]
    writes: frozenset[bool]
    customers: frozenset[int]
    units: range | None
    retry: bool | None
    zones: frozenset[str] = frozenset()

    def matches_except_customer(self, request: RequestAttributes) -> bool:
        """Return whether the request matches every condition except the customer."""
        return (
            (not self.classes or request.request_class in self.classes)
            and (not self.plans or request.plan in self.plans)
            and (not self.writes or request.is_write in self.writes)
            and (self.retry is None or request.is_retry == self.retry)
            and (self.units is None or request.units in self.units)
        )

    def matches_customer(self, request: RequestAttributes) -> bool:
        """Return whether the request's customer matches."""
        return not self.customers or request.customer in self.customers

    def mismatched_keys(self, request: RequestAttributes) -> list[str]:
        """Return the keys in the operator's file whose conditions the request does not match."""
        matches_by_key = {
            "class": not self.classes or request.request_class in self.classes,
            "plan": not self.plans or request.plan in self.plans,
            "verb": not self.writes or request.is_write in self.writes,
            "retry": self.retry is None or request.is_retry == self.retry,
            "firm": self.matches_customer(request),
            "units": self.units is None or request.units in self.units,
        }
        return [key for key, is_match in matches_by_key.items() if not is_match]

    def covers(self, other: Matcher) -> bool:
        """Return whether this matches every request that `other` matches, ignoring zones."""
        return (
            _includes(self.classes, other.classes)
            and _includes(self.plans, other.plans)
            and _includes(self.writes, other.writes)
            and _includes(self.customers, other.customers)
            and (self.retry is None or self.retry == other.retry)
            and self._covers_units(other)
        )

    def _covers_units(self, other: Matcher) -> bool:
        if self.units is None:
            return True
        if other.units is None:
            return False
        return other.units[0] in self.units and other.units[-1] in self.units


def _includes(accepted: frozenset[int], other_accepted: frozenset[int]) -> bool:
    return not accepted or (bool(other_accepted) and other_accepted <= accepted)


class NameNumbering:
    """Maps the names in the settings to the numbers that the policy engine uses."""

    def __init__(self, names: Names) -> None:
        self.classes = _number_names(names.classes)
        self.plans = _number_names(names.plans)
        self.zones = _number_names(names.zones)
        self.kinds = _number_names(names.kinds)
        # Equal sets of the same key share one object, because thousands of routes may have the
        # same value for a key.
        self._shared_sets: dict[tuple[str, frozenset[Any]], frozenset[Any]] = {}

    def is_in_zone(self, options: RouteOptions, zone: int) -> bool:
        """Return whether the ingresses of a zone use the route."""
        return not options.hall or zone in {self.zones[name] for name in options.hall}

    def matcher(self, name: str, options: RouteOptions, position: Position) -> Matcher:
        """Compile a route.

        Raises:
            KeyError: The settings do not define a name. `check` reports this beforehand.
        """
        return Matcher(
            position=position,
            rules=rules_from_options(name, options, self.zones, self.kinds),
            classes=self._shared_set("class", (self.classes[known] for known in options.classes)),
            plans=self._shared_set("plan", (self.plans[known] for known in options.plan)),
            writes=self._shared_set("verb", (verb == "write" for verb in options.verb)),
            customers=options.customer_numbers,
            units=options.unit_range,
            retry=options.retry,
            zones=self._shared_set("hall", options.hall),
        )

    def _shared_set(self, key: str, members: Iterable[Any]) -> frozenset[Any]:
        member_set = frozenset(members)
        return self._shared_sets.setdefault((key, member_set), member_set)


def _number_names(names: Iterable[str]) -> dict[str, int]:
    return {name: number for number, name in enumerate(names)}


def rules_from_options(
    name: str, options: RouteOptions, zones: Mapping[str, int], kinds: Mapping[str, int]
) -> Rules:
    """Return the rules that a route's section sets, with times in seconds.

    A name in `nodes` that is both a zone and a kind of backend means the zone.
    """
    backoff = _seconds(options.backoff)
    retry_on = options.retry_on
    return Rules(
        name=name,
        timeout=_seconds(options.timeout),
        attempt_timeout=_seconds(options.attempt_timeout),
        attempts=options.attempts or 0,
        retry_on=None
        if retry_on is None
        else frozenset(OUTCOMES_BY_NAME[word] for word in retry_on),
        backoff=backoff,
        max_backoff=_seconds(options.backoff_max) or max(DEFAULT_MAX_BACKOFF, backoff),
        hedging=options.copies,
        fixed_hedge_delay=_seconds(options.fixed_hedge_delay),
        hedge_percentile=options.hedge_percentile or 0.0,
        hedge_share=1.0 if options.copy_share is None else float(options.copy_share),
        queue_wait=_seconds(options.queue_wait),
        zones=frozenset(zones[node] for node in options.nodes if node in zones),
        kinds=frozenset(
            kinds[node] for node in options.nodes if node in kinds and node not in zones
        ),
    )


def _seconds(milliseconds: float | None) -> float:
    return (milliseconds or 0.0) / 1000.0
