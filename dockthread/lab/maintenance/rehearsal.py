"""Plays a scenario on real processes, with links that can be cut and staff who pull plugs, and
judges what came of it.

Staff ask one member, look at any that answers for their own request (by their word on it), pull the
plug of a machine once it is out, say done after the work, and ask again whatever was not answered.
A light load goes to each ingress meanwhile. Whoever ends in its own turn is started again, as a
supervisor would. Rules, by name: `zone`: machines of a zone whose plug is pulled are never more
than the file allows; `used`: nothing comes to a machine that is pulled, where every member that
lives had said that it holds it; `ingresses`: one at a time is away in its own turn; `lost`: no
request to an ingress that was never killed or held still fails, is lost or gets no answer in its
time; `alike`: at the end all say the same; `progress`: at the end all that was asked for is over.
Each process is ended by its own id.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Awaitable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from dockthread.lab.arrivals import Arrival
from dockthread.lab.load import Load, Target
from dockthread.lab.maintenance.process_cluster import HOST, ProcessCluster
from dockthread.lab.maintenance.scenario import PlannedScenario, Step
from dockthread.lab.maintenance.stand_in import StandInBackend
from dockthread.lab.outcome import OUTCOMES
from dockthread.lab.raft.checker import RuleViolation

SETTINGS: dict[str, Any] = {
    "Classes": [
        {
            "Name": "status",
            "Aim": 1_500_000,
            "HardLimit": 4_000_000,
            "Effect": "pure",
            "Points": 1.0,
        }
    ],
    "Packages": [{"Name": "gross", "Refill": 100_000.0, "PeakUnits": 100_000.0}],
    "Models": ["type-a"],
    "Period": 4000,
}
MORE = "dead = 1500ms\nlapse = 15s\n"
COMES_UP, CALM = 30.0, 30.0  # s until a leader stands; after the last step until all is over
LOOK, AGAIN = 0.1, 2.0  # s between looks of staff; after which they ask once more
OUT = ("out", "overdue")


class VoidRunError(Exception):
    """The run says nothing: it could not be set up, or the tool itself fell behind."""


@dataclass
class RehearsalResult:
    broken: list[RuleViolation] = field(default_factory=list)
    record: list[str] = field(default_factory=list)
    served: int = 0
    asked: int = 0


class Rehearsal:
    def __init__(self, folder: Path, scenario: PlannedScenario) -> None:
        s = self._settings = scenario.settings
        self._scenario, self._verdict, self._begun = scenario, RehearsalResult(), time.monotonic()
        zones = [f"hall-{chr(97 + i)}" for i in range(s.zones)]
        self._nodes = {
            f"m{i}": StandInBackend(f"m{i}", zones[i % s.zones]) for i in range(s.machines)
        }
        self._folder, self._zones = folder, zones
        self._rig: ProcessCluster
        self._hurt: set[str] = set()  # ingresses that were killed or held still
        self._turned: set[str] = set()  # ingresses that went in their turn
        self._down: set[str] = set()  # killed by the scenario, until it starts them
        self._away: set[str] = set()  # ended in their own turns

    async def play(self) -> RehearsalResult:
        """Raises Void."""
        for node in self._nodes.values():
            await node.open()
        targets = [node.listed() for node in self._nodes.values()]
        settings = {**SETTINGS, "Azs": self._zones}
        self._rig = ProcessCluster(
            self._folder, self._scenario.ingresses, settings, targets, self._settings.most_out, MORE
        )
        tasks: list[asyncio.Task[Any]] = []
        try:
            await self._rig.open()
            await self._within(COMES_UP, self._all_follow())
            self._begun = time.monotonic()
            self._say("a leader stands")
            loads = [
                asyncio.create_task(self._load(name))
                for name in self._rig.names
                if self._settings.load
            ]
            tasks = [asyncio.create_task(self._supervise()), *loads]
            staff = [asyncio.create_task(self._step(step)) for step in self._scenario.steps]
            tasks += staff
            await asyncio.gather(*staff)
            await asyncio.gather(*loads)
            await self._calm()
            return self._verdict
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._rig.close()
            for node in self._nodes.values():
                node.close()

    async def _within(self, most: float, what: Awaitable[None]) -> None:
        try:
            await asyncio.wait_for(what, most)
        except TimeoutError as error:
            raise VoidRunError(f"the fleet has no leader after {most:.0f} s") from error

    async def _all_follow(self) -> None:
        while True:
            said = [
                await self._rig.call(name, "GET", "/_fleet", most=0.5) for name in self._rig.names
            ]
            if all(status == 200 and one["leader"] for status, one in said):
                return
            await asyncio.sleep(LOOK)

    @property
    def _now(self) -> float:
        return (time.monotonic() - self._begun) * 1000.0

    def _say(self, text: str) -> None:
        self._verdict.record.append(f"{self._now:8.0f} {text}")

    def _break(self, rule: str, detail: str) -> None:
        self._say(f"BROKEN {rule}: {detail}")
        self._verdict.broken.append(RuleViolation(rule, self._now, detail))

    # Steps

    async def _step(self, step: Step) -> None:
        await asyncio.sleep(max(0.0, step.at - self._now) / 1000.0)
        names = [name for word in step.words for name in await self._named(word)]
        self._say(" ".join((step.verb, *names)))
        match step.verb:
            case "ask":
                await asyncio.gather(*(self._staff(name) for name in names))
            case "withdraw":
                for name in names:
                    await self._call("withdraw", name, "")
            case "heal":
                self._rig.heal()
            case "cut" | "cut-from":
                self._rig.cut(set(names), both=step.verb == "cut")
            case "delay":
                for link in self._rig.links.values():
                    link.delay = float(step.words[0])
            case "fail" | "mend":
                for name in names:
                    self._nodes[name].failing = step.verb == "fail"
            case _:
                for name in names:
                    self._signal(step.verb, name)

    async def _named(self, word: str) -> list[str]:
        if word == "all":
            return list(self._rig.names)
        if word not in ("leader", "follower"):
            return [word]
        leader = await self._rig.leader()
        return (
            [leader]
            if word == "leader" and leader
            else [n for n in self._rig.processes if n != leader][:1]
        )

    def _signal(self, verb: str, name: str) -> None:
        rig = self._rig
        if verb == "start":
            if name in self._down:
                self._down.discard(name)
                rig.start(name)
        elif name in rig.processes and name not in self._down:
            self._hurt.add(name)
            if verb == "kill":
                self._down.add(name)
                rig.kill(name)
            else:
                sent = {"stop": signal.SIGSTOP, "continue": signal.SIGCONT, "end": signal.SIGTERM}[
                    verb
                ]
                rig.signal(name, sent)

    async def _supervise(self) -> None:
        """Whoever has ended by itself is started again; in its own turn it is away until it is
        ready.
        """
        while True:
            for name, process in list(self._rig.processes.items()):
                if name not in self._down and process.poll() is not None:
                    self._turned.add(name)
                    self._away.add(name)
                    self._say(f"{name} has ended with {process.returncode}")
                    if len(self._away) > 1:
                        self._break(
                            "ingresses", f"{', '.join(sorted(self._away))} are away at once"
                        )
                    self._rig.start(name)
            for name in list(self._away):
                if (await self._rig.call(name, "GET", "/_ready", most=0.5))[0] == 200:
                    self._away.discard(name)
            await asyncio.sleep(LOOK)

    # Staff

    async def _call(self, do: str, target: str, why: str) -> bool:
        """At the first member that says yes."""
        for name in list(self._rig.processes):
            status, _ = await self._rig.call(
                name, "POST", f"/_work/{do}", {"target": target, "why": why}
            )
            if status == 200:
                return True
        return False

    async def _known(self, word: str) -> dict[str, Any] | None:
        """The request with staff's word on it, as the first member that knows it has it."""
        for name in list(self._rig.processes):
            status, said = await self._rig.call(name, "GET", "/_work", most=0.5)
            for request in [*said["work"], *said["over"]] if status == 200 else []:
                if request["why"] == word:
                    return dict(request)
        return None

    async def _staff(self, target: str) -> None:
        """From the wish to its end."""
        word = f"{target}/{len(self._verdict.record)}"
        asked, pulled = -1e18, False
        while (known := await self._known(word)) is None or known["state"] not in (
            "done",
            "withdrawn",
            "abandoned",
        ):
            if known is None and time.monotonic() - asked > AGAIN:
                asked = time.monotonic()
                await self._call("ask", target, word)
            elif (
                known is not None and target in self._nodes and not pulled and known["state"] in OUT
            ):
                pulled = True
                await self._work_at(target, known["held"])
            elif (
                known is not None
                and pulled
                and known["state"] in OUT
                and time.monotonic() - asked > AGAIN
            ):
                asked = time.monotonic()
                await self._call("done", target, word)
            await asyncio.sleep(LOOK)
        self._say(f"{target} is {known['state']}")

    async def _work_at(self, target: str, held: list[str]) -> None:
        node = self._nodes[target]
        away = [n for n in self._nodes.values() if n.pulled and n.zone == node.zone]
        if len(away) >= self._settings.most_out:
            self._break(
                "zone", f"{target} of {node.zone} is out with {', '.join(n.uid for n in away)}"
            )
        node.pull()
        before, alive = node.used, set(self._rig.processes) - self._down
        self._say(f"{target} is pulled, held by {', '.join(held)}")
        await asyncio.sleep(float(self._settings.work) / 1000.0)
        if node.used > before and alive <= set(held):
            self._break("used", f"{node.used - before} came to {target}, which all said they hold")
        node.pulled = False

    # The load, and the end

    async def _load(self, name: str) -> None:
        rate, lasts = self._settings.load, float(self._settings.lasts) / 1000.0
        arrivals = (
            Arrival(i / rate, "status", "gross", 1 + i % 7, 1, 1, 0)
            for i in range(int(lasts * rate))
        )
        target = Target(HOST, self._rig.client[name].port, {"status": 4.0}, frozenset())
        load = Load(target, 1 + (self._rig.names.index(name) << 40))
        outcome = await load.run(arrivals)
        self._verdict.asked += outcome.asked
        self._verdict.served += outcome.total("served")
        words = {word: outcome.total(word) for word in OUTCOMES if outcome.total(word)}
        self._say(
            f"requests to {name}: " + ", ".join(f"{many} {word}" for word, many in words.items())
        )
        # Whoever goes in its own turn takes no new connection for a while, and answers all that it
        # took.
        judged = ("failed", "lost", "late", *(() if name in self._turned else ("unsent",)))
        bad = {word: words[word] for word in judged if word in words}
        if bad and name not in self._hurt:
            self._break("lost", f"of {outcome.asked} requests to {name}: {json.dumps(bad)}")

    async def _calm(self) -> None:
        """All faults end; what was asked for comes to its end, and all say the same."""
        self._rig.heal()
        for name in list(self._rig.processes):
            if name not in self._down:
                self._rig.signal(name, signal.SIGCONT)
        for name in list(self._down):
            self._signal("start", name)
        until, alike, said = time.monotonic() + CALM, False, []
        while time.monotonic() < until:
            said = [
                await self._rig.call(name, "GET", "/_work", most=0.5) for name in self._rig.names
            ]
            alike = (
                all(status == 200 for status, _ in said)
                and len({json.dumps(one) for _, one in said}) == 1
            )
            if alike and not said[0][1]["work"]:
                self._say("all is over, and all say the same")
                return
            await asyncio.sleep(LOOK)
        told = "; ".join(f"{name}: {one}" for name, one in zip(self._rig.names, said, strict=True))
        self._break("progress" if alike else "alike", told[:600])
