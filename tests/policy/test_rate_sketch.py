"""The count-min sketch of customers' decayed unit rates."""

from __future__ import annotations

import random

import pytest

from dockthread.policy import (
    rate_sketch,
)
from dockthread.policy.rate_sketch import Sketch


def test_sketch_moves_as_by_hand() -> None:
    kept = Sketch(4.0, random.Random(1))
    # long unseen: units over the gap
    assert kept.add(5, 2.0, 10.0) == pytest.approx(2.0 / 1e9, abs=1e-6)
    assert kept.add(5, 4.0, 11.0) == pytest.approx(1.0, abs=1e-6)  # 0 * 3/4 + 4/4
    assert kept.add(5, 2.0, 11.0) == pytest.approx(1.5, abs=1e-6)  # at the same moment: no division
    assert kept.add(5, 2.0, 13.0) == pytest.approx(1.25, abs=1e-6)  # 1.5 * 2/4 + 2/4
    assert kept.add(5, 2.0, 18.0) == pytest.approx(0.4)  # beyond the window: 2/5


def test_sketch_takes_the_least_row() -> None:
    kept = Sketch(4.0, random.Random(1))
    for row, (a, b) in enumerate(kept.salts):
        cell = (a * 5 + b) % rate_sketch.PRIME % rate_sketch.CELLS
        kept.rates[row][cell], kept.times[row][cell] = 3.0 + row, 10.0
    assert kept.add(5, 0.0, 10.0) == pytest.approx(3.0)
