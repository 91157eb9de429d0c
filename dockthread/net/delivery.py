"""Tells whether a client's system has received what was written to a connection.

A write is over once this system has taken the bytes. They wait here while the client's receive
window is full, and are lost if the socket is closed and the client then sends anything, which
resets the connection.
"""

from __future__ import annotations

import socket

from dockthread.net.peer_state import unsent_bytes

# Time for a client to receive some of what was written. The system opens a full receive window
# again only after the client has read much of it.
DELIVERY_TIMEOUT_MS = 15_000.0
# Time between two checks above which it is not known whether there was progress in between.
MAX_CHECK_INTERVAL_MS = 2_000.0


class DeliveryMonitor:
    """Watches the progress with which a client's system receives what was written.

    Attributes:
        progress_ms: When progress was last seen, in ms on the ingress's clock.
    """

    __slots__ = ("_checked_ms", "_sock", "_unsent_bytes", "progress_ms")

    def __init__(self, sock: socket.socket, now_ms: float) -> None:
        self._sock = sock
        self._checked_ms = now_ms
        self._unsent_bytes = 0
        self.progress_ms = now_ms

    @property
    def is_waiting_for_client(self) -> bool:
        """Whether bytes wait here, as a rule because the client reads more slowly than they come.

        What has been sent arrives before a reset that follows it, unless it is lost on the way.
        """
        return bool(unsent_bytes(self._sock))

    def check(self, now_ms: float) -> None:
        """Record whether there was progress since the last check."""
        unsent = unsent_bytes(self._sock)
        has_changed = unsent != self._unsent_bytes
        has_gap = now_ms - self._checked_ms > MAX_CHECK_INTERVAL_MS
        if unsent and (has_changed or has_gap):
            self.progress_ms = now_ms
        self._unsent_bytes = unsent
        self._checked_ms = now_ms

    def is_stalled(self, now_ms: float) -> bool:
        """Return whether the client's system has received nothing for too long."""
        self.check(now_ms)
        is_overdue = now_ms - self.progress_ms > DELIVERY_TIMEOUT_MS
        return bool(self._unsent_bytes) and is_overdue
