"""A simulated network between members that can cut links and lose, delay or duplicate messages."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from dockthread.lab.event_queue import EventQueue
from dockthread.raft.messages import Message

DEFAULT_MEAN_DELAY_MS: Final = 5.0
# Bounds of the propagation delay of a message; the random queueing delay is added to it.
MIN_PROPAGATION_MS: Final = 0.2
MAX_PROPAGATION_MS: Final = 1.0


class SimulatedNetwork:
    """Delivers messages between members, subject to the current network faults.

    Attributes:
        cuts: Pairs of sender and receiver whose messages are dropped.
        loss_rate: Probability that a message is lost.
        mean_delay_ms: Mean of the exponentially distributed queueing delay.
        duplication_rate: Probability that a message is delivered twice.
    """

    def __init__(self, event_queue: EventQueue, rng: random.Random) -> None:
        self._event_queue = event_queue
        self._rng = rng
        self.cuts: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.mean_delay_ms = DEFAULT_MEAN_DELAY_MS
        self.duplication_rate = 0.0

    def send(
        self, sender: str, to: str, message: Message, deliver: Callable[[str, Message], None]
    ) -> None:
        """Schedule the delivery of a message, unless a cut or a loss drops it."""
        if (sender, to) in self.cuts or self._rng.random() < self.loss_rate:
            return
        copies = 1 + (self._rng.random() < self.duplication_rate)
        for _ in range(copies):
            propagation = self._rng.uniform(MIN_PROPAGATION_MS, MAX_PROPAGATION_MS)
            delay = self._rng.expovariate(1 / self.mean_delay_ms)
            self._event_queue.schedule(propagation + delay, deliver, to, message)

    def heal(self) -> None:
        """End all cuts, losses, additional delays and duplication."""
        self.cuts.clear()
        self.loss_rate = 0.0
        self.mean_delay_ms = DEFAULT_MEAN_DELAY_MS
        self.duplication_rate = 0.0
