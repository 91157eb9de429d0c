"""State shared by all parts of the policy engine: settings, clock, random source and actions."""

from __future__ import annotations

import random

from dockthread.policy.actions import Action
from dockthread.policy.model import PolicySettings

# A time in seconds long before any event, which means "has not happened yet".
NEVER = -1e9


class Context:
    """The state that the engine shares with its parts.

    Attributes:
        settings: the current settings; a reload replaces them.
        now: the time of the event being handled, in seconds on the engine's clock.
        started_at: time in seconds at which the engine was created.
        rng: the only random source of all parts, so that decisions are reproducible from the seed.
        actions: the actions that result from the event being handled, in order.
    """

    __slots__ = ("actions", "now", "rng", "settings", "started_at")

    def __init__(self, settings: PolicySettings, seed: int, now: float) -> None:
        self.settings = settings
        self.now = now
        self.started_at = now
        self.rng = random.Random(seed)
        self.actions: list[Action] = []
