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
def test_unsafe_names_become_one_part_of_limited_length(name: str) -> None:
    part = path_part(name)
    assert 0 < len(part) <= 64
    assert part.replace("-", "").replace("_", "").isalnum()
    assert part != path_part(name + "x"), "different names must give different parts"
    assert path_part(part) == part


@given(st.text(max_size=80), st.text(max_size=80))
def test_different_names_have_different_parts(first: str, second: str) -> None:
    assert (path_part(first) == path_part(second)) == (first == second)


def test_metric_paths_are_unique() -> None:
    assert len({metric.path for metric in METRICS}) == len(METRICS)


def test_attempt_outcomes_have_distinct_path_parts() -> None:
    assert len({path_part(outcome.value.replace(" ", "-")) for outcome in Outcome}) == len(Outcome)
