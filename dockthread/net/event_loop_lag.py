"""How late something may be read: a heartbeat of the loop, and the bound that follows from it.
Decides nothing else.

Theory of operation. A request's time runs from the moment its last byte reached this machine, and a
program that is late with its reads does not see that moment: the system keeps no arrival times for
TCP. But what is read in one turn of the loop cannot have come before the turn before last, or it
would have been read then. So the loop beats, each `PERIOD`, and what is read now came after the
beat before the last one: the last may have been rung late, in the very turn that reads (timers ring
before sockets are looked at). When the loop was held, by a burst of commands, a reload or another
process on the core, the bound is as old as the stall, whatever the stall was. While the beats ring
in their time it would only be careful, by one or two beats, and is not charged: what is shorter
than a beat is covered by the time that the ingress keeps back from every request. A connection
taken from a backlog that was not emptied since may hold a request as old as the time when it last
was: `Backlog` keeps that.

Way not taken: to charge the bound always, at 20 to 40 ms; it cost 0.04 of G on the churn day of
taichung-replay, seed 940965316920 (four runs at 0.81, four without at 0.85). Nor: to time the work
of each turn (it misses what holds the process from outside); `TCP_INFO`'s time since the last data
(exact, but Linux's alone, and another call to the system for each request).
"""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 10.0  # ms between beats
HELD_LOOP_INTERVALS = 1.5  # periods between two beats that say the loop was held


class EventLoopLagMonitor:
    """Times in milliseconds on the ingress's clock."""

    __slots__ = ("earliest_arrival_ms", "last_heartbeat_ms")

    def __init__(self, now: float) -> None:
        self.earliest_arrival_ms = self.last_heartbeat_ms = now

    @property
    def is_lagging(self) -> bool:
        """Whether the loop was held between the last two beats."""
        return (
            self.last_heartbeat_ms - self.earliest_arrival_ms
            > HELD_LOOP_INTERVALS * HEARTBEAT_INTERVAL_MS
        )

    def lag_ms(self, came: float, now: float) -> float:
        """By how much what came after `came`, as far as is known, may be read late at `now`; 0
        where nothing held the loop since.
        """
        free = (
            max(self.last_heartbeat_ms - self.earliest_arrival_ms, now - self.last_heartbeat_ms)
            <= HELD_LOOP_INTERVALS * HEARTBEAT_INTERVAL_MS
            and came >= self.earliest_arrival_ms
        )
        return 0.0 if free else max(0.0, now - came)

    def record_heartbeat(self, now: float) -> None:
        """The loop turns. What is read from here on came after `since`."""
        self.earliest_arrival_ms, self.last_heartbeat_ms = self.last_heartbeat_ms, now


class AcceptBacklog:
    """Since when connections may have waited to be accepted."""

    __slots__ = ("left",)

    def __init__(self) -> None:
        # where the last look left some: when the oldest of them can have come
        self.left: float | None = None

    def earliest_arrival_ms(self, loop_delay: EventLoopLagMonitor) -> float:
        """The earliest at which a connection accepted now can have come."""
        return loop_delay.earliest_arrival_ms if self.left is None else self.left

    def mark_empty(self) -> None:
        """A look left nothing to accept."""
        self.left = None

    def mark_not_empty(self, loop_delay: EventLoopLagMonitor) -> None:
        """A look ended with connections left, as far as is known."""
        self.left = self.earliest_arrival_ms(loop_delay)
