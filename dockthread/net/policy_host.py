"""The one decision module in its place: events in their order, and what it decides carried out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from loguru import logger

from dockthread.clock import Clock
from dockthread.policy import Event, PolicyEngine


class PolicyHost:
    """`carry_out`: by the type of an action, what does it. `abandon`: gives a request up after a
    fault.
    """

    def __init__(self, gateway: PolicyEngine, clock: Clock, abandon: Callable[[int], None]) -> None:
        self.engine, self._clock, self._abandon = gateway, clock, abandon
        self.action_handlers: dict[type, Callable[[Any], None]] = {}
        self._events: deque[Event] = deque()
        self._telling = False

    def dispatch(self, event: Event) -> None:
        """Events are told one after another: one that comes of carrying out an action waits for its
        turn.
        """
        self._events.append(event)
        if self._telling:
            return
        self._telling = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._telling = False

    def _decide(self, event: Event) -> None:
        broken = False
        try:
            actions = self.engine.handle(self._clock.now() / 1000.0, event)
        except Exception:
            logger.exception("the module failed on {!r}", event)
            # What it had decided until then stands in its memory, and so must be done; its own next
            # round
            # may be among it.
            actions, broken = list(self.engine.actions), True
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:
                logger.exception("{!r} could not be carried out", action)
                self._abandon(getattr(action, "request", -1))
        if broken:
            self._abandon(getattr(event, "request", -1))
