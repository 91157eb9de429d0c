"""Timers: callbacks that run when the engine's host sends a `TimerFired` event."""

from __future__ import annotations

from collections.abc import Callable

from dockthread.policy.actions import SetTimer
from dockthread.policy.context import Context
from dockthread.policy.events import TimerFired

# Largest token. Tokens are unsigned 32-bit integers from 1 and wrap around to 1 after the largest.
MAX_TOKEN = 0xFFFFFFFF


class TimerQueue:
    """The timers that are set, by the token that their `TimerFired` event carries."""

    __slots__ = ("_context", "_last_token", "pending")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._last_token = 0
        # The callback and its arguments, by token.
        self.pending: dict[int, tuple[Callable[..., None], tuple[int, ...]]] = {}

    def set(self, at: float, callback: Callable[..., None], *arguments: int) -> int:
        """Schedule `callback(*arguments)` for a time `at`, in seconds on the engine's clock.

        Returns the timer's token.
        """
        token = self._last_token % MAX_TOKEN + 1
        self._last_token = token
        self.pending[token] = (callback, arguments)
        self._context.actions.append(SetTimer(at, token))
        return token

    def cancel(self, token: int) -> None:
        """Forget a timer that is not needed any more; its event, if it still comes, is ignored."""
        self.pending.pop(token, None)

    def on_timer_fired(self, event: TimerFired) -> None:
        """Run the callback of a timer that fired; ignore an unknown token."""
        timer = self.pending.pop(event.token, None)
        if timer is not None:
            callback, arguments = timer
            callback(*arguments)
