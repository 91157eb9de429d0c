"""The log of the Raft core: commits and membership changes."""

from __future__ import annotations

import pytest

from dockthread.raft.actions import PersistentState
from dockthread.raft.messages import AppendEntriesResponse, Entry, EntryKind, VoteResponse
from tests.raft.core_helpers import applied_indices, follower, leader


def test_entry_of_an_older_term_is_not_committed_by_counting_replicas() -> None:
    stored = PersistentState(term=1, entries=[Entry(1, EntryKind.COMMAND, b"old")])
    core = follower(stored=stored)
    core.tick(2_000.0)
    core.step(2_001.0, VoteResponse(2, "b", True, pre_vote=True))
    core.step(2_002.0, VoteResponse(2, "b", True))
    actions_for_old_entry = core.step(2_003.0, AppendEntriesResponse(2, "b", True, 1, 1))
    assert not applied_indices(actions_for_old_entry)
    actions_for_own_entry = core.step(2_004.0, AppendEntriesResponse(2, "b", True, 2, 1))
    assert applied_indices(actions_for_own_entry) == [1, 2], (
        "the first entry of the leader's own term commits the older one"
    )


@pytest.mark.parametrize(
    ("voters", "is_accepted"),
    [("a b c d", False), ("a b", True), ("a", False), ("b c d e", False), ("", False)],
    ids=["unresponsive voter added", "one removed", "two removed", "several changed", "none left"],
)
def test_voters_change_one_at_a_time_and_only_to_responsive_members(
    voters: str, is_accepted: bool
) -> None:
    core = leader()
    index, _ = core.propose(2_100.0, voters.encode(), EntryKind.VOTERS)
    assert (index is not None) is is_accepted
    if is_accepted:
        index, _ = core.propose(2_101.0, b"a b c", EntryKind.VOTERS)
        assert index is None, "the previous change is still pending"
