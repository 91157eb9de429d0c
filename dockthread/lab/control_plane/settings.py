"""Size and limits of a simulated control plane."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from dockthread.control_plane.fanout import FanOutLimits
from dockthread.control_plane.subscriber_settings import SubscriberTimes

KINDS: Final = ("route", "tenant")
"""Kinds of the resources that are published."""
INVALID_PREFIX: Final = b"bad"
"""Begins the bodies that ingresses reject."""
FAN_OUT_LIMITS: Final = FanOutLimits(
    max_subscribers=16,
    snapshot_rate=5_000.0,
    snapshot_burst=1_500.0,
    chunk_bytes=800,
    silence_timeout=4_000.0,
    retry_after_min=50.0,
    retry_after_max=1_500.0,
)
"""Limits small enough that simulations reach them."""


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Size and limits; the limits are small, so that they are reached.

    Attributes:
        regions: Regions, each with one voter.
        zones: Zones of a region.
        distributors: Distributors of a region.
        ingresses: Ingresses of a region.
        max_tombstones: Tombstones that a table keeps.
        max_tokens: Outcomes that the voters remember.
        limits: Limits of each server's fan-out.
        times: Times of each subscriber.
    """

    regions: tuple[str, ...] = ("east", "north", "west")
    zones: int = 2
    distributors: int = 2
    ingresses: int = 8
    max_tombstones: int = 3
    max_tokens: int = 4_096
    limits: FanOutLimits = FAN_OUT_LIMITS
    times: SubscriberTimes = field(default_factory=SubscriberTimes)
