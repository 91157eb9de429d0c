"""Aggregation of the members' observations by majority."""

from __future__ import annotations

from dockthread.maintenance.aggregation import (
    MemberObservation,
    ZoneObservation,
    combine_observations,
)
from dockthread.maintenance.commands import ZoneStatus


def observation(
    ready: tuple[str, ...],
    failing: tuple[str, ...] = (),
    is_overloaded: bool = False,
    in_flight: float = 2.0,
) -> MemberObservation:
    zone = ZoneObservation("a", ready, failing, in_flight, is_overloaded)
    return MemberObservation((zone,), ("x",))


def test_an_observation_takes_a_majority_and_no_one_member_alone_is_believed() -> None:
    three = {
        "n0": observation(("x", "y")),
        "n1": observation(("x", "y"), ("y",), True, 4.0),
        "n2": observation(("x",)),
    }
    expected = ZoneStatus("a", 1, (), 8 * 5 / 3 / 4, False)
    assert combine_observations(three, 5, 4.0) == ((expected,), ("x",))
    four = {**three, "n3": observation(("x", "y"), ("y",), True)}
    assert combine_observations(four, 5, 0.0)[0] == (ZoneStatus("a", 2, ("y",), -1.0, True),)
    two = {"n0": three["n0"], "n1": three["n1"]}
    assert combine_observations(two, 5, 4.0) == ((), ())
