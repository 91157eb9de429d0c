"""The end of a client connection, from the shutdown of its sending side to the close of its socket.

The client reads all responses, then the end of the stream, and closes. Closing the socket earlier
would reset the connection as soon as the client sends anything, and the reset would destroy what
has not reached the client yet.
"""

from __future__ import annotations

from dockthread.net.delivery import DeliveryMonitor

# Time for a client to close the connection once everything was sent to it. It is counted anew when
# the client sends something: it may not have read the end of the stream yet.
CLOSE_TIMEOUT_MS = 1_000.0


class GracefulClose:
    """Tells when the socket of a connection may be closed although its client has not done so.

    Times are in ms on the ingress's clock.
    """

    __slots__ = ("_delivery", "_last_sign_ms")

    def __init__(self, delivery: DeliveryMonitor, now_ms: float) -> None:
        self._delivery = delivery
        self._last_sign_ms = now_ms
        delivery.check(now_ms)

    def on_input(self, now_ms: float) -> None:
        """Record that the client has sent something."""
        self._last_sign_ms = now_ms

    def may_close(self, now_ms: float) -> bool:
        """Return whether the client has had its time to receive everything and to close."""
        if self._delivery.is_waiting_for_client:
            return self._delivery.is_stalled(now_ms)
        last_sign_ms = max(self._last_sign_ms, self._delivery.progress_ms)
        return now_ms - last_sign_ms > CLOSE_TIMEOUT_MS
