"""Decodes what Graphite's carbon takes: lines and pickles."""

from __future__ import annotations

import io
import pickle
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite
from typing import Any

from dockthread.errors import DockthreadError

MOST_LINE, MOST_PICKLE = 16 * 1024, 1024 * 1024


class DecodeError(DockthreadError):
    """Bytes that carbon would not take."""


@dataclass(frozen=True, slots=True)
class Got:
    """One point as it came: its series' full name, Unix seconds, value."""

    series: str
    seconds: float
    value: float


class Lines:
    """The plaintext protocol. A line that cannot be read is counted as spoilt, and the rest goes
    on.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.spoilt = 0

    def feed(self, data: bytes) -> Iterator[Got]:
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MOST_LINE:
            raise DecodeError("a line does not end")
        for line in lines:
            try:
                name, value, seconds = line.decode().split()
                got = Got(name, float(seconds), float(value))
                if not (isfinite(got.seconds) and isfinite(got.value)):
                    raise ValueError("not finite")
                yield got
            except ValueError:
                self.spoilt += 1


class _Plain(pickle.Unpickler):
    """Loads numbers, strings, tuples and lists only: a pickle that names a class could run
    anything.
    """

    def find_class(self, module: str, name: str) -> Any:
        raise DecodeError(f"a pickle names {module}.{name}")


class Pickles:
    def __init__(self) -> None:
        self._rest = b""
        self.spoilt = 0

    def feed(self, data: bytes) -> Iterator[Got]:
        self._rest += data
        while len(self._rest) >= 4:
            (size,) = struct.unpack_from("!I", self._rest)
            if size > MOST_PICKLE:
                raise DecodeError(f"a pickle of {size} bytes")
            if len(self._rest) < 4 + size:
                return
            frame, self._rest = self._rest[4 : 4 + size], self._rest[4 + size :]
            try:
                rows = [
                    Got(str(name), float(seconds), float(value))
                    for name, (seconds, value) in _Plain(io.BytesIO(frame)).load()
                ]
            except (
                pickle.UnpicklingError,
                ValueError,
                TypeError,
                EOFError,
                IndexError,
                AttributeError,
            ) as error:
                raise DecodeError(f"not a pickle of points: {error}") from error
            yield from rows
