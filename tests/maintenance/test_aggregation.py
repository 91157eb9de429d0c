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


def test_an_observation_needs_a_majority_and_a_single_member_is_not_trusted() -> None:
    three_observations = {
        "n0": observation(("x", "y")),
        "n1": observation(("x", "y"), ("y",), True, 4.0),
        "n2": observation(("x",)),
    }
    expected = ZoneStatus("a", 1, (), 8 * 5 / 3 / 4, False)
    assert combine_observations(three_observations, 5, 4.0) == ((expected,), ("x",))
    four_observations = {**three_observations, "n3": observation(("x", "y"), ("y",), True)}
    assert combine_observations(four_observations, 5, 0.0)[0] == (
        ZoneStatus("a", 2, ("y",), -1.0, True),
    )
    two_observations = {"n0": three_observations["n0"], "n1": three_observations["n1"]}
    assert combine_observations(two_observations, 5, 4.0) == ((), ())
