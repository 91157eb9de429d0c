"""Tests the selection of a subscriber's server."""

from __future__ import annotations

from dockthread.control_plane.server_selection import CandidateServer, ServerSelector


def test_subscribers_spread_evenly_over_the_nearest_servers_and_avoid_penalized_ones() -> None:
    servers = [CandidateServer(f"d{number}", number % 2) for number in range(10)]
    selected = [ServerSelector(f"i{number}", servers).select(0.0) for number in range(1_000)]
    counts = {name: selected.count(name) for name in set(selected)}
    assert set(counts) == {"d0", "d2", "d4", "d6", "d8"} and max(counts.values()) < 1.35 * min(
        counts.values()
    )
    selector = ServerSelector("i1", servers)
    preferred = selector.select(0.0)
    selector.penalize(preferred, 50.0)
    assert selector.select(0.0) != preferred == selector.select(50.0) and selector.is_preferred(
        preferred
    )
