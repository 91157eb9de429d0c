"""Quantities with units, as the operator's file writes them: `250ms`, `10s`, `64KiB`."""

from __future__ import annotations

import re

MILLISECONDS = {
    "us": 0.001,
    "ms": 1.0,
    "s": 1_000.0,
    "m": 60_000.0,
    "min": 60_000.0,
    "h": 3_600_000.0,
}
BYTES = {"b": 1, "kib": 1 << 10, "mib": 1 << 20, "gib": 1 << 30, "kb": 1_000, "mb": 1_000_000}
NUMBER = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]*)")
YES, NO = ("yes", "true", "on", "1"), ("no", "false", "off", "0")


class Duration(float):
    """A length of time in milliseconds."""

    @classmethod
    def parse(cls, text: str) -> Duration:
        """Raises ValueError for what is no number with a unit of time."""
        found = NUMBER.fullmatch(text.strip())
        if found is None or found[2].lower() not in MILLISECONDS:
            raise ValueError(
                "is not a duration: a number and one of us, ms, s, min, h, such as 250ms or 10s"
            )
        return cls(float(found[1]) * MILLISECONDS[found[2].lower()])

    def __str__(self) -> str:
        for unit, size in (("h", 3_600_000), ("min", 60_000), ("s", 1_000)):
            if self >= size and self % size == 0:
                return f"{int(self / size)}{unit}"
        return f"{self:g}ms" if self >= 1 or not self else f"{self * 1000:g}us"


class Size(int):
    """A number of bytes."""

    @classmethod
    def parse(cls, text: str) -> Size:
        """Raises ValueError for what is no number with a unit of size."""
        found = NUMBER.fullmatch(text.strip())
        if found is None or found[2].lower() not in BYTES:
            raise ValueError("is not a size: a number and one of B, KiB, MiB, GiB, such as 64KiB")
        return cls(float(found[1]) * BYTES[found[2].lower()])

    def __str__(self) -> str:
        for unit, size in (("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)):
            if self >= size and self % size == 0:
                return f"{int(self) // size}{unit}"
        return f"{int(self)}B"


class Share(float):
    """A part of a whole: `0.05` or `5%`."""

    @classmethod
    def parse(cls, text: str) -> Share:
        """Raises ValueError for what is no part."""
        found = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)\s*(%?)", text.strip())
        if found is None:
            raise ValueError("is no share: write a number such as 0.05, or 5%")
        return cls(float(found[1]) / (100.0 if found[2] else 1.0))

    def __str__(self) -> str:
        return f"{float(self):g}"


def parse_bool(text: str) -> bool:
    word = text.strip().lower()
    if word not in YES + NO:
        raise ValueError("is neither yes nor no")
    return word in YES
