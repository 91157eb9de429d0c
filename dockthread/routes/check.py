"""Validates routes against the settings and against each other.

`options` checks what a single section shows by itself, and `route_validator` checks one route
against the settings.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from difflib import get_close_matches

from dockthread.config.ingress_config import Names
from dockthread.policy import PolicySettings
from dockthread.routes.findings import Finding, ValidationRule, shadowed_finding
from dockthread.routes.matcher import NameNumbering
from dockthread.routes.options import RouteOptions
from dockthread.routes.ordered import shadowed_routes
from dockthread.routes.position import file_positions
from dockthread.routes.route_validator import RouteValidator

MIN_SIMILARITY = 0.6  # least similarity at which a known name is proposed for an unknown one


def check(
    routes: Mapping[str, RouteOptions], settings: PolicySettings | None, names: Names | None
) -> list[Finding]:
    """Return the findings for the routes of a file, which are given in the file's order.

    Without `settings` and `names` the routes are checked only against each other, and every name
    that they use counts as known.
    """
    if settings is None or names is None:
        names = _names_used_by(routes)
    findings: list[Finding] = []
    known_routes: dict[str, RouteOptions] = {}
    for name, route in routes.items():
        unknown_names = list(_unknown_name_findings(name, route, names))
        findings += unknown_names
        if not unknown_names:
            known_routes[name] = route
    findings += _shadowing_findings(known_routes, names)
    if settings is not None:
        for name, route in known_routes.items():
            findings += RouteValidator(name, route, settings, names).findings()
    return findings


def check_route(
    name: str, route: RouteOptions, settings: PolicySettings, names: Names
) -> list[Finding]:
    """Return the findings for one route, without comparing it with other routes.

    A route for another zone is checked like one for this zone, because a published route is sent to
    all ingresses.
    """
    unknown_names = list(_unknown_name_findings(name, route, names))
    return unknown_names or list(RouteValidator(name, route, settings, names).findings())


def _names_used_by(routes: Mapping[str, RouteOptions]) -> Names:
    return Names(
        classes=_union(route.classes for route in routes.values()),
        plans=_union(route.plan for route in routes.values()),
        zones=_union(route.hall for route in routes.values()),
        kinds=_union(route.nodes for route in routes.values()),
    )


def _union(names_of_routes: Iterator[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(sorted({name for names in names_of_routes for name in names}))


def _unknown_name_findings(name: str, route: RouteOptions, names: Names) -> Iterator[Finding]:
    for key, used_names, known in (
        ("class", route.classes, names.classes),
        ("plan", route.plan, names.plans),
        ("hall", route.hall, names.zones),
        ("nodes", route.nodes, names.zones + names.kinds),
    ):
        for used_name in used_names:
            if used_name in known:
                continue
            reason = f"is not a known {key}"
            if key == "nodes":
                reason = "is neither a kind of node nor a hall, so no node could match"
            remedy = _suggestion(used_name, known)
            yield Finding(name, key, ValidationRule.KNOWN_NAMES, f"{used_name!r} {reason}", remedy)


def _suggestion(used_name: str, known: tuple[str, ...]) -> str:
    similar = get_close_matches(used_name, known, 1, MIN_SIMILARITY)
    if similar:
        return f"did you mean {similar[0]}?"
    return f"known: {', '.join(known) or 'none'}"


def _shadowing_findings(routes: Mapping[str, RouteOptions], names: Names) -> Iterator[Finding]:
    numbering = NameNumbering(names)
    positions = file_positions(routes)
    matchers = (numbering.matcher(name, route, positions[name]) for name, route in routes.items())
    for name, shadowed_by in shadowed_routes(matchers):
        yield shadowed_finding(name, shadowed_by, "move this route before that one")
