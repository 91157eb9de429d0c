"""Elections of the Raft core: votes, pre-votes, stepping down and leadership transfer."""

from __future__ import annotations

from dockthread.raft.actions import PersistEntries, PersistentState, Role, SendMessage
from dockthread.raft.messages import (
    AppendEntries,
    Entry,
    EntryKind,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from tests.raft.core_helpers import applied_indices, follower, grants_vote, leader, sent


def test_vote_is_persisted_before_it_is_sent_and_granted_once_per_term() -> None:
    core = follower()
    actions = core.step(5_000.0, VoteRequest(1, "b", 0, 0))
    action_types = [type(action) for action in actions]
    assert action_types.index(PersistEntries) < action_types.index(SendMessage)
    votes = [action.voted_for for action in actions if isinstance(action, PersistEntries)]
    assert votes[-1] == "b"
    second_response = core.step(5_001.0, VoteRequest(1, "c", 0, 0))
    assert sent(second_response) == [VoteResponse(1, "a", False)]


def test_vote_is_refused_for_an_older_log_and_while_the_leader_is_alive() -> None:
    entries = [Entry(1, EntryKind.COMMAND), Entry(2, EntryKind.COMMAND)]
    core = follower(stored=PersistentState(term=2, entries=entries))
    assert not grants_vote(core, VoteRequest(3, "b", 5, 1))
    assert grants_vote(core, VoteRequest(4, "b", 2, 2))
    core.step(9_000.0, AppendEntries(4, "c", 2, 2, (), 0, 1))
    assert core.step(9_100.0, VoteRequest(9, "b", 9, 4)) == []
    assert core.term == 4, "a member that lost contact with the leader must not depose it"
    transfer = VoteRequest(5, "b", 9, 4, leadership_transfer=True)
    assert grants_vote(core, transfer, 9_200.0), "the leader asked this candidate to campaign"


def test_leader_without_a_majority_steps_down_and_commits_nothing() -> None:
    core = leader()
    index, actions = core.propose(2_100.0, b"alone")
    assert index == 2
    for step in range(12):
        actions += core.tick(2_100.0 + 100 * step)
    assert core.role is Role.FOLLOWER
    assert not applied_indices(actions)
    assert core.propose(3_500.0, b"more")[0] is None
    assert not core.read_index(3_500.0, 1)[0]


def test_leadership_is_transferred_to_the_voter_with_the_longest_log() -> None:
    core = leader()
    targets = [
        action.to
        for action in core.transfer_leadership(2_100.0)
        if isinstance(action, SendMessage) and isinstance(action.message, TimeoutNow)
    ]
    assert targets == ["b"]
    assert core.propose(2_101.0, b"late")[0] is None
