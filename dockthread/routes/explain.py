"""Explains the route of one request, for the option `check --explain`.

The explanation shows which route the request takes and why, a timeline of its attempts, and its
worst case.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from dockthread.config.ingress_config import Names
from dockthread.config.quantities import Duration
from dockthread.errors import SettingsError
from dockthread.policy import Effect, PolicySettings
from dockthread.routes.matcher import Matcher
from dockthread.routes.options import RouteOptions
from dockthread.routes.retry_budget import DEFAULT_RATIO
from dockthread.routes.rules import RequestAttributes, Rules
from dockthread.routes.table import DEFAULT_ROUTE, RouteTable
from dockthread.routes.worst_case import WorstCase, amplification, worst_case


def parse_request(text: str, settings: PolicySettings, names: Names) -> RequestAttributes:
    """Parse a request such as `c=seat-status,t=gross,units=2,firm=b4d6,r=1`.

    Raises:
        SettingsError: The text does not describe a request of a known class and plan.
    """
    try:
        terms = dict(pair.split("=", 1) for pair in text.replace(" ", "").split(","))
        request_class = names.classes.index(terms["c"])
        return RequestAttributes(
            request_class=request_class,
            plan=names.plans.index(terms["t"]),
            is_write=settings.classes[request_class].effect is not Effect.SAFE,
            customer=int(terms.get("firm", "0"), 16),
            units=int(terms.get("units", "1")),
            is_retry=terms.get("r") == "1",
        )
    except (KeyError, ValueError) as error:
        known = f"classes: {', '.join(names.classes)}; plans: {', '.join(names.plans)}"
        raise SettingsError(
            f"{text!r} is not a valid request such as c=CLASS,t=PLAN,units=1; {known}"
        ) from error


def explain(
    routes: Mapping[str, RouteOptions],
    settings: PolicySettings,
    names: Names,
    request: RequestAttributes,
) -> Iterator[str]:
    """Yield the lines that explain the route of a request."""
    table = RouteTable(names, settings.zone, 1)
    table.replace(routes, 0.0)
    matcher = table.find(request)
    yield from _route_lines(table, matcher, request)
    rules = Rules(DEFAULT_ROUTE) if matcher is None else matcher.rules
    retry_budget = None if matcher is None else routes[rules.name].retry_budget
    budget_ratio = DEFAULT_RATIO if retry_budget is None else float(retry_budget)
    request_class = settings.classes[request.request_class]
    case = worst_case(rules, request_class, settings)
    time_limit = Duration(case.time_limit * 1000.0)
    deadline = f"deadline for {names.classes[request.request_class]}"
    yield (
        f"time limit: {time_limit} "
        f"(the client's {deadline} is {Duration(request_class.deadline * 1000)})"
    )
    yield from _timeline(case)
    if rules.hedging:
        yield f"copy: after {_hedge_delay(rules)}"
    if request_class.effect is not Effect.SAFE:
        effect = request_class.effect.value
        yield f"effect: {effect}; retried only after outcomes that prove the request never ran"
    factor = amplification(budget_ratio, case.attempts)
    yield (
        f"worst case: {_duration(case.total)} of {time_limit}, {case.attempts} attempts, "
        f"{factor:.2f} times the load in the long run"
    )


def _route_lines(
    table: RouteTable, matcher: Matcher | None, request: RequestAttributes
) -> Iterator[str]:
    """Yield the route, and the mismatched keys of each route before it."""
    if matcher is None:
        yield "route: none matches; the settings of the class and the site apply"
        return
    yield f"route: {matcher.rules.name}"
    for earlier in table.matchers_before(matcher):
        yield f"  not {earlier.rules.name}: {', '.join(earlier.mismatched_keys(request))}"


def _timeline(case: WorstCase) -> Iterator[str]:
    """Yield the latest times of the wait in the queue, the attempts and the backoffs."""
    start = case.queue_wait
    if case.queue_wait:
        yield f"  0ms to {_duration(start)}: in the queue"
    if not case.has_attempt_timeout:
        end = min(start + case.attempt_timeout, case.time_limit)
        yield f"  {_duration(start)} to {_duration(end)}: attempt 1"
        if case.attempts > 1:
            remaining = f"{case.attempts - 1} more within the same time"
            yield f"  up to {remaining}, each after the previous one has ended"
        return
    for number in range(case.attempts):
        end = start + case.attempt_timeout
        shown_end = _duration(min(end, case.time_limit))
        yield f"  {_duration(start)} to {shown_end}: attempt {number + 1} at the latest"
        start = end
        if number < len(case.backoffs):
            end = start + case.backoffs[number]
            yield f"  {_duration(start)} to {_duration(end)}: longest backoff, drawn from 0 upward"
            start = end


def _hedge_delay(rules: Rules) -> str:
    if rules.hedge_percentile:
        return f"p{rules.hedge_percentile * 100:g} of this route's answer times"
    if rules.fixed_hedge_delay:
        return str(_duration(rules.fixed_hedge_delay))
    return "the engine's default delay"


def _duration(seconds: float) -> Duration:
    return Duration(round(seconds * 1000.0, 3))
