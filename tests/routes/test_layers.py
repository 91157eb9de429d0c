"""Published routes take precedence over the routes of the operator's file."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockthread.policy import Effect, Plan, PolicySettings, RequestClass
from dockthread.routes.check import check_route
from dockthread.routes.layers import RouteLayers
from dockthread.routes.options import RouteOptions
from dockthread.routes.rules import RequestAttributes, Rules
from dockthread.routes.table import RouteTable
from tests.routes.tables import NAMES, merged_layers, route_options, shadowing_pairs, table_of

SETTINGS = PolicySettings(0, 1, (RequestClass(1.0, 4.0, effect=Effect.SAFE),) * 2, (Plan(),) * 2)
REQUESTS = [
    RequestAttributes(
        request_class=request_class,
        plan=plan,
        is_write=flag,
        customer=customer,
        units=1 + customer % 2,
        is_retry=flag,
    )
    for request_class in (0, 1)
    for plan in (0, 1)
    for flag in (True, False)
    for customer in (1, 2, 3, 4)
]


def rules_of_all_requests(table: RouteTable) -> list[Rules]:
    return [table.rules_for(request) for request in REQUESTS]


def is_refused_in_one_file(name: str, routes: dict[str, RouteOptions]) -> bool:
    findings = check_route(name, routes[name], SETTINGS, NAMES)
    has_error = any(not finding.is_warning for finding in findings)
    return has_error or any(name in pair for pair in shadowing_pairs(routes))


@given(st.data())
def test_published_routes_are_refused_and_matched_as_in_one_file_with_all_routes(
    data: st.DataObject,
) -> None:
    """Random changes of published routes give the same routing as one file with all routes.

    Every request is looked up after each change, so the test also fails if a cached result in the
    table's index is not updated by the next change.
    """
    file_routes = {
        f"f{number}": data.draw(route_options()) for number in range(data.draw(st.integers(0, 3)))
    }
    shadowed = dict(shadowing_pairs(file_routes))
    file_routes = {name: route for name, route in file_routes.items() if name not in shadowed}
    layers = RouteLayers(RouteTable(NAMES, 0, 1), SETTINGS, NAMES)
    layers.set_file_routes(file_routes, 0.0)
    for _ in range(data.draw(st.integers(1, 6))):
        name = data.draw(st.sampled_from(["f0", "f1", "a", "b", "c"]))
        if data.draw(st.integers(0, 3)) == 0:
            layers.remove(name, 0.0)
        else:
            route = data.draw(route_options())
            routes_before = merged_layers(file_routes, layers.published)
            routes_after = merged_layers(file_routes, {**layers.published, name: route})
            refusal = layers.put(name, route, 0.0)
            assert (refusal is not None) == is_refused_in_one_file(name, routes_after), (
                refusal,
                routes_before,
                routes_after,
            )
        one_file_table = table_of(merged_layers(file_routes, layers.published))
        assert rules_of_all_requests(layers.table) == rules_of_all_requests(one_file_table)
    routes_before = merged_layers(file_routes, layers.published)
    longer_file_routes = {"f9": RouteOptions(), **file_routes}
    layers.set_file_routes(longer_file_routes, 0.0)
    one_file_table.replace(merged_layers(longer_file_routes, layers.published), 0.0)
    assert rules_of_all_requests(layers.table) == rules_of_all_requests(one_file_table), (
        routes_before
    )
