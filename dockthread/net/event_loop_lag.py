"""Bounds how late the event loop reads input, from a periodic heartbeat of the loop.

Theory of operation. A request's time budget starts when its last byte reaches this machine, but a
process that reads late cannot observe that moment, because the system keeps no arrival times for
TCP. However, input that is read in one iteration of the loop arrived after the iteration before
last, or it would have been read earlier. The loop therefore records a heartbeat every
`HEARTBEAT_INTERVAL_MS`, and input that is read now arrived after the second latest heartbeat. The
latest heartbeat is not a valid bound: it may have been late itself, in the iteration that reads now
(timers run before sockets are polled). If the loop was blocked, by a burst of commands, a reload or
another process on the core, the bound goes back to the start of the stall, whatever its cause.

While heartbeats are on time, the bound would overestimate the lag by one or two intervals and is
not deducted from a request's time. A delay of less than one interval is covered by the transit
time that the ingress deducts from every request. A connection accepted from a backlog may hold a
request that arrived at any time since the backlog was last empty; `AcceptBacklog` tracks that time.

Rejected alternatives: always deducting the bound, 20 to 40 ms, lowered the score G by 0.04 on the
churn day of the scenario taichung-replay, seed 940965316920 (0.81 in four runs, and 0.85 in four
runs without it). Timing the work of each iteration misses delays caused outside the process.
`TCP_INFO`'s time since the last data is exact, but exists only on Linux and takes one more system
call per request.
"""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 10.0
# Number of intervals between two heartbeats above which the loop counts as blocked.
BLOCKED_LOOP_INTERVALS = 1.5


class EventLoopLagMonitor:
    """Bounds how late a read may be; times are in ms on the ingress's clock.

    Attributes:
        earliest_arrival_ms: The second latest heartbeat; input that is read now arrived after it.
        last_heartbeat_ms: The latest heartbeat.
    """

    __slots__ = ("earliest_arrival_ms", "last_heartbeat_ms")

    def __init__(self, now_ms: float) -> None:
        self.earliest_arrival_ms = now_ms
        self.last_heartbeat_ms = now_ms

    @property
    def is_lagging(self) -> bool:
        """Whether the loop was blocked between the last two heartbeats."""
        interval = self.last_heartbeat_ms - self.earliest_arrival_ms
        return interval > BLOCKED_LOOP_INTERVALS * HEARTBEAT_INTERVAL_MS

    def lag_ms(self, earliest_arrival_ms: float, now_ms: float) -> float:
        """Return an upper bound on how late a read at `now_ms` is.

        Args:
            earliest_arrival_ms: A lower bound on the arrival time of the input.
            now_ms: The time of the read.

        Returns:
            The lag in ms; 0 if the loop has not been blocked since the input arrived.
        """
        longest_interval = max(
            self.last_heartbeat_ms - self.earliest_arrival_ms, now_ms - self.last_heartbeat_ms
        )
        is_on_time = (
            longest_interval <= BLOCKED_LOOP_INTERVALS * HEARTBEAT_INTERVAL_MS
            and earliest_arrival_ms >= self.earliest_arrival_ms
        )
        return 0.0 if is_on_time else max(0.0, now_ms - earliest_arrival_ms)

    def record_heartbeat(self, now_ms: float) -> None:
        """Record a heartbeat; input read from now on arrived after the previous one."""
        self.earliest_arrival_ms = self.last_heartbeat_ms
        self.last_heartbeat_ms = now_ms


class AcceptBacklog:
    """Tracks since when connections may have been waiting to be accepted."""

    __slots__ = ("_waiting_since_ms",)

    def __init__(self) -> None:
        # A lower bound on the arrival of waiting connections; None if the backlog was last seen
        # empty.
        self._waiting_since_ms: float | None = None

    def earliest_arrival_ms(self, monitor: EventLoopLagMonitor) -> float:
        """Return the earliest time at which a connection accepted now can have arrived."""
        if self._waiting_since_ms is None:
            return monitor.earliest_arrival_ms
        return self._waiting_since_ms

    def mark_empty(self) -> None:
        """Record that all waiting connections were accepted."""
        self._waiting_since_ms = None

    def mark_not_empty(self, monitor: EventLoopLagMonitor) -> None:
        """Record that connections may be left waiting."""
        self._waiting_since_ms = self.earliest_arrival_ms(monitor)
