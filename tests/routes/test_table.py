"""The route table: its index, and the usage that it keeps when routes are replaced."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockthread.routes.options import RouteOptions
from dockthread.routes.rules import RequestAttributes
from tests.routes.tables import bounds_of, route_options, table_of


@given(st.data())
def test_the_index_finds_the_same_route_as_a_linear_scan(data: st.DataObject) -> None:
    count = data.draw(st.integers(0, 8))
    table = table_of({f"r{number}": data.draw(route_options()) for number in range(count)})
    for _ in range(5):
        request = RequestAttributes(
            request_class=data.draw(st.integers(0, 1)),
            plan=data.draw(st.integers(0, 1)),
            is_write=data.draw(st.booleans()),
            customer=data.draw(st.integers(1, 4)),
            units=data.draw(st.integers(1, 4)),
            is_retry=data.draw(st.booleans()),
        )
        matching = (
            matcher
            for matcher in table.matchers
            if matcher.matches_except_customer(request) and matcher.matches_customer(request)
        )
        assert table.find(request) is next(matching, None)


def test_usage_is_kept_by_route_name_until_the_last_request_ends() -> None:
    table = table_of({"x": RouteOptions(limit="5"), "y": RouteOptions()})
    bounds = bounds_of(table, "x")
    assert bounds.admit_or_queue(1, 1.0, 0.0) == (True, None)
    usage = table.usage_by_route["x"]
    table.replace({"x": RouteOptions(limit="9")}, 1.0)
    assert table.usage_by_route["x"] is usage
    assert usage.limit.limit == 9
    assert usage.limit.admitted == 1
    assert "y" not in table.usage_by_route, (
        "the usage of a route without open requests is deleted immediately"
    )
    table.replace({}, 2.0)
    assert "x" in table.usage_by_route, "the usage of a route with an open request is kept"
    bounds.release(1)
    assert "x" not in table.usage_by_route
