"""Times within which a client has to send its commands."""

from __future__ import annotations

from typing import Protocol

FIRST_COMMAND_TIMEOUT_MS = 1_500.0  # Time for a new connection to send its first command.
# Time to complete a command that has begun: a slow client takes 2 s to send the head of one.
COMMAND_TIMEOUT_MS = 3_000.0


class CommandInput(Protocol):
    """The input of a connection, as far as its times are concerned."""

    commands_read: int

    @property
    def is_mid_command(self) -> bool:
        """Whether a command has been received only in part."""
        ...

    @property
    def waiting_since_ms(self) -> float:
        """Since when the client owes the rest of a command, or its first one."""
        ...

    def has_input(self) -> bool:
        """Return whether the socket has unread input."""
        ...


def is_input_overdue(connection: CommandInput, now_ms: float) -> bool:
    """Return whether the client should have sent its first command, or the rest of one."""
    is_mid_command = connection.is_mid_command
    if connection.commands_read and not is_mid_command:
        return False
    timeout_ms = COMMAND_TIMEOUT_MS if is_mid_command else FIRST_COMMAND_TIMEOUT_MS
    if connection.has_input():  # the ingress itself is late: the awaited command may be unread
        timeout_ms *= 2
    return now_ms - connection.waiting_since_ms > timeout_ms
