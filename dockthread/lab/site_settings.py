"""The platform's settings for ingresses that the laboratory starts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

SECOND_US = 1_000_000  # The platform's unit of time is the microsecond.

_CLASS_DEFAULTS: Mapping[str, Any] = {"LateShare": 0.0, "Points": 1.0, "Stream": False}
_PLAN_DEFAULTS: Mapping[str, Any] = {
    "CapDepth": 0.0,
    "CeilingRate": 0.0,
    "ExcessCost": 0.0,
    "MaxOut": 0,
    "OverWorth": 0.0,
    "Tolerance": 0.0,
    "WorthFactor": 1.0,
}
_SETTINGS_DEFAULTS: Mapping[str, Any] = {
    "Azs": [],
    "ClientHabits": {"MarksRetry": False},
    "Costs": {},
    "Discovery": "automatic",
    "Domain": {
        "CounterPrice": 0.0,
        "CounterTimeout": SECOND_US // 20,
        "Largest": 1,
        "MayCount": False,
        "Metering": 0,
        "PeerInPerS": 0.0,
        "TruedUp": False,
    },
    "Family": "gate",
    "Goal": {"Whole": 1.0, "WorstClass": 0.0, "WorstTenant": 0.0, "WorstWindow": 0.0},
    "Limits": {
        "Cancelling": False,
        "ConnIdle": 15 * SECOND_US,
        "ConnectTimeout": SECOND_US // 4,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 0,
        "MaxOpen": 20_000,
        "MaxRetryAfter": 0,
        "Multiplex": 100,
        "Peers": False,
        "Probes": False,
        "RetryAfter": False,
        "SecondCopies": False,
        "SendCap": 1,
    },
    "Models": ["type-a"],
    "MyNumber": 0,
    "Period": 4000,
    "ReplicasOfMe": 1,
    "Safety": {
        "AnswerSlack": 0,
        "AskWithin": 10 * SECOND_US,
        "Cold": 0,
        "ColdShare": 1.0,
        "FallMultiple": 1.0,
        "StopSendingWithin": 0,
        "TipAfter": SECOND_US,
    },
    "Stage": 0,
    "Stats": {"Names": [], "Source": "off"},
    "Tiers": ["backends"],
    "WeightKind": "off",
    "Zone": 0,
}


def site_settings(
    classes: Iterable[Mapping[str, Any]], plans: Iterable[Mapping[str, Any]], **changes: Any
) -> dict[str, Any]:
    """Return settings with all keys that the platform's JSON must have.

    Args:
        classes: The request classes; keys that are left out get neutral values.
        plans: The plans, likewise.
        changes: Values of other keys. An object is merged with the neutral one of its key.
    """
    settings: dict[str, Any] = {
        "Classes": [{**_CLASS_DEFAULTS, **request_class} for request_class in classes],
        "Packages": [{**_PLAN_DEFAULTS, **plan} for plan in plans],
        **_SETTINGS_DEFAULTS,
    }
    for key, value in changes.items():
        settings[key] = {**settings[key], **value} if isinstance(value, dict) else value
    return settings
