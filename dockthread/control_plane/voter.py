"""A voter: takes changes into the agreed log (`fleet/member.py`) and serves distributors from what
is agreed.
"""

from __future__ import annotations

import random

import msgspec

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.control_plane.fanout import FanOutLimits
from dockthread.control_plane.messages import PublishRequest, PublishResponse
from dockthread.control_plane.publish_state_machine import PublishStateMachine
from dockthread.control_plane.resource_schemas import VALIDATORS
from dockthread.control_plane.server import ControlPlaneServer, ServerLimits
from dockthread.framing import MessageCounts
from dockthread.raft.options import FleetOptions
from dockthread.raft.server import RaftServer

AGREEMENT = 3_000.0  # ms that a publisher waits for the agreed log
NOT_AGREED = "no majority has agreed in time: ask again with the same token, and it counts once"


class Voter:
    """One member of the agreed log of control, and its server."""

    def __init__(
        self,
        name: str,
        fleet: FleetOptions,
        clock: Clock,
        rng: random.Random,
        limits: ServerLimits | None = None,
        fanout_limits: FanOutLimits | None = None,
        key: bytes = b"",
    ) -> None:
        """Raises OSError, ValueError or `fleet.store.Lost` where the directory or the key cannot be
        used.
        """
        self.publishing = PublishStateMachine(VALIDATORS, rng)
        self.server = ControlPlaneServer(
            name,
            "voter",
            self.publishing.table,
            clock,
            rng,
            self.age,
            limits,
            fanout_limits,
            key,
            self,
        )
        self.member = RaftServer(name, fleet, clock, rng.getrandbits(32), self)
        self._clock, self._serving = clock, False

    async def open(self, listen: Address) -> Address:
        """Serve, and take part. Raises OSError where it cannot listen, ValueError for a state that
        means nothing.
        """
        at = await self.server.open(listen)
        self._serving = True
        try:
            await self.member.open()
        except msgspec.MsgspecError as error:
            raise ValueError(
                f"[fleet] directory: its log is not that of control: {error}"
            ) from error
        return at

    async def close(self) -> None:
        """Leave the log, handing over where it leads, and stop serving."""
        await self.member.close()
        await self.server.close()

    def age(self) -> float:
        """ms since what is applied here was known to be all that was agreed on; -1 for never."""
        return self.member.staleness_ms()

    @property
    def messages(self) -> MessageCounts:
        """With the other voters and with those whom it serves."""
        return self.member.message_counts + self.server.messages

    async def publish(self, change: PublishRequest) -> PublishResponse:
        """Have the log agree on a change. The same token counts once."""
        if (known := self.publishing.response_for(change.token)) is not None:
            return known
        if reason := self.publishing.rejection_reason(change):
            return PublishResponse(change.token, 0, reason)
        if not await self.member.propose(self.publishing.encode_proposal(change), AGREEMENT):
            return PublishResponse(change.token, -1, NOT_AGREED)
        return self.publishing.response_for(change.token) or PublishResponse(
            change.token, -1, NOT_AGREED
        )

    # What its member tells (fleet/member.py, Owner)

    def apply(self, index: int, data: bytes) -> None:
        """From the log: a change that is agreed on."""
        self.publishing.apply(index, data)
        self._changed()

    def restore(self, index: int, state: bytes) -> None:
        """From the log: a whole state, in place of what was applied."""
        self.publishing.restore(index, state)
        self._changed()

    def snapshot(self) -> bytes:
        """For the log: the state after what was applied."""
        return self.publishing.state()

    def on_applied(self, index: int, term: int) -> None:
        """From the log; nothing here depends on it."""

    def on_status_report(self, sender: str, data: bytes) -> None:
        """From the log; members of control show each other nothing."""

    def on_leader_changed(self) -> None:
        """From the log; who leads is asked where it matters."""

    def _changed(self) -> None:
        if self._serving:
            self.server.changed()
