"""Runs the policy engine: passes it one event at a time, and has its actions executed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from loguru import logger

from dockthread.clock import Clock
from dockthread.policy import Event, PolicyEngine

NO_REQUEST = -1  # Never the number of a request, because requests are numbered from 1.


class PolicyHost:
    """Runs the policy engine and contains its faults.

    `action_handlers` maps each type of action to the function that executes it. `abandon_request`
    is called with the number of a request that has no decision because of a fault.
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
        """Let the policy engine handle an event, and execute the resulting actions.

        Executing an action may dispatch another event. That event is queued until all actions have
        been executed, so that the engine handles events one at a time.
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
        except Exception:  # noqa: BLE001 - a fault must end one request, not the ingress
            logger.exception("the policy engine failed on {!r}", event)
            # The engine's state already assumes the actions decided before the fault, and the
            # engine's next timer may be one of them.
            actions = list(self.engine.actions)
            has_failed = True
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:  # noqa: BLE001 - a fault must end one request, not the ingress
                logger.exception("cannot execute {!r}", action)
                self._abandon_request(getattr(action, "request", NO_REQUEST))
        if has_failed:
            self._abandon_request(getattr(event, "request", NO_REQUEST))
