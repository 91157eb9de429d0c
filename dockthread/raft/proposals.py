"""Pending proposals, and the futures of the callers that wait for them."""

from __future__ import annotations

import asyncio

UNKNOWN_INDEX = 0  # index of a proposal that may or may not be in the log


class PendingProposals:
    """Futures of callers that wait for a commit, for the leader's response or for an applied index.

    The result of the first two is the index at which the proposal was committed, or
    `UNKNOWN_INDEX`.
    """

    def __init__(self) -> None:
        # Proposals that this leader appended: the entry's term and the future, by index.
        self._appended_by_index: dict[int, tuple[int, asyncio.Future[int]]] = {}
        # Proposals that were forwarded to the leader, by token.
        self._forwarded_by_token: dict[int, asyncio.Future[int]] = {}
        self._last_token = 0
        self._applied_waiters: list[tuple[int, asyncio.Future[None]]] = []

    def await_commit(self, index: int, term: int) -> asyncio.Future[int]:
        """Return a future for the commit of the entry that this leader appended at an index."""
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._appended_by_index[index] = (term, future)
        return future

    def await_response(self) -> tuple[int, asyncio.Future[int]]:
        """Return a new token and a future for the leader's response with that token."""
        self._last_token += 1
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._forwarded_by_token[self._last_token] = future
        return self._last_token, future

    def await_applied(self, index: int) -> asyncio.Future[None]:
        """Return a future that completes once the local state machine has applied an index."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._applied_waiters.append((index, future))
        return future

    def on_response(self, token: int, index: int) -> None:
        """Complete a forwarded proposal with the index from the leader's response."""
        future = self._forwarded_by_token.pop(token, None)
        if future is not None and not future.done():
            future.set_result(index)

    def forget_response(self, token: int) -> None:
        """Stop waiting for the leader's response to a forwarded proposal."""
        self._forwarded_by_token.pop(token, None)

    def on_applied(self, index: int) -> None:
        """Complete the futures of callers that waited for this index to be applied locally."""
        for awaited_index, future in self._applied_waiters:
            if awaited_index <= index and not future.done():
                future.set_result(None)
        self._applied_waiters = [
            (awaited_index, future)
            for awaited_index, future in self._applied_waiters
            if awaited_index > index and not future.done()
        ]

    def on_committed(self, index: int, term: int) -> None:
        """Complete the proposal that was appended at a committed index.

        If the term differs, another leader's entry has replaced the proposal.
        """
        pending = self._appended_by_index.pop(index, None)
        if pending is None:
            return
        proposed_term, future = pending
        if not future.done():
            future.set_result(index if proposed_term == term else UNKNOWN_INDEX)

    def on_role_changed(self, is_leader: bool) -> None:
        """Complete forwarded proposals with `UNKNOWN_INDEX`, since their leader may be gone.

        Proposals of this member are completed the same way if it is no longer the leader, because
        it can't tell whether they will be committed.
        """
        futures = [*self._forwarded_by_token.values()]
        if not is_leader:
            futures += [future for _, future in self._appended_by_index.values()]
            self._appended_by_index.clear()
        for future in futures:
            if not future.done():
                future.set_result(UNKNOWN_INDEX)

    def cancel(self) -> None:
        """Cancel the futures of all proposals."""
        for future in [
            *(future for _, future in self._appended_by_index.values()),
            *self._forwarded_by_token.values(),
        ]:
            future.cancel()
