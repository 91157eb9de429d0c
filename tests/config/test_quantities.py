"""Quantities with units: parsing, formatting, and rejected texts."""

from __future__ import annotations

import pytest

from dockthread.config.quantities import Duration, Share, Size, parse_bool


@pytest.mark.parametrize(
    ("text", "ms"),
    [("250ms", 250), ("10s", 10_000), ("1.5 s", 1500), ("2min", 120_000), ("500us", 0.5)],
)
def test_a_duration_is_parsed_as_milliseconds_and_round_trips(text: str, ms: float) -> None:
    assert Duration.parse(text) == ms
    assert Duration.parse(str(Duration.parse(text))) == ms


@pytest.mark.parametrize("text", ["", "10", "s", "-1s", "1e3s", "10 parsecs", "1s 2s", "inf s"])
def test_a_duration_needs_a_number_and_a_unit_of_time(text: str) -> None:
    with pytest.raises(ValueError, match="not a duration"):
        Duration.parse(text)


@pytest.mark.parametrize(
    ("text", "size"), [("64KiB", 65536), ("1MiB", 1 << 20), ("7B", 7), ("2kb", 2000)]
)
def test_a_size_is_parsed_as_bytes_and_round_trips(text: str, size: int) -> None:
    assert Size.parse(text) == size
    assert Size.parse(str(Size.parse(text))) == size


@pytest.mark.parametrize("text", ["", "64", "KiB", "-1B", "1 parsec"])
def test_a_size_needs_a_number_and_a_unit_of_size(text: str) -> None:
    with pytest.raises(ValueError, match="not a size"):
        Size.parse(text)


@pytest.mark.parametrize(("text", "share"), [("0.05", 0.05), ("5%", 0.05), ("20 %", 0.2)])
def test_a_share_is_parsed_from_a_number_or_a_percentage(text: str, share: float) -> None:
    assert Share.parse(text) == share


@pytest.mark.parametrize(("text", "value"), [("yes", True), ("On", True), ("0", False)])
def test_a_boolean_is_parsed_from_its_synonyms(text: str, value: bool) -> None:
    assert parse_bool(text) is value
