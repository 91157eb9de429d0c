"""How late the event loop may read something: its heartbeat, and the bound that follows from it.

Theory of operation. A request's time runs from the moment its last byte reached this machine, and a
program that is late with its reads does not see that moment: the system keeps no arrival times for
TCP. But what is read in one turn of the loop cannot have arrived before the turn before last, or it
would have been read then. So the loop has a heartbeat each `HEARTBEAT_INTERVAL_MS`, and what is
read now arrived after the heartbeat before the last one: the last may have come late, in the very
turn that reads (timers run before sockets are looked at). When the loop was held, by a burst of
commands, a reload or another process on the core, the bound is as old as the stall, whatever the
stall was. While heartbeats come in time the bound would only be careful, by one or two intervals,
and is not charged: what is shorter than an interval is covered by the time that the ingress keeps
back from every request. A connection taken from a backlog that was not emptied since may hold a
request as old as the time when it last was: `AcceptBacklog` keeps that.

Alternatives not taken: to charge the bound always, at 20 to 40 ms; it cost 0.04 of G on the churn
day of taichung-replay, seed 940965316920 (four runs at 0.81, four without at 0.85). Nor to time the
work of each turn (it misses what holds the process from outside), nor `TCP_INFO`'s time since the
last data (exact, but Linux's alone, and another system call for each request).
"""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 10.0
HELD_LOOP_INTERVALS = 1.5  # intervals between two heartbeats beyond which the loop was held


class EventLoopLagMonitor:
    """Bounds how late a read may be; times are in ms on the ingress's clock.

    Attributes:
        earliest_arrival_ms: The heartbeat before the last one: what is read now came after it.
        last_heartbeat_ms: The last heartbeat.
    """

    __slots__ = ("earliest_arrival_ms", "last_heartbeat_ms")

    def __init__(self, now_ms: float) -> None:
        self.earliest_arrival_ms = now_ms
        self.last_heartbeat_ms = now_ms

    @property
    def is_lagging(self) -> bool:
        """Whether the loop was held between the last two heartbeats."""
        interval = self.last_heartbeat_ms - self.earliest_arrival_ms
        return interval > HELD_LOOP_INTERVALS * HEARTBEAT_INTERVAL_MS

    def lag_ms(self, earliest_arrival_ms: float, now_ms: float) -> float:
        """Return the most by which a read at `now_ms` may be late.

        Args:
            earliest_arrival_ms: What is read arrived no earlier, as far as is known.
            now_ms: The time of the read.

        Returns:
            The lag in ms; 0 where nothing has held the loop since the arrival.
        """
        longest_interval = max(
            self.last_heartbeat_ms - self.earliest_arrival_ms, now_ms - self.last_heartbeat_ms
        )
        is_in_time = (
            longest_interval <= HELD_LOOP_INTERVALS * HEARTBEAT_INTERVAL_MS
            and earliest_arrival_ms >= self.earliest_arrival_ms
        )
        return 0.0 if is_in_time else max(0.0, now_ms - earliest_arrival_ms)

    def record_heartbeat(self, now_ms: float) -> None:
        """Record a turn of the loop: what is read from here on came after the last heartbeat."""
        self.earliest_arrival_ms = self.last_heartbeat_ms
        self.last_heartbeat_ms = now_ms


class AcceptBacklog:
    """Since when connections may have waited to be accepted."""

    __slots__ = ("_waiting_since_ms",)

    def __init__(self) -> None:
        # The earliest arrival of the connections that the last look left; None where it left none.
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
