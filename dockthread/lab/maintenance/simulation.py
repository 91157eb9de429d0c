"""Turns of work on the simulated network: members with their part, machines, and staff who ask,
pull plugs and say done.

Beside the agreement's faults (world.py): machines that fail for a while, and zones that are
pressed. Each member sends requests to machines that it does not hold; a request lasts some ms, now
and then long. Staff ask at any member, look at any for what became of their own request (by their
own word on it), pull the plug once it is out, and say done after the work; whatever is not answered
they ask again under the same id. An ingress that ends in its own turn is started again. One seed,
one course of events; times in ms.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from dockthread.lab.maintenance.checker import MaintenanceChecker
from dockthread.lab.maintenance.seeded_defects import PARTICIPANTS, SCHEDULERS
from dockthread.lab.raft.checker import RuleViolation
from dockthread.lab.raft.cluster import SimulatedMember
from dockthread.lab.raft.faults import FAULT_PHASE_MS
from dockthread.lab.raft.simulation import RaftSimulation
from dockthread.maintenance.commands import INGRESS, MaintenanceCommand, MaintenanceRequest
from dockthread.maintenance.participant import (
    ClusterView,
    MaintenanceOptions,
    MaintenanceParticipant,
    MemberObservation,
    ZoneObservation,
)
from dockthread.maintenance.scheduler import HELD, MaintenanceScheduler
from dockthread.raft.actions import RaftTiming, Role
from dockthread.raft.messages import Entry, EntryKind

TERMS = MaintenanceOptions(bears=0.0, reserve=0.2, lapse=4_000.0, dead=2_000.0)
# of a machine that comes back; in which all that was asked for has to come to its end
WARM, CALM = 800.0, 40_000.0
ZONES = {f"m{i}": "ab"[i % 2] for i in range(6)}
# between turns of a part; requests of all members; wishes of staff
LOOK, SEND, STAFF = 60.0, 25.0, 350.0
AGAIN = 2_500.0  # after which staff ask once more
FAULTS = (
    "cut", "one-way", "loss", "delay", "double", "crash", "crash-all", "stall", "torn", "compact", "hand", "fail",
    "press",
)  # fmt: skip
SLACK = 60.0  # by which times that are told on the way may differ


@dataclass(slots=True)
class Own:
    """What a member has beside its log, in one life."""

    part: MaintenanceParticipant
    out: dict[str, int] = field(default_factory=dict)  # own requests out, by machine


@dataclass(slots=True)
class Wish:
    """What one of staff wants: a machine out, work done there, and back."""

    word: str
    target: str
    command: MaintenanceCommand
    step: str = "ask"  # ask, look, work, done, over
    asked: float = -1e18
    regrets: bool = False  # takes it back as soon as it stands


class MaintenanceSimulation(RaftSimulation):
    def __init__(
        self, seed: int, size: int, plant: str = "", faults: tuple[str, ...] | None = None
    ) -> None:
        super().__init__(seed, size, plant, faults)
        drawn = tuple(f for f in FAULTS if self.rng.random() < 0.4)
        self.faults = drawn if faults is None else faults
        self.turns = MaintenanceChecker(ZONES, 1, WARM, TERMS.dead - SLACK, TERMS.lapse - SLACK)
        self.checker.commands_are_unique = False
        self.turns.broken = self.checker.violations
        self.fault_injector.handlers.update({"fail": self._fail, "press": self._press})
        self.own: dict[str, Own] = {}
        self.wishes: list[Wish] = []
        self.failing: set[str] = set()
        self.pressed = False
        self._words = 0
        self._reach: dict[str, float] = {}  # when each member was last surely within reach
        # how long it was not before, and until when
        self._gaps: dict[str, tuple[float, float]] = {}

    def run(self) -> list[RuleViolation]:
        for what, pace in ((self._send_some, SEND), (self._staff, STAFF), (self._reached, LOOK)):
            self.schedule(pace, what)
        for name in self.voters:
            self.start_member(self.members[name])
        self.schedule(400.0, self.fault_injector.inject)
        self.run_until(FAULT_PHASE_MS)
        self.fault_injector.end_all()
        self.failing, self.pressed = set(), False
        self.run_until(FAULT_PHASE_MS + CALM)
        up = {n: o for n, o in self.own.items() if self.members[n].core is not None}
        orders = {n: o.part.order.snapshot() for n, o in up.items()}
        due = next(iter(up.values())).part.order.held() if up else {}
        waits = [w.target for w in self.wishes if w.step != "over"]
        self.turns.ended(self.now, orders, {n: o.part.holds for n, o in up.items()}, due, waits)
        return self.checker.violations

    # Members

    def start_member(self, m: SimulatedMember) -> None:
        if m.is_removed or m.core is not None:
            return
        order = SCHEDULERS.get(self.seeded_defect, MaintenanceScheduler)()
        part = PARTICIPANTS.get(self.seeded_defect, MaintenanceParticipant)(
            m.name, f"{m.name}/{m.incarnation + 1}", TERMS, self.now, order
        )
        self.own[m.name] = Own(part)
        part.begins(m.disk.snapshot, *m.disk.command_replay())
        super().start_member(m)
        self.turns.returns(m.name)
        self._turn(m, m.incarnation)

    def on_entry_applied(self, m: SimulatedMember, index: int, entry: Entry) -> None:
        super().on_entry_applied(m, index, entry)
        part = self.own[m.name].part
        if entry.kind == EntryKind.COMMAND:
            before = {r.target: (r.state, r.epoch) for r in part.order.requests.values()}
            part.applied(self.now, index, entry.data)
            for r in [*part.order.requests.values(), *part.order.over]:
                self._seen(r, before.get(r.target))
        part.came_to(index, entry.term)
        self._do_turn(m)

    def _seen(self, r: MaintenanceRequest, before: tuple[str, int] | None) -> None:
        self.turns.request(self.now, r.why, r.since)
        if r.state == "granted":
            self.turns.granted(self.now, r.target, r.epoch)
        lapsed = (
            r.state == "waiting"
            and r.why_back.startswith("its turn lapsed")
            or r.state == "abandoned"
        )
        if lapsed and before is not None and before[0] in ("granted", "draining"):
            self.turns.lapsed(self.now, r.target, before[1])

    def on_snapshot_restored(self, m: SimulatedMember, index: int, state: bytes) -> None:
        m.applied_index, m.applied_commands = index, []
        part = self.own[m.name].part
        part.restored(state)
        part.came_to(index, 0)
        self.checker.restarted(m.name, m.incarnation, index)

    def snapshot_of(self, m: SimulatedMember) -> bytes:
        return self.own[m.name].part.order.snapshot()

    def _turn(self, m: SimulatedMember, life: int) -> None:
        if m.core is not None and m.incarnation == life:
            self._do_turn(m)
            self.schedule(LOOK, self._turn, m, life)

    def _do_turn(self, m: SimulatedMember) -> None:
        if m.core is None or m.is_stalled:
            return
        own, core = self.own[m.name], m.core
        idle = {t for t in own.part.holds if not own.out.get(t)}
        heard = core.responded_within(RaftTiming().election_timeout_ms)
        acts = own.part.turn(self.now, ClusterView(core.leader_id, self.voters, heard, idle))
        if acts.show:
            self._show(m, core.leader_id)
        for command in acts.say:
            self._ask_leader(m, command)
        if acts.tick is not None:
            self.carry_out(m, core.propose(self.now, msgspec.msgpack.encode(acts.tick))[1])
        if acts.hand_over and m.core is not None:
            self.carry_out(m, core.transfer_leadership(self.now))
        if acts.stop and m.core is not None:
            self.turns.leaves(self.now, m.name)
            self.kill_member(m)
            self.schedule(self.rng.uniform(300, 1500), self.start_member, m)

    def _travels(self, sender: str, to: str) -> bool:
        return (sender, to) not in self.network.cuts and (
            sender == to or self.rng.random() >= self.network.loss_rate
        )

    def _show(self, m: SimulatedMember, leader: str) -> None:
        part = self.own[m.name].part
        zones = []
        for zone in sorted(set(part.asked_for().values())):
            here = [t for t in ZONES if ZONES[t] == zone and t not in self.turns.pulled]
            ready = tuple(t for t in here if t not in part.holds)
            ailing = tuple(t for t in ready if t in self.failing)
            zones.append(ZoneObservation(zone, ready, ailing, 0.0, self.pressed))
        data = msgspec.msgpack.encode(
            MemberObservation(tuple(zones), tuple(sorted(part.asked_for())), part.latest())
        )
        if self._travels(m.name, leader):
            self.schedule(
                self.rng.expovariate(1 / self.network.mean_delay_ms),
                self._shown,
                leader,
                m.name,
                data,
            )

    def _shown(self, leader: str, sender: str, data: bytes) -> None:
        to = self.members[leader]
        if to.core is not None and not to.is_stalled:
            self.own[leader].part.shown(self.now, sender, data)

    def _ask_leader(self, m: SimulatedMember, command: MaintenanceCommand) -> None:
        """Through whoever leads, as far as this member knows; may be lost, late or doubled."""
        if m.core is None or not m.core.leader_id or not self._travels(m.name, m.core.leader_id):
            return
        data = msgspec.msgpack.encode(command)
        for _ in range(1 + (self.rng.random() < self.network.duplication_rate)):
            self.schedule(
                self.rng.expovariate(1 / self.network.mean_delay_ms),
                self._propose_at,
                m.core.leader_id,
                data,
            )

    def _propose_at(self, leader: str, data: bytes) -> None:
        to = self.members[leader]
        if to.core is not None and not to.is_stalled and to.core.role is Role.LEADER:
            self.carry_out(to, to.core.propose(self.now, data)[1])

    # Requests

    def _send_some(self) -> None:
        self.schedule(self.rng.uniform(0.5, 1.5) * SEND, self._send_some)
        m = self.random_running_member()
        if m is None or m.is_stalled:
            return
        own = self.own[m.name]
        machine = self.rng.choice(sorted(ZONES))
        if machine not in own.part.holds:
            self.turns.used(self.now, m.name, machine)
            own.out[machine] = own.out.get(machine, 0) + 1
            took = (
                self.rng.expovariate(1 / 30.0)
                if self.rng.random() < 0.95
                else self.rng.uniform(200, 1500)
            )
            self.schedule(took, self._ends, own, machine)

    def _ends(self, own: Own, machine: str) -> None:
        own.out[machine] -= 1

    def _reached(self) -> None:
        """Which members are surely within reach of each other now, for the checker's word on who
        was left out.
        """
        self.schedule(LOOK, self._reached)
        calm = (
            not self.network.cuts
            and self.network.loss_rate <= 0.1
            and self.network.mean_delay_ms <= 50.0
        )
        leaders = {m.name for m, _ in self.running_leaders()}
        for m in self.members.values():
            if calm and m.core is not None and not m.is_stalled and m.core.leader_id in leaders:
                gap = self.now - self._reach.get(m.name, 0.0)
                if gap > 2 * LOOK:
                    self._gaps[m.name] = (gap, self.now)
                self._reach[m.name] = self.now

    def _out_of_reach(self, name: str) -> float:
        """For how many ms, now or until not long ago."""
        gap, until = self._gaps.get(name, (0.0, -1e18))
        return max(
            self.now - self._reach.get(name, 0.0), gap if until > self.now - TERMS.dead else 0.0
        )

    # Staff

    def _staff(self) -> None:
        self.schedule(self.rng.uniform(0.5, 1.5) * STAFF, self._staff)
        wanting = [w for w in self.wishes if w.step != "over"]
        if self.now < FAULT_PHASE_MS and len(wanting) < 4:
            free = sorted({*ZONES, *self.voters} - {w.target for w in wanting})
            target = self.rng.choice(
                free if self.rng.random() < 0.2 else [t for t in free if t in ZONES] or free
            )
            self._words += 1
            word, kind = f"w{self._words}", "node" if target in ZONES else INGRESS
            command = MaintenanceCommand(
                "ask", target, ZONES.get(target, ""), word, "staff", self.rng.randrange(3), once=word, kind=kind,
                length=self.rng.choice((0.0, 1_000.0)), warm=WARM if kind == "node" else 0.0,
            )  # fmt: skip
            self.wishes.append(Wish(word, target, command, regrets=self.rng.random() < 0.15))
        for wish in wanting:
            self._go_on_with(wish)

    def _go_on_with(self, wish: Wish) -> None:
        m = self.random_running_member()
        if m is None or m.is_stalled:
            return
        order = self.own[m.name].part.order
        if any(r.why == wish.word for r in order.over):
            wish.step = "over"
            return
        mine = next((r for r in order.requests.values() if r.why == wish.word), None)
        if wish.step == "ask" and mine is None and self.now - wish.asked >= AGAIN:
            wish.asked = self.now
            self._ask_leader(m, wish.command)
        elif wish.step == "ask" and mine is not None and wish.regrets:
            self._ask_leader(
                m, MaintenanceCommand("withdraw", wish.target, once=f"{wish.word}/withdraw")
            )
        elif wish.step == "ask" and mine is not None and wish.target not in ZONES:
            wish.step = "look"  # an ingress comes back by itself
        elif wish.step == "ask" and mine is not None and mine.state in HELD[2:]:
            busy = {n: o.out.get(wish.target, 0) for n, o in self.own.items()}
            away = {n: self._out_of_reach(n) for n in self.voters}
            self.turns.pull(self.now, wish.target, mine.held, self.voters, busy, away)
            self.record_event(f"{wish.target} is pulled, held by {mine.held}")
            wish.step = "work"
            self.schedule(self.rng.uniform(300, 2500), self._worked, wish)
        elif wish.step == "done" and self.now - wish.asked >= AGAIN:
            wish.asked = self.now
            self._ask_leader(m, MaintenanceCommand("done", wish.target, once=f"{wish.word}/done"))

    def _worked(self, wish: Wish) -> None:
        self.turns.back(self.now, wish.target)
        self.record_event(f"{wish.target} is back")
        wish.step, wish.asked = "done", -1e18

    # Faults of machines

    def _fail(self) -> None:
        machine = self.rng.choice(sorted(ZONES))
        self.failing.add(machine)
        self.schedule(self.rng.uniform(200, 4000), self.failing.discard, machine)

    def _press(self) -> None:
        self.pressed = True
        self.schedule(self.rng.uniform(100, 1500), setattr, self, "pressed", False)
