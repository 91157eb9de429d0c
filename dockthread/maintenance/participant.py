"""One ingress's part in the order of work, free of I/O: what it holds, says and shows; and, where
it leads, its ticks.

Theory of operation. `turn` is called when the order has changed and now and then; it compares what
the order wants with what this ingress does, and gives what is to be done. Nothing is remembered of
what was said but when, so whatever is lost is said again:

| the order has | this ingress | does |
| --- | --- | --- |
| a node held | does not hold it | holds it |
| a node held | holds it, and nothing of its own is out there | says `held` under its epoch |
| a node not held | holds it | frees it, to come back cold |
| a node returning | does not hold it | says `freed` |
| this ingress granted or draining | leads | hands over |
| the same | follows | says `held`, with its life |
| this ingress out, under its own life | - | stops, gently |
| this ingress out, under another life | serves | says `back` |
| anything under way | has a leader | shows it what it sees |
| anything under way | leads, and a majority has shown | proposes a tick |

A start holds, before anything is agreed, whatever its log on disk holds at any place from the one
up to which it is known to be agreed: a node that is out for work may be used by nobody, also not in
the second until a leader says how far the log is agreed. What of it was let back meanwhile is freed
once the log on disk is known to be agreed, or another stands in its place.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from dockthread.maintenance.commands import INGRESS, LeaderReport, MaintenanceCommand, ZoneStatus
from dockthread.maintenance.scheduler import HELD, TAKING, MaintenanceScheduler

# ms between ticks: while something moves; while all that is out stays out
TICK, SLOW_TICK = 500.0, 5_000.0
SAY_AGAIN = 1_500.0  # ms after which what the order does not show yet is said once more
FRESH = 2.5  # ticks for which what a member showed counts
PATIENT = 2.0  # ticks for which a first look at a request waits for a majority's


class ZoneObservation(msgspec.Struct, frozen=True, array_like=True):
    """Of a zone, by one member: uids that serve, uids that fail by what it met, its own attempts
    out there.
    """

    zone: str
    ready: tuple[str, ...]
    ailing: tuple[str, ...]
    out: float
    pressed: bool


class MemberObservation(msgspec.Struct, frozen=True, array_like=True):
    """What one member shows of the zones in which something is asked for."""

    zones: tuple[ZoneObservation, ...]
    listed: tuple[str, ...]  # of the targets asked for, those that its list has
    since: int = 0  # the log's index of the latest request that it knew


@dataclass(frozen=True, slots=True)
class MaintenanceOptions:
    """From the operator's file. `bears`: requests that a node of weight 1 bears at once, 0 for not
    known; `reserve`: part of what the rest bears that is to be left; `lapse`, `dead` in ms.
    """

    bears: float = 0.0
    reserve: float = 0.2
    lapse: float = 30_000.0
    dead: float = 5_000.0


@dataclass(frozen=True, slots=True)
class ClusterView:
    """How it stands just now. `leader`: empty for nobody; `heard`: who was heard of late, to a
    leader; `idle`: of the nodes held, those that nothing of this ingress is out at; `serving`: it
    takes requests.
    """

    leader: str
    members: Collection[str]
    heard: Collection[str]
    idle: Collection[str]
    serving: bool = True


@dataclass(slots=True)
class ParticipantActions:
    """What is to be done, in this order. `say`: to be agreed on; `tick`: by this leader alone."""

    hold: list[str] = field(default_factory=list)
    free: list[str] = field(default_factory=list)
    say: list[MaintenanceCommand] = field(default_factory=list)
    tick: MaintenanceCommand | None = None
    show: bool = False
    hand_over: bool = False
    stop: bool = False


class MaintenanceParticipant:
    def __init__(
        self,
        me: str,
        life: str,
        terms: MaintenanceOptions,
        now: float,
        order: MaintenanceScheduler | None = None,
    ) -> None:
        self.me, self.life, self.terms, self.order = (
            me,
            life,
            terms,
            order or MaintenanceScheduler(),
        )
        self.holds: set[str] = set()
        # Held since a start, until the log on disk is known to be agreed.
        self._before, self._end = set[str](), (0, 0)
        self._said: dict[tuple[str, str, int], float] = {}
        self._views: dict[str, tuple[float, MemberObservation]] = {}
        self._shown = self._handed = -1e18
        self._ticked = now  # when the last tick was applied, or this one came to lead
        self._proposed = -1e18
        # since when a majority has not shown what is wanted; under 0 where it has
        self._short = -1.0
        self._led = False

    # What it hears

    def begins(
        self, state: bytes, commands: Iterable[tuple[int, bytes]], agreed: int, last: int, term: int
    ) -> None:
        """From the disk, before anything is agreed: `commands` with their places in the log, which
        is known to be agreed up to `agreed` and ends with `last`, in `term`. Where it was agreed
        further nobody knows yet, so whatever was held at any place from there on is held: what
        stands behind may be replaced.
        """
        self._end = (last, term)
        ahead = MaintenanceScheduler()
        ahead.restore(state)
        self._before = set(ahead.held())
        for index, data in commands:
            ahead.apply(index, data)
            self._before = set(ahead.held()) | (self._before if index > agreed else set())

    def applied(self, now: float, index: int, data: bytes) -> None:
        ticks = self.order.ticks
        self.order.apply(index, data)
        if self.order.ticks != ticks:
            self._ticked = now

    def came_to(self, index: int, term: int) -> None:
        """The log is agreed and applied up to here: beyond what the disk held at the start, or by a
        later leader.
        """
        if index >= self._end[0] or term > self._end[1]:
            self._before = set()

    def restored(self, state: bytes) -> None:
        self.order.restore(state)

    def shown(self, now: float, member: str, data: bytes) -> None:
        """Raises ValueError for what is no view."""
        try:
            self._views[member] = (now, msgspec.msgpack.decode(data, type=MemberObservation))
        except msgspec.MsgspecError as error:
            raise ValueError(f"no view of {member}: {error}") from error

    # What it does

    @property
    def moving(self) -> bool:
        """Whether anything waits or is on its way; else all is quiet, or out until staff say
        otherwise.
        """
        return any(r.state not in ("out", "overdue") for r in self.order.requests.values())

    def asked_for(self) -> dict[str, str]:
        """Zone by node asked for, of which a view is to tell."""
        return {r.target: r.zone for r in self.order.requests.values() if r.kind != INGRESS}

    def latest(self) -> int:
        """The log's index of the latest request."""
        return max((r.since for r in self.order.requests.values()), default=0)

    def turn(self, now: float, around: ClusterView) -> ParticipantActions:
        acts = ParticipantActions()
        wanted = set(self.order.held()) | self._before
        acts.hold, acts.free = sorted(wanted - self.holds), sorted(self.holds - wanted)
        self.holds = wanted
        for r in self.order.requests.values():
            if r.kind == INGRESS:
                if r.target == self.me:
                    self._myself(now, r.state, r.epoch, r.life, around, acts)
            elif r.state in HELD and self.me not in r.held:
                if r.target in around.idle and r.target not in acts.hold:
                    self._say(now, acts, "held", r.target, r.epoch)
            elif r.state == "returning" and self.me not in r.freed:
                self._say(now, acts, "freed", r.target, r.epoch)
        leads = around.leader == self.me
        if leads and not self._led:
            self._ticked, self._views = now, {}
        self._led = leads
        if self.order.requests and around.leader:
            pace = TICK if self.moving else SLOW_TICK
            unlooked = any(not r.looked for r in self.order.requests.values())
            if now - self._shown >= pace or unlooked and now - self._shown >= TICK / 5:
                acts.show, self._shown = True, now
            if leads:
                self._lead(now, around, pace, unlooked, acts)
        return acts

    def _myself(
        self,
        now: float,
        state: str,
        epoch: int,
        life: str,
        around: ClusterView,
        acts: ParticipantActions,
    ) -> None:
        if state in TAKING:
            if around.leader == self.me and len(around.members) > 1:
                if now - self._handed >= TICK:
                    acts.hand_over, self._handed = True, now
            else:
                self._say(now, acts, "held", self.me, epoch)
        elif state in HELD and life == self.life:
            acts.stop = True
        elif state in HELD and around.serving:
            self._say(now, acts, "back", self.me, epoch)

    def _say(self, now: float, acts: ParticipantActions, do: str, target: str, epoch: int) -> None:
        key = (do, target, epoch)
        if now - self._said.get(key, -1e18) >= SAY_AGAIN:
            self._said = {k: at for k, at in self._said.items() if now - at < SAY_AGAIN}
            self._said[key] = now
            acts.say.append(MaintenanceCommand(do, target, by=self.me, epoch=epoch, life=self.life))  # type: ignore[arg-type]

    def unsaid(self, command: MaintenanceCommand) -> None:
        """It was not agreed on in time: to be said again at once."""
        self._said.pop((command.do, command.target, command.epoch), None)

    # Where it leads

    def _lead(
        self, now: float, around: ClusterView, pace: float, unlooked: bool, acts: ParticipantActions
    ) -> None:
        views = {m: view for m, (at, view) in self._views.items() if now - at <= FRESH * TICK}
        enough = 2 * len(views) > len(around.members)
        current = 2 * sum(v.since >= self.latest() for v in views.values()) > len(around.members)
        if current or not unlooked:
            self._short = -1.0
        elif self._short < 0:
            self._short = now
        waits = self._short >= 0 and now - self._short < PATIENT * TICK
        least = TICK / 10 if unlooked else pace
        if waits or now - self._ticked < least or now - self._proposed < least:
            return
        self._proposed = now
        zones, seen = (
            combine_observations(views, len(around.members), self.terms.bears)
            if enough
            else ((), ())
        )
        alive = tuple(sorted({*around.heard, self.me}))
        acts.tick = MaintenanceCommand("tick", by=self.me, tick=LeaderReport(
            self.order.ticks + 1, min(now - self._ticked, 2 * pace), tuple(sorted(around.members)), alive,
            zones, seen, self.terms.lapse, self.terms.dead, self.terms.reserve,
        ))  # fmt: skip


