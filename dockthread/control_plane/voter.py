"""A voter proposes changes to the replicated log and serves the accepted resources.

`dockthread.raft` replicates the log. Each voter applies the log entries to a `PublishStateMachine`
and serves its table to distributors.
"""

from __future__ import annotations

import random
from typing import Final

import msgspec

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.control_plane.messages import PublishRequest, PublishResponse
from dockthread.control_plane.publish_state_machine import (
    OUTCOME_UNKNOWN,
    REJECTED,
    PublishStateMachine,
)
from dockthread.control_plane.resource_schemas import VALIDATORS
from dockthread.control_plane.server import ControlPlaneServer, TableSource
from dockthread.control_plane.server_settings import ServerSettings
from dockthread.framing import MessageCounts
from dockthread.raft.options import FleetOptions
from dockthread.raft.server import RaftServer

COMMIT_TIMEOUT: Final = 3_000.0
"""Maximum time in ms that a publisher waits for a change to be committed."""
NOT_COMMITTED_REASON: Final = (
    "no majority has agreed in time: ask again with the same token, and it counts once"
)
RAFT_SEED_BITS: Final = 32
"""Size in bits of the random seed of the Raft server."""


class Voter:
    """A member of the replicated log, and the server of its table.

    Attributes:
        state_machine: Holds the accepted resources.
        server: Serves the accepted resources to subscribers.
        raft_server: Member of the replicated log.
    """

    def __init__(
        self, settings: ServerSettings, fleet: FleetOptions, clock: Clock, rng: random.Random
    ) -> None:
        """Open the log's directory.

        Raises:
            OSError: The directory cannot be used.
            ValueError: The key or the members cannot be used.
            dockthread.raft.storage.RaftStorageError: The log was lost.
        """
        self.state_machine = PublishStateMachine(VALIDATORS, rng)
        source = TableSource(self.state_machine.table, self.age)
        self.server = ControlPlaneServer(settings, source, clock, rng, self)
        self.raft_server = RaftServer(
            settings.name, fleet, clock, rng.getrandbits(RAFT_SEED_BITS), self
        )
        self._is_serving = False

    async def open(self, listen: Address) -> Address:
        """Start serving, join the replicated log, and return the listening address.

        Raises:
            OSError: The server cannot listen on the address.
            ValueError: The log does not belong to a control plane.
        """
        address = await self.server.open(listen)
        self._is_serving = True
        try:
            await self.raft_server.open()
        except msgspec.MsgspecError as error:
            raise ValueError(
                f"[fleet] directory: the log does not belong to a control plane: {error}"
            ) from error
        return address

    async def close(self) -> None:
        """Leave the replicated log, handing over leadership if needed, and stop serving."""
        await self.raft_server.close()
        await self.server.close()

    def age(self) -> float:
        """Return the time in ms for which the table may have lacked a change; -1 if unknown."""
        return self.raft_server.staleness_ms()

    @property
    def messages(self) -> MessageCounts:
        """Counts of messages exchanged with the other voters and with subscribers."""
        return self.raft_server.message_counts + self.server.messages

    async def publish(self, request: PublishRequest) -> PublishResponse:
        """Commit a change to the log; a retry with the same token is applied only once."""
        known_outcome = self.state_machine.response_for(request.token)
        if known_outcome is not None:
            return known_outcome
        if reason := self.state_machine.rejection_reason(request):
            return PublishResponse(request.token, REJECTED, reason)
        proposal = self.state_machine.encode_proposal(request)
        unknown_outcome = PublishResponse(request.token, OUTCOME_UNKNOWN, NOT_COMMITTED_REASON)
        if not await self.raft_server.propose(proposal, COMMIT_TIMEOUT):
            return unknown_outcome
        return self.state_machine.response_for(request.token) or unknown_outcome

    # Methods of the log's state machine (`dockthread.raft.server.StateMachine`)

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed entry."""
        self.state_machine.apply(index, data)
        self._on_table_changed()

    def restore(self, index: int, state: bytes) -> None:
        """Replace the state with that of a snapshot of the log."""
        self.state_machine.restore(index, state)
        self._on_table_changed()

    def snapshot(self) -> bytes:
        """Return the encoded state for a snapshot of the log."""
        return self.state_machine.state()

    def on_applied(self, index: int, term: int) -> None:
        """Do nothing: `apply` has already handled the entry."""

    def on_status_report(self, sender: str, data: bytes) -> None:
        """Do nothing: voters of the control plane send no status reports."""

    def on_leader_changed(self) -> None:
        """Do nothing: the current leader is looked up when needed."""

    def _on_table_changed(self) -> None:
        if self._is_serving:
            self.server.on_table_changed()
