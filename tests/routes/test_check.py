"""Validation of routes against each other and against the settings, and its typed findings."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dockthread.routes.check import check, check_route
from dockthread.routes.findings import Finding, ValidationRule
from dockthread.routes.options import RouteOptions
from dockthread.section_registry import parse_operator_file
from tests.routes.site_settings import NAMES, SETTINGS, STATUS, parse_problems


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (
            "[route a]\n[route b]\nplan = gross",
            "[route b] can never match: the earlier [route a] takes all",
        ),
        (
            "[route a]\nclass = seat-status\n[route b]\nclass = seat-status\nfirm = 1,2",
            "[route b] can never match: the earlier [route a]",
        ),
        (
            "[route a]\nunits = 1..4\n[route b]\nunits = 2..3\nretry = yes",
            "[route b] can never match: the earlier [route a]",
        ),
        (
            "[route a]\nfirm = 1,2,3\n[route b]\nfirm = 2\nverb = read",
            "[route b] can never match: the earlier [route a]",
        ),
        ("[route a]\nplan = gross\n[route a]\nplan = klein", "[route a] is defined twice (line 3)"),
        ("[route]\nplan = gross", "[route] needs a name"),
    ],
)
def test_routes_are_checked_against_each_other_with_and_without_settings(
    text: str, expected: str
) -> None:
    assert any(expected in str(problem) for problem in parse_problems(text))
    without_settings = parse_operator_file(text, "r.ini").problems
    assert any(expected in str(problem) for problem in without_settings)


@pytest.mark.parametrize(
    "text",
    [
        "[route a]\nplan = gross\n[route b]\n",
        "[route a]\nunits = 1..2\n[route b]\nunits = 2..3",
        "[route a]\nfirm = 1\n[route b]\nfirm = 1, 2",
        "[route a]\nretry = yes\n[route b]\nretry = no",
        "[route a]\nverb = read\n[route b]\nclass = seat-status, seat-checkout",
        "[route a]\nhall = hall-b\n[route default]\n",
    ],
)
def test_routes_that_can_each_match_are_accepted(text: str) -> None:
    assert not parse_problems(text)


def test_hedging_and_attempts_beyond_the_settings_are_refused() -> None:
    strict_settings = replace(SETTINGS, may_hedge=False, max_attempts=2)
    text = f"[route r]\n{STATUS}copies = yes\nattempts = 3\n"
    lines = [str(problem) for problem in parse_problems(text, strict_settings)]
    assert any("the site does not allow copies; no" in line for line in lines)
    assert any("3 is more than the settings allow; at most 2" in line for line in lines)


def test_a_worst_case_longer_than_the_timeout_of_the_route_is_a_warning() -> None:
    keys = "timeout = 1s\nattempts = 2\nattempt_timeout = 700ms\n"
    (warning,) = parse_problems(f"[route r]\n{STATUS}{keys}")
    assert warning.is_warning
    expected = "2 attempts of 700ms = 1400ms exceeds timeout = 1s; attempt_timeout = 500ms"
    assert expected in str(warning)


def test_a_budget_that_multiplies_the_load_is_a_warning() -> None:
    (warning,) = parse_problems(f"[route r]\n{STATUS}retry_budget = 80%\n")
    assert warning.is_warning
    assert "nodes see 1.80 attempts per request" in str(warning)


@pytest.mark.parametrize(
    ("keys", "proposed", "proposed_keys"),
    [
        (
            "attempts = 3\nattempt_timeout = 2s",
            "1333ms",
            "attempts = 3\nattempt_timeout = 1333ms",
        ),
        (
            "attempts = 2\nattempt_timeout = 2s\nbackoff = 100ms",
            "1950ms",
            "attempts = 2\nattempt_timeout = 1950ms\nbackoff = 100ms",
        ),
    ],
)
def test_the_attempt_timeout_that_a_refusal_proposes_is_accepted(
    keys: str, proposed: str, proposed_keys: str
) -> None:
    assert f" = {proposed}" in str(parse_problems(f"[route r]\n{STATUS}{keys}\n")[0])
    assert not parse_problems(f"[route r]\n{STATUS}{proposed_keys}\n")


def test_a_finding_has_its_route_key_rule_counterexample_and_remedy() -> None:
    route = RouteOptions(classes=("seat-checkout",), copies=True)
    (finding,) = check_route("r", route, SETTINGS, NAMES)
    assert finding == Finding(
        route="r",
        key="copies",
        rule=ValidationRule.NO_SECOND_EFFECT,
        counterexample="yes would run a request twice: seat-checkout must never run twice",
        remedy="no",
    )
    assert str(finding) == (
        "[route r] copies: yes would run a request twice: seat-checkout must never run twice; no"
    )


def test_the_problem_of_a_file_is_the_text_of_the_finding_after_the_file_name() -> None:
    routes = {"a": RouteOptions(), "b": RouteOptions(plan=("gross",))}
    (finding,) = check(routes, SETTINGS, NAMES)
    assert (finding.route, finding.key, finding.rule) == ("b", "", ValidationRule.REACHABLE)
    assert str(finding.problem("r.ini")) == f"r.ini: {finding}"
