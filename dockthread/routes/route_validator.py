"""Validates one route against the settings, for each request class that it can match."""

from __future__ import annotations

from collections.abc import Iterator

from dockthread.config.ingress_config import Names
from dockthread.config.quantities import Duration
from dockthread.policy import DeduplicationScope, Effect, Outcome, PolicySettings, RequestClass
from dockthread.routes.findings import Finding, ValidationRule
from dockthread.routes.matcher import NameNumbering, rules_from_options
from dockthread.routes.options import MIN_TIMEOUT, RouteOptions
from dockthread.routes.retry_budget import DEFAULT_RATIO
from dockthread.routes.rules import OUTCOMES_BY_NAME
from dockthread.routes.worst_case import TIME_TOLERANCE, WorstCase, amplification, worst_case

# Outcomes after which the request is known not to have run.
NEVER_RAN = frozenset((Outcome.AT_CAPACITY, Outcome.UNREACHABLE))
# A limit below this fraction of the concurrency that one customer may need is an error. A limit
# between this fraction and the full need is only a warning.
ERROR_FRACTION = 0.5
# The expected answer time, as a fraction of the class's latency objective. The policy engine
# assumes the same fraction until it has seen an answer.
EXPECTED_LATENCY_FRACTION = 0.2
MAX_AMPLIFICATION = 1.5  # attempts per request; a higher factor gets a warning


