"""For how long a simulated member has been out of reach of the others, now or not long ago."""

from __future__ import annotations

LONGEST_GAP_INTERVALS = 2  # intervals between looks after which a member counts as out of reach
NEVER_MS = -1e18  # a time before any other


class Reachability:
    """Remembers when each member was last surely within reach.

    Args:
        look_interval_ms: Time between looks.
        memory_ms: For how long a gap is remembered after its end.
    """

    def __init__(self, look_interval_ms: float, memory_ms: float) -> None:
        self._gap_limit_ms = LONGEST_GAP_INTERVALS * look_interval_ms
        self._memory_ms = memory_ms
        self._last_reached_at: dict[str, float] = {}
        self._gaps: dict[str, tuple[float, float]] = {}  # by member: how long, until when

    def on_reached(self, now: float, member: str) -> None:
        """Take note that a member is surely within reach now."""
        gap_ms = now - self._last_reached_at.get(member, 0.0)
        if gap_ms > self._gap_limit_ms:
            self._gaps[member] = (gap_ms, now)
        self._last_reached_at[member] = now

    def unreachable_ms(self, now: float, member: str) -> float:
        """Return for how long a member has been out of reach, now or until not long ago."""
        gap_ms, until = self._gaps.get(member, (0.0, NEVER_MS))
        recent_gap_ms = gap_ms if until > now - self._memory_ms else 0.0
        return max(now - self._last_reached_at.get(member, 0.0), recent_gap_ms)
