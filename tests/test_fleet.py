"""What is harmless in one ingress and harmful in forty: ingresses together, on a clock of the test's own."""

from __future__ import annotations

import random
from heapq import heappop, heappush

import pytest

from dockthread.backoff import PART, Backoff

SERVICE, PATIENCE, ROOM = 130.0, 2_000.0, 24  # ms a call; ms it waits at most; calls that wait


def asked(fleet: int, *, all_fail: bool, until: float, start: bool = False) -> tuple[list[float], list[float]]:
    """When each call of a fleet that lost discovery at 0 was made, and when calls were answered, by a service that
    works in turn, also on calls that nobody waits for any more."""
    ingresses = [Backoff(random.Random(seed), fleet) for seed in range(fleet)]
    due: list[tuple[float, int]] = []
    for number, backoff in enumerate(ingresses):
        heappush(due, (backoff.start() if start else backoff.again(), number))
    calls: list[float] = []
    served: list[float] = []
    free = 0.0
    while due and due[0][0] < until:
        now, number = heappop(due)
        calls.append(now)
        full = free - now > ROOM * SERVICE
        if not full:
            free = max(free, now) + SERVICE
        if all_fail or full:
            heappush(due, (now + 4.0 + ingresses[number].again(), number))
        elif free - now > PATIENCE:
            heappush(due, (now + PATIENCE + ingresses[number].again(), number))
        else:
            served.append(free)
    return calls, served


def most_within(times: list[float], window: float) -> int:
    return max(sum(1 for t in times if at <= t < at + window) for at in times)


@pytest.mark.parametrize("fleet", [4, 40, 120])
def test_a_fleet_that_loses_discovery_at_once_asks_again_spread_out(fleet: int) -> None:
    calls, _ = asked(fleet, all_fail=True, until=40_000.0)
    # With a fixed pause of 250 ms all of them would fall into each such window.
    assert most_within(calls, 250.0) <= 7
    assert len([t for t in calls if t >= 10_000.0]) <= 30 * 1.5 * 1000.0 / PART


@pytest.mark.parametrize("start", [False, True])
def test_discovery_overbooked_serves_all_of_a_fleet_in_turn(start: bool) -> None:
    _, served = asked(40, all_fail=False, until=60_000.0, start=start)
    assert len(served) == 40
    assert max(served) < (13_000.0 if not start else 8_000.0)


def test_a_backoff_grows_to_its_end_and_starts_anew() -> None:
    def ends(backoff: Backoff, times: int = 400) -> float:
        return max(backoff.again() for _ in range(times))

    backoff = Backoff(random.Random(1), 4)
    assert backoff.first == 1_000.0
    assert 1_900.0 < ends(backoff) <= 2_000.0
    backoff.reset()
    assert backoff.again() <= 1_000.0
