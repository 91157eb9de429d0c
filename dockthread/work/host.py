"""The order of work in an ingress: what is granted is drained here, and the door's calls are answered."""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from dockthread.fleet.member import Member
from dockthread.fleet.options import FleetOptions
from dockthread.ops.door import Answer, Command, Verb
from dockthread.work import order

if TYPE_CHECKING:
    from dockthread.net.ingress import Ingress

JSON = b"application/json"
DOING = {Verb.WORK_ASK: "ask", Verb.WORK_DONE: "done", Verb.WORK_WITHDRAW: "withdraw"}


class Work:
    """One ingress's part. A machine that is granted is held as one drained by hand is, under the rule on drains."""

    def __init__(self, ingress: Ingress, options: FleetOptions) -> None:
        self._ingress, self._options, self.order = ingress, options, order.Order()
        self._held = set[str]()  # by an order of work, not by hand
        self._changed = False
        self.member = Member(
            ingress.config.name,
            options,
            ingress.clock,
            secrets.randbits(32),
            self._apply,
            self._restore,
            self.order.packed,
        )

    def _apply(self, index: int, data: bytes) -> None:
        self.order.apply(index, data)
        self._soon()

    def _restore(self, index: int, state: bytes) -> None:
        self.order.restore(state)
        self._soon()

    def _soon(self) -> None:
        """Once for all entries that come at a time: what was out and came back long before a start must not be taken
        for a machine that has just come back cold."""
        if not self._changed:
            self._changed = True
            asyncio.get_running_loop().call_soon(self._carry_out)

    def _carry_out(self) -> None:
        self._changed, granted = False, self.order.granted()
        for target in sorted(granted - self._held):
            if not self._ingress.hold(target, True):  # not listed here yet: drained as soon as it is
                self._ingress.destinations.held.add(target)
            logger.info("work: {} is drained, its turn has come", target)
        for target in sorted(self._held - granted):
            self._ingress.hold(target, False)
            logger.info("work: {} comes back", target)
        self._held = granted

    def listed(self) -> dict[str, Any]:
        def plain(r: order.Request) -> dict[str, Any]:
            told = msgspec.structs.asdict(r)
            return {**told, "reason": self.order.reason(r)}

        requests = sorted(self.order.requests.values(), key=lambda r: r.since)
        return {"work": [plain(r) for r in requests], "over": [plain(r) for r in self.order.over]}

    async def answer(self, command: Command) -> Answer:
        """A call of the management door."""
        if command.verb is Verb.FLEET:
            return Answer(200, json.dumps(self.member.status()).encode() + b"\n", JSON)
        if command.verb is Verb.WORK:
            return Answer(200, json.dumps(self.listed()).encode() + b"\n", JSON)
        ask = command.verb is Verb.WORK_ASK
        target, more = command.target, command.more
        hall = self._ingress.destinations.hall(target)
        if ask and hall is None:
            return Answer(404, f"no backend {target} here\n".encode())
        if not ask and target not in self.order.requests:
            return Answer(404, f"no work on {target} is asked for\n".encode())
        told = order.Command(
            DOING[command.verb],  # type: ignore[arg-type]
            target,
            hall or "",
            str(more.get("why", "")),
            self._ingress.config.name,
            more["urgency"] if isinstance(more.get("urgency"), int) else 0,
            self._options.most_out,
            secrets.token_hex(8),
        )
        index = await self.member.propose(msgspec.msgpack.encode(told))
        if not index:
            return Answer(503, b"no majority has agreed in time: ask again, the same request is not made twice\n")
        request = self.order.requests.get(target)
        state = request.state if request else self.order.over[-1].state if self.order.over else "unknown"
        why = self.order.reason(request) if request else ""
        said = {"target": target, "state": state, "reason": why, "at": index}
        return Answer(200, json.dumps(said).encode() + b"\n", JSON)
