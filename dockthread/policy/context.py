"""What every part of the policy engine shares: settings, clock, random source and actions."""

from __future__ import annotations

import random

from dockthread.policy.actions import Action
from dockthread.policy.model import PolicySettings

# A time long before any event, in seconds: it stands for "has not happened yet".
NEVER = -1e9


class Context:
    """The state that the engine sets before each event and that its parts read.

    Attributes:
        settings: the settings in force; a reload replaces them.
        now: the time of the event being handled, in seconds on the engine's clock.
        started_at: when the engine was created, in seconds.
        rng: the only random source of all parts, so that a seed repeats every decision.
        actions: the actions that follow from the event being handled, in their order.
    """

    __slots__ = ("actions", "now", "rng", "settings", "started_at")

    def __init__(self, settings: PolicySettings, seed: int, now: float) -> None:
        self.settings = settings
        self.now = now
        self.started_at = now
        self.rng = random.Random(seed)
        self.actions: list[Action] = []
