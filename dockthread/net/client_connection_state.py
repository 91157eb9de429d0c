"""The states of a client connection."""

from __future__ import annotations

from enum import Enum


class ClientConnectionState(Enum):
    """State of a client connection. States are entered in this order; some may be skipped."""

    OPEN = "open"  # commands are read and served
    FINISHING = "finishing"  # pending responses are sent, no further command is served
    HALF_CLOSED = "half closed"  # the sending side is shut down, the client has yet to close
    CLOSED = "closed"
