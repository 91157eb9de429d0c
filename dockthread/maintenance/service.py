"""The I/O adapter of an ingress's maintenance participant.

It passes events to the participant and carries out its actions. All decisions are made in
`participant.py`.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Coroutine
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from dockthread.maintenance import observation
from dockthread.maintenance.admin_commands import MaintenanceAdmin
from dockthread.maintenance.model import FleetView, MaintenanceOptions
from dockthread.maintenance.participant import MaintenanceParticipant, ParticipantActions
from dockthread.net.endpoint_list import ExclusionReason
from dockthread.raft.server import RaftServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from dockthread.admin.commands import Command, Response
    from dockthread.maintenance.commands import MaintenanceCommand
    from dockthread.maintenance.scheduler import MaintenanceScheduler
    from dockthread.net.ingress import Ingress
    from dockthread.raft.options import FleetOptions

ACTIVE_UPDATE_INTERVAL_S = 0.05  # interval of updates while a request can progress
IDLE_UPDATE_INTERVAL_S = 1.0  # interval of updates while all requested targets are unavailable
FAILED_UPDATE_PAUSE_S = 1.0  # pause after an update that raised an exception
INCARNATION_BYTES = 8  # number of random bytes in an incarnation's identifier
MEMBER_SEED_BITS = 32  # number of bits of the member's random seed
# Time at the start in which a member that is not cut off hears from a leader, also where one has to
# be elected first.
FIRST_LEADER_TIMEOUT_S = 3.0
CATCH_UP_TIMEOUT_S = 10.0  # time at the start to receive what was committed meanwhile
CATCH_UP_CHECK_INTERVAL_S = 0.01


class MaintenanceService:
    """Planned maintenance in one ingress; owns the ingress's member of the fleet.

    A granted backend is drained in the same way as a backend that an operator detaches.

    Args:
        ingress: The ingress whose backends are drained.
        options: The fleet's settings.
        stop: Called to shut the ingress down gracefully when its own request is granted.

    Raises OSError, ValueError or RaftStorageError if the log's directory or the key cannot be used.

    Attributes:
        participant: Decides the actions of this ingress.
        member: The ingress's member of the fleet.
    """

    def __init__(self, ingress: Ingress, options: FleetOptions, stop: Callable[[], None]) -> None:
        self._ingress = ingress
        self._stop = stop
        self.participant = MaintenanceParticipant(
            name=ingress.config.name,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            options=MaintenanceOptions(
                backend_capacity=options.node_capacity,
                headroom=float(options.headroom),
                grant_timeout_ms=float(options.grant_timeout),
                failure_timeout_ms=float(options.failure_timeout),
            ),
            now=ingress.clock.now(),
        )
        self.member = RaftServer(
            ingress.config.name,
            options,
            ingress.clock,
            secrets.randbits(MEMBER_SEED_BITS),
            self,
        )
        self._admin = MaintenanceAdmin(ingress, options, self.member, self.scheduler)
        self._wake = asyncio.Event()
        self._is_stopping = False
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def scheduler(self) -> MaintenanceScheduler:
        """The replicated state machine."""
        return self.participant.scheduler

    async def open(self) -> None:
        """Drain backends that are unavailable according to the log on disk, then join the fleet.

        This happens before the ingress accepts its first request.
        """
        stored = self.member.storage.persistent_state
        self.participant.recover(stored.snapshot, *stored.command_replay())
        self._update()
        await self.member.open()
        self._spawn(self._run())

    async def wait_until_current(self) -> None:
        """Wait until this ingress knows what was granted while it was down.

        Without a leader it is cut off, or there is no majority. It then serves by the log on disk.
        """
        if not self.member.is_open:
            return
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not self.member.was_up_to_date and not self._ingress.is_stop_requested:
            waited_s = loop.time() - started_s
            is_cut_off = waited_s > FIRST_LEADER_TIMEOUT_S and not self.member.leader_id
            if is_cut_off or waited_s > CATCH_UP_TIMEOUT_S:
                logger.warning(
                    "maintenance: serving without knowing what was granted since the last run, "
                    "leader {}",
                    self.member.leader_id or "none",
                )
                return
            await asyncio.sleep(CATCH_UP_CHECK_INTERVAL_S)
        self._update()

    async def close(self) -> None:
        """Leave the fleet and cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
        await self.member.close()

    def transfer_leadership(self) -> None:
        """Transfer leadership while this ingress still answers its last requests."""
        self.member.transfer_leadership()

    async def answer(self, call: Command) -> Response:
        """Answer a call of the admin endpoint."""
        return await self._admin.answer(call)

    # Events of the member (`StateMachine` in dockthread/raft/runner.py)

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed command."""
        self.participant.on_entry_applied(self._ingress.clock.now(), index, data)
        self._wake.set()

    def restore(self, index: int, state: bytes) -> None:  # noqa: ARG002  part of the interface
        """Replace the state with a snapshot that includes all commands up to `index`."""
        self.participant.on_state_restored(state)
        self._wake.set()

    def snapshot(self) -> bytes:
        """Return a snapshot of the current state."""
        return self.scheduler.snapshot()

    def on_applied(self, index: int, term: int) -> None:
        """Record that the log is committed and applied up to an index."""
        self.participant.on_log_advanced(index, term)
        self._wake.set()

    def on_status_report(self, sender: str, data: bytes) -> None:
        """Store another member's observation.

        Raises:
            MalformedObservationError: The bytes are not an observation.
        """
        self.participant.on_observation(self._ingress.clock.now(), sender, data)
        self._wake.set()

    def on_leader_changed(self) -> None:
        """Schedule an update, because the leader has changed."""
        self._wake.set()

    # Updates

    async def _run(self) -> None:
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), self._update_interval_s())
            self._wake.clear()
            try:
                self._update()
            except Exception:  # noqa: BLE001  a failed update must not stop later updates
                logger.exception("maintenance: an update failed")
                await asyncio.sleep(FAILED_UPDATE_PAUSE_S)

    def _update_interval_s(self) -> float | None:
        """Return the time until the next update if no event occurs; None for no limit."""
        if self.participant.has_active_requests:
            return ACTIVE_UPDATE_INTERVAL_S
        if self.scheduler.requests or self.participant.drained:
            return IDLE_UPDATE_INTERVAL_S
        return None

    def _update(self) -> None:
        """Run one update for all entries that were applied since the last one.

        Updating after each replayed entry would drain and then release a backend whose maintenance
        ended long before this start, and it would have to warm up again.
        """
        fleet = FleetView(
            leader=self.member.leader_id,
            members=self.member.members,
            reachable=self.member.responsive_members(),
            idle_backends=observation.idle_backends(self._ingress, self.participant.drained),
            is_serving=self._ingress.ready,
        )
        self._execute(self.participant.update(self._ingress.clock.now(), fleet))

    def _execute(self, actions: ParticipantActions) -> None:
        for backend in actions.drain:
            self._drain(backend)
        for backend in actions.release:
            self._ingress.set_drained(backend, False, ExclusionReason.MAINTENANCE)
            logger.info("maintenance: {} is released", backend)
        if actions.send_observation:
            self._send_observation()
        for command in actions.propose:
            self._spawn(self._propose(command))
        if actions.report is not None:
            self.member.propose_as_leader(msgspec.msgpack.encode(actions.report))
        if actions.transfer_leadership:
            self.member.transfer_leadership()
        if actions.stop and not self._is_stopping:
            self._is_stopping = True  # `stop` stays set in each update of this incarnation
            logger.info("maintenance: the restart of this ingress is granted, shutting down")
            self._stop()

    def _drain(self, backend: str) -> None:
        if not self._ingress.set_drained(backend, True, ExclusionReason.MAINTENANCE):
            self._ingress.endpoints.exclude_when_listed(backend, ExclusionReason.MAINTENANCE)
        logger.info("maintenance: {} is drained, its request is granted", backend)

    def _send_observation(self) -> None:
        new_observation = observation.observe(
            self._ingress,
            self.participant.zone_by_requested_backend(),
            self.participant.latest_request_index(),
        )
        self.member.report_status(msgspec.msgpack.encode(new_observation))

    async def _propose(self, command: MaintenanceCommand) -> None:
        if not await self.member.propose(msgspec.msgpack.encode(command)):
            self.participant.on_proposal_failed(command)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
