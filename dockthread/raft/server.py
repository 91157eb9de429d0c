"""One member of the fleet: the Raft core with its sockets and storage.

The member sends messages on one TCP connection to each other member (`transport`), and receives
messages on the connections that other members open (`receiver`). `runner` carries out the core's
actions. A full send queue drops messages, because the core resends those that matter.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Final, TypedDict

from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.framing import MessageCounts
from dockthread.raft import messages
from dockthread.raft.actions import RaftTiming, Role
from dockthread.raft.core import RaftCore
from dockthread.raft.options import FleetOptions
from dockthread.raft.proposals import UNKNOWN_INDEX, PendingProposals
from dockthread.raft.receiver import FrameReceiver
from dockthread.raft.runner import CoreRunner, StateMachine
from dockthread.raft.storage import RaftStorage
from dockthread.raft.transport import PeerTransport

PROPOSAL_TIMEOUT_MS: Final = 3_000.0
PROPOSAL_RETRY_MS: Final = 50.0  # pause between two attempts to propose a command
# Time to wait for the leader's response to a forwarded proposal. The proposal or its response may be
# lost with a connection.
FORWARD_TIMEOUT_MS: Final = 500.0
# Time that a leader waits for another member to become leader when it is closed.
TRANSFER_TIMEOUT_MS: Final = 300.0
TRANSFER_POLL_S: Final = 0.01
UNKNOWN_AGE_MS: Final = -1.0


class MemberStatus(TypedDict):
    """Status of a member for operators; the keys are the keys of the JSON."""

    name: str
    role: str
    term: int
    leader: str
    voters: list[str]
    last: int
    commit: int
    applied: int
    spoilt: int


class RaftServer:
    """A member of the fleet, which replicates one state machine. All times are in ms.

    Attributes:
        name: this member's name.
        storage: this member's directory, open until `close`.
        message_counts: counts of messages from and to the other members.
        is_open: whether the member has been opened.
    """

    def __init__(
        self,
        name: str,
        options: FleetOptions,
        clock: Clock,
        seed: int,
        state_machine: StateMachine,
    ) -> None:
        """Open the directory.

        Raises:
            OSError: the directory or the key file can't be used.
            ValueError: the key is invalid, `name` is not a configured member, or the directory
                belongs to another member.
            RaftStorageError: the directory holds no log, or a damaged one.
        """
        self.name = name
        self._options = options
        self._clock = clock
        self._state_machine = state_machine
        self._addresses = options.addresses()
        self._key = options.key()
        if name not in self._addresses:
            raise ValueError(
                f"[fleet] members: {name}, this ingress, is not among {', '.join(self._addresses)}"
            )
        self._rng = random.Random(seed)
        self.storage = self._open_storage()
        self._timing = RaftTiming(options.election_timeout, options.heartbeat_interval)
        self.message_counts = MessageCounts()
        self.is_open = False
        self._proposals = PendingProposals()
        self._runner = CoreRunner(clock, self.storage, state_machine, self._proposals)
        self._receiver = FrameReceiver(self._key, self.message_counts, self._receive)
        self._rejected_reports = 0
        self._peers: dict[str, PeerTransport] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        # Time at which the state machine was last known to include every committed command.
        self._up_to_date_at = UNKNOWN_AGE_MS

    def _open_storage(self) -> RaftStorage:
        directory = self._options.directory
        storage = RaftStorage(Path(directory), self.name)
        if storage.name != self.name:
            storage.close()
            raise ValueError(
                f"[fleet] directory: {directory} belongs to {storage.name}, not to {self.name}"
            )
        return storage

    async def open(self) -> None:
        """Listen for other members and start the Raft core.

        Raises:
            OSError: the server can't listen on its address.
        """
        listen = Address.parse(self._options.listen)
        self._server = await asyncio.start_server(self._receiver.serve, listen.host, listen.port)
        self._runner.restore_stored_snapshot()
        core = RaftCore(
            self.name,
            self._addresses,
            self.storage.persistent_state,
            self._timing,
            self._rng,
            self._clock.now(),
        )
        self._peers = {
            name: PeerTransport(address, self._rng, self._key, self.message_counts)
            for name, address in self._addresses.items()
            if name != self.name
        }
        self.is_open = True
        self._runner.start(core, self._peers)
        logger.info(
            "fleet: {} listens on {}, {} members",
            self.name,
            self._options.listen,
            len(self._addresses),
        )

    async def close(self) -> None:
        """Transfer leadership if this member is the leader, then stop."""
        core = self._runner.core
        if core.role is Role.LEADER:
            self.transfer_leadership()
            deadline = self._clock.now() + TRANSFER_TIMEOUT_MS
            # The core offers no event to wait for, and the loop ends after at most 300 ms.
            while core.role is Role.LEADER and self._clock.now() < deadline:  # noqa: ASYNC110
                await asyncio.sleep(TRANSFER_POLL_S)
        self._runner.stop()
        if self._server is not None:
            self._server.close()
        for task in [*self._tasks, *(peer.task for peer in self._peers.values())]:
            task.cancel()
        self._proposals.cancel()
        self._runner.close_storage()

    # Proposals

    async def propose(self, data: bytes, timeout_ms: float = PROPOSAL_TIMEOUT_MS) -> int:
        """Propose a command, and wait until it is committed and applied on this member.

        The command is sent to the current leader, and sent again if the leader changes or does not
        respond, so the state machine must recognize duplicate commands.

        Returns:
            The index of the command's entry, or `UNKNOWN_INDEX` after a timeout, when the command
            may or may not be committed.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                # No event signals that the next attempt would succeed.
                while not (index := await self._attempt_proposal(data)):  # noqa: ASYNC110
                    await asyncio.sleep(PROPOSAL_RETRY_MS / 1000.0)
                # The leader may have applied the command before this member has.
                if index > self._runner.applied_index:
                    await self._proposals.await_applied(index)
                return index
        except TimeoutError:
            return UNKNOWN_INDEX

    async def _attempt_proposal(self, data: bytes) -> int:
        """Propose a command to the current leader; return `UNKNOWN_INDEX` on failure."""
        core = self._runner.core
        if core.role is Role.LEADER:
            index = self._runner.propose(data)
            if index is None:
                return UNKNOWN_INDEX
            return await self._proposals.await_commit(index, core.term)
        if core.leader_id not in self._peers:
            return UNKNOWN_INDEX
        return await self._forward_proposal(data)

    async def _forward_proposal(self, data: bytes) -> int:
        """Forward a command to the leader, and return the index from its response."""
        core = self._runner.core
        token, response = self._proposals.await_response()
        proposal = messages.ForwardedProposal(core.term, self.name, token, data)
        self._peers[core.leader_id].send(proposal)
        try:
            async with asyncio.timeout(FORWARD_TIMEOUT_MS / 1000.0):
                return await response
        except TimeoutError:
            return UNKNOWN_INDEX
        finally:
            self._proposals.forget_response(token)

    async def _answer_forwarded(self, proposal: messages.ForwardedProposal) -> None:
        """Propose another member's command if this member is the leader, and respond."""
        core = self._runner.core
        index = UNKNOWN_INDEX
        if core.role is Role.LEADER:
            index = await self._attempt_proposal(proposal.data)
        peer = self._peers.get(proposal.sender)
        if peer is not None:
            response = messages.ForwardedProposalResponse(
                core.term, self.name, proposal.token, index
            )
            peer.send(response)

    def propose_as_leader(self, data: bytes) -> None:
        """Propose a command if this member is the leader, without waiting for the outcome."""
        self._runner.propose(data)

    # Status

    @property
    def leader_id(self) -> str:
        """The name of the leader that this member knows; empty if it knows none."""
        return self._runner.core.leader_id if self.is_open else ""

    @property
    def members(self) -> list[str]:
        """The names of all members."""
        return list(self._addresses)

    def responsive_members(self) -> set[str]:
        """Return the members that responded to this leader within the election timeout."""
        if not self.is_open:
            return set()
        return self._runner.core.responded_within(self._options.election_timeout)

    def staleness_ms(self) -> float:
        """Return the time in ms for which the state machine may have lacked committed commands.

        A leader counts from the last response of a majority, rounded up to whole heartbeat
        intervals; any other member counts from the last message of its leader. -1 if the state
        machine was never known to be up to date.
        """
        if not self.is_open:
            return UNKNOWN_AGE_MS
        now = self._clock.now()
        window = self._quorum_window()
        if window is not None and self._runner.applied_index >= self._runner.core.commit_index:
            self._up_to_date_at = max(self._up_to_date_at, now - window)
        return now - self._up_to_date_at if self._up_to_date_at >= 0 else UNKNOWN_AGE_MS

    @property
    def was_up_to_date(self) -> bool:
        """Whether the state machine has included every committed command at some time so far."""
        return self.staleness_ms() != UNKNOWN_AGE_MS

    def _quorum_window(self) -> float | None:
        """Return the shortest window in ms, in whole heartbeats, in which a majority responded.

        None if this member is not the leader, has not committed an entry of its term, or reaches no
        majority.
        """
        core = self._runner.core
        if core.role is not Role.LEADER or not core.has_committed_in_term():
            return None
        interval = self._timing.heartbeat_interval_ms
        max_heartbeats = int(self._timing.election_timeout_ms // interval)
        for heartbeats in range(1, 1 + max_heartbeats):
            window = interval * heartbeats
            if core.has_quorum(core.responded_within(window) | {self.name}):
                return window
        return None

    def report_status(self, data: bytes) -> None:
        """Send this member's observations to the leader's state machine; they may be lost."""
        report = messages.StatusReport(self._runner.core.term, self.name, data)
        if self.leader_id == self.name:
            self._accept_report(report)
        elif peer := self._peers.get(self.leader_id):
            peer.send(report)

    def transfer_leadership(self) -> None:
        """Transfer leadership to another member if this member is the leader."""
        if self.is_open:
            self._runner.transfer_leadership()

    def status(self) -> MemberStatus:
        """Return this member's status for operators."""
        core = self._runner.core
        return MemberStatus(
            name=self.name,
            role=core.role.value,
            term=core.term,
            leader=core.leader_id,
            voters=list(core.voters),
            last=core.log.last_index,
            commit=core.commit_index,
            applied=core.applied_index,
            spoilt=self._receiver.rejected + self._rejected_reports,
        )

    # Messages from other members

    def _receive(self, message: messages.Message) -> None:
        """Handle a complete message; all types that Raft defines are passed to the core."""
        if isinstance(message, messages.StatusReport):
            self._accept_report(message)
        elif isinstance(message, messages.ForwardedProposal):
            task = asyncio.get_running_loop().create_task(self._answer_forwarded(message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(message, messages.ForwardedProposalResponse):
            self._proposals.on_response(message.token, message.index)
        else:
            self._step(message)

    def _step(self, message: messages.Message) -> None:
        now = self._clock.now()
        self._runner.step(message)
        # The state machine is up to date if it has applied everything up to the leader's commit
        # index. A commit index of 0 means that the message does not include it. A new leader knows
        # what is committed only once it has committed an entry of its own term.
        core = self._runner.core
        if (
            isinstance(message, messages.AppendEntries)
            and core.leader_id == message.sender
            and 0 < message.commit_index <= self._runner.applied_index
            and core.has_committed_in_term()
        ):
            self._up_to_date_at = now

    def _accept_report(self, report: messages.StatusReport) -> None:
        """Pass a status report to the state machine if this member is the leader."""
        if self.leader_id != self.name:
            return
        try:
            self._state_machine.on_status_report(report.sender, report.data)
        except ValueError as error:
            self._rejected_reports += 1
            logger.debug("fleet: rejected a status report: {}", error)
