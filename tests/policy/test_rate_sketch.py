"""The count-min sketch of customers' decayed unit rates."""

from __future__ import annotations

import random

import pytest

from dockthread.policy import rate_sketch
from dockthread.policy.rate_sketch import RateSketch


def test_rate_decays_linearly_over_the_window() -> None:
    sketch = RateSketch(4.0, random.Random(1))
    # The customer was not seen before, so its units are spread over a very long gap.
    assert sketch.add(5, 2.0, 10.0) == pytest.approx(2.0 / 1e9, abs=1e-6)
    assert sketch.add(5, 4.0, 11.0) == pytest.approx(1.0, abs=1e-6)  # 0 * 3/4 + 4/4
    assert sketch.add(5, 2.0, 11.0) == pytest.approx(1.5, abs=1e-6)  # no division by a gap of 0
    assert sketch.add(5, 2.0, 13.0) == pytest.approx(1.25, abs=1e-6)  # 1.5 * 2/4 + 2/4
    assert sketch.add(5, 2.0, 18.0) == pytest.approx(0.4)  # 2/5: the gap exceeds the window


def test_rate_is_the_minimum_over_the_rows() -> None:
    sketch = RateSketch(4.0, random.Random(1))
    for row, (factor, offset) in enumerate(sketch.hash_coefficients):
        cell = (factor * 5 + offset) % rate_sketch.HASH_PRIME % rate_sketch.WIDTH
        sketch.rates[row][cell] = 3.0 + row
        sketch.updated_at[row][cell] = 10.0
    assert sketch.add(5, 0.0, 10.0) == pytest.approx(3.0)
