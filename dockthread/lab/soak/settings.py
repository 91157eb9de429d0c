"""The settings of the ingress in a soak, in the platform's form."""

from __future__ import annotations

from typing import Any

LARGEST_UNITS = 4


def _request_class(name: str, effect: str) -> dict[str, Any]:
    return {
        "Name": name,
        "Aim": 1_000_000,
        "HardLimit": 3_000_000,
        "Effect": effect,
        "Group": "all",
        "Window": 2_500_000,
        "LateShare": 0.0,
        "Points": 1.0,
        "Stream": False,
    }


def _plan(name: str, rate: float, burst: float) -> dict[str, Any]:
    return {
        "CapDepth": 0.0,
        "CeilingRate": 0.0,
        "ExcessCost": 0.6,
        "MaxOut": 0,
        "Name": name,
        "OverWorth": 0.1,
        "PeakUnits": burst,
        "Refill": rate,
        "Tolerance": 0.0,
        "WorthFactor": 1.0,
    }


def soak_settings() -> dict[str, Any]:
    """Return the settings of one ingress without peers and without a counter."""
    return {
        "Azs": ["zone-a", "zone-b"],
        "Classes": [
            _request_class("read", "pure"),
            _request_class("write", "side_effect"),
        ],
        "ClientHabits": {"MarksRetry": False},
        "Costs": {},
        "Discovery": "automatic",
        "Domain": {
            "CounterPrice": 0.0,
            "CounterTimeout": 50_000,
            "Largest": LARGEST_UNITS,
            "MayCount": False,
            "Metering": 0,
            "PeerInPerS": 0.0,
            "TruedUp": False,
        },
        "Family": "gate",
        "Goal": {"Whole": 1.0, "WorstClass": 0.0, "WorstTenant": 0.0, "WorstWindow": 0.0},
        "Limits": {
            "Cancelling": True,
            "ConnIdle": 15_000_000,
            "ConnectTimeout": 250_000,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 0,
            "MaxOpen": 20_000,
            "MaxRetryAfter": 500_000,
            "Multiplex": 100,
            "Peers": False,
            "Probes": False,
            "RetryAfter": False,
            "SecondCopies": True,
            "SendCap": 4,
        },
        "Models": ["type-a"],
        "MyNumber": 0,
        "Packages": [_plan("large", 1000.0, 1000.0), _plan("small", 1.4, 5.0)],
        "Period": 4000,
        "ReplicasOfMe": 1,
        "Safety": {
            "AnswerSlack": 16_000,
            "AskWithin": 10_000_000,
            "Cold": 0,
            "ColdShare": 1.0,
            "FallMultiple": 3.0,
            "StopSendingWithin": 1_000_000,
            "TipAfter": 3_000_000,
        },
        "Stage": 0,
        "Stats": {"Names": ["rif", "rate", "q"], "Source": "inline"},
        "Tiers": ["backends"],
        "WeightKind": "off",
        "Zone": 0,
    }
