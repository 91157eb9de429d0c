"""The model checker finds no violation in the real code and finds each seeded defect."""

from __future__ import annotations

import pytest

from dockthread.config.quantities import Duration, Share
from dockthread.policy import Effect, PolicyEngine
from dockthread.policy.attempts import AttemptManager
from dockthread.policy.pending_request import PendingRequest
from dockthread.policy.route_constraints import RouteConstraints
from dockthread.routes import bounds as bounds_module
from dockthread.routes.bounds import Bounds
from dockthread.routes.model_checker import InvariantError, explore
from dockthread.routes.options import RouteOptions
from dockthread.routes.retry_budget import RetryBudget

HEDGED = RouteOptions(
    attempts=3, copies=True, copy_after="50ms", retry_budget=Share(1.0), retry_floor=100.0
)
WITH_BACKOFF = RouteOptions(
    attempts=4, attempt_timeout=Duration(500), backoff=Duration(200), retry_floor=100.0
)
QUEUED = RouteOptions(limit="1", queue=1, queue_wait=Duration(100))
# The route tables of one exploration: the initial table, and those that replace it in order.
HEDGE_TABLES = [{"r": HEDGED}, {"r": RouteOptions(attempts=1)}]
BACKOFF_TABLES = [
    {"r": WITH_BACKOFF},
    {"r": RouteOptions(attempts=2, retry_on=("turned-away",))},
    {},
]
LIMIT_TABLES = [{"r": QUEUED}, {"r": RouteOptions(limit="5")}]


@pytest.mark.parametrize(
    ("effect", "tables", "depth", "min_paths"),
    [
        (Effect.SAFE, [{}], 4, 1800),
        (Effect.SAFE, HEDGE_TABLES, 4, 3500),
        (Effect.SAFE, BACKOFF_TABLES, 4, 1000),
        (Effect.UNSAFE, BACKOFF_TABLES, 4, 400),
        (Effect.UNSAFE, [{}, *LIMIT_TABLES], 4, 800),
        (Effect.SAFE, LIMIT_TABLES, 4, 3000),
    ],
)
def test_no_order_of_events_violates_an_invariant(
    effect: Effect, tables: list[dict[str, RouteOptions]], depth: int, min_paths: int
) -> None:
    assert explore(effect, tables, depth) >= min_paths


class EffectIgnored(RouteConstraints):
    """Seeded defect: every class is treated as idempotent."""

    def effect(self, pending: PendingRequest) -> Effect:
        return Effect.SAFE


class EffectReadOnceAtArrival(RouteConstraints):
    """Seeded defect: the class's effect is read at arrival and never again."""

    def effect(self, pending: PendingRequest) -> Effect:
        return pending.request_class.effect


class FinishedRequestKept(AttemptManager):
    """Seeded defect: a finished request with two attempts is not deleted."""

    def finish(self, request: int) -> None:
        pending = self._requests.by_number.get(request)
        if pending is not None and len(pending.attempts) > 1:
            return
        super().finish(request)


class EngineIgnoringEffects(PolicyEngine):
    routes_class = EffectIgnored


class EngineWithEffectAtArrival(PolicyEngine):
    routes_class = EffectReadOnceAtArrival


class EngineKeepingRequests(PolicyEngine):
    attempts_class = FinishedRequestKept


def test_model_checker_finds_a_hedge_of_an_unsafe_class() -> None:
    with pytest.raises(
        InvariantError, match="a second effect|a rejection of a request that may have run"
    ):
        explore(
            Effect.UNSAFE,
            HEDGE_TABLES,
            3,
            make_engine=lambda settings: EngineIgnoringEffects(settings, 1, 100.0),
        )


def test_model_checker_finds_a_retry_of_a_class_that_became_unsafe() -> None:
    with pytest.raises(
        InvariantError, match="a second effect|a rejection of a request that may have run"
    ):
        explore(
            Effect.SAFE,
            HEDGE_TABLES[:1],
            3,
            make_engine=lambda settings: EngineWithEffectAtArrival(settings, 1, 100.0),
        )


def test_model_checker_finds_a_request_that_ignores_a_reload(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(bounds_module, "stricter", lambda first, second: first)
    with pytest.raises(InvariantError, match="attempt 2 of 1"):
        explore(Effect.SAFE, HEDGE_TABLES, 3)


def test_model_checker_finds_a_retry_that_is_not_checked_again_after_its_backoff(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Bounds, "may_still_retry", lambda self, sent, outcome: True)
    with pytest.raises(InvariantError, match="attempt 3 of 2"):
        explore(Effect.SAFE, BACKOFF_TABLES, 5)


def test_model_checker_finds_an_overdrawn_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    def overdraw(self: RetryBudget, now: float) -> bool:
        self.tokens -= 1.0
        return True

    monkeypatch.setattr(RetryBudget, "try_take_token", overdraw)
    route = RouteOptions(retry_floor=0.0, retry_budget=Share(0.01))
    with pytest.raises(InvariantError, match="a budget below zero"):
        explore(Effect.SAFE, [{"r": route}], 3)


def test_model_checker_finds_a_finished_request_that_is_not_deleted() -> None:
    with pytest.raises(
        InvariantError,
        match="a second answer|an attempt sent after the end|counts a finished request as open",
    ):
        explore(
            Effect.SAFE,
            HEDGE_TABLES,
            4,
            make_engine=lambda settings: EngineKeepingRequests(settings, 1, 100.0),
        )


def test_model_checker_finds_a_finished_request_that_still_counts_against_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(RouteConstraints, "leave", lambda self, pending: None)
    with pytest.raises(InvariantError, match="counts a finished request as open"):
        explore(Effect.SAFE, LIMIT_TABLES, 2)