def combine_observations(
    views: Mapping[str, MemberObservation], members: int, bears: float
) -> tuple[tuple[ZoneStatus, ...], tuple[str, ...]]:
    """What a majority sees. A node counts as ready where over half of the views have it so, as
    failing where a third of the members met failures; a zone is pressed where a third of the views
    say so. One member alone, which may be ill itself, calls nothing failing in a fleet of over
    three.
    """
    some = max(1, (members + 1) // 3)

    def by(count: float, names: Iterable[tuple[str, ...]]) -> list[str]:
        counts: dict[str, int] = {}
        for told in names:
            for name in set(told):
                counts[name] = counts.get(name, 0) + 1
        return sorted(name for name, n in counts.items() if n >= count)

    seen = by(members // 2 + 1, (v.listed for v in views.values()))
    by_zone: dict[str, list[ZoneObservation]] = {}
    for view in views.values():
        for one in view.zones:
            by_zone.setdefault(one.zone, []).append(one)
    zones = []
    for name, told in sorted(by_zone.items()):
        if 2 * len(told) <= members:
            continue
        ready = len(by(members // 2 + 1, (s.ready for s in told)))
        # who showed nothing is taken to send as much
        out = sum(s.out for s in told) * members / len(told)
        load = out / bears if bears else -1.0
        pressed = sum(s.pressed for s in told) >= some
        zones.append(
            ZoneStatus(name, ready, tuple(by(some, (s.ailing for s in told))), load, pressed)
        )
    return tuple(zones), tuple(seen)