class RouteValidator:
    """Validates one route whose names are all defined in the settings."""

    def __init__(
        self, name: str, route: RouteOptions, settings: PolicySettings, names: Names
    ) -> None:
        numbering = NameNumbering(names)
        self._name = name
        self._route = route
        self._settings = settings
        self._names = names
        self._rules = rules_from_options(name, route, numbering.zones, numbering.kinds)

    def findings(self) -> Iterator[Finding]:
        """Yield every rule that the route violates."""
        route = self._route
        matched = list(self._matched_classes())
        if not matched:
            yield self._finding(
                "verb",
                ValidationRule.MATCHES_A_CLASS,
                f"{', '.join(route.verb)} matches none of {', '.join(route.classes)}",
                "leave verb out",
            )
            return
        yield from self._site_findings()
        for class_name, request_class in matched:
            yield from self._effect_findings(class_name, request_class)
            case = worst_case(self._rules, request_class, self._settings)
            yield from self._time_findings(class_name, request_class, case)
            yield from self._limit_findings(class_name, request_class)
        yield from self._amplification_findings()

    def _finding(
        self,
        key: str,
        rule: ValidationRule,
        counterexample: str,
        remedy: str,
        is_warning: bool = False,
    ) -> Finding:
        return Finding(self._name, key, rule, counterexample, remedy, is_warning)

    def _matched_classes(self) -> Iterator[tuple[str, RequestClass]]:
        """Yield the name and settings of each class that the route's class and verb match."""
        route = self._route
        for name, request_class in zip(self._names.classes, self._settings.classes, strict=True):
            verb = "read" if request_class.effect is Effect.SAFE else "write"
            matches_class = not route.classes or name in route.classes
            if matches_class and (not route.verb or verb in route.verb):
                yield name, request_class

    def _site_findings(self) -> Iterator[Finding]:
        route = self._route
        max_attempts = self._settings.max_attempts
        if (route.attempts or 0) > max_attempts:
            yield self._finding(
                "attempts",
                ValidationRule.ATTEMPT_LIMIT,
                f"{route.attempts} is more than the settings allow",
                f"at most {max_attempts}",
            )
        if route.copies and not self._settings.may_hedge:
            yield self._finding(
                "copies",
                ValidationRule.HEDGING_ALLOWED,
                "yes, but the site does not allow copies",
                "no",
            )

    def _effect_findings(self, class_name: str, request_class: RequestClass) -> Iterator[Finding]:
        if request_class.effect is Effect.UNSAFE:
            yield from self._unsafe_findings(class_name)
        elif request_class.effect is not Effect.SAFE:
            yield from self._keyed_findings(class_name, request_class)

    def _unsafe_findings(self, class_name: str) -> Iterator[Finding]:
        route = self._route
        reason = f"{class_name} must never run twice"
        may_have_run = [
            outcome_name
            for outcome_name in route.retry_on or ()
            if OUTCOMES_BY_NAME[outcome_name] not in NEVER_RAN
        ]
        if may_have_run:
            yield self._finding(
                "retry_on",
                ValidationRule.NO_SECOND_EFFECT,
                f"{', '.join(may_have_run)} would repeat a request that may have run: {reason}",
                "turned-away, unreachable, or match safe classes only",
            )
        if route.copies:
            yield self._finding(
                "copies",
                ValidationRule.NO_SECOND_EFFECT,
                f"yes would run a request twice: {reason}",
                "no",
            )

    def _keyed_findings(self, class_name: str, request_class: RequestClass) -> Iterator[Finding]:
        route = self._route
        reason = f"{class_name} is safe to repeat only by its key"
        window = request_class.deduplication_window
        attempts = route.attempts or 1
        total_time = attempts * (route.attempt_timeout or 0.0) / 1000.0
        if window and total_time > window:
            attempts_text = f"{route.attempts} attempts of {route.attempt_timeout}"
            yield self._finding(
                "attempts",
                ValidationRule.DEDUPLICATION_WINDOW,
                f"{attempts_text} exceed the window of {Duration(window * 1000)}: {reason}",
                f"attempt_timeout = {_whole_milliseconds(window / attempts)}",
            )
        scope = request_class.deduplication_scope
        if scope is not DeduplicationScope.ALL and route.nodes:
            yield self._finding(
                "nodes",
                ValidationRule.DEDUPLICATION_SCOPE,
                f"may leave the {scope.value} within which repeats are dropped: {reason}",
                "leave nodes out",
            )

    def _time_findings(
        self, class_name: str, request_class: RequestClass, case: WorstCase
    ) -> Iterator[Finding]:
        """Yield timeout problems; the total time is checked only if each timeout is valid."""
        route = self._route
        deadline_finding = self._deadline_finding(class_name, request_class)
        if deadline_finding is not None:
            yield deadline_finding
            return
        if route.queue_wait is not None and route.queue_wait >= case.time_limit * 1000.0:
            yield self._finding(
                "queue_wait",
                ValidationRule.QUEUE_LEAVES_TIME,
                f"{route.queue_wait} leaves {class_name} no time for an attempt",
                f"below {Duration(case.time_limit * 1000)}",
            )
            return
        hedge_delay = route.fixed_hedge_delay
        if hedge_delay is not None and hedge_delay >= case.attempt_timeout * 1000.0:
            yield self._finding(
                "copy_after",
                ValidationRule.HEDGE_BEFORE_TIMEOUT,
                f"{hedge_delay} is not before the attempt timeout for {class_name}",
                f"below {Duration(case.attempt_timeout * 1000)}",
            )
        if case.exceeds_time_limit:
            yield self._worst_case_finding(class_name, request_class, case)

    def _deadline_finding(self, class_name: str, request_class: RequestClass) -> Finding | None:
        deadline = Duration(request_class.deadline * 1000.0)
        for key in ("timeout", "attempt_timeout"):
            value = getattr(self._route, key)
            if value is not None and value > deadline:
                return self._finding(
                    key,
                    ValidationRule.WITHIN_DEADLINE,
                    f"{value} is longer than the client's deadline for {class_name}, {deadline}",
                    f"at most {deadline}",
                )
        return None

    def _worst_case_finding(
        self, class_name: str, request_class: RequestClass, case: WorstCase
    ) -> Finding:
        """Return the finding that the worst case takes too long.

        It is only a warning if the worst case exceeds the route's timeout but not the deadline.
        """
        route = self._route
        is_beyond_deadline = case.total > request_class.deadline + TIME_TOLERANCE
        bound = f"timeout = {route.timeout}"
        if is_beyond_deadline:
            deadline = Duration(request_class.deadline * 1000.0)
            bound = f"the client's deadline for {class_name}, {deadline}"
        total = Duration(round(case.total * 1000.0, 3))
        return self._finding(
            "attempts" if route.attempts else "attempt_timeout",
            ValidationRule.WORST_CASE_IN_TIME,
            f"{_format_sum(case)} = {total} exceeds {bound}",
            _proposed_setting(case),
            is_warning=not is_beyond_deadline,
        )

    def _limit_findings(self, class_name: str, request_class: RequestClass) -> Iterator[Finding]:
        """Yield a finding if the limit is too low for one customer within its quota (Little's law).

        The finding names the first plan for which the limit is too low.
        """
        route = self._route
        limit = route.limit_max if route.is_adaptive else route.fixed_limit
        if limit is None:
            return
        settings = self._settings
        latency = EXPECTED_LATENCY_FRACTION * request_class.latency_objective
        for name, plan in zip(self._names.plans, settings.plans, strict=True):
            if route.plan and name not in route.plan:
                continue
            needed_limit = plan.rate / settings.max_request_units * latency / settings.ingress_count
            if plan.rate and limit < needed_limit:
                rate = f"{limit / latency:.3g} {class_name} a second"
                yield self._finding(
                    "limit_max" if route.is_adaptive else "limit",
                    ValidationRule.LIMIT_SERVES_QUOTA,
                    f"{limit} concurrent requests serve {rate}; one firm of {name} may send more",
                    f"at least {int(needed_limit) + 1}",
                    is_warning=limit >= ERROR_FRACTION * needed_limit,
                )
                return

    def _amplification_findings(self) -> Iterator[Finding]:
        route = self._route
        max_attempts = self._settings.max_attempts
        attempts = min(route.attempts or max_attempts, max_attempts)
        ratio = DEFAULT_RATIO if route.retry_budget is None else float(route.retry_budget)
        factor = amplification(ratio, attempts)
        if factor > MAX_AMPLIFICATION:
            yield self._finding(
                "retry_budget",
                ValidationRule.BOUNDED_AMPLIFICATION,
                f"in the worst case nodes see {factor:.2f} attempts per request",
                "0.2 is usual",
                is_warning=True,
            )


def _format_sum(case: WorstCase) -> str:
    terms = [f"{case.attempts} attempts of {Duration(case.attempt_timeout * 1000)}"]
    if case.backoffs:
        terms.append(f"{Duration(round(sum(case.backoffs) * 1000, 3))} of backoff")
    if case.queue_wait:
        terms.append(f"{Duration(case.queue_wait * 1000)} in the queue")
    return " + ".join(terms)


def _proposed_setting(case: WorstCase) -> str:
    """Return a setting that brings the worst case within its time limit or closer to it."""
    time_left = case.time_limit - case.queue_wait - sum(case.backoffs)
    attempt_timeout = time_left / case.attempts
    if attempt_timeout > MIN_TIMEOUT / 1000.0:
        return f"attempt_timeout = {_whole_milliseconds(attempt_timeout)}"
    return f"attempts = {max(1, case.attempts - 1)}"


def _whole_milliseconds(seconds: float) -> Duration:
    """Return the time rounded down, so that a proposed timeout is short enough."""
    return Duration(float(int(seconds * 1000.0)))
