"""The bounds of one request: the stricter of two rules, reloads, and backoffs."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from dockthread.config.quantities import Duration
from dockthread.policy import (
    AttemptEnded,
    BackendState,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Outcome,
    Plan,
    PolicyEngine,
    PolicySettings,
    Reject,
    RequestArrived,
    RequestClass,
)
from dockthread.routes.bounds import Bounds
from dockthread.routes.options import RouteOptions
from dockthread.routes.rules import Rules, stricter
from tests.routes.tables import READ, bounds_of, table_of

RULES = st.builds(
    Rules,
    name=st.just("r"),
    attempt_timeout=st.sampled_from([0.0, 0.5, 1.0]),
    attempts=st.integers(0, 4),
    retry_on=st.sampled_from(
        [None, frozenset(), frozenset({Outcome.AT_CAPACITY}), frozenset(list(Outcome)[1:3])]
    ),
    hedging=st.sampled_from([None, True, False]),
    hedge_share=st.sampled_from([0.05, 1.0]),
)


def bounds_with_rules(rules: Rules) -> Bounds:
    table = table_of({"r": RouteOptions()})
    return Bounds(table, READ, rules, table.usage_by_route["r"])


@given(RULES, RULES, st.integers(1, 4), st.sampled_from(list(Outcome)))
def test_the_stricter_of_two_rules_allows_only_what_both_allow(
    first: Rules, second: Rules, sent: int, outcome: Outcome
) -> None:
    combined = bounds_with_rules(stricter(first, second))
    if combined.may_still_retry(sent, outcome):
        assert bounds_with_rules(first).may_still_retry(sent, outcome)
        assert bounds_with_rules(second).may_still_retry(sent, outcome)
    if combined.try_hedge(sent, 0.0):
        assert bounds_with_rules(first).try_hedge(sent, 0.0)
        assert bounds_with_rules(second).try_hedge(sent, 0.0)


def test_a_reload_can_tighten_but_not_relax_the_rules_of_a_request_in_flight() -> None:
    table = table_of({"r": RouteOptions(attempts=2)})
    bounds = bounds_of(table, "r")
    table.replace({"r": RouteOptions(attempts=4)}, 1.0)
    assert bounds.retry_delay(2, Outcome.AT_CAPACITY, 1.0) is None, (
        "the new route allows more attempts, but not for a request that arrived before it"
    )
    assert bounds.retry_delay(1, Outcome.AT_CAPACITY, 1.0) == 0.0
    table.replace({"r": RouteOptions(attempts=1)}, 2.0)
    assert bounds.retry_delay(1, Outcome.AT_CAPACITY, 2.0) is None
    table.replace({}, 3.0)
    assert bounds.retry_delay(1, Outcome.AT_CAPACITY, 3.0) is None, (
        "the strictest rules still apply"
    )


def test_backoffs_are_random_up_to_a_maximum_that_doubles() -> None:
    route = RouteOptions(backoff=Duration(100), backoff_max=Duration(300), retry_floor=100.0)
    bounds = bounds_of(table_of({"r": route}), "r")
    for sent, max_delay in ((1, 0.1), (2, 0.2), (3, 0.3)):
        delays = [bounds.retry_delay(sent, Outcome.ERROR, number * 10.0) for number in range(200)]
        known_delays = [wait for wait in delays if wait is not None]
        assert len(known_delays) == 200
        assert max(known_delays) <= max_delay
        assert max(known_delays) > 0.9 * max_delay
        assert min(known_delays) < 0.1 * max_delay


def test_a_backoff_beyond_the_deadline_does_not_delay_the_final_answer() -> None:
    table = table_of({"r": RouteOptions(backoff=Duration(60_000), backoff_max=Duration(60_000))})
    request_class = RequestClass(latency_objective=1.5, deadline=4.0, effect=Effect.SAFE)
    settings = PolicySettings(
        ingress_number=0,
        ingress_count=1,
        classes=(request_class,),
        plans=(Plan(),),
        max_attempts=4,
    )
    engine = PolicyEngine(settings, 1, 0.0)
    ready = (Endpoint(1, BackendState.READY),)
    engine.handle(0.0, EndpointsListed(EndpointListKind.FULL, ready))
    rejected_at_once = 0
    for number in range(1, 50):
        arrival = number * 100.0
        bounds = bounds_of(table, "r")
        engine.handle(arrival, RequestArrived(number, 0, 0, 1, 4.0, route=bounds))
        end_event = AttemptEnded(number, 0, 1, Outcome.ERROR, False, 0.1)
        actions = engine.handle(arrival + 0.1, end_event)
        if any(isinstance(action, Reject) for action in actions):
            rejected_at_once += 1
    assert rejected_at_once > 40  # backoffs are 0 to 60 s, so 56 of 60 end after the deadline


def test_backoffs_depend_only_on_the_seed_of_the_table() -> None:
    def draw_retry_delays() -> list[float | None]:
        table = table_of({"r": RouteOptions(backoff=Duration(100), retry_floor=100.0)}, seed=5)
        bounds = bounds_of(table, "r")
        return [bounds.retry_delay(1, Outcome.ERROR, float(number)) for number in range(5)]

    random.seed(1)
    first = draw_retry_delays()
    random.seed(2)
    assert draw_retry_delays() == first
