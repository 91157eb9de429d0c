"""Raft cores of a cluster with three voters, and helpers that inspect their actions."""

from __future__ import annotations

import random

from dockthread.raft.actions import (
    Action,
    ApplyEntry,
    PersistentState,
    RaftTiming,
    Role,
    SendMessage,
)
from dockthread.raft.core import RaftCore
from dockthread.raft.messages import AppendEntriesResponse, Message, VoteRequest, VoteResponse

VOTERS = ("a", "b", "c")


def follower(member_id: str = "a", stored: PersistentState | None = None) -> RaftCore:
    stored = stored or PersistentState()
    return RaftCore(member_id, VOTERS, stored, RaftTiming(), random.Random(1), 0.0)


def leader() -> RaftCore:
    """Return core `a` as leader of term 1: `b` has voted for it and holds its no-op."""
    core = follower()
    core.tick(2_000.0)
    core.step(2_001.0, VoteResponse(1, "b", True, pre_vote=True))
    core.step(2_002.0, VoteResponse(1, "b", True))
    core.step(2_003.0, AppendEntriesResponse(1, "b", True, 1, 1))
    assert core.role is Role.LEADER
    return core


def sent(actions: list[Action]) -> list[Message]:
    return [action.message for action in actions if isinstance(action, SendMessage)]


def applied_indices(actions: list[Action]) -> list[int]:
    return [action.index for action in actions if isinstance(action, ApplyEntry)]


def grants_vote(core: RaftCore, request: VoteRequest, now: float = 5_000.0) -> bool:
    messages = sent(core.step(now, request))
    return any(isinstance(message, VoteResponse) and message.granted for message in messages)
