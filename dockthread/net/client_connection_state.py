"""The states of a client connection, and what is outstanding on it."""

from __future__ import annotations

from enum import Enum


class ClientConnectionState(Enum):
    """State of a client connection. States are entered in this order; some may be skipped."""

    OPEN = "open"  # commands are read and served
    FINISHING = "finishing"  # pending responses are sent, no further command is served
    HALF_CLOSED = "half closed"  # the sending side is shut down, the client has yet to close
    CLOSED = "closed"


class Outstanding(Enum):
    """What the ingress owes a client: it may not end the connection before that is done."""

    COMMANDS = "commands"  # commands that were read, and are not served yet
    RESPONSES = "responses"  # responses that are not known, or that the system has not taken
    DELIVERY = "delivery"  # responses that the client's system has not received yet
