"""The policy engine's host: gives it one event at a time and has its actions carried out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from loguru import logger

from dockthread.clock import Clock
from dockthread.policy import Event, PolicyEngine

NO_REQUEST = -1  # the number that stands for no request: numbers count from 1


class PolicyHost:
    """Runs the policy engine and contains its faults.

    `action_handlers` gives, by the type of an action, the function that carries it out.
    `abandon_request` is called with the number of a request that a fault leaves without a decision.
    """

    def __init__(
        self, engine: PolicyEngine, clock: Clock, abandon_request: Callable[[int], None]
    ) -> None:
        self.engine = engine
        self._clock = clock
        self._abandon_request = abandon_request
        self.action_handlers: dict[type, Callable[[Any], None]] = {}
        self._events: deque[Event] = deque()
        self._is_dispatching = False

    def dispatch(self, event: Event) -> None:
        """Have the policy engine handle an event, and carry out its actions.

        An event that results from carrying out an action waits until that is done, so that the
        engine sees events one after another.
        """
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_dispatching = False

    def _handle(self, event: Event) -> None:
        has_failed = False
        try:
            actions = self.engine.handle(self._clock.now() / 1000.0, event)
        except Exception:  # noqa: BLE001 - a fault costs one request, and not the ingress
            logger.exception("the policy engine failed on {!r}", event)
            # The engine's state already counts on the actions decided before the fault, and its
            # own next timer may be among them.
            actions = list(self.engine.actions)
            has_failed = True
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:  # noqa: BLE001 - the same
                logger.exception("{!r} could not be carried out", action)
                self._abandon_request(getattr(action, "request", NO_REQUEST))
        if has_failed:
            self._abandon_request(getattr(event, "request", NO_REQUEST))
