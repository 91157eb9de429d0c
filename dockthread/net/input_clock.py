"""Bounds the arrival of the input of one connection, which may have waited before it is read."""

from __future__ import annotations

from dockthread.net.event_loop_lag import EventLoopLagMonitor


class InputClock:
    """Lower bound on the arrival of the bytes read last, in ms on the ingress's clock.

    Attributes:
        earliest_arrival_ms: The bound; before the first read, that of the connection itself.
    """

    __slots__ = ("_drained_ms", "_heartbeat_before_wait_ms", "_lag", "earliest_arrival_ms")

    def __init__(self, lag: EventLoopLagMonitor, earliest_arrival_ms: float) -> None:
        self._lag = lag
        self.earliest_arrival_ms = earliest_arrival_ms
        # Lower bound on the time at which the last read left the receive buffer empty.
        self._drained_ms = earliest_arrival_ms
        self._heartbeat_before_wait_ms = lag.last_heartbeat_ms

    def on_read(self, now_ms: float, *, is_drained: bool) -> None:
        """Record a read; `is_drained` tells whether it left the receive buffer empty.

        If the reader was already waiting at the second latest heartbeat, the bytes arrived after
        it. Otherwise they may have arrived at any time since the buffer was last drained.
        """
        self.earliest_arrival_ms = (
            max(self._drained_ms, self._lag.earliest_arrival_ms)
            if self._lag.earliest_arrival_ms >= self._heartbeat_before_wait_ms
            else self._drained_ms
        )
        self._drained_ms = now_ms if is_drained else self.earliest_arrival_ms

    def on_wait(self) -> None:
        """Record that the reader begins to wait for input."""
        self._heartbeat_before_wait_ms = self._lag.last_heartbeat_ms
