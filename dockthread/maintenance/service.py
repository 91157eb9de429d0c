"""The I/O adapter round an ingress's participant: carries its actions out, and feeds it events.

It decides nothing: `participant.py` does.
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
from dockthread.maintenance.model import ClusterView, MaintenanceOptions
from dockthread.maintenance.participant import MaintenanceParticipant, ParticipantActions
from dockthread.raft.server import RaftServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from dockthread.admin.commands import Command, Response
    from dockthread.maintenance.commands import MaintenanceCommand
    from dockthread.maintenance.scheduler import MaintenanceScheduler
    from dockthread.net.ingress import Ingress
    from dockthread.raft.options import FleetOptions

ACTIVE_UPDATE_INTERVAL_S = 0.05  # between updates while a request waits or is on its way
IDLE_UPDATE_INTERVAL_S = 1.0  # while all that is unavailable stays so
FAILED_UPDATE_PAUSE_S = 1.0  # after an update that raised
INCARNATION_BYTES = 8  # random bytes of an incarnation's name
MEMBER_SEED_BITS = 32  # of the seed of the member's random numbers


class MaintenanceService:
    """Planned maintenance in one ingress; it owns the ingress's member of the cluster.

    A granted backend is drained as one that staff detach by hand, under the rule on drains.

    Args:
        ingress: Whose backends are drained.
        options: The cluster's settings.
        stop: Ends the ingress gracefully, when its own request is granted.

    Raises OSError, ValueError or RaftStorageError where the log's directory or the key cannot
    be used.

    Attributes:
        participant: Decides what this ingress does.
        member: The ingress's member of the cluster.
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
        """Drain what the disk says is unavailable, before the first request; then join."""
        stored = self.member.storage.persistent_state
        self.participant.recover(stored.snapshot, *stored.command_replay())
        self._update()
        await self.member.open()
        self._spawn(self._run())

    async def close(self) -> None:
        """Leave the cluster and end all tasks."""
        for task in list(self._tasks):
            task.cancel()
        await self.member.close()

    def leave(self) -> None:
        """Let another member lead while the last requests are answered here."""
        self.member.transfer_leadership()

    async def answer(self, call: Command) -> Response:
        """Response a call of the admin endpoint."""
        return await self._admin.answer(call)

    # Events of the member (`StateMachine` in dockthread/raft/server.py)

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed command."""
        self.participant.on_entry_applied(self._ingress.clock.now(), index, data)
        self._wake.set()

    def restore(self, index: int, state: bytes) -> None:  # noqa: ARG002 - of the interface
        """Replace the state by a snapshot, which stands for all commands up to `index`."""
        self.participant.on_state_restored(state)
        self._wake.set()

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        return self.scheduler.snapshot()

    def on_applied(self, index: int, term: int) -> None:
        """Take note that the log is committed and applied up to an index."""
        self.participant.on_log_advanced(index, term)
        self._wake.set()

    def on_status_report(self, sender: str, data: bytes) -> None:
        """Take note of what another member observes.

        Raises:
            MalformedObservationError: The bytes are no observation.
        """
        self.participant.on_observation(self._ingress.clock.now(), sender, data)
        self._wake.set()

    def on_leader_changed(self) -> None:
        """Take note that the leader has changed."""
        self._wake.set()

    # Updates

    async def _run(self) -> None:
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), self._update_interval_s())
            self._wake.clear()
            try:
                self._update()
            except Exception:  # noqa: BLE001  requests go on, and so does the next update
                logger.exception("maintenance: an update failed")
                await asyncio.sleep(FAILED_UPDATE_PAUSE_S)

    def _update_interval_s(self) -> float | None:
        """Return the time until the next update without an event; None for no limit."""
        if self.participant.has_active_requests:
            return ACTIVE_UPDATE_INTERVAL_S
        if self.scheduler.requests or self.participant.drained:
            return IDLE_UPDATE_INTERVAL_S
        return None

    def _update(self) -> None:
        """Update once for all entries applied at a time.

        A backend that was unavailable and came back long before a start must not be taken for one
        that comes back now, and has to warm up.
        """
        cluster = ClusterView(
            leader=self.member.leader_id,
            members=self.member.members,
            reachable=self.member.responsive_members(),
            idle_backends=observation.idle_backends(self._ingress, self.participant.drained),
            is_serving=self._ingress.ready,
        )
        self._execute(self.participant.update(self._ingress.clock.now(), cluster))

    def _execute(self, actions: ParticipantActions) -> None:
        for backend in actions.drain:
            self._drain(backend)
        for backend in actions.release:
            self._ingress.set_drained(backend, False)
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
            self._is_stopping = True  # once: the scheduler says so until the next incarnation
            logger.info("maintenance: the restart of this ingress is granted: graceful shutdown")
            self._stop()

    def _drain(self, backend: str) -> None:
        if not self._ingress.set_drained(backend, True):  # not listed yet: drained as soon as it is
            self._ingress.endpoints.excluded_uids.add(backend)
        logger.info("maintenance: {} is drained, its request is granted", backend)

    def _send_observation(self) -> None:
        observed = observation.observe(
            self._ingress,
            self.participant.zone_by_requested_backend(),
            self.participant.latest_request_index(),
        )
        self.member.report_status(msgspec.msgpack.encode(observed))

    async def _propose(self, command: MaintenanceCommand) -> None:
        if not await self.member.propose(msgspec.msgpack.encode(command)):
            self.participant.on_proposal_failed(command)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
