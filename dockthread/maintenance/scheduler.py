"""The order of work, free of I/O: commands from the agreed log in, who is out now.

Theory of operation. Every member applies the same commands in the same order, and so comes to the
same order of work; nothing here looks at a clock, a file or the network. A request names a machine:
a licence node, or an ingress. It waits until its turn can be had, is drained by each member that is
not agreed dead, and is out once all of them have said so under the grant's epoch; on its way back
it counts until it is warm again.

| state | its turn can be had | all hold it | withdraw | done, back | lapse, recall | all freed it | warm |
| --- | --- | --- | --- | --- | --- | --- | --- |
| waiting | granted | - | withdrawn | - | - | - | - |
| granted, draining | - | out | returning | returning | waiting; abandoned | - | - |
| out, overdue | - | - | returning | returning | never | - | - |
| returning | - | - | - | - | - | warming | - |
| warming | - | - | - | - | - | - | done or withdrawn |

`granted` becomes `draining` with the first that holds it, `out` becomes `overdue` when it takes
longer than was said: it is told and stays out, as only staff know whether it can serve. Time is the
log's own: each tick of a leader carries the ms since the tick before, never more than it saw pass,
and is numbered, so that one proposed twice counts once. A state's time counts from the tick after
it, a silence from the tick that first missed the member. So what lapses by this clock lapses late,
by a tick or where leaders change, and never early.

A turn can be had where a majority sees the machine, nothing else of its zone is failing or pressed,
the rest can carry the load, and fewer of its zone are away than the least `most` that any request
of it names: where files differ, the careful one holds. An ingress goes only where no other is
silent or away. Among those that wait the more urgent goes first, then the older. A machine's name
is the key: asked twice it is one request.

A command that a member hands on again, as its leader died before it answered, carries the same
`once` and is carried out once.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from dockthread.maintenance.commands import (
    INGRESS,
    LeaderReport,
    MaintenanceCommand,
    MaintenanceRequest,
)

KEPT, SEEN = 64, 256  # requests that are over, for whoever looks; commands known again
JUST_NOW = -1.0  # the log's time of a state that no tick has followed yet
# ms of silence when a member is first missed: it may have been heard until just before
MISSED = 0.001
TRIES = 3  # grants that may lapse before a request is given up, and told
HELD = ("granted", "draining", "out", "overdue")  # every member keeps its requests away from these
TAKING = ("granted", "draining")  # may still be called back
LEAVE = {"ask": "waiting", "done": "done", "withdraw": "withdrawn", "back": "done"}


class MaintenanceScheduler:
    def __init__(self) -> None:
        self.requests: dict[str, MaintenanceRequest] = {}
        self.over: list[MaintenanceRequest] = []
        self.seen: list[str] = []  # the latest commands, which are not carried out twice
        self.clock, self.ticks = 0.0, 0  # ms by all ticks; how many
        self.silent: dict[str, float] = {}  # by member: ms without a word of it
        self.last = LeaderReport()

    @staticmethod
    def read(data: bytes) -> MaintenanceCommand:
        """Raises ValueError for what is no command."""
        try:
            return msgspec.msgpack.decode(data, type=MaintenanceCommand)
        except msgspec.MsgspecError as error:
            raise ValueError(f"no command of the order of work: {error}") from error

    def apply(self, index: int, data: bytes) -> None:
        """One command; what is none changes nothing, at every member alike."""
        try:
            command = self.read(data)
        except ValueError:
            return
        if command.once and command.once in self.seen:
            return
        self.seen = [*self.seen, command.once][-SEEN:] if command.once else self.seen
        request = self.requests.get(command.target)
        if command.do == "tick":
            self._tick(command.tick)
        elif command.do == "ask":
            if request is None:
                c = command
                self.requests[c.target] = MaintenanceRequest(
                    c.target, c.zone, c.why[:200], c.by, c.urgency, max(1, c.most), index,
                    kind=c.kind, length=c.length, warm=c.warm,
                )  # fmt: skip
        elif request is not None:
            self._about(request, command)
        self._settle(index)

    def _about(self, r: MaintenanceRequest, c: MaintenanceCommand) -> None:
        current = c.epoch == r.epoch
        if c.do == "held" and current and r.state in HELD:
            r.held = tuple(sorted({*r.held, c.by}))
            if r.state in TAKING:
                r.state, r.life = "draining", c.life if r.kind == INGRESS else ""
        elif c.do == "freed" and current and r.state == "returning":
            r.freed = tuple(sorted({*r.freed, c.by}))
        elif c.do == "withdraw" and r.state == "waiting":
            self._end(r, "withdrawn")
        elif c.do == "withdraw" and r.kind == INGRESS and r.state in HELD[2:]:
            return  # too late: it is ending, and counts as away until it says that it is back
        elif (
            c.do in ("done", "withdraw")
            and r.state in HELD
            or c.do == "back"
            and current
            and r.state in HELD[2:]
        ):
            r.state, r.ends, r.freed = "returning", LEAVE[c.do], ()

    def _end(self, r: MaintenanceRequest, state: str) -> None:
        r.state = state
        self.over = [*self.over, self.requests.pop(r.target)][-KEPT:]

    def _tick(self, t: LeaderReport) -> None:
        if t.number != self.ticks + 1:  # proposed by one that did not know of the latest
            return
        self.ticks, self.clock, self.last = t.number, self.clock + max(0.0, t.elapsed), t
        silent = {m: self.silent.get(m, 0.0) for m in t.members}
        self.silent = {
            m: 0.0 if m in t.alive else ms + t.elapsed if ms else MISSED for m, ms in silent.items()
        }
        for r in list(self.requests.values()):
            r.looked = True
            # it came to its state after the tick before, nobody knows how long after
            if r.at == JUST_NOW:
                r.at = self.clock
            if r.state in TAKING and (why := self._called_back(r)):
                self._wait_again(r, why)
            elif r.state == "out" and r.length and self.clock >= r.at + r.length:
                r.state = "overdue"
            elif r.state == "warming" and self.clock >= r.at + r.warm:
                self._end(r, r.ends)

    def _called_back(self, r: MaintenanceRequest) -> str:
        if self.clock >= r.at + self.last.lapse:
            missing = ", ".join(sorted(self._awaited(r) - set(r.held)))
            r.tries += 1
            return f"its turn lapsed, as {missing or 'nobody'} did not say that it had drained it"
        why = self._unsafe(r) if r.kind != INGRESS else ""
        return f"called back, as {why}" if why else ""

    def _wait_again(self, r: MaintenanceRequest, why: str) -> None:
        r.state, r.why_back, r.held, r.life = "waiting", why, (), ""
        if r.tries >= TRIES:
            self._end(r, "abandoned")

    def _settle(self, index: int) -> None:
        for r in list(self.requests.values()):
            if r.state == "draining" and self._awaited(r) and self._awaited(r) <= set(r.held):
                r.state, r.at = "out", JUST_NOW
            elif r.state == "returning" and (r.kind == INGRESS or self._awaited(r) <= set(r.freed)):
                r.state, r.at = "warming", JUST_NOW
        for r in sorted(self.requests.values(), key=lambda r: (-r.urgency, r.since)):
            if r.state == "waiting" and not self._hindered(r):
                r.state, r.epoch, r.at, r.why_back, r.freed = "granted", index, JUST_NOW, "", ()

    def _awaited(self, r: MaintenanceRequest) -> set[str]:
        """Whose word is waited for: of an ingress its own, of a node that of all that are not
        agreed dead.
        """
        if r.kind == INGRESS:
            return {r.target}
        return {m for m, silence in self.silent.items() if silence < self.last.dead}

    # Why a request waits

    def _hindered(self, r: MaintenanceRequest) -> str:
        """In words; empty where its turn can be had."""
        away = [
            o
            for o in self.requests.values()
            if o.zone == r.zone and o.kind == r.kind and o.state != "waiting"
        ]
        if len(away) >= self.most(r.zone, r.kind):
            where = "ingresses" if r.kind == INGRESS else r.zone or "no known zone"
            return f"{_listed(f'{o.target} of {where} is {_word(o)}' for o in away)}, and {len(away)} may be"
        if not r.looked:
            return "it is being looked at"
        if r.kind == INGRESS:
            quiet = sorted(m for m, silence in self.silent.items() if silence and m != r.target)
            return f"{_listed(quiet)} cannot be heard" if quiet else ""
        if r.target not in self.last.seen:
            return "fewer than half of the members see it"
        return self._unsafe(r)

    def _unsafe(self, r: MaintenanceRequest) -> str:
        zone = next((h for h in self.last.zones if h.name == r.zone), None)
        if zone is None:
            return f"{r.zone or 'its zone'} is not seen by a majority"
        away = {
            o.target for o in self.requests.values() if o.zone == r.zone and o.state != "waiting"
        }
        if ailing := sorted(set(zone.ailing) - away - {r.target}):
            return f"{_listed(ailing)} of {r.zone} fails"
        if zone.pressed:
            return f"requests wait too long in {r.zone}"
        rest = zone.ready - (r.state == "waiting")  # what is on its way out is not ready any more
        most = 1 - self.last.reserve
        if zone.load >= 0 and zone.load > most * rest:
            share = zone.load / max(rest, 1)
            return f"the rest of {r.zone} would carry {share:.2f} of what it bears, and {most:.2f} is most"
        return ""

    def out(self, zone: str, kind: str = "node") -> int:
        """Away from service: from the grant until it is warm again."""
        return sum(
            r.state != "waiting" and r.zone == zone and r.kind == kind
            for r in self.requests.values()
        )

    def most(self, zone: str, kind: str = "node") -> int:
        if kind == INGRESS:
            return 1  # two might be all of a firm's set
        return min(
            (r.most for r in self.requests.values() if r.zone == zone and r.kind == kind), default=1
        )

    def held(self) -> dict[str, int]:
        """The nodes that every member keeps its requests away from, each with its grant's epoch."""
        return {
            r.target: r.epoch
            for r in self.requests.values()
            if r.state in HELD and r.kind != INGRESS
        }

    def reason(self, request: MaintenanceRequest) -> str:
        """Why it waits, in words; of one under way, whom it waits for."""
        if request.state == "waiting":
            why = self._hindered(request) or "its turn comes with the next entry"
            return f"{why} ({request.why_back})" if request.why_back else why
        if request.state in TAKING:
            return f"waits for {_listed(sorted(self._awaited(request) - set(request.held)))}"
        if request.state == "returning":
            return f"waits for {_listed(sorted(self._awaited(request) - set(request.freed)))}"
        if request.state == "overdue":
            return f"it was to take {request.length / 1000:.0f} s; say `done` or `withdraw` when it can serve"
        return ""

    # As bytes

    def snapshot(self) -> bytes:
        whole = (
            list(self.requests.values()),
            self.over,
            self.seen,
            self.clock,
            self.ticks,
            self.silent,
            self.last,
        )
        return msgspec.msgpack.encode(whole)

    def restore(self, state: bytes) -> None:
        kind = tuple[
            list[MaintenanceRequest],
            list[MaintenanceRequest],
            list[str],
            float,
            int,
            dict[str, float],
            LeaderReport,
        ]
        state = state or MaintenanceScheduler().snapshot()
        requests, self.over, self.seen, self.clock, self.ticks, self.silent, self.last = (
            msgspec.msgpack.decode(state, type=kind)
        )
        self.requests = {r.target: r for r in requests}


def _word(r: MaintenanceRequest) -> str:
    return "out" if r.state in HELD else "coming back"


def _listed(words: Iterable[str]) -> str:
    return ", ".join(words) or "nobody"
