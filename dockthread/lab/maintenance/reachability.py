"""Measures how long each simulated member has been unreachable, now or recently."""

from __future__ import annotations

# Number of check intervals after which a member without contact counts as unreachable.
MAX_MISSED_CHECKS = 2
NEVER_MS = -1e18  # Earlier than any simulated time.


class Reachability:
    """Remembers when each member was last known to be reachable.

    Args:
        check_interval_ms: Time between two checks of reachability.
        memory_ms: Time for which an unreachable period is remembered after its end.
    """

    def __init__(self, check_interval_ms: float, memory_ms: float) -> None:
        self._gap_limit_ms = MAX_MISSED_CHECKS * check_interval_ms
        self._memory_ms = memory_ms
        self._last_reached_at: dict[str, float] = {}
        # Duration and end of the last unreachable period, by member.
        self._gaps: dict[str, tuple[float, float]] = {}

    def on_reachable(self, now: float, member: str) -> None:
        """Record that a member is known to be reachable now."""
        gap_ms = now - self._last_reached_at.get(member, 0.0)
        if gap_ms > self._gap_limit_ms:
            self._gaps[member] = (gap_ms, now)
        self._last_reached_at[member] = now

    def unreachable_ms(self, now: float, member: str) -> float:
        """Return the duration of a member's present or recent unreachable period."""
        gap_ms, until = self._gaps.get(member, (0.0, NEVER_MS))
        recent_gap_ms = gap_ms if until > now - self._memory_ms else 0.0
        return max(now - self._last_reached_at.get(member, 0.0), recent_gap_ms)
