"""Conversion of names to parts of a path, and uniqueness of the metrics' paths."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockthread.policy import Outcome
from dockthread.telemetry.catalogue import METRICS, path_part


@pytest.mark.parametrize(
    "name", ["a.b", "a b", "a\nb", "", ".", "ü", "a/b", "x" * 65536, "a;b=c", "\ud800"]
)
def test_a_name_with_unsafe_characters_becomes_one_bounded_part(name: str) -> None:
    found = path_part(name)
    assert 0 < len(found) <= 64
    assert found.replace("-", "").replace("_", "").isalnum()
    assert found != path_part(name + "x"), "different names must give different parts"
    assert path_part(found) == found


@given(st.text(max_size=80), st.text(max_size=80))
def test_different_names_have_different_parts(one: str, other: str) -> None:
    assert (path_part(one) == path_part(other)) == (one == other)


def test_no_path_is_listed_twice() -> None:
    assert len({metric.path for metric in METRICS}) == len(METRICS)


def test_every_outcome_of_an_attempt_has_a_part_of_its_own() -> None:
    assert len({path_part(outcome.value.replace(" ", "-")) for outcome in Outcome}) == len(Outcome)
