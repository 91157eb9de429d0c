"""Route tables without an ingress, and a strategy for random routes."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st

from dockthread.config.ingress_config import Names
from dockthread.routes.bounds import Bounds
from dockthread.routes.matcher import NameNumbering
from dockthread.routes.options import RouteOptions
from dockthread.routes.position import file_positions
from dockthread.routes.rules import RequestAttributes
from dockthread.routes.table import RouteTable

NAMES = Names(("a", "b"), ("k", "g"), ("hall-a",), ("type-a",))
READ = RequestAttributes(
    request_class=0, plan=0, is_write=False, customer=1, units=1, is_retry=False
)


def table_of(routes: dict[str, RouteOptions], seed: int = 1) -> RouteTable:
    """Return a table with the given routes, created at time 0."""
    table = RouteTable(NAMES, 0, seed)
    table.replace(routes, 0.0)
    return table


def bounds_of(table: RouteTable, name: str) -> Bounds:
    """Return the bounds of an arriving read, which must match the route of the given name."""
    return Bounds(table, READ, table.rules_for(READ), table.usage_by_route[name])


@st.composite
def route_options(draw: st.DrawFn) -> RouteOptions:
    """Draw a route with random conditions and no limits."""

    def draw_up_to_two(*values: Any) -> tuple[Any, ...]:
        return tuple(draw(st.lists(st.sampled_from(values), max_size=2, unique=True)))

    return RouteOptions(
        classes=draw_up_to_two("a", "b"),
        plan=draw_up_to_two("k", "g"),
        verb=draw_up_to_two("read", "write"),
        firm=draw_up_to_two("1", "2", "3"),
        units=draw(st.sampled_from([None, "1", "2", "1..2", "2..4"])),
        retry=draw(st.sampled_from([None, None, True, False])),
    )


def shadowing_pairs(routes: dict[str, RouteOptions]) -> list[tuple[str, str]]:
    """Return the names of all pairs of routes of which the earlier one shadows the later one.

    In each pair the shadowed route comes first.
    """
    positions = file_positions(routes)
    numbering = NameNumbering(NAMES)
    matchers = [numbering.matcher(name, route, positions[name]) for name, route in routes.items()]
    return [
        (later.rules.name, earlier.rules.name)
        for number, earlier in enumerate(matchers)
        for later in matchers[number + 1 :]
        if earlier.covers(later)
    ]


def merged_layers(
    file: dict[str, RouteOptions], published: dict[str, RouteOptions]
) -> dict[str, RouteOptions]:
    """Return the routes of both layers in the order that one file with all of them would have."""
    first = {name: published[name] for name in sorted(published.keys() - file.keys())}
    return {**first, **{name: published.get(name, route) for name, route in file.items()}}
