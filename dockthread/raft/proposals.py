"""Proposals whose outcome is not known yet, and who waits for it."""

from __future__ import annotations

import asyncio

UNKNOWN_INDEX = 0  # the outcome of a proposal that may or may not be in the log


class PendingProposals:
    """Futures of proposals by index, by token and by the index that has to be applied here.

    The result of a future is the index at which the proposal was committed, or `UNKNOWN_INDEX`.
    """

    def __init__(self) -> None:
        self._by_index: dict[int, tuple[int, asyncio.Future[int]]] = {}  # with the entry's term
        self._by_token: dict[int, asyncio.Future[int]] = {}  # forwarded to the leader
        self._last_token = 0
        self._unapplied: list[tuple[int, asyncio.Future[None]]] = []

    def await_commit(self, index: int, term: int) -> asyncio.Future[int]:
        """Return a future for the entry that this leader appended at an index in a term."""
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._by_index[index] = (term, future)
        return future

    def await_response(self) -> tuple[int, asyncio.Future[int]]:
        """Return a new token and a future for the leader's response to it."""
        self._last_token += 1
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._by_token[self._last_token] = future
        return self._last_token, future

    def await_applied(self, index: int) -> asyncio.Future[None]:
        """Return a future that is done once the state machine here has applied an index."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._unapplied.append((index, future))
        return future

    def on_response(self, token: int, index: int) -> None:
        """The leader has responded to a forwarded proposal."""
        future = self._by_token.pop(token, None)
        if future is not None and not future.done():
            future.set_result(index)

    def forget_response(self, token: int) -> None:
        """Wait no longer for the leader's response."""
        self._by_token.pop(token, None)

    def on_applied(self, index: int) -> None:
        """The state machine here has applied all entries up to an index."""
        for awaited, future in self._unapplied:
            if awaited <= index and not future.done():
                future.set_result(None)
        self._unapplied = [
            (awaited, future)
            for awaited, future in self._unapplied
            if awaited > index and not future.done()
        ]

    def on_committed(self, index: int, term: int) -> None:
        """An entry of this term is committed at an index; it may be another than was proposed."""
        pending = self._by_index.pop(index, None)
        if pending is None:
            return
        proposed_term, future = pending
        if not future.done():
            future.set_result(index if proposed_term == term else UNKNOWN_INDEX)

    def on_role_changed(self, is_leader: bool) -> None:
        """Give up on responses of the former leader, and on own proposals unless this one leads.

        A member that leads no more can't tell what is committed.
        """
        futures = [*self._by_token.values()]
        if not is_leader:
            futures += [future for _, future in self._by_index.values()]
            self._by_index.clear()
        for future in futures:
            if not future.done():
                future.set_result(UNKNOWN_INDEX)

    def cancel(self) -> None:
        """Cancel whoever waits for the outcome of a proposal."""
        for future in [
            *(future for _, future in self._by_index.values()),
            *self._by_token.values(),
        ]:
            future.cancel()
