"""Proves a file's routes against the settings: what a section can't see alone.

Each refusal names route, key, value, the rule, and the nearest value that would do.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from difflib import get_close_matches

from dockthread.config.ingress_config import Names
from dockthread.config.ini_reader import ConfigProblem
from dockthread.config.quantities import Duration
from dockthread.policy import DeduplicationScope, Effect, Outcome, PolicySettings, RequestClass
from dockthread.routes.bounds import WORDS
from dockthread.routes.budget import PART
from dockthread.routes.matcher import Numbers, file_places, rules_of
from dockthread.routes.options import RouteOptions
from dockthread.routes.ordered import shadows
from dockthread.routes.worst import Worst, amplification, worst

PROVEN = frozenset(
    (Outcome.AT_CAPACITY, Outcome.UNREACHABLE)
)  # outcomes after which nothing can have run
STARVED = 0.5  # of what one firm may need: a limit below it is an error, and not only a warning
# of a class's aim: an answer's usual time, as the module assumes before it has seen any
USUAL = 0.2
SHADOWED = "can never match: [route {}] before it takes all its requests"
NOTHING = Names((), (), (), ())

Found = tuple[str, str, str, bool]  # key, wrong, would do, only a warning


def check(
    file: str,
    routes: Mapping[str, RouteOptions],
    settings: PolicySettings | None,
    names: Names | None,
) -> list[ConfigProblem]:
    """All that is wrong. Without settings only what the file says against itself: names are taken
    as they stand.
    """
    problems = []

    def say(name: str, found: Found) -> None:
        key, wrong, would_do, warning = found
        problems.append(ConfigProblem(file, f"route {name}", key, wrong, would_do, warning))

    if settings is None or names is None:
        names = _names_in(routes)
    known = {}
    for name, route in routes.items():
        unknown = list(_unknown(route, names))
        for found in unknown:
            say(name, found)
        if not unknown:
            known[name] = route
    numbers, places = Numbers(names), file_places(known)
    for name, by in shadows(numbers.matcher(n, route, places[n]) for n, route in known.items()):
        say(name, ("", SHADOWED.format(by), "set it before that", False))
    if settings is not None:
        for name, route in known.items():
            for found in _against(name, route, settings, names):
                say(name, found)
    return problems


def check_one(
    name: str, route: RouteOptions, settings: PolicySettings, names: Names
) -> list[ConfigProblem]:
    """All that is wrong with one route by itself. A route of another hall is checked as one of
    this: what is published goes to all ingresses.
    """
    found = list(_unknown(route, names)) or list(_against(name, route, settings, names))
    return [
        ConfigProblem("", f"route {name}", key, wrong, would_do, warning)
        for key, wrong, would_do, warning in found
    ]


def _names_in(routes: Mapping[str, RouteOptions]) -> Names:
    def union(key: str) -> tuple[str, ...]:
        return tuple(sorted({word for route in routes.values() for word in getattr(route, key)}))

    return Names(union("classes"), union("plan"), union("hall"), union("nodes"))


def _unknown(route: RouteOptions, names: Names) -> Iterator[Found]:
    places = names.zones + names.kinds
    for key, words, known in (
        ("class", route.classes, names.classes),
        ("plan", route.plan, names.plans),
        ("hall", route.hall, names.zones),
        ("nodes", route.nodes, places),
    ):
        for word in words:
            if word not in known:
                near = get_close_matches(word, known, 1, 0.6)
                would_do = (
                    f"did you mean {near[0]}?" if near else f"known: {', '.join(known) or 'none'}"
                )
                what = (
                    "no kind of node and no hall: it could never be filled"
                    if key == "nodes"
                    else f"no {key}"
                )
                yield key, f"{word!r} is {what}", would_do, False


def classes_of(
    route: RouteOptions, settings: PolicySettings, names: Names
) -> Iterator[tuple[str, RequestClass]]:
    """The classes whose requests the route can match: by its names, and by its verb."""
    for name, one in zip(names.classes, settings.classes, strict=True):
        verb = "read" if one.effect is Effect.SAFE else "write"
        if (not route.classes or name in route.classes) and (not route.verb or verb in route.verb):
            yield name, one


def _against(
    name: str, route: RouteOptions, settings: PolicySettings, names: Names
) -> Iterator[Found]:
    zones, kinds = ({n: i for i, n in enumerate(known)} for known in (names.zones, names.kinds))
    rules = rules_of(name, route, zones, kinds)
    cap = settings.max_attempts
    matched = list(classes_of(route, settings, names))
    if not matched:
        yield (
            "verb",
            f"{', '.join(route.verb)} goes with none of {', '.join(route.classes)}",
            "leave verb out",
            False,
        )
        return
    if (route.attempts or 0) > cap:
        yield (
            "attempts",
            f"{route.attempts} is more than the settings allow",
            f"{cap} at most",
            False,
        )
    if route.copies and not settings.may_hedge:
        yield "copies", "yes, but the site allows no second copies", "no", False
    for kind, of in matched:
        yield from _effects(kind, of, route)
        case = worst(rules, of, settings)
        yield from _times(kind, of, route, case)
        yield from _starved(kind, of, route, settings, names)
    yield from _amplified(route, cap)


def _effects(kind: str, of: RequestClass, route: RouteOptions) -> Iterator[Found]:
    if of.effect is Effect.SAFE:
        return
    unsafe = of.effect is Effect.UNSAFE
    whose = (
        f"{kind} must never run twice" if unsafe else f"{kind} is safe to repeat only by its key"
    )
    if of.effect is Effect.UNSAFE:
        may = [w for w in route.retry_on or () if WORDS[w] not in PROVEN]
        if may:
            wrong = f"{', '.join(may)} would repeat a request that may have run: {whose}"
            yield "retry_on", wrong, "turned-away, unreachable, or match safe classes only", False
        if route.copies:
            yield "copies", f"yes would run a request twice: {whose}", "no", False
        return
    window = of.deduplication_window
    spans = (route.attempts or 1) * (route.attempt_timeout or 0.0) / 1000.0
    if window and spans > window:
        wrong = f"{route.attempts} attempts of {route.attempt_timeout} pass the window of {Duration(window * 1000)}"
        wrong += f": {whose}"
        yield (
            "attempts",
            wrong,
            f"attempt_timeout = {_whole(window / (route.attempts or 1))}",
            False,
        )
    if of.deduplication_scope is not DeduplicationScope.ALL and route.nodes:
        wrong = f"may leave the group ({of.deduplication_scope.value}) in which repeats are dropped: {whose}"
        yield "nodes", wrong, "leave nodes out", False


def _times(kind: str, of: RequestClass, route: RouteOptions, case: Worst) -> Iterator[Found]:
    whole = Duration(of.deadline * 1000.0)
    for key in ("timeout", "attempt_timeout"):
        value = getattr(route, key)
        if value is not None and value > whole:
            yield (
                key,
                f"{value} outlasts the client's deadline for {kind}, {whole}",
                f"{whole} at most",
                False,
            )
            return
    if route.queue_wait is not None and route.queue_wait >= case.whole * 1000.0:
        yield (
            "queue_wait",
            f"{route.queue_wait} leaves {kind} no time",
            f"below {Duration(case.whole * 1000)}",
            False,
        )
        return
    fixed = route.fixed_copy
    if fixed is not None and fixed >= case.each * 1000.0:
        yield (
            "copy_after",
            f"{fixed} is later than {kind} waits",
            f"below {Duration(case.each * 1000)}",
            False,
        )
    if case.outlasts:
        total = Duration(round(case.total * 1000.0, 3))
        spelled = f"{case.attempts} attempts of {Duration(case.each * 1000)}"
        spelled += f" + {Duration(round(sum(case.waits) * 1000, 3))} of waits" if case.waits else ""
        spelled += f" + {Duration(case.queue * 1000)} in the queue" if case.queue else ""
        room = (case.whole - case.queue - sum(case.waits)) / case.attempts
        would_do = (
            f"attempt_timeout = {_whole(room)}"
            if room > 0.005
            else f"attempts = {max(1, case.attempts - 1)}"
        )
        beyond = case.total > of.deadline + 1e-9
        against = (
            f"the client's deadline for {kind}, {whole}" if beyond else f"timeout = {route.timeout}"
        )
        key = "attempts" if route.attempts else "attempt_timeout"
        yield key, f"{spelled} = {total} outlasts {against}", would_do, not beyond


def _starved(
    kind: str, of: RequestClass, route: RouteOptions, settings: PolicySettings, names: Names
) -> Iterator[Found]:
    """A limit under which even one firm within its quota could not be served, by Little's law."""
    most = route.fixed_limit if not route.adaptive else route.limit_max
    if most is None:
        return
    usual = USUAL * of.latency_objective
    for name, plan in zip(names.plans, settings.plans, strict=True):
        if route.plan and name not in route.plan:
            continue
        need = plan.rate / settings.max_request_units * usual / settings.ingress_count
        if plan.rate and most < need:
            key = "limit_max" if route.adaptive else "limit"
            wrong = f"{most} at once serves {most / usual:.3g} {kind} a second; one firm of {name} alone may ask more"
            yield key, wrong, f"{int(need) + 1} at least", most >= STARVED * need
            return


def _amplified(route: RouteOptions, cap: int) -> Iterator[Found]:
    attempts = min(route.attempts or cap, cap)
    budget = PART if route.retry_budget is None else float(route.retry_budget)
    if (times := amplification(budget, attempts)) > 1.5:
        yield (
            "retry_budget",
            f"in the worst case nodes see {times:.2f} times the first tries",
            "0.2 is usual",
            True,
        )


def _whole(seconds: float) -> Duration:
    """A time that would do, in whole milliseconds."""
    return Duration(float(int(seconds * 1000.0)))
