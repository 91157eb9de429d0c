"""Runs a Raft core in real time: its timer, disk writes and network messages.

One task carries out the actions in order. Disk writes run in a dedicated thread, so the event loop
keeps serving requests during a write, and no message is sent before the writes that precede it are
on disk.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Final, Protocol

from loguru import logger

from dockthread.clock import Clock
from dockthread.raft.actions import (
    Action,
    ApplyEntry,
    PersistEntries,
    PersistSnapshot,
    RestoreSnapshot,
    Role,
    RoleChanged,
    SendMessage,
)
from dockthread.raft.core import RaftCore
from dockthread.raft.messages import Entry, EntryKind, Message
from dockthread.raft.proposals import PendingProposals
from dockthread.raft.storage import RaftStorage
from dockthread.raft.transport import PeerTransport

# Minimum number of applied entries in the log before a snapshot replaces them.
ENTRIES_BEFORE_SNAPSHOT: Final = 512
# The log also keeps at least one applied entry per this many bytes of the last snapshot, so that a
# large snapshot is written less often.
SNAPSHOT_BYTES_PER_ENTRY: Final = 1 << 10
MIN_TIMER_MS: Final = 1.0
PERSIST_RETRY_S: Final = 0.1  # pause before a disk write that failed is repeated


class StateMachine(Protocol):
    """Applies the committed commands of the log, and is notified of the member's state."""

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed command; called in log order, and once per entry in each process."""

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the state with a snapshot that includes all commands up to `index`."""

    def snapshot(self) -> bytes:
        """Return a snapshot of the current state."""

    def on_applied(self, index: int, term: int) -> None:
        """All entries up to `index` are applied.

        `term` is the term of the entry at `index`, or 0 after a snapshot was restored.
        """

    def on_status_report(self, sender: str, data: bytes) -> None:
        """Another member has sent its observations to this leader.

        Raises:
            ValueError: the report can't be decoded.
        """

    def on_leader_changed(self) -> None:
        """The role, the term or the known leader has changed."""


class CoreRunner:
    """Calls a Raft core and carries out the actions that it returns.

    Attributes:
        core: the Raft core.
        applied_index: index of the last entry that the state machine has applied; lower than the
            core's while actions are queued.
    """

    def __init__(
        self,
        clock: Clock,
        storage: RaftStorage,
        state_machine: StateMachine,
        proposals: PendingProposals,
    ) -> None:
        self.core: RaftCore
        self.applied_index = 0
        self._clock = clock
        self._storage = storage
        self._state_machine = state_machine
        self._proposals = proposals
        self._peers: Mapping[str, PeerTransport] = {}
        self._actions: deque[Action] = deque()
        self._has_actions = asyncio.Event()
        self._disk_thread = ThreadPoolExecutor(1, thread_name_prefix="fleet-log")
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def restore_stored_snapshot(self) -> None:
        """Restore the state machine from the snapshot on disk, if there is one."""
        stored = self._storage.persistent_state
        if stored.snapshot_index:
            self._state_machine.restore(stored.snapshot_index, stored.snapshot)
            self._on_applied(stored.snapshot_index, 0)

    def start(self, core: RaftCore, peers: Mapping[str, PeerTransport]) -> None:
        """Run a core, whose messages are sent through `peers` by member name."""
        self.core = core
        self._peers = peers
        self._task = asyncio.get_running_loop().create_task(self._carry_out_actions())
        self._set_timer()

    def stop(self) -> None:
        """Stop the timer and the task."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def close_storage(self) -> None:
        """Wait for the last write, and close the storage."""
        self._disk_thread.shutdown()
        self._storage.close()

    def step(self, message: Message) -> None:
        """Pass a message to the core."""
        self._enqueue(self.core.step(self._clock.now(), message))
        self._set_timer()

    def propose(self, data: bytes) -> int | None:
        """Propose a command to the core; return its index, or None if the core rejects it."""
        index, actions = self.core.propose(self._clock.now(), data)
        self._enqueue(actions)
        return index

    def transfer_leadership(self) -> None:
        """Transfer leadership to another member if this member is the leader."""
        self._enqueue(self.core.transfer_leadership(self._clock.now()))

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wait_s = max(MIN_TIMER_MS, self.core.next_deadline() - self._clock.now()) / 1000.0
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._on_timer)

    def _on_timer(self) -> None:
        self._enqueue(self.core.tick(self._clock.now()))
        self._set_timer()

    def _enqueue(self, actions: list[Action]) -> None:
        if actions:
            self._actions.extend(actions)
            self._has_actions.set()

    async def _carry_out_actions(self) -> None:
        while True:
            await self._has_actions.wait()
            self._has_actions.clear()
            while self._actions:
                action = self._actions.popleft()
                if isinstance(action, PersistEntries | PersistSnapshot):
                    await self._persist(action)
                else:
                    self._carry_out(action)

    async def _persist(self, action: PersistEntries | PersistSnapshot) -> None:
        """Write until it succeeds: what follows depends on the action being on disk.

        Meanwhile this member sends nothing, so the others elect another leader if it is one.
        """
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            try:
                await loop.run_in_executor(self._disk_thread, self._storage.persist, action)
            except OSError as error:
                failures += 1
                log = logger.warning if failures == 1 else logger.debug
                log("fleet: cannot write to the log, trying again: {}", error)
                await asyncio.sleep(PERSIST_RETRY_S)
            else:
                if failures:
                    logger.info("fleet: the log can be written again, {} failures", failures)
                return

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendMessage(to, message):
                peer = self._peers.get(to)
                if peer is not None:
                    peer.send(message)
            case ApplyEntry(index, entry):
                self._apply(index, entry)
            case RestoreSnapshot(index, snapshot):
                self._state_machine.restore(index, snapshot)
                self._on_applied(index, 0)
            case RoleChanged(role, term, leader_id):
                self._proposals.on_role_changed(is_leader=self.core.role is Role.LEADER)
                self._state_machine.on_leader_changed()
                leader = leader_id or "none"
                logger.info("fleet: role {}, term {}, leader {}", role.value, term, leader)

    def _apply(self, index: int, entry: Entry) -> None:
        if entry.kind == EntryKind.COMMAND:
            try:
                self._state_machine.apply(index, entry.data)
            except Exception:  # noqa: BLE001  one bad entry must not stop the member
                logger.exception("fleet: entry {} could not be applied", index)
        self._on_applied(index, entry.term)
        self._proposals.on_committed(index, entry.term)
        self._compact(index)

    def _on_applied(self, index: int, term: int) -> None:
        self.applied_index = index
        self._state_machine.on_applied(index, term)
        self._proposals.on_applied(index)

    def _compact(self, index: int) -> None:
        """Replace the applied entries with a snapshot once there are enough of them."""
        core = self.core
        min_applied_entries = max(
            ENTRIES_BEFORE_SNAPSHOT, len(core.log.snapshot) // SNAPSHOT_BYTES_PER_ENTRY
        )
        is_last_applied = core.applied_index == index
        if is_last_applied and index - core.log.snapshot_index >= min_applied_entries:
            self._enqueue(core.compact(index, self._state_machine.snapshot()))
