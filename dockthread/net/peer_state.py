"""Tells whether the peer of a TCP connection has closed it, whatever it sent before that.

A read shows a close only after all input that came before it. The state of the connection in the
system shows it at once.
"""

from __future__ import annotations

import socket
from contextlib import suppress

# States of a TCP connection in Linux (include/net/tcp_states.h).
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8


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
