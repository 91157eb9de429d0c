"""The settings of the ingress in a soak, in the platform's form."""

from __future__ import annotations

from typing import Any

from dockthread.lab.site_settings import SECOND_US, site_settings

LARGEST_UNITS = 4
LONGEST_DEADLINE_S = 3.0


def _request_class(name: str, effect: str) -> dict[str, Any]:
    return {
        "Name": name,
        "Aim": SECOND_US,
        "HardLimit": int(LONGEST_DEADLINE_S * SECOND_US),
        "Effect": effect,
        "Group": "all",
        "Window": 5 * SECOND_US // 2,
    }


def soak_settings() -> dict[str, Any]:
    """Return the settings of one ingress without peers and without a counter."""
    return site_settings(
        [_request_class("read", "pure"), _request_class("write", "side_effect")],
        [
            {"Name": "large", "Refill": 1000.0, "PeakUnits": 1000.0},
            {"Name": "small", "Refill": 1.4, "PeakUnits": 5.0},
        ],
        Azs=["zone-a", "zone-b"],
        Domain={"Largest": LARGEST_UNITS},
        Limits={
            "Cancelling": True,
            "MaxRetryAfter": SECOND_US // 2,
            "SecondCopies": True,
            "SendCap": 4,
        },
        Safety={
            "AnswerSlack": 16_000,
            "FallMultiple": 3.0,
            "StopSendingWithin": SECOND_US,
            "TipAfter": 3 * SECOND_US,
        },
        Stats={"Names": ["rif", "rate", "q"], "Source": "inline"},
    )
