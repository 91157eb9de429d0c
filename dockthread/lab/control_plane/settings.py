"""Size and limits of a simulated control plane."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from dockthread.control_plane.fanout import FanOutLimits
from dockthread.control_plane.subscriber_settings import SubscriberTimes

RESOURCE_KINDS: Final = ("route", "tenant")
"""Kinds of the resources that are published."""
INVALID_PREFIX: Final = b"bad"
"""Prefix of the bodies that ingresses reject as invalid."""
FAN_OUT_LIMITS: Final = FanOutLimits(
    max_subscribers=16,
    snapshot_rate=5_000.0,
    snapshot_burst=1_500.0,
    chunk_bytes=800,
    silence_timeout=4_000.0,
    retry_after_min=50.0,
    retry_after_max=1_500.0,
)
"""Fan-out limits that are small enough for simulations to reach them."""


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Size and limits of a run; the limits are small enough to be reached.

    Attributes:
        regions: Names of the regions; each has one voter.
        zones_per_region: Number of zones per region.
        distributors_per_region: Number of distributors per region.
        ingresses_per_region: Number of ingresses per region.
        max_tombstones: Maximum number of tombstones that a table keeps.
        max_tokens: Maximum number of outcomes that the voters remember, one per token.
        fan_out_limits: Limits of the fan-out of each server.
        subscriber_times: Timeouts and intervals of each subscriber.
    """

    regions: tuple[str, ...] = ("east", "north", "west")
    zones_per_region: int = 2
    distributors_per_region: int = 2
    ingresses_per_region: int = 8
    max_tombstones: int = 3
    max_tokens: int = 4_096
    fan_out_limits: FanOutLimits = FAN_OUT_LIMITS
    subscriber_times: SubscriberTimes = field(default_factory=SubscriberTimes)
