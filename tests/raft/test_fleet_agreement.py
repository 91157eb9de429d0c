"""The agreement: what travels, what a member answers, and many seeds of faults judged by a checker
of its own.
"""

from __future__ import annotations

import json
import random

import pytest
from click.testing import CliRunner

from dockthread.cli.lab import lab
from dockthread.lab.raft.seeded_defects import NAMES
from dockthread.lab.raft.seeds import SCENARIOS, play_seed
from dockthread.lab.seeds import play_many
from dockthread.raft import messages
from dockthread.raft.actions import (
    ApplyEntry,
    PersistEntries,
    PersistentState,
    RaftTiming,
    Role,
    SendMessage,
)
from dockthread.raft.core import RaftCore
from dockthread.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    MalformedFrameError,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)

THREE = ("a", "b", "c")


def member(me: str = "a", stored: PersistentState | None = None) -> RaftCore:
    return RaftCore(me, THREE, stored or PersistentState(), RaftTiming(), random.Random(1), 0.0)


def leader() -> RaftCore:
    """`a`, which `b` voted for in term 1 and which has committed its entry of nothing with it."""
    one = member()
    one.tick(2_000.0)
    one.step(2_001.0, VoteResponse(1, "b", True, pre_vote=True))
    one.step(2_002.0, VoteResponse(1, "b", True))
    one.step(2_003.0, AppendEntriesResponse(1, "b", True, 1, 1))
    assert one.role is Role.LEADER
    return one


def test_a_message_travels_whole_and_what_is_spoilt_says_why() -> None:
    told = AppendEntries(3, "n1", 4, 2, (Entry(3, EntryKind.COMMAND, b"x"),), 4, 9)
    frame = messages.pack(told, b"key")
    head, body = frame[: messages.FRAME_HEADER.size], frame[messages.FRAME_HEADER.size :]
    assert messages.length(head) == len(body)
    assert messages.unpack(head, body, b"key") == told
    for key, changed in ((b"other", body), (b"key", body[:-1] + b"\x00"), (b"", body)):
        with pytest.raises(MalformedFrameError, match="tag"):
            messages.unpack(head, changed, key)
    with pytest.raises(MalformedFrameError, match="version 9"):
        messages.length(messages.FRAME_HEADER.pack(3, 9, bytes(16)))
    with pytest.raises(MalformedFrameError, match="the most"):
        messages.length(messages.FRAME_HEADER.pack(messages.MAX_MESSAGE_BYTES + 1, 1, bytes(16)))
    for rubbish in (b"", b"\xc1", b"\x93\xa1a\x01\x02", b"\xff" * 40):
        with pytest.raises(MalformedFrameError, match="no message"):
            messages.unpack(messages.FRAME_HEADER.pack(len(rubbish), 1, bytes(16)), rubbish)


def test_a_vote_is_kept_before_it_is_sent_and_given_once_a_term() -> None:
    one = member()
    first = one.step(5_000.0, VoteRequest(1, "b", 0, 0))
    at = [type(action) for action in first]
    assert at.index(PersistEntries) < at.index(SendMessage)
    assert [a.voted_for for a in first if isinstance(a, PersistEntries)][-1] == "b"
    answers = [
        a.message
        for a in one.step(5_001.0, VoteRequest(1, "c", 0, 0))
        if isinstance(a, SendMessage)
    ]
    assert answers == [VoteResponse(1, "a", False)]


def test_no_vote_for_an_older_log_and_none_while_a_leader_is_heard() -> None:
    one = member(
        stored=PersistentState(
            term=2, entries=[Entry(1, EntryKind.COMMAND), Entry(2, EntryKind.COMMAND)]
        )
    )
    assert not granted(one, VoteRequest(3, "b", 5, 1))
    assert granted(one, VoteRequest(4, "b", 2, 2))
    one.step(9_000.0, AppendEntries(4, "c", 2, 2, (), 0, 1))
    assert one.step(9_100.0, VoteRequest(9, "b", 9, 4)) == []
    assert one.term == 4, "a member cut off from its leader unseats nobody"
    assert granted(one, VoteRequest(5, "b", 9, 4, leadership_transfer=True), 9_200.0), (
        "unless the leader told it to ask"
    )


