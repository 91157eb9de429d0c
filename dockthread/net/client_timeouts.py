"""Times within which a client has to send its commands."""

from __future__ import annotations

from typing import Protocol

FIRST_COMMAND_TIMEOUT_MS = 1_500.0  # Time for a new connection to send its first command.
# Time to complete a command that has begun: a slow client takes 2 s to send the head of one.
COMMAND_TIMEOUT_MS = 3_000.0


class CommandTimer:
    """Measures for how long a client has owed its first command, or the rest of one.

    Only the time in which the ingress reads counts. While it does not, because it serves what it
    has read or waits for the client to read, the awaited input may be waiting in the socket.
    """

    __slots__ = ("_paused_since_ms", "_started_ms")

    def __init__(self, now_ms: float) -> None:
        self._started_ms = now_ms
        self._paused_since_ms: float | None = None

    def restart(self, now_ms: float) -> None:
        """Record that the client owes a new command from now on."""
        self._started_ms = now_ms
        if self._paused_since_ms is not None:
            self._paused_since_ms = now_ms

    def pause(self, now_ms: float) -> None:
        """Record that the ingress does not read any more."""
        self._paused_since_ms = now_ms

    def resume(self, now_ms: float) -> None:
        """Record that the ingress reads again."""
        if self._paused_since_ms is not None:
            self._started_ms += now_ms - self._paused_since_ms
            self._paused_since_ms = None

    def elapsed_ms(self, now_ms: float) -> float:
        """Return for how long the client has owed a command, without the pauses."""
        end_ms = now_ms if self._paused_since_ms is None else self._paused_since_ms
        return end_ms - self._started_ms


class CommandInput(Protocol):
    """The input of a connection, as far as its times are concerned."""

    commands_read: int

    @property
    def is_mid_command(self) -> bool:
        """Whether a command has been received only in part."""
        ...

    def waiting_ms(self, now_ms: float) -> float:
        """Return for how long the client has owed the rest of a command, or its first one."""
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
    return connection.waiting_ms(now_ms) > timeout_ms
