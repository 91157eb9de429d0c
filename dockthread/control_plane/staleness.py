"""Decides when a subscriber leaves a server whose table is stale.

A server is stale once its table is older than `SubscriberTimes.staleness_limit`. The subscriber
then moves to another server immediately. After it has tried every server without finding a fresh
table, it moves only about once per `stale_penalty`, so that it does not flap while all servers are
stale.
"""

from __future__ import annotations

import random

from dockthread.control_plane.subscriber_settings import SubscriberTimes

NEVER_DUE = float("inf")
"""Value of a time in ms for an event that is never due."""


class StaleServerPolicy:
    """Limits how often a subscriber leaves a stale server. Times are in ms."""

    def __init__(
        self, times: SubscriberTimes, rng: random.Random, server_count: int, now: float
    ) -> None:
        self._times = times
        self._rng = rng
        self._immediate_moves = server_count - 1
        self._next_move_at = now  # applies when no immediate moves are left

    def is_stale(self, now: float, complete_at: float) -> bool:
        """Return whether a table that was last known to be complete at `complete_at` is stale."""
        return complete_at + self._times.staleness_limit <= now

    def leave_at(self, complete_at: float | None) -> float:
        """Return when to leave a server, unless it reports a fresher table first.

        `complete_at` is when its table was last known to be complete; None if it has not reported.
        """
        stale_at = NEVER_DUE if complete_at is None else complete_at + self._times.staleness_limit
        if self._immediate_moves > 0:
            return stale_at
        return max(stale_at, self._next_move_at)

    def on_left(self, now: float) -> None:
        """Record that the subscriber has left a stale server."""
        self._immediate_moves = max(0, self._immediate_moves - 1)
        self._next_move_at = now + self._times.stale_penalty * self._rng.uniform(0.5, 1.5)

    def on_fresh_server(self, server_count: int) -> None:
        """Allow immediate moves to all other servers again, because a server was not stale."""
        self._immediate_moves = server_count - 1