def granted(one: RaftCore, ask: VoteRequest, now: float = 5_000.0) -> bool:
    actions = one.step(now, ask)
    return any(
        isinstance(a, SendMessage) and isinstance(a.message, VoteResponse) and a.message.granted
        for a in actions
    )


def test_an_entry_of_an_older_term_is_not_committed_by_count() -> None:
    one = member(stored=PersistentState(term=1, entries=[Entry(1, EntryKind.COMMAND, b"old")]))
    one.tick(2_000.0)
    one.step(2_001.0, VoteResponse(2, "b", True, pre_vote=True))
    one.step(2_002.0, VoteResponse(2, "b", True))
    assert not [
        a
        for a in one.step(2_003.0, AppendEntriesResponse(2, "b", True, 1, 1))
        if isinstance(a, ApplyEntry)
    ]
    applied = [
        a.index
        for a in one.step(2_004.0, AppendEntriesResponse(2, "b", True, 2, 1))
        if isinstance(a, ApplyEntry)
    ]
    assert applied == [1, 2], "with the first of its own term"


def test_a_leader_that_reaches_no_majority_stops_and_commits_nothing() -> None:
    one = leader()
    index, actions = one.propose(2_100.0, b"alone")
    assert index == 2
    for step in range(12):
        actions += one.tick(2_100.0 + 100 * step)
    assert one.role is Role.FOLLOWER
    assert not [a for a in actions if isinstance(a, ApplyEntry)]
    assert one.propose(3_500.0, b"more")[0] is None
    assert not one.read_index(3_500.0, 1)[0]


@pytest.mark.parametrize(
    ("voters", "taken"),
    [("a b c d", False), ("a b", True), ("a", False), ("b c d e", False), ("", False)],
    ids=["one that is not there", "one less", "two less", "two changes", "none"],
)
def test_voters_change_one_at_a_time_and_only_to_who_is_there(voters: str, taken: bool) -> None:
    one = leader()
    assert (one.propose(2_100.0, voters.encode(), EntryKind.VOTERS)[0] is not None) is taken
    if taken:
        assert one.propose(2_101.0, b"a b c", EntryKind.VOTERS)[0] is None, (
            "while the one before is under way"
        )


def test_a_leader_hands_over_to_the_voter_that_is_furthest() -> None:
    one = leader()
    told = [
        a
        for a in one.transfer_leadership(2_100.0)
        if isinstance(a, SendMessage) and isinstance(a.message, TimeoutNow)
    ]
    assert [a.to for a in told] == ["b"]
    assert one.propose(2_101.0, b"late")[0] is None


@pytest.mark.parametrize("name", list(SCENARIOS))
def test_no_rule_breaks_in_some_seeds_of_each_scenario(name: str) -> None:
    for chunk in play_many(play_seed, name, range(20 if "turns" in name else 60), jobs=1):
        assert not chunk.found


@pytest.mark.parametrize("plant", NAMES)
def test_each_planted_bug_is_found(plant: str) -> None:
    rare = {
        "vote-not-kept": [("work-agreement-five", 116)],
        "epoch-unchecked": [("work-agreement", 41)],
    }
    common = [
        (name, seed) for seed in range(30) for name in ("work-agreement-five", "work-agreement")
    ]
    assert any(play_seed(name, seed, plant).broken for name, seed in rare.get(plant, common))


def test_one_seed_gives_the_same_record_each_time_and_the_commands_show_it() -> None:
    run = CliRunner().invoke
    first = run(lab, ["fleet", "replay", "work-agreement", "7"])
    assert first.exit_code == 0
    assert first.output == run(lab, ["fleet", "replay", "work-agreement", "7"]).output
    assert "applies" in first.output
    found = run(
        lab,
        [
            "fleet",
            "seeds",
            "work-agreement",
            "--seeds",
            "0..3",
            "--plant",
            "small-majority",
            "--json",
        ],
    )
    assert found.exit_code == 1
    assert json.loads(found.output)["broken"][0]["rule"]
    assert run(lab, ["fleet", "scenarios"]).output.startswith("work-agreement")
    assert (
        run(lab, ["fleet", "seeds", "work-agreement", "--plant", "list"]).output.split()[0] in NAMES
    )
    assert run(lab, ["fleet", "seeds", "work-agreement", "--seeds", "9..3"]).exit_code == 2
    assert run(lab, ["fleet", "seeds", "work-agreement", "--plant", "no-such"]).exit_code == 2
