"""Which route a request takes and why, its attempts over time, and its worst case: `check
--explain`.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from dockthread.config.ingress_config import Names
from dockthread.config.quantities import Duration
from dockthread.errors import SettingsError
from dockthread.policy import Effect, PolicySettings
from dockthread.routes.bounds import Facts, Rules
from dockthread.routes.budget import PART
from dockthread.routes.options import RouteOptions
from dockthread.routes.table import Table
from dockthread.routes.worst import amplification, worst


def facts_of(text: str, settings: PolicySettings, names: Names) -> Facts:
    """From `c=seat-status,t=gross,units=2,firm=b4d6,r=1`. Raises SettingsError."""
    try:
        terms = dict(pair.split("=", 1) for pair in text.replace(" ", "").split(","))
        number, plan = names.classes.index(terms["c"]), names.plans.index(terms["t"])
        write = settings.classes[number].effect is not Effect.SAFE
        return Facts(
            number,
            plan,
            write,
            int(terms.get("firm", "0"), 16),
            int(terms.get("units", "1")),
            terms.get("r") == "1",
        )
    except (KeyError, ValueError) as error:
        known = f"classes: {', '.join(names.classes)}; plans: {', '.join(names.plans)}"
        raise SettingsError(
            f"{text!r} is no request, such as c=CLASS,t=PLAN,units=1; {known}"
        ) from error


def explain(
    routes: Mapping[str, RouteOptions], settings: PolicySettings, names: Names, facts: Facts
) -> Iterator[str]:
    table = Table(names, settings.zone, 1)
    table.replace(routes, 0.0)
    one = table.find(facts)
    kind, of = names.classes[facts.request_class], settings.classes[facts.request_class]
    if one is None:
        yield "route: none matches; what the class and the settings say holds"
        rules, share = Rules("default"), None
    else:
        yield f"route: {one.rules.name}"
        for earlier in table.before(one):
            yield f"  not {earlier.rules.name}: {', '.join(earlier.misses(facts))}"
        rules, share = one.rules, routes[one.rules.name].retry_budget
    case = worst(rules, of, settings)
    whole = Duration(case.whole * 1000.0)
    yield f"whole time: {whole} (the client's deadline for {kind} is {Duration(of.deadline * 1000)})"
    at = case.queue
    if case.queue:
        yield f"  0ms to {_ms(at)}: in the queue"
    for number in range(case.attempts):
        end = at + case.each
        late = " at the latest" if case.bounded else ""
        yield f"  {_ms(at)} to {_ms(min(end, case.whole))}: attempt {number + 1}{late}"
        if not case.bounded:
            if case.attempts > 1:
                yield f"  up to {case.attempts - 1} more within the same time, each after the one before has ended"
            break
        at = end
        if number < len(case.waits):
            yield f"  {_ms(at)} to {_ms(at + case.waits[number])}: wait, drawn from 0 up to this"
            at += case.waits[number]
    if rules.copies:
        when = (
            f"p{rules.copy_percentile * 100:g} of this route's answer times"
            if rules.copy_percentile
            else ""
        )
        yield f"copy: after {when or (_ms(rules.copy_fixed) if rules.copy_fixed else 'the usual time')}"
    if of.effect is not Effect.SAFE:
        yield f"effect: {of.effect.value}; only outcomes that prove it never ran are tried again"
    times = amplification(PART if share is None else float(share), case.attempts)
    yield f"worst case: {_ms(case.total)} of {whole}, {case.attempts} attempts, {times:.2f} times the load at length"


def _ms(seconds: float) -> Duration:
    return Duration(round(seconds * 1000.0, 3))
