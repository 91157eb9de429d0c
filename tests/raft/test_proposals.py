"""Callers that wait for a proposal, and when their futures complete."""

from __future__ import annotations

import asyncio

from dockthread.raft.proposals import UNKNOWN_INDEX, PendingProposals


def test_proposal_is_committed_only_if_its_own_entry_is_at_the_index() -> None:
    async def scenario() -> None:
        proposals = PendingProposals()
        own_commit = proposals.await_commit(index=4, term=2)
        replaced_commit = proposals.await_commit(index=5, term=2)
        proposals.on_committed(index=4, term=2)
        proposals.on_committed(index=5, term=3)
        assert (await own_commit, await replaced_commit) == (4, UNKNOWN_INDEX)

    asyncio.run(scenario())


def test_outcome_is_unknown_once_the_leader_of_the_proposal_has_changed() -> None:
    async def scenario() -> None:
        proposals = PendingProposals()
        local = proposals.await_commit(index=4, term=2)
        token, forwarded = proposals.await_response()
        proposals.on_role_changed(is_leader=True)
        assert await forwarded == UNKNOWN_INDEX
        assert not local.done(), "the leader will learn whether its own proposal is committed"
        proposals.on_role_changed(is_leader=False)
        assert await local == UNKNOWN_INDEX
        proposals.on_response(token, 7)
        assert forwarded.result() == UNKNOWN_INDEX, "a late response must be ignored"

    asyncio.run(scenario())


def test_caller_waits_until_the_index_is_applied_locally() -> None:
    async def scenario() -> None:
        proposals = PendingProposals()
        index_3_applied, index_5_applied = proposals.await_applied(3), proposals.await_applied(5)
        proposals.on_applied(4)
        assert index_3_applied.done() and not index_5_applied.done()
        proposals.on_applied(6)
        assert index_5_applied.done()

    asyncio.run(scenario())
