"""Bounds the rate at which the commands of one client connection are served.

One connection may send commands as fast as the ingress can read them. Without a bound each turn of
the event loop serves as many of them as it may, and the turns leave less time for all others.
"""

from __future__ import annotations

COMMANDS_PER_S = 1_000.0
# Commands served without a pause; a client may pipeline fewer than this.
COMMAND_BURST = 256.0


class CommandPacer:
    """A token bucket of commands; times are in seconds on the event loop's clock."""

    __slots__ = ("_level", "_updated_s")

    def __init__(self, now_s: float) -> None:
        self._level = COMMAND_BURST
        self._updated_s = now_s

    def record_command(self) -> None:
        """Take one command from the bucket."""
        self._level -= 1.0

    def pause_s(self, now_s: float) -> float:
        """Return how long to wait before the next command is served, in seconds."""
        refill = (now_s - self._updated_s) * COMMANDS_PER_S
        self._updated_s = now_s
        self._level = min(COMMAND_BURST, self._level + refill)
        return max(0.0, -self._level / COMMANDS_PER_S)
