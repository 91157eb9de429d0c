"""One ingress among the others, on sockets: the rim round the agreement. Decides nothing.

Theory of operation. Messages leave on one TCP connection to each other member (link.py), opened
when there is something to send and again after a pause when it broke; a bounded queue of frames
stands before it, and what does not fit is let go, as the agreement sends again whatever matters.
What comes in is read from connections that others opened; a frame that is spoilt is counted and
closes its connection. The agreement's actions are carried out one after another by one task, and a
write to disk is made in a thread that does nothing else, so that requests go on meanwhile and no
message leaves before what it rests on is kept.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Protocol

from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.framing import MessageCounts
from dockthread.raft import messages
from dockthread.raft.actions import (
    Action,
    ApplyEntry,
    PersistEntries,
    PersistSnapshot,
    RaftTiming,
    RestoreSnapshot,
    Role,
    RoleChanged,
    SendMessage,
)
from dockthread.raft.core import RaftCore
from dockthread.raft.options import FleetOptions
from dockthread.raft.storage import RaftStorage
from dockthread.raft.transport import PeerTransport

KEEP_ENTRIES = 512  # applied entries in the log before a state takes their place
# bytes of the state before for each further entry: a large one is written more seldom
STATE_AN_ENTRY = 1 << 10
RETRY = 50.0  # ms between tries while nobody leads
# ms until the leader is asked again: the question or its answer may have been lost with a
# connection
ASKING = 500.0
HANDING = 300.0  # ms that a leader waits for another at the end of its life


class StateMachine(Protocol):
    """Whose log it is, and what it is told."""

    def apply(self, index: int, data: bytes) -> None:
        """A command that is agreed on, in its order, each once a life."""

    def restore(self, index: int, state: bytes) -> None:
        """A whole state, in place of all commands up to `index`."""

    def snapshot(self) -> bytes:
        """Its state now, for a snapshot."""

    def on_applied(self, index: int, term: int) -> None:
        """Agreed and applied up to here; `term` is 0 for a state."""

    def on_status_report(self, sender: str, data: bytes) -> None:
        """What another member sees, told to this leader; raises ValueError for what means
        nothing.
        """

    def on_leader_changed(self) -> None:
        """Another leads, or nobody."""


class RaftServer:
    """`owner`: whose log it is. All times in ms."""

    def __init__(
        self,
        name: str,
        options: FleetOptions,
        clock: Clock,
        seed: int,
        owner: StateMachine,
    ) -> None:
        """Raises OSError, ValueError or `store.Lost` where the directory or the key cannot be
        used.
        """
        self.name, self._options, self._clock = name, options, clock
        self._owner = owner
        self._addresses, self._key = options.addresses(), options.key()
        if name not in self._addresses:
            raise ValueError(
                f"[fleet] members: {name}, this ingress, is not among {', '.join(self._addresses)}"
            )
        self._rng = random.Random(seed)
        self.storage = RaftStorage(Path(options.directory), name)
        if self.storage.name != name:
            self.storage.close()
            raise ValueError(
                f"[fleet] directory: {options.directory} is of {self.storage.name}, and this is {name}"
            )
        self._times = RaftTiming(options.election_timeout, options.heartbeat_interval)
        self.rejected_messages, self.message_counts = 0, MessageCounts()
        self.is_open = False  # it takes part
        self._links: dict[str, PeerTransport] = {}
        self._actions: deque[Action] = deque()
        self._some = asyncio.Event()
        # by index: its term, who waits for it
        self._waiting: dict[int, tuple[int, asyncio.Future[int]]] = {}
        # by token: who waits for the leader's word
        self._asked: dict[int, asyncio.Future[int]] = {}
        self._token = 0
        self._current = -1.0  # when the owner was last known to have all
        self._carried = 0  # the last index that the owner has applied
        # who waits for the owner to come to an index
        self._behind: list[tuple[int, asyncio.Future[None]]] = []
        self._keeper = ThreadPoolExecutor(1, thread_name_prefix="fleet-log")
        self._tasks: list[asyncio.Task[Any]] = []
        self._alarm: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen and take part; raises OSError where it cannot."""
        self._loop = asyncio.get_running_loop()
        listen = Address.parse(self._options.listen)
        self._server = await asyncio.start_server(self._read, listen.host, listen.port)
        stored = self.storage.persistent_state
        if stored.snapshot_index:
            self._owner.restore(stored.snapshot_index, stored.snapshot)
            self._came_to(stored.snapshot_index, 0)
        self._agreement = RaftCore(
            self.name, self._addresses, stored, self._times, self._rng, self._clock.now()
        )
        self._links = {
            n: PeerTransport(a, self._rng, self._key, self.message_counts)
            for n, a in self._addresses.items()
            if n != self.name
        }
        self.is_open = True
        self._tasks = [self._loop.create_task(self._carry_out())]
        self._arm()
        logger.info(
            "fleet: {} takes part at {}, {} members",
            self.name,
            self._options.listen,
            len(self._addresses),
        )

    async def close(self) -> None:
        """Hand over where it leads, then leave."""
        if self._agreement.role is Role.LEADER:
            self.transfer_leadership()
            until = self._clock.now() + HANDING
            while self._agreement.role is Role.LEADER and self._clock.now() < until:
                await asyncio.sleep(0.01)
        if self._alarm is not None:
            self._alarm.cancel()
        if self._server is not None:
            self._server.close()
        for task in [*self._tasks, *(link.task for link in self._links.values())]:
            task.cancel()
        for future in [*(f for _, f in self._waiting.values()), *self._asked.values()]:
            future.cancel()
        self._keeper.shutdown()
        self.storage.close()

    async def propose(self, data: bytes, timeout_ms: float = 3_000.0) -> int:
        """The index at which it stands, once that is agreed and applied here; 0 where that is not
        known within `most` ms: then it may stand or not. It is handed to whoever leads, and again
        where that changes or no answer comes, so the owner has to know it for the same when it
        comes twice.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                while not (index := await self._try(data)):
                    await asyncio.sleep(RETRY / 1000.0)
                # the leader is ahead: what is answered here must know of it
                if index > self._carried:
                    behind: asyncio.Future[None] = self._loop.create_future()
                    self._behind.append((index, behind))
                    await behind
                return index
        except TimeoutError:
            return 0

    async def _try(self, data: bytes) -> int:
        """By whoever leads now; 0 where nobody does, or somebody else does before it is known to
        stand.
        """
        future: asyncio.Future[int] = self._loop.create_future()
        core = self._agreement
        if core.role is Role.LEADER:
            self._propose(data, future)
            return await future
        if core.leader_id not in self._links:
            return 0
        self._token += 1
        token = self._token
        self._asked[token] = future
        self._links[core.leader_id].send(
            messages.ForwardedProposal(core.term, self.name, token, data)
        )
        try:
            async with asyncio.timeout(ASKING / 1000.0):
                return await future
        except TimeoutError:
            return 0
        finally:
            self._asked.pop(token, None)

    def _propose(self, data: bytes, future: asyncio.Future[int]) -> None:
        index, actions = self._agreement.propose(self._clock.now(), data)
        if index is None:
            future.set_result(0)
        else:
            self._waiting[index] = (self._agreement.term, future)
        self._do(actions)

    async def _propose_for(self, ask: messages.ForwardedProposal) -> None:
        index = await self._try(ask.data) if self._agreement.role is Role.LEADER else 0
        if link := self._links.get(ask.sender):
            link.send(
                messages.ForwardedProposalResponse(
                    self._agreement.term, self.name, ask.token, index
                )
            )

    # What its owner asks of it

    @property
    def leader_id(self) -> str:
        """Whoever leads, as far as is known here; empty for nobody."""
        return self._agreement.leader_id if self.is_open else ""

    @property
    def members(self) -> list[str]:
        return list(self._addresses)

    def responsive_members(self) -> set[str]:
        """Who answered this leader within its patience."""
        return (
            self._agreement.responded_within(self._options.election_timeout)
            if self.is_open
            else set()
        )

    def staleness_ms(self) -> float:
        """ms since the owner was known to have all that was agreed on, give or take a beat; -1 for
        never. A leader counts from when a majority answered, any other from when it last heard its
        leader.
        """
        if not self.is_open:
            return -1.0
        now, core = self._clock.now(), self._agreement
        if core.role is Role.LEADER and core.log.term_at(core.commit_index) == core.term:
            spans = (
                self._times.heartbeat_interval_ms * n
                for n in range(
                    1, 1 + int(self._times.election_timeout_ms // self._times.heartbeat_interval_ms)
                )
            )
            within = next(
                (ms for ms in spans if core.has_quorum(core.responded_within(ms) | {self.name})),
                None,
            )
            if within is not None and self._carried >= core.commit_index:
                self._current = max(self._current, now - within)
        return now - self._current if self._current >= 0 else -1.0

    def propose_as_leader(self, data: bytes) -> None:
        """Only where this member leads, and with nobody waiting for it."""
        self._do(self._agreement.propose(self._clock.now(), data)[1])

    def report_status(self, data: bytes) -> None:
        """To whoever leads: what this member sees. May be lost."""
        message = messages.StatusReport(self._agreement.term, self.name, data)
        if self.leader_id == self.name:
            self._shown(message)
        elif link := self._links.get(self.leader_id):
            link.send(message)

    def _shown(self, message: messages.StatusReport) -> None:
        if self.leader_id == self.name:
            try:
                self._owner.on_status_report(message.sender, message.data)
            except ValueError as error:
                self.rejected_messages += 1
                logger.debug("fleet: {}", error)

    def transfer_leadership(self) -> None:
        """Another is to lead, where this one does."""
        if self.is_open:
            self._do(self._agreement.transfer_leadership(self._clock.now()))

    def status(self) -> dict[str, Any]:
        core = self._agreement
        return {
            "name": self.name,
            "role": core.role.value,
            "term": core.term,
            "leader": core.leader_id,
            "voters": list(core.voters),
            "last": core.log.last_index,
            "commit": core.commit_index,
            "applied": core.applied_index,
            "spoilt": self.rejected_messages,
        }

    # Time and messages, told to the agreement

    def _arm(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        wait = max(1.0, self._agreement.next_deadline() - self._clock.now()) / 1000.0
        self._alarm = self._loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self._do(self._agreement.tick(self._clock.now()))
        self._arm()

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assembly = messages.SnapshotAssembler()
        try:
            while True:
                head = await reader.readexactly(messages.FRAME_HEADER.size)
                body = await reader.readexactly(messages.length(head))
                self.message_counts.received += 1
                try:
                    message = messages.unpack(head, body, self._key)
                except messages.UnknownMessageError as error:
                    self.rejected_messages += 1
                    logger.debug("fleet: a message is dropped: {}", error)
                    continue
                if isinstance(message, messages.SnapshotChunk):
                    if (whole := assembly.add(message)) is not None:
                        self._hear(whole)
                elif isinstance(message, messages.StatusReport):
                    self._shown(message)
                elif isinstance(message, messages.ForwardedProposal):
                    task = self._loop.create_task(self._propose_for(message))
                    self._tasks.append(task)
                    task.add_done_callback(self._tasks.remove)
                elif isinstance(message, messages.ForwardedProposalResponse):
                    if (asked := self._asked.pop(message.token, None)) and not asked.done():
                        asked.set_result(message.index)
                else:
                    self._hear(message)
        except messages.MalformedFrameError as error:
            self.rejected_messages += 1
            logger.debug("fleet: a frame is dropped: {}", error)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _hear(self, message: messages.Message) -> None:
        now, core = self._clock.now(), self._agreement
        self._do(core.step(now, message))
        self._arm()
        # Then it has all that was agreed on when that was sent; `commit` 0 tells nothing of it.
        if (
            isinstance(message, messages.AppendEntries)
            and core.leader_id == message.sender
            and 0 < message.commit_index <= self._carried
        ):
            self._current = now

    # What it decides, carried out in order

    def _do(self, actions: list[Action]) -> None:
        if actions:
            self._actions.extend(actions)
            self._some.set()

    async def _carry_out(self) -> None:
        while True:
            await self._some.wait()
            self._some.clear()
            while self._actions:
                action = self._actions.popleft()
                match action:
                    case PersistEntries() | PersistSnapshot():
                        await self._loop.run_in_executor(self._keeper, self.storage.persist, action)
                    case SendMessage(to, message):
                        if link := self._links.get(to):
                            link.send(message)
                    case ApplyEntry(index, entry):
                        self._applied(index, entry)
                    case RestoreSnapshot(index, state):
                        self._owner.restore(index, state)
                        self._came_to(index, 0)
                    case RoleChanged(role, term, leader):
                        self._changed()
                        self._owner.on_leader_changed()
                        logger.info(
                            "fleet: {} in term {}, led by {}",
                            role.value,
                            term,
                            leader or "nobody yet",
                        )

    def _changed(self) -> None:
        """Whoever waits for the word of one that led asks the next; one that leads no more cannot
        say what stands.
        """
        waiting = [*self._asked.values()]
        if self._agreement.role is not Role.LEADER:
            waiting += [future for _, future in self._waiting.values()]
            self._waiting.clear()
        for future in waiting:
            if not future.done():
                future.set_result(0)

    def _came_to(self, index: int, term: int) -> None:
        self._carried = index
        self._owner.on_applied(index, term)
        for at, behind in self._behind:
            if at <= index and not behind.done():
                behind.set_result(None)
        self._behind = [
            (at, behind) for at, behind in self._behind if at > index and not behind.done()
        ]

    def _applied(self, index: int, entry: messages.Entry) -> None:
        if entry.kind == messages.EntryKind.COMMAND:
            try:
                self._owner.apply(index, entry.data)
            except Exception:
                logger.exception("fleet: entry {} could not be applied", index)
        self._came_to(index, entry.term)
        if waiting := self._waiting.pop(index, None):
            term, future = waiting
            if not future.done():
                future.set_result(index if term == entry.term else 0)
        core = self._agreement
        most = max(KEEP_ENTRIES, len(core.log.snapshot) // STATE_AN_ENTRY)
        if core.applied_index == index and index - core.log.snapshot_index >= most:
            self._do(core.compact(index, self._owner.snapshot()))
