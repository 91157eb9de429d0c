"""A leader's view of another member's log."""

from __future__ import annotations

from dockthread.raft.progress import Progress, ProgressTracker


def test_rejected_entries_are_sent_again_from_an_earlier_index() -> None:
    progress = Progress(next_index=10)
    progress.back_off(match_index=4)
    assert progress.next_index == 5
    progress.back_off(match_index=9)
    assert progress.next_index == 5, "a rejection must not move the next index forward"
    progress.accept(match_index=3)
    progress.back_off(match_index=0)
    assert progress.next_index == 4, "the next index must stay after the match index"


def test_entries_stay_in_flight_until_their_round_is_answered() -> None:
    progress = Progress(next_index=1, in_flight_round=3)
    progress.acknowledge(heartbeat_round=2, now=1.0)
    assert progress.in_flight_round == 3
    progress.acknowledge(heartbeat_round=3, now=2.0)
    assert progress.in_flight_round is None
    assert (progress.acknowledged_round, progress.last_response_at) == (3, 2.0)


def test_new_term_counts_every_member_as_having_responded() -> None:
    tracker = ProgressTracker()
    tracker.get_or_create("old", next_index=1).accept(match_index=7)
    tracker.reset(("a", "b"), next_index=3, now=100.0)
    tracker.get_or_create("late", next_index=3)
    assert tracker.responded_within(50.0, now=149.0) == {"a", "b"}
    assert tracker.responded_within(50.0, now=150.0) == set()
    assert (tracker.match_index("old"), tracker.members_holding(1)) == (0, set())
