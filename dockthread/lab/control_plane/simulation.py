"""A whole distribution in simulated time: one seed, one course of events.

Three voters with the real agreement, one in each region; distributors; ingresses in the zones of
the regions; one publisher. Each seed turns on a random subset of the faults; scenario `single`
strikes one at a time and holds every ingress that it leaves alone to the bound meanwhile. Whatever
is random comes of the seed, and time is the heap's: two runs of one seed write the same record.
Times in ms.

The bound after all faults, from the constants: a server's silence is noticed (2,500), or a
connection that was being opened fails (1,000); the drawn pause ends (2,000 at most); the next
connection is opened and answered (under 100); the snapshots of a wave of all ingresses are worked
off (2,200, as the world's budget is set). Voters elect (1,800) meanwhile. 6,800 in all.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

from dockthread.control_plane.fanout import FanOut, FanOutLimits
from dockthread.control_plane.messages import Rejection
from dockthread.control_plane.publish_state_machine import PublishStateMachine
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.server_selection import CandidateServer
from dockthread.control_plane.subscriber import Subscriber
from dockthread.control_plane.subscriber_settings import SubscriberSettings, SubscriberTimes
from dockthread.lab.control_plane.checker import Checker, Seen
from dockthread.lab.control_plane.faults import FAULTS, HOUR, SINGLE, Faults
from dockthread.lab.control_plane.ingress import Ingress
from dockthread.lab.control_plane.network import AGAIN, Clock, Network
from dockthread.lab.control_plane.nodes import Distributor, Process
from dockthread.lab.control_plane.publisher import KINDS, Publisher
from dockthread.lab.control_plane.seeded_defects import SEEDED_DEFECTS, SeededDefect
from dockthread.lab.control_plane.voter import Voter
from dockthread.lab.raft.checker import RuleViolation
from dockthread.raft.messages import Message as LogMessage

Kind = TypeVar("Kind", bound=Process)

# within which all converge after the faults, and a change is in force beside one fault
BOUND: Final = 7_000.0
CALM: Final = 2_500.0  # within which a change is in force when all is well
# within which a publisher that asks again and again is told, when all is well
TOLD: Final = 20_000.0
WARM: Final = 5_000.0  # before the faults
FAULTY: Final = 20_000.0  # for which they strike
FAULT_EVERY: Final = 1_200.0
SINGLE_EVERY: Final = 17_000.0  # one fault and the bound after it
SINGLE_STRIKES: Final = 4
PROBE_EVERY: Final = 250.0
HOUR_PACE: Final = 60_000.0  # ms between changes while regions are cut for an hour


@dataclass(frozen=True, slots=True)
class Settings:
    """How large, and with which bounds; small ones, so that they are met."""

    regions: tuple[str, ...] = ("east", "north", "west")
    zones: int = 2  # of a region
    distributors: int = 2  # of a region
    ingresses: int = 8  # of a region
    max_tombstones: int = 3
    max_tokens: int = 4_096
    limits: FanOutLimits = FanOutLimits(
        max_subscribers=16, snapshot_rate=5_000.0, snapshot_burst=1_500.0, chunk_bytes=800, silence_timeout=4_000.0,
        retry_after_min=50.0, retry_after_max=1_500.0,
    )  # fmt: skip
    times: SubscriberTimes = SubscriberTimes()


class World:
    """`faults`: those that may strike, drawn from the seed where None; `single`: one at a time."""

    again = AGAIN

    def __init__(
        self,
        seed: int,
        plant: str = "",
        faults: Sequence[str] | None = None,
        single: bool = False,
        hour: bool = False,
    ) -> None:
        self.rng, self.clock, self.settings = random.Random(seed), Clock(), Settings()
        self.network = Network(self.clock, self.rng)
        limits = self.settings.limits
        self.checker = Checker(
            limits.snapshot_burst, limits.snapshot_rate, limits.chunk_bytes * 2.0
        )
        self.record: list[str] = []
        self.histories = 1
        self._plant: SeededDefect = SEEDED_DEFECTS[plant] if plant else SeededDefect()
        self._single, self._hour = single, hour
        drawn = tuple(SINGLE if single else [f for f in FAULTS if self.rng.random() < 0.4])
        chosen = self._plant.faults if faults is None else tuple(faults)
        self.faults = drawn if chosen is None else chosen
        self.processes: dict[str, Process] = {}
        self.voters = [
            self._place(Voter, f"v-{region}", region, 0) for region in self.settings.regions
        ]
        self.distributors = self._spread(Distributor, "d", self.settings.distributors)
        self.ingresses = self._spread(Ingress, "i", self.settings.ingresses)
        for ingress in self.ingresses:
            ingress.cached = self.rng.random() < 0.5
        self.voter_names = tuple(voter.name for voter in self.voters)
        self.publisher = Publisher(self)
        self._faults = Faults(self)

    # Its making

    def _place(self, kind: type[Kind], name: str, region: str, zone: int) -> Kind:
        process = kind(self, name, region, f"{region}-{zone % self.settings.zones}")
        self.processes[name] = process
        return process

    def _spread(self, kind: type[Kind], letter: str, count: int) -> list[Kind]:
        places = [(region, number) for region in self.settings.regions for number in range(count)]
        return [
            self._place(kind, f"{letter}-{region}-{number}", region, number)
            for region, number in places
        ]

    def process(self, name: str) -> Process:
        return self.processes[name]

    def voter_servers(self) -> list[CandidateServer]:
        return [CandidateServer(name) for name in self.voter_names]

    def distributor_servers(self, receiver: Process) -> list[CandidateServer]:
        return [
            CandidateServer(one.name, int(one.region != receiver.region))
            for one in self.distributors
        ]

    def make_subscriber(
        self,
        process: Process,
        servers: list[CandidateServer],
        table: ResourceTable,
        rejections: Sequence[Rejection] = (),
    ) -> Subscriber:
        rng = random.Random(self.rng.random())
        settings = SubscriberSettings(
            process.name, process.region, process.zone, self.settings.times
        )
        return self._plant.subscriber(settings, servers, rng, self.clock.now, table, rejections)

    def make_fanout(self, process: Process, table: ResourceTable) -> FanOut:
        rng = random.Random(self.rng.random())
        return self._plant.fan_out(table, self.settings.limits, rng, b"", self.clock.now)

    def make_publishing(self) -> PublishStateMachine:
        rng, settings = random.Random(self.rng.random()), self.settings
        validators = {kind: lambda name, body: "" for kind in KINDS}
        return self._plant.state_machine(
            validators, rng, settings.max_tokens, settings.max_tombstones
        )

    def send_log(self, sender: Process, to: str, message: LogMessage) -> None:
        receiver = next(voter for voter in self.voters if voter.name == to)
        if receiver.up and self.network.reach(sender, receiver):
            wait = self.network.latency(sender, receiver)
            self.clock.after(wait, receiver.log_message, receiver.life, message)

    def note(self, text: str) -> None:
        self.record.append(f"{self.clock.now:11.3f} {text}")

    # Its course

    def play(self) -> list[RuleViolation]:
        """The seed's course, to its end or to the first rule that broke."""
        try:
            self._run()
        except (IndexError, ValueError, KeyError, AssertionError, AttributeError) as error:
            self.checker.broken.append(
                RuleViolation("crash", self.clock.now, f"a core ends with {error!r}")
            )
        return self.checker.broken

    def _until(self, end: float) -> None:
        self.clock.run_until(end, lambda: not self.checker.broken)

    def _run(self) -> None:
        for process in self.processes.values():
            self.clock.after(self.rng.uniform(0.0, 300.0), process.start)
        self.clock.after(1_000.0, self.publisher.run)
        self._until(WARM)
        end = WARM + (SINGLE_EVERY * SINGLE_STRIKES if self._single else FAULTY)
        self.clock.after(0.0, self._strike, end)
        if self._single:
            self.clock.after(0.0, self._probe, end)
        if self._hour:
            self._faults.hour()
            self.publisher.pace = HOUR_PACE
        self._until(end)
        if self._hour:
            self._until(WARM + HOUR)
        self.note("all faults end")
        self.publisher.going = False
        self._faults.heal()
        self._until(self.clock.now + BOUND - CALM)
        due = self._revision()
        self._until(self.clock.now + CALM)
        at, latest, seen = self.clock.now, self._revision(), self._see()
        self._until_told()
        self._judge(at, seen, due, latest)
        for _ in range(3):
            self.publisher.change()
        self._until_told()
        self._until(self.clock.now + CALM)
        last = self._revision()
        self._judge(self.clock.now, self._see(), last, last)
        self.checker.log_ended(self.clock.now, last)

    def _revision(self) -> int:
        """Up to where changes are accepted."""
        return max(voter.publishing.table.revision for voter in self.voters)

    def _until_told(self) -> None:
        """All that was asked for has an outcome, or had long enough for one."""
        end = self.clock.now + TOLD
        while self.clock.now < end and any(
            one.revision is None for one in self.checker.asked.values()
        ):
            self._until(self.clock.now + PROBE_EVERY)

    def _strike(self, end: float) -> None:
        if self.clock.now >= end:
            return
        wait = SINGLE_EVERY if self._single else self.rng.expovariate(1.0 / FAULT_EVERY)
        self.clock.after(wait, self._strike, end)
        if self.faults:
            self._faults.strike(self.rng.choice(self.faults))

    def _probe(self, end: float) -> None:
        """Beside single faults: every ingress that was left alone for the bound has what was
        accepted before it.
        """
        now = self.clock.now
        if now >= end:
            return
        self.clock.after(PROBE_EVERY, self._probe, end)
        for ingress in self.ingresses:
            alone_at = self._faults.alone_at.get(ingress.name, 0.0)
            if ingress.up and alone_at + BOUND <= now:
                self.checker.has_all(now, ingress.name, ingress.revision, now - BOUND)

    def _see(self) -> list[Seen]:
        now = self.clock.now
        refused: dict[str, set[tuple[str, str]]] = {}
        for distributor in self.distributors:
            for status in distributor.server.fanout.status(now):
                if status.connected:
                    refused[status.name] = {(one.kind, one.name) for one in status.rejected}
        return [
            Seen(one.name, one.bodies(), refused.get(one.name, set())) for one in self.ingresses
        ]

    def _judge(self, at: float, seen: list[Seen], due: int, latest: int) -> None:
        if not self.checker.broken:
            for one in seen:
                self.checker.converged(at, one, due, latest)
