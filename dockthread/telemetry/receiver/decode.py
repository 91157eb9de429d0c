"""Decode what Graphite's carbon takes: lines of plain text, and pickles."""

from __future__ import annotations

import io
import pickle
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite
from typing import Any

from dockthread.errors import DockthreadError

# Bytes of a line that does not end.
MAX_LINE_BYTES = 16 * 1024
# Bytes of a pickle; carbon's default.
MAX_PICKLE_BYTES = 1024 * 1024
# The length before each pickle.
PICKLE_HEADER = struct.Struct("!I")
# What the pickle module raises for bytes that are not a pickle, and unpacking for other objects.
UNPICKLING_ERRORS = (
    pickle.UnpicklingError,
    ValueError,
    TypeError,
    EOFError,
    IndexError,
    AttributeError,
)


class DecodeError(DockthreadError):
    """Bytes that carbon would not take."""


@dataclass(frozen=True, slots=True)
class ReceivedPoint:
    """One point as it arrived.

    Attributes:
        series: The full name of its series.
        seconds: Its moment in Unix time.
        value: Its value.
    """

    series: str
    seconds: float
    value: float


class PlaintextDecoder:
    """Decodes the plain text of one connection.

    Attributes:
        invalid_lines: Lines that were skipped because they could not be read.
    """

    def __init__(self) -> None:
        self.invalid_lines = 0
        self._unread = b""

    def feed(self, data: bytes) -> Iterator[ReceivedPoint]:
        """Yield the points of the lines that end in the next bytes.

        Raises:
            DecodeError: if a line does not end.
        """
        *lines, self._unread = (self._unread + data).split(b"\n")
        if len(self._unread) > MAX_LINE_BYTES:
            raise DecodeError("a line does not end")
        for line in lines:
            point = _parse_line(line)
            if point is None:
                self.invalid_lines += 1
            else:
                yield point


def _parse_line(line: bytes) -> ReceivedPoint | None:
    """Return the point of a line, or None if it cannot be read."""
    try:
        series, value, seconds = line.decode().split()
        point = ReceivedPoint(series, float(seconds), float(value))
    except ValueError:
        return None
    is_finite = isfinite(point.seconds) and isfinite(point.value)
    return point if is_finite else None


class _PlainUnpickler(pickle.Unpickler):
    """Loads numbers, strings, tuples and lists only.

    A pickle that names a class could run any code.
    """

    def find_class(self, module: str, name: str) -> Any:
        raise DecodeError(f"a pickle names {module}.{name}")


class PickleDecoder:
    """Decodes the pickles of one connection.

    Attributes:
        invalid_lines: Always 0, since a wrong pickle ends the connection.
    """

    def __init__(self) -> None:
        self.invalid_lines = 0
        self._unread = b""

    def feed(self, data: bytes) -> Iterator[ReceivedPoint]:
        """Yield the points of the pickles that end in the next bytes.

        Raises:
            DecodeError: if a pickle is too long or is not a list of points.
        """
        self._unread += data
        while len(self._unread) >= PICKLE_HEADER.size:
            (size,) = PICKLE_HEADER.unpack_from(self._unread)
            if size > MAX_PICKLE_BYTES:
                raise DecodeError(f"a pickle of {size} bytes")
            end = PICKLE_HEADER.size + size
            if len(self._unread) < end:
                return
            encoded = self._unread[PICKLE_HEADER.size : end]
            self._unread = self._unread[end:]
            yield from _load_points(encoded)


def _load_points(encoded: bytes) -> list[ReceivedPoint]:
    try:
        return [
            ReceivedPoint(str(series), float(seconds), float(value))
            for series, (seconds, value) in _PlainUnpickler(io.BytesIO(encoded)).load()
        ]
    except UNPICKLING_ERRORS as error:
        raise DecodeError(f"not a pickle of points: {error}") from error
