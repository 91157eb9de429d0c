"""Runs a Raft core in real time: its timer, and its actions on the disk and the network.

One task carries the actions out, one after another. A write to disk is made in a thread that does
nothing else, so requests go on meanwhile, and no message leaves before the write it rests on.
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

# applied entries in the log before a snapshot replaces them
ENTRIES_BEFORE_SNAPSHOT: Final = 512
# bytes of the last snapshot for each further entry: a large snapshot is written more seldom
SNAPSHOT_BYTES_PER_ENTRY: Final = 1 << 10
MIN_TIMER_MS: Final = 1.0


class StateMachine(Protocol):
    """What the log is for: it applies commands, and is notified of the member's state."""

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed command; each comes once in the life of a process, in order."""

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the state by a snapshot, which holds all commands up to `index`."""

    def snapshot(self) -> bytes:
        """Return a snapshot of the state as it is."""

    def on_applied(self, index: int, term: int) -> None:
        """All entries up to `index` are applied; `term` is the last one's, 0 for a snapshot."""

    def on_status_report(self, sender: str, data: bytes) -> None:
        """Another member has reported to this leader what it observes.

        Raises:
            ValueError: the report can't be read.
        """

    def on_leader_changed(self) -> None:
        """Another member leads, or none is known to."""


class CoreRunner:
    """Calls a Raft core and carries out what it returns.

    Attributes:
        core: the protocol.
        applied_index: up to which the state machine has applied entries; behind the core's while
            actions wait.
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
        """Hand the snapshot on disk, if any, to the state machine."""
        stored = self._storage.persistent_state
        if stored.snapshot_index:
            self._state_machine.restore(stored.snapshot_index, stored.snapshot)
            self._on_applied(stored.snapshot_index, 0)

    def start(self, core: RaftCore, peers: Mapping[str, PeerTransport]) -> None:
        """Run a core; its messages leave by `peers`, by the names of the members."""
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
        """Have the core handle a message."""
        self._enqueue(self.core.step(self._clock.now(), message))
        self._set_timer()

    def propose(self, data: bytes) -> int | None:
        """Have the core append a command; return its index, or None where it does not lead."""
        index, actions = self.core.propose(self._clock.now(), data)
        self._enqueue(actions)
        return index

    def transfer_leadership(self) -> None:
        """Have the core hand leadership over, where it leads."""
        self._enqueue(self.core.transfer_leadership(self._clock.now()))

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wait = max(MIN_TIMER_MS, self.core.next_deadline() - self._clock.now()) / 1000.0
        self._timer = asyncio.get_running_loop().call_later(wait, self._on_timer)

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
                    loop = asyncio.get_running_loop()
                    await loop.run_in_executor(self._disk_thread, self._storage.persist, action)
                else:
                    self._carry_out(action)

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
            except Exception:  # noqa: BLE001  one entry that can't be applied must not end the member
                logger.exception("fleet: entry {} could not be applied", index)
        self._on_applied(index, entry.term)
        self._proposals.on_committed(index, entry.term)
        self._compact(index)

    def _on_applied(self, index: int, term: int) -> None:
        self.applied_index = index
        self._state_machine.on_applied(index, term)
        self._proposals.on_applied(index)

    def _compact(self, index: int) -> None:
        """Replace the applied entries by a snapshot once there are enough of them."""
        core = self.core
        entries_before_snapshot = max(
            ENTRIES_BEFORE_SNAPSHOT, len(core.log.snapshot) // SNAPSHOT_BYTES_PER_ENTRY
        )
        is_last = core.applied_index == index
        if is_last and index - core.log.snapshot_index >= entries_before_snapshot:
            self._enqueue(core.compact(index, self._state_machine.snapshot()))
