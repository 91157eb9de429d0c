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
    Apply,
    Keep,
    KeepState,
    Restore,
    Role,
    Send,
    Stored,
    Times,
)
from dockthread.raft.core import Agreement
from dockthread.raft.messages import COMMAND, Append
from dockthread.raft.messages import Message as LogMessage

TIMES: Final = Times(patience=600.0, beat=200.0)
KEEP_ENTRIES: Final = 40  # applied entries before a state takes their place
Reply = Callable[[PublishResponse], None]


class Voter(ServingProcess):
    """Its disk holds the log; writes take effect at once."""

    def begin(self) -> None:
        if self.life == 1:
            self.disk = Stored()
        world = self.world
        stored = replace(self.disk, entries=list(self.disk.entries))
        rng = random.Random(world.rng.random())
        self.core = Agreement(self.name, world.voter_names, stored, TIMES, rng, world.clock.now)
        self.publishing = world.make_publishing()
        if stored.base:
            self.publishing.restore(stored.base, stored.state)
        self.server = ServingSide(self, world.make_fanout(self, self.publishing.table))
        self._replies: dict[str, list[Reply]] = {}
        self._current_at: float | None = None

    def lose_disk(self) -> None:
        self.kill()
        self.disk = Stored()

    def next_timer_at(self) -> float:
        return min(self.core.due(), self.server.fanout.next_timer_at())

    def on_timer(self) -> None:
        now = self.world.clock.now
        if self.core.due() <= now:
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
        self._do(self.core.heard(self.world.clock.now, message))
        if isinstance(message, Append) and message.commit <= self.core.applied:
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
                case Keep():
                    self.disk.keep(action)
                case KeepState():
                    self.disk.keep_state(action)
                case Send(to, message):
                    self.world.send_log(self, to, message)
                case Apply(index, entry):
                    if entry.kind == COMMAND:
                        self._apply(index, entry.data)
                case Restore(index, state):
                    self.publishing.restore(index, state)
        if self.core.applied - self.core.log.base > KEEP_ENTRIES:
            self._do(self.core.compact(self.core.applied, self.publishing.state()))

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
        if core.role is Role.LEADER and core.log.term_at(core.commit) == core.term:
            heard = core.heard_within(TIMES.patience) | {self.name}
            if core.majority(heard):
                self._current_at = now
        age = -1.0 if self._current_at is None else now - self._current_at
        self.server.fanout.set_table_age(now, age)
