"""Asks the system for the state of a TCP connection.

A read shows a close by the peer only after all input that came before it, and a write does not show
how much the peer has received. The system knows both at once.
"""

from __future__ import annotations

import array
import fcntl
import socket
from contextlib import suppress

# States of a TCP connection in Linux (include/net/tcp_states.h).
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8

# Asks Linux for the bytes in the send queue that were not sent yet (include/uapi/linux/sockios.h).
SIOCOUTQNSD = 0x894B


def _state(sock: socket.socket) -> int:
    """Return the state of a connection; 0 if the system does not tell."""
    with suppress(OSError, ValueError, IndexError):
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return 0


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection; False if that is not known."""
    return _state(sock) in (TCP_CLOSE, TCP_CLOSE_WAIT)


def has_unread_input(sock: socket.socket) -> bool:
    """Return whether a socket has unread input."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def unsent_bytes(sock: socket.socket) -> int:
    """Return how much of what was written the system has not sent; 0 if that is not known.

    The end of the stream counts as one byte.
    """
    size = array.array("i", [0])
    with suppress(OSError, ValueError):
        fcntl.ioctl(sock, SIOCOUTQNSD, size)
    return size[0]
