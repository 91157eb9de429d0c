"""Discards the input that follows the last command of a client connection.

It is read so that a close by the client is noticed, and so that closing the socket does not reset
the connection over unread bytes and destroy a response on its way.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from dockthread.net.event_loop_lag import EventLoopLagMonitor

# Maximum input discarded after the last command. A client that sends more is disconnected, unless
# a response is pending.
MAX_DISCARDED_BYTES = 64 * 1024
# A client that sends more discarded input than this is flooding, and is read more slowly. Smaller
# amounts are read sooner, because a close may follow them.
FLOOD_BYTES = 4 * 1024 * 1024
DISCARD_PAUSE_S = 0.01  # Pause between reads from a client that keeps sending.
FLOOD_PAUSE_S = 0.03  # Pause between reads from a client that is flooding.
# Maximum number of consecutive reads of discarded input. They cover 16 MiB, more than the socket
# buffers of both machines hold, so a close behind the buffered input is noticed.
MAX_CONSECUTIVE_DISCARDS = 256

# Shared by all connections; its content is never used.
discard_buffer = bytearray(64 * 1024)


def discard_once(sock: socket.socket) -> None:
    """Discard what one read returns."""
    with suppress(OSError):
        sock.recv_into(discard_buffer)


class InputDiscarder:
    """Discards the input of one connection, at a pace that a flood cannot raise."""

    __slots__ = ("_discarded_bytes", "_lag", "_sock")

    def __init__(self, sock: socket.socket, lag: EventLoopLagMonitor) -> None:
        self._sock = sock
        self._lag = lag
        self._discarded_bytes = 0

    async def discard(self, size: int, *, is_idle: bool) -> bool:
        """Discard input; `size` bytes have just been read.

        Returns False if the connection is to be closed: the client closed it, or sends too much
        while nothing is pending for it (`is_idle`).
        """
        self._discarded_bytes += size
        if not self._discard_available():
            return False
        if self._discarded_bytes <= MAX_DISCARDED_BYTES:
            return True
        if is_idle:
            return False
        # A response is pending, so the connection stays open, but reads are spaced out to save
        # work. While the event loop lags, its iterations alone are far enough apart.
        pause_s = DISCARD_PAUSE_S if self._discarded_bytes < FLOOD_BYTES else FLOOD_PAUSE_S
        await asyncio.sleep(0.0 if self._lag.is_lagging else pause_s)
        return True

    def _discard_available(self) -> bool:
        """Read and discard the input that has arrived; return False if the client closed."""
        for _ in range(MAX_CONSECUTIVE_DISCARDS):
            try:
                size = self._sock.recv_into(discard_buffer)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError:
                return False
            if not size:
                return False
            self._discarded_bytes += size
        return True
