"""Splits the input of a client into commands, of which it holds a bounded part.

A command of up to `MAX_HEAD_BYTES` is returned whole. The body of a larger request is not read:
the reader returns the arguments before it and its size, and whoever accepts the request takes the
body from the reader and the socket. Any other larger command is a protocol error, found as soon as
its headers have arrived.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import hiredis

from dockthread.net.resp.limits import MAX_COMMAND_ARGUMENTS, MAX_HEAD_BYTES, MAX_VALUE_BYTES

ProtocolError = hiredis.ProtocolError

LINE_END = b"\r\n"
BODY_INDEX = 4  # Position of the body among the arguments of a request.
MAX_HEADER_BYTES = 12  # Maximum size of a type byte, a length and the line end.
REQUEST_VERBS = (b"API.READ", b"API.WRITE")

_ARRAY_HEADER = re.compile(rb"\*([0-9]{1,2})\r\n")
_VALUE_HEADER = re.compile(rb"\$([0-9]{1,7})\r\n")
_PARTIAL_HEADER = {
    b"*": re.compile(rb"\*?|\*[0-9]{1,2}\r?"),
    b"$": re.compile(rb"\$?|\$[0-9]{1,7}\r?"),
}


@dataclass(frozen=True, slots=True)
class Command:
    """A command without a body that is still to be read."""

    arguments: list[bytes]


@dataclass(frozen=True, slots=True)
class CommandWithBody:
    """A request whose body of `body_bytes` follows in the input, with the line end after it."""

    arguments: list[bytes]
    body_bytes: int


class CommandReader:
    """Reads the commands of one connection.

    `feed` adds input, and `next_command` returns the commands in it. After a `CommandWithBody` the
    body and its line end must be taken with `take` before the next command is read.
    """

    __slots__ = ("_input", "_is_searched", "_position")

    def __init__(self) -> None:
        self._input = b""
        self._position = 0
        self._is_searched = True  # whether the input holds no complete command

    @property
    def is_between_commands(self) -> bool:
        """Whether no part of a further command has arrived."""
        return self._position >= len(self._input)

    @property
    def is_mid_command(self) -> bool:
        """Whether only a part of a command has arrived, and the client has to send the rest."""
        return self._is_searched and not self.is_between_commands

    @property
    def may_hold_command(self) -> bool:
        """Whether there may be a complete command, which `next_command` would return."""
        return not self._is_searched and not self.is_between_commands

    def feed(self, data: bytes) -> None:
        """Add input."""
        rest = self._input[self._position :]
        self._input = rest + data if rest else data
        self._position = 0
        self._is_searched = False

    def take(self, max_bytes: int) -> bytes:
        """Return up to `max_bytes` of the input that has not been read."""
        start = self._position
        self._position = min(len(self._input), start + max_bytes)
        return self._input[start : self._position]

    def next_command(self) -> Command | CommandWithBody | None:
        """Return the next command, or None while it is incomplete.

        Raises:
            ProtocolError: The input is not a command.
        """
        command = self._next_command()
        self._is_searched = command is None
        return command

    def _next_command(self) -> Command | CommandWithBody | None:
        data, start = self._input, self._position
        if start == len(data):
            self._input, self._position = b"", 0
            return None
        header = self._header(_ARRAY_HEADER, b"*", start)
        if header is None:
            return None
        count = int(header[1])
        if not 0 < count <= MAX_COMMAND_ARGUMENTS:
            raise ProtocolError("invalid number of arguments")
        arguments: list[bytes] = []
        position = header.end()
        for _ in range(count):
            header = self._header(_VALUE_HEADER, b"$", position)
            if header is None:
                return None
            size, position = int(header[1]), header.end()
            end = position + size
            if end + len(LINE_END) - start > MAX_HEAD_BYTES:
                return self._with_body(arguments, count, size, position)
            if data[end : end + len(LINE_END)] != LINE_END:
                if not LINE_END.startswith(data[end : end + len(LINE_END)]):
                    raise ProtocolError("a value does not end with its line")
                return None
            arguments.append(data[position:end])
            position = end + len(LINE_END)
        self._position = position
        return Command(arguments)

    def _with_body(
        self, arguments: list[bytes], count: int, size: int, position: int
    ) -> CommandWithBody:
        is_body = len(arguments) == BODY_INDEX and count == BODY_INDEX + 1
        if not is_body or arguments[0].upper() not in REQUEST_VERBS or size > MAX_VALUE_BYTES:
            raise ProtocolError("a command is too large")
        self._position = position
        return CommandWithBody(arguments, size)

    def _header(
        self, pattern: re.Pattern[bytes], kind: bytes, position: int
    ) -> re.Match[bytes] | None:
        """Return the header at `position`, or None while it is incomplete.

        Raises:
            ProtocolError: There is something else, or something that cannot become a header.
        """
        header = pattern.match(self._input, position)
        if header is None:
            part = self._input[position : position + MAX_HEADER_BYTES]
            if _PARTIAL_HEADER[kind].fullmatch(part) is None:
                raise ProtocolError("not a command")
        return header
