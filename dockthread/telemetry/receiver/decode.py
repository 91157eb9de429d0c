"""Decode the formats that Graphite's carbon accepts: lines of plain text, and pickles."""

from __future__ import annotations

import io
import pickle
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite
from typing import Any

from dockthread.errors import DockthreadError

# Maximum size of a line in bytes.
MAX_LINE_BYTES = 16 * 1024
# Maximum size of a pickle in bytes: carbon's default.
MAX_PICKLE_BYTES = 1024 * 1024
# The length that precedes each pickle.
PICKLE_HEADER = struct.Struct("!I")
# Exceptions raised for bytes that are not a pickle, and for pickles that do not contain points.
UNPICKLING_ERRORS = (
    pickle.UnpicklingError,
    ValueError,
    TypeError,
    EOFError,
    IndexError,
    AttributeError,
)


class DecodeError(DockthreadError):
    """Raised for bytes that cannot be decoded, and for lines or pickles that are too long."""


@dataclass(frozen=True, slots=True)
class ReceivedPoint:
    """One point as received.

    Attributes:
        series: The full name of the series.
        unix_seconds: The timestamp in Unix seconds.
        value: The value.
    """

    series: str
    unix_seconds: float
    value: float


class PlaintextDecoder:
    """Decodes the plain text from one connection.

    Attributes:
        invalid_lines: Number of lines that were skipped because they could not be decoded.
    """

    def __init__(self) -> None:
        self.invalid_lines = 0
        self._incomplete = b""

    def feed(self, data: bytes) -> Iterator[ReceivedPoint]:
        """Yield the points of the lines that are completed by the next bytes.

        Raises:
            DecodeError: if a line is too long.
        """
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        if len(self._incomplete) > MAX_LINE_BYTES:
            raise DecodeError("a line does not end")
        for line in lines:
            point = _parse_line(line)
            if point is None:
                self.invalid_lines += 1
            else:
                yield point


def _parse_line(line: bytes) -> ReceivedPoint | None:
    """Return the point of a line, or None if the line is invalid."""
    try:
        series, value, unix_seconds = line.decode().split()
        point = ReceivedPoint(series, float(unix_seconds), float(value))
    except ValueError:
        return None
    is_finite = isfinite(point.unix_seconds) and isfinite(point.value)
    return point if is_finite else None


class _PlainUnpickler(pickle.Unpickler):
    """Loads only built-in types such as numbers, strings, tuples and lists.

    Loading a pickle that refers to a class or a function could execute arbitrary code.
    """

    def find_class(self, module: str, name: str) -> Any:
        raise DecodeError(f"a pickle names {module}.{name}")


class PickleDecoder:
    """Decodes the pickles from one connection.

    Attributes:
        invalid_lines: Always 0, because an invalid pickle ends the connection.
    """

    def __init__(self) -> None:
        self.invalid_lines = 0
        self._incomplete = b""

    def feed(self, data: bytes) -> Iterator[ReceivedPoint]:
        """Yield the points of the pickles that are completed by the next bytes.

        Raises:
            DecodeError: if a pickle is too long or is not a list of points.
        """
        self._incomplete += data
        while len(self._incomplete) >= PICKLE_HEADER.size:
            (size,) = PICKLE_HEADER.unpack_from(self._incomplete)
            if size > MAX_PICKLE_BYTES:
                raise DecodeError(f"a pickle of {size} bytes")
            end = PICKLE_HEADER.size + size
            if len(self._incomplete) < end:
                return
            encoded = self._incomplete[PICKLE_HEADER.size : end]
            self._incomplete = self._incomplete[end:]
            yield from _load_points(encoded)


def _load_points(encoded: bytes) -> list[ReceivedPoint]:
    try:
        return [
            ReceivedPoint(str(series), float(unix_seconds), float(value))
            for series, (unix_seconds, value) in _PlainUnpickler(io.BytesIO(encoded)).load()
        ]
    except UNPICKLING_ERRORS as error:
        raise DecodeError(f"not a pickle of points: {error}") from error
