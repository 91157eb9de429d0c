"""Settings of a site with one class of each effect, and a reader of routes for this site."""

from __future__ import annotations

from dockthread.config.ingress_config import Names
from dockthread.config.ini_reader import ConfigProblem
from dockthread.policy import DeduplicationScope, Effect, Plan, PolicySettings, RequestClass
from dockthread.section_registry import parse_operator_file

NAMES = Names(
    ("seat-status", "seat-checkout", "keyed"),
    ("klein", "gross"),
    ("hall-a", "hall-b"),
    ("type-a", "type-b"),
)
SETTINGS = PolicySettings(
    ingress_number=0,
    ingress_count=3,
    classes=(
        RequestClass(latency_objective=1.5, deadline=4.0, effect=Effect.SAFE),
        RequestClass(
            latency_objective=3.0, deadline=12.0, priority_weight=2.0, effect=Effect.UNSAFE
        ),
        RequestClass(
            latency_objective=1.0,
            deadline=8.0,
            effect=Effect.KEYED,
            deduplication_scope=DeduplicationScope.ZONE,
            deduplication_window=2.0,
        ),
    ),
    plans=(Plan(rate=1.4, burst=5.0), Plan(rate=250.0, burst=500.0)),
    max_attempts=4,
    may_hedge=True,
    max_request_units=1.0,
)
# The key `class` of a route for the idempotent, the non-idempotent and the keyed class. Requests of
# a keyed class are idempotent by their key.
STATUS = "class = seat-status\n"
CHECKOUT = "class = seat-checkout\n"
KEYED = "class = keyed\n"


def parse_problems(text: str, settings: PolicySettings = SETTINGS) -> list[ConfigProblem]:
    """Return the problems of an operator's file."""
    return parse_operator_file(text, "r.ini", settings, NAMES).problems
