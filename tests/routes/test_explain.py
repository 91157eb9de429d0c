"""The explanation of a request's route, and the bound on the load amplification."""

from __future__ import annotations

import pytest

from dockthread.errors import SettingsError
from dockthread.routes.explain import explain, parse_request
from dockthread.routes.worst_case import amplification
from dockthread.section_registry import parse_operator_file
from tests.routes.site_settings import NAMES, SETTINGS, STATUS

ROUTES = parse_operator_file(
    "[route vip]\nfirm = b4d6\n"
    f"[route s]\n{STATUS}attempts = 2\nattempt_timeout = 1s\nbackoff = 50ms\n",
    "r.ini",
    SETTINGS,
    NAMES,
).named_sections("route")


def explanation_lines(request: str) -> list[str]:
    """Return the lines that explain a request's route."""
    return list(explain(ROUTES, SETTINGS, NAMES, parse_request(request, SETTINGS, NAMES)))


def test_explain_shows_the_route_the_timeline_and_the_worst_case() -> None:
    lines = explanation_lines("c=seat-status,t=gross,units=2")
    assert lines[:2] == ["route: s", "  not vip: firm"]
    assert "  1050ms to 2050ms: attempt 2 at the latest" in lines
    assert lines[-1].startswith("worst case: 2050ms of 4s, 2 attempts, 1.20 times")


def test_explain_shows_the_first_route_that_names_the_customer() -> None:
    assert explanation_lines("c=keyed,t=klein,firm=b4d6")[0] == "route: vip"


def test_a_request_of_an_unknown_class_is_refused() -> None:
    with pytest.raises(SettingsError, match="is not a valid request"):
        parse_request("c=nothing,t=gross", SETTINGS, NAMES)


@pytest.mark.parametrize(
    ("budget_ratio", "attempts", "factor"),
    [(0.2, 4, 1.2), (1.0, 4, 2.0), (0.5, 1, 1.0), (0, 4, 1)],
)
def test_amplification_is_bounded_by_the_budget_and_by_the_attempts(
    budget_ratio: float, attempts: int, factor: float
) -> None:
    assert amplification(budget_ratio, attempts) == factor
