"""The findings of route validation: the broken rule, the counterexample and the remedy."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from dockthread.config.ini_reader import ConfigProblem


class ValidationRule(Enum):
    """The rules that every route must satisfy."""

    KNOWN_NAMES = "each name is defined in the settings"
    MATCHES_A_CLASS = "the route matches at least one request class"
    REACHABLE = "no earlier route takes all requests of the route"
    LEAVES_REQUESTS = "the route leaves some requests to each later route"
    ATTEMPT_LIMIT = "there are no more attempts than the settings allow"
    HEDGING_ALLOWED = "the route does not hedge if the settings forbid it"
    NO_SECOND_EFFECT = "a request that may have run and must not run twice is never repeated"
    DEDUPLICATION_WINDOW = "all attempts end within the time in which repeats are dropped"
    DEDUPLICATION_SCOPE = "all attempts go to backends that drop each other's repeats"
    WITHIN_DEADLINE = "no timeout is longer than the client's deadline"
    QUEUE_LEAVES_TIME = "the wait in the queue leaves time for an attempt"
    HEDGE_BEFORE_TIMEOUT = "a hedge is sent before the attempt times out"
    WORST_CASE_IN_TIME = "the worst case ends in time"
    LIMIT_SERVES_QUOTA = "the limit serves a customer within its quota"
    BOUNDED_AMPLIFICATION = "the worst case does not multiply the load"


@dataclass(frozen=True, slots=True)
class Finding:
    """A rule that a route breaks; `str` returns it as a single line.

    Attributes:
        route: The route's name.
        key: The invalid key of the route's section; empty if the finding concerns the whole route.
        rule: The broken rule.
        counterexample: The value, and the case in which it breaks the rule.
        remedy: The nearest valid value, or the change to make.
        is_warning: Whether the route can be used despite the finding.
    """

    route: str
    key: str
    rule: ValidationRule
    counterexample: str
    remedy: str
    is_warning: bool = False

    def __str__(self) -> str:
        return str(self.problem("")).removeprefix(": ")

    def problem(self, file: str) -> ConfigProblem:
        """Return the finding as a problem of the operator's file named `file`."""
        section = f"route {self.route}"
        return ConfigProblem(
            file, section, self.key, self.counterexample, self.remedy, self.is_warning
        )


def shadowed_finding(route: str, shadowed_by: str, remedy: str) -> Finding:
    """Return the finding that an earlier route takes all requests that `route` could match."""
    counterexample = f"can never match: the earlier [route {shadowed_by}] takes all its requests"
    return Finding(route, "", ValidationRule.REACHABLE, counterexample, remedy)
