"""A simulated voter: the agreed log with the real state machine on it, and its table served to
distributors.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from dockthread.control_plane.messages import PublishRequest, PublishResponse
from dockthread.control_plane.publish_state_machine import OUTCOME_UNKNOWN
from dockthread.lab.control_plane.network import Connection
from dockthread.lab.control_plane.nodes import ServingProcess, ServingSide
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
from dockthread.raft.messages import Message as LogMessage

TIMES: Final = RaftTiming(election_timeout_ms=600.0, heartbeat_interval_ms=200.0)
KEEP_ENTRIES: Final = 40  # applied entries before a state takes their place
Reply = Callable[[PublishResponse], None]


class Voter(ServingProcess):
    """Its disk holds the log; writes take effect at once."""

    def begin(self) -> None:
        if self.life == 1:
            self.disk = PersistentState()
        world = self.world
        stored = replace(self.disk, entries=list(self.disk.entries))
        rng = random.Random(world.rng.random())
        self.core = RaftCore(self.name, world.voter_names, stored, TIMES, rng, world.clock.now)
        self.publishing = world.make_publishing()
        if stored.snapshot_index:
            self.publishing.restore(stored.snapshot_index, stored.snapshot)
        self.server = ServingSide(self, world.make_fanout(self, self.publishing.table))
        self._replies: dict[str, list[Reply]] = {}
        self._current_at: float | None = None

    def lose_disk(self) -> None:
        self.kill()
        self.disk = PersistentState()

    def next_timer_at(self) -> float:
        return min(self.core.next_deadline(), self.server.fanout.next_timer_at())

    def on_timer(self) -> None:
        now = self.world.clock.now
        if self.core.next_deadline() <= now:
            self._do(self.core.tick(now))
        self._freshen()
        if self.server.fanout.next_timer_at() <= now:
            self.server.on_timer()

    def frame(self, connection: Connection, data: bytes) -> None:
        if self.server.has(connection):
            self._freshen()
            self.server.frame(connection, data)
        self.settle()

    def broken(self, connection: Connection) -> None:
        if self.server.has(connection):
            self.server.broken(connection)
        self.settle()

    def log_message(self, life: int, message: LogMessage) -> None:
        """From another voter."""
        if not self.up or self.life != life:
            return
        if self.stalled:
            self.world.clock.after(self.world.again, self.log_message, life, message)
            return
        self._do(self.core.step(self.world.clock.now, message))
        if isinstance(message, AppendEntries) and message.commit_index <= self.core.applied_index:
            self._current_at = self.world.clock.now
        self.settle()

    def publish(self, message: PublishRequest, reply: Reply) -> None:
        """A publisher asks; only a leader takes it."""
        refused = self.publishing.rejection_reason(message)
        if refused:
            reply(PublishResponse(message.token, 0, refused))
            return
        if self.core.role is not Role.LEADER:
            reply(PublishResponse(message.token, OUTCOME_UNKNOWN, "another leads"))
            return
        index, actions = self.core.propose(
            self.world.clock.now, self.publishing.encode_proposal(message)
        )
        if index is None:
            reply(PublishResponse(message.token, OUTCOME_UNKNOWN, "another is to lead"))
        else:
            self._replies.setdefault(message.token, []).append(reply)
        self._do(actions)
        self.settle()

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case PersistEntries():
                    self.disk.persist_entries(action)
                case PersistSnapshot():
                    self.disk.persist_snapshot(action)
                case SendMessage(to, message):
                    self.world.send_log(self, to, message)
                case ApplyEntry(index, entry):
                    if entry.kind == EntryKind.COMMAND:
                        self._apply(index, entry.data)
                case RestoreSnapshot(index, state):
                    self.publishing.restore(index, state)
        if self.core.applied_index - self.core.log.snapshot_index > KEEP_ENTRIES:
            self._do(self.core.compact(self.core.applied_index, self.publishing.state()))

    def _apply(self, index: int, data: bytes) -> None:
        self.publishing.apply(index, data)
        self.world.checker.accepted(self.world.clock.now, self.publishing.table.revision)
        for token in list(self._replies):
            answer = self.publishing.response_for(token)
            if answer is not None:
                for reply in self._replies.pop(token):
                    reply(answer)

    def _freshen(self) -> None:
        now, core = self.world.clock.now, self.core
        if core.role is Role.LEADER and core.log.term_at(core.commit_index) == core.term:
            heard = core.responded_within(TIMES.election_timeout_ms) | {self.name}
            if core.has_quorum(heard):
                self._current_at = now
        age = -1.0 if self._current_at is None else now - self._current_at
        self.server.fanout.set_table_age(now, age)
