"""Quantities with units, as written in the operator's file: `250ms`, `10s`, `64KiB`, `5%`."""

from __future__ import annotations

import re

MILLISECONDS_BY_UNIT = {
    "us": 0.001,
    "ms": 1.0,
    "s": 1_000.0,
    "m": 60_000.0,
    "min": 60_000.0,
    "h": 3_600_000.0,
}
BYTES_BY_UNIT = {
    "b": 1,
    "kib": 1 << 10,
    "mib": 1 << 20,
    "gib": 1 << 30,
    "kb": 1_000,
    "mb": 1_000_000,
}
# The units in which a quantity is shown, largest first.
SHOWN_DURATION_UNITS = (("h", 3_600_000), ("min", 60_000), ("s", 1_000))
SHOWN_SIZE_UNITS = (("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10))
QUANTITY_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]*)")
SHARE_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(%?)")
TRUE_WORDS = ("yes", "true", "on", "1")
FALSE_WORDS = ("no", "false", "off", "0")


class Duration(float):
    """A duration in milliseconds."""

    @classmethod
    def parse(cls, text: str) -> Duration:
        """Parse a number with a unit of time, such as `250ms`.

        Raises:
            ValueError: The text is not a duration.
        """
        match = QUANTITY_PATTERN.fullmatch(text.strip())
        if match is None or match[2].lower() not in MILLISECONDS_BY_UNIT:
            raise ValueError(
                "is not a duration: write a number and a unit (us, ms, s, min, h), such as 250ms"
            )
        return cls(float(match[1]) * MILLISECONDS_BY_UNIT[match[2].lower()])

    def __str__(self) -> str:
        for unit, size in SHOWN_DURATION_UNITS:
            if self >= size and self % size == 0:
                return f"{int(self / size)}{unit}"
        return f"{self:g}ms" if self >= 1 or not self else f"{self * 1000:g}us"


class Size(int):
    """A number of bytes."""

    @classmethod
    def parse(cls, text: str) -> Size:
        """Parse a number with a unit of size, such as `64KiB`.

        Raises:
            ValueError: The text is not a size.
        """
        match = QUANTITY_PATTERN.fullmatch(text.strip())
        if match is None or match[2].lower() not in BYTES_BY_UNIT:
            raise ValueError(
                "is not a size: write a number and a unit (B, KiB, MiB, GiB), such as 64KiB"
            )
        return cls(float(match[1]) * BYTES_BY_UNIT[match[2].lower()])

    def __str__(self) -> str:
        for unit, size in SHOWN_SIZE_UNITS:
            if self >= size and self % size == 0:
                return f"{int(self) // size}{unit}"
        return f"{int(self)}B"


class Share(float):
    """A fraction, written as `0.05` or `5%`."""

    @classmethod
    def parse(cls, text: str) -> Share:
        """Parse a number or a percentage.

        Raises:
            ValueError: The text is neither.
        """
        match = SHARE_PATTERN.fullmatch(text.strip())
        if match is None:
            raise ValueError("is not a share: write a number such as 0.05, or 5%")
        return cls(float(match[1]) / (100.0 if match[2] else 1.0))

    def __str__(self) -> str:
        return f"{float(self):g}"


def parse_bool(text: str) -> bool:
    """Parse `yes` or `no`, or one of their synonyms, in upper or lower case.

    Raises:
        ValueError: The text is neither.
    """
    word = text.strip().lower()
    if word not in TRUE_WORDS + FALSE_WORDS:
        raise ValueError("is neither yes nor no")
    return word in TRUE_WORDS
