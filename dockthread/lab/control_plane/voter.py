"""A simulated voter, which runs the real Raft core and state machine and serves distributors."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Final

from dockthread.control_plane.messages import AGE_UNKNOWN, PublishRequest, PublishResponse
from dockthread.control_plane.publish_state_machine import (
    OUTCOME_UNKNOWN,
    REJECTED,
    PublishStateMachine,
)
from dockthread.lab.control_plane.network import DELIVERY_RETRY_INTERVAL, Connection
from dockthread.lab.control_plane.nodes import FanOutAdapter, ServingProcess
from dockthread.raft.actions import (
    Action,
    ApplyEntry,
    PersistEntries,
    PersistentState,
    PersistSnapshot,
    RaftTiming,
    RestoreSnapshot,
    Role,
    SendMessage,
)
from dockthread.raft.core import RaftCore
from dockthread.raft.messages import AppendEntries, EntryKind
from dockthread.raft.messages import Message as RaftMessage

RAFT_TIMING: Final = RaftTiming(election_timeout_ms=600.0, heartbeat_interval_ms=200.0)
MAX_APPLIED_LOG_ENTRIES: Final = 40
"""Number of applied log entries above which a snapshot replaces them."""

ReplyCallback = Callable[[PublishResponse], None]


class Voter(ServingProcess):
    """A voter whose writes to disk are durable immediately.

    Attributes:
        peers: All voters by name, including this one.
        disk: Content of its disk.
        core: Its Raft core.
        state_machine: State machine that holds the accepted resources and outcomes.
    """

    peers: Mapping[str, Voter]
    disk: PersistentState
    core: RaftCore
    state_machine: PublishStateMachine

    def initialize(self) -> None:
        """Start from the state on disk; the first incarnation has an empty disk."""
        if self.incarnation == 1:
            self.disk = PersistentState()
        environment = self.environment
        stored_state = replace(self.disk, entries=list(self.disk.entries))
        rng = random.Random(environment.rng.random())
        self.core = RaftCore(
            self.name,
            environment.voter_names,
            stored_state,
            RAFT_TIMING,
            rng,
            environment.clock.now,
        )
        self.state_machine = environment.make_state_machine()
        if stored_state.snapshot_index:
            self.state_machine.restore(stored_state.snapshot_index, stored_state.snapshot)
        fan_out = environment.make_fan_out(self.state_machine.table)
        self.fan_out_adapter = FanOutAdapter(self, fan_out)
        self._reply_callbacks: dict[str, list[ReplyCallback]] = {}  # by token
        self._last_complete_at: float | None = None  # when the table was last complete

    def lose_disk(self) -> None:
        """Kill the process and erase its disk."""
        self.kill()
        self.disk = PersistentState()

    def next_timer_at(self) -> float:
        """Return the time at which `on_timer` is due."""
        return min(self.core.next_deadline(), self.fan_out_adapter.fan_out.next_timer_at())

    def on_timer(self) -> None:
        """Run the due timers of the Raft core and of the fan-out."""
        now = self.environment.clock.now
        if self.core.next_deadline() <= now:
            self._execute(self.core.tick(now))
        self.update_table_age()
        if self.fan_out_adapter.fan_out.next_timer_at() <= now:
            self.fan_out_adapter.on_timer()

    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame from a subscriber."""
        if self.fan_out_adapter.owns(connection):
            self.update_table_age()
            self.fan_out_adapter.on_frame(connection, data)
        self.after_event()

    def on_broken(self, connection: Connection) -> None:
        """Handle a broken connection to a subscriber."""
        if self.fan_out_adapter.owns(connection):
            self.fan_out_adapter.on_broken(connection)
        self.after_event()

    def on_raft_message(self, incarnation: int, message: RaftMessage) -> None:
        """Handle a message that another voter sent to this incarnation."""
        if not self.is_up or self.incarnation != incarnation:
            return
        clock = self.environment.clock
        if self.is_stalled:
            clock.call_later(DELIVERY_RETRY_INTERVAL, self.on_raft_message, incarnation, message)
            return
        self._execute(self.core.step(clock.now, message))
        if isinstance(message, AppendEntries) and message.commit_index <= self.core.applied_index:
            self._last_complete_at = clock.now
        self.after_event()

    def publish(self, request: PublishRequest, reply: ReplyCallback) -> None:
        """Handle a publish request; only the leader proposes the change."""
        token = request.token
        reason = self.state_machine.rejection_reason(request)
        if reason:
            reply(PublishResponse(token, REJECTED, reason))
            return
        if self.core.role is not Role.LEADER:
            reply(PublishResponse(token, OUTCOME_UNKNOWN, "not the leader"))
            return
        proposal = self.state_machine.encode_proposal(request)
        index, actions = self.core.propose(self.environment.clock.now, proposal)
        if index is None:
            reply(PublishResponse(token, OUTCOME_UNKNOWN, "leadership is being transferred"))
        else:
            self._reply_callbacks.setdefault(token, []).append(reply)
        self._execute(actions)
        self.after_event()

    def update_table_age(self) -> None:
        """Tell the fan-out the age of the table.

        A leader that has committed an entry of its term knows that its table is complete, as long
        as a majority responds.
        """
        now = self.environment.clock.now
        core = self.core
        if core.role is Role.LEADER and core.log.term_at(core.commit_index) == core.term:
            responding_voters = core.responded_within(RAFT_TIMING.election_timeout_ms) | {self.name}
            if core.has_quorum(responding_voters):
                self._last_complete_at = now
        age = AGE_UNKNOWN if self._last_complete_at is None else now - self._last_complete_at
        self.fan_out_adapter.fan_out.set_table_age(now, age)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case PersistEntries():
                    self.disk.persist_entries(action)
                case PersistSnapshot():
                    self.disk.persist_snapshot(action)
                case SendMessage(to, message):
                    self._send_raft_message(to, message)
                case ApplyEntry(index, entry):
                    if entry.kind == EntryKind.COMMAND:
                        self._apply_command(index, entry.data)
                case RestoreSnapshot(index, state):
                    self.state_machine.restore(index, state)
        applied_index = self.core.applied_index
        if applied_index - self.core.log.snapshot_index > MAX_APPLIED_LOG_ENTRIES:
            self._execute(self.core.compact(applied_index, self.state_machine.state()))

    def _send_raft_message(self, to: str, message: RaftMessage) -> None:
        receiver = self.peers[to]
        network = self.environment.network
        if receiver.is_up and network.can_reach(self, receiver):
            delay = network.latency(self, receiver)
            self.environment.clock.call_later(
                delay, receiver.on_raft_message, receiver.incarnation, message
            )

    def _apply_command(self, index: int, data: bytes) -> None:
        self.state_machine.apply(index, data)
        revision = self.state_machine.table.revision
        self.environment.checker.on_change_accepted(self.environment.clock.now, revision)
        for token in list(self._reply_callbacks):
            response = self.state_machine.response_for(token)
            if response is not None:
                for reply in self._reply_callbacks.pop(token):
                    reply(response)
