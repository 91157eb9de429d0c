"""The order of work in an ingress: the rim round its part (work/part.py), and the door's calls.
Decides nothing.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from dockthread.admin.commands import Answer, Command, Verb
from dockthread.maintenance import commands, observation
from dockthread.maintenance.participant import (
    ClusterView,
    MaintenanceOptions,
    MaintenanceParticipant,
    ParticipantActions,
)
from dockthread.maintenance.scheduler import MaintenanceScheduler
from dockthread.raft.options import FleetOptions
from dockthread.raft.server import RaftServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from dockthread.net.ingress import Ingress

JSON = b"application/json"
DOING = {Verb.WORK_ASK: "ask", Verb.WORK_DONE: "done", Verb.WORK_WITHDRAW: "withdraw"}
# s between looks while something moves, and while all that is out stays out
SOON, QUIET = 0.05, 1.0
LOOKED = 2.0  # s that staff wait for a request to be looked at
INGRESS_WARM = 2.0  # patiences until an ingress that is back counts as there


class MaintenanceService:
    """One ingress's part. A node that is granted is held as one drained by hand is, under the rule
    on drains. `stop`: ends the ingress gently, when its own turn has come.
    """

    def __init__(self, ingress: Ingress, options: FleetOptions, stop: Callable[[], None]) -> None:
        self._ingress, self._options, self._stop = ingress, options, stop
        terms = MaintenanceOptions(
            options.node_capacity,
            *map(float, (options.headroom, options.grant_timeout, options.failure_timeout)),
        )
        now = ingress.clock.now()
        self.part = MaintenanceParticipant(ingress.config.name, secrets.token_hex(8), terms, now)
        self.member = RaftServer(
            ingress.config.name, options, ingress.clock, secrets.randbits(32), self
        )
        self._some, self._stopping = asyncio.Event(), False
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def order(self) -> MaintenanceScheduler:
        return self.part.order

    async def open(self) -> None:
        """Hold what the disk says is out, before the first request; then take part."""
        stored = self.member.storage.persistent_state
        self.part.begins(stored.snapshot, *stored.command_replay())
        self._turn()
        await self.member.open()
        self._spawn(self._run())

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await self.member.close()

    def leave(self) -> None:
        """The end of this life has come: another is to lead while requests are answered here."""
        self.member.transfer_leadership()

    # What its member tells (fleet/member.py, Owner)

    def apply(self, index: int, data: bytes) -> None:
        self.part.applied(self._ingress.clock.now(), index, data)
        self._some.set()

    def restore(self, index: int, state: bytes) -> None:
        self.part.restored(state)
        self._some.set()

    def snapshot(self) -> bytes:
        return self.part.order.snapshot()

    def on_applied(self, index: int, term: int) -> None:
        self.part.came_to(index, term)
        self._some.set()

    def on_status_report(self, sender: str, data: bytes) -> None:
        self.part.shown(self._ingress.clock.now(), sender, data)
        self._some.set()

    def on_leader_changed(self) -> None:
        self._some.set()

    # Its turns

    async def _run(self) -> None:
        while True:
            wait = (
                SOON
                if self.part.moving
                else QUIET
                if self.part.order.requests or self.part.holds
                else None
            )
            with suppress(TimeoutError):
                await asyncio.wait_for(self._some.wait(), wait)
            self._some.clear()
            try:
                self._turn()
            except Exception:  # requests go on, and so does the next turn
                logger.exception("work: a turn failed")
                await asyncio.sleep(QUIET)

    def _turn(self) -> None:
        """Once for all entries that come at a time: what was out and came back long before a start
        must not be taken for a machine that has just come back cold.
        """
        ingress, member = self._ingress, self.member
        around = ClusterView(
            member.leader_id,
            member.members,
            member.responsive_members(),
            observation.idle(ingress, self.part.holds),
            ingress.ready,
        )
        self._carry_out(self.part.turn(ingress.clock.now(), around))

    def _carry_out(self, acts: ParticipantActions) -> None:
        ingress = self._ingress
        for target in acts.hold:
            if not ingress.set_drained(
                target, True
            ):  # not listed here yet: drained as soon as it is
                ingress.endpoints.excluded_uids.add(target)
            logger.info("work: {} is drained, its turn has come", target)
        for target in acts.free:
            ingress.set_drained(target, False)
            logger.info("work: {} comes back", target)
        if acts.show:
            self.member.report_status(
                msgspec.msgpack.encode(
                    observation.view(ingress, self.part.asked_for(), self.part.latest())
                )
            )
        for command in acts.say:
            self._spawn(self._say(command))
        if acts.tick is not None:
            self.member.propose_as_leader(msgspec.msgpack.encode(acts.tick))
        if acts.hand_over:
            self.member.transfer_leadership()
        if acts.stop and not self._stopping:
            self._stopping = True  # once: the order says so until the next life
            logger.info("work: the turn of this ingress has come: it ends gently")
            self._stop()

    def _spawn(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _say(self, command: commands.MaintenanceCommand) -> None:
        if not await self.member.propose(msgspec.msgpack.encode(command)):
            self.part.unsaid(command)

    # The management door

    def listed(self) -> dict[str, Any]:
        def plain(r: commands.MaintenanceRequest) -> dict[str, Any]:
            told = msgspec.structs.asdict(r)
            return {**told, "reason": self.order.reason(r)}

        requests = sorted(self.order.requests.values(), key=lambda r: r.since)
        return {"work": [plain(r) for r in requests], "over": [plain(r) for r in self.order.over]}

    async def answer(self, command: Command) -> Answer:
        """A call of the management door."""
        if command.verb is Verb.FLEET:
            silent = self.order.silent
            said = {**self.member.status(), "silent": {m: ms for m, ms in silent.items() if ms}}
            return Answer(200, json.dumps(said).encode() + b"\n", JSON)
        if command.verb is Verb.WORK:
            return Answer(200, json.dumps(self.listed()).encode() + b"\n", JSON)
        told = self._command(command)
        if isinstance(told, Answer):
            return told
        index = await self.member.propose(msgspec.msgpack.encode(told))
        if not index:
            return Answer(
                503,
                b"no majority has agreed in time: ask again, the same request is not made twice\n",
            )
        if told.do == "ask":
            await self._looked(told.target)
        request = self.order.requests.get(told.target)
        over = next(
            (r.state for r in reversed(self.order.over) if r.target == told.target), "unknown"
        )
        state, why = (request.state, self.order.reason(request)) if request else (over, "")
        answer = {"target": told.target, "state": state, "reason": why, "at": index}
        return Answer(200, json.dumps(answer).encode() + b"\n", JSON)

    def _command(self, call: Command) -> commands.MaintenanceCommand | Answer:
        """What is to be agreed on, or the answer that says why not."""
        target, more, ask = call.target, call.more, call.verb is Verb.WORK_ASK
        zone, ingress = self._ingress.endpoints.zone_of(target), target in self.member.members
        if ask and zone is None and not ingress:
            return Answer(404, f"no backend {target} here, and no ingress of this name\n".encode())
        if not ask and target not in self.order.requests:
            return Answer(404, f"no work on {target} is asked for\n".encode())
        length = more.get("for", 0)
        if not isinstance(length, int | float) or not 0 <= length < 1e8:
            return Answer(400, b'"for" is no number of seconds\n')
        node = zone is not None
        cold = self._ingress.config.module.safety.warm_up_time * 1000.0
        warm = cold if node else INGRESS_WARM * self._options.election_timeout
        return commands.MaintenanceCommand(
            DOING[call.verb],  # type: ignore[arg-type]
            target,
            zone or "",
            str(more.get("why", "")),
            self._ingress.config.name,
            more["urgency"] if isinstance(more.get("urgency"), int) else 0,
            self._options.max_unavailable,
            secrets.token_hex(8),
            commands.NODE if node else commands.INGRESS,
            length * 1000.0,
            warm,
        )

    async def _looked(self, target: str) -> None:
        """Until the fleet has looked at a request, which takes a tick; or for as long as staff
        would wait.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(LOOKED):
                while (r := self.order.requests.get(target)) is not None and not r.looked:
                    await asyncio.sleep(0.01)
