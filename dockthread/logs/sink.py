"""Writes log lines without blocking and without raising, whatever the target does.

A log that blocks or raises would do so in the middle of a request. A target that cannot take a line
now, such as a pipe that nobody reads or a full disk, loses it; the next line that it takes is
preceded by the number of lost ones.
"""

from __future__ import annotations

import os
import select
from typing import TextIO

ENCODING = "utf-8"
# A pipe that is ready for writing takes this many bytes without blocking.
CHUNK_BYTES = select.PIPE_BUF


class LogSink:
    """Writes lines to a file descriptor.

    Attributes:
        lost_lines: Number of lines that the target did not take.
    """

    def __init__(self, stream: TextIO) -> None:
        """Write to the descriptor of `stream`, which must stay open."""
        self.lost_lines = 0
        self._stream = stream
        self._descriptor = stream.fileno()
        self._lost_lines_reported = 0
        self._is_line_cut = False  # the last line that was lost was written in part
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)

    def isatty(self) -> bool:
        """Return whether the target is a terminal."""
        return self._stream.isatty()

    def write(self, line: str) -> None:
        """Write a line with its line break, or lose it."""
        new_losses = self.lost_lines - self._lost_lines_reported
        if new_losses:
            line = f"{new_losses} log lines were lost before this one\n{line}"
        if self._is_line_cut:
            line = f"\n{line}"
        if self._write(line.encode(ENCODING, "backslashreplace")):
            self._lost_lines_reported = self.lost_lines
            self._is_line_cut = False
        else:
            self.lost_lines += 1

    def _write(self, data: bytes) -> bool:
        """Write as much as the target takes at once; return whether it took everything."""
        remaining = memoryview(data)
        try:
            while remaining:
                if not self._poll.poll(0):
                    return False
                size = os.write(self._descriptor, remaining[:CHUNK_BYTES])
                self._is_line_cut = True
                remaining = remaining[size:]
        except OSError:
            return False
        return True
