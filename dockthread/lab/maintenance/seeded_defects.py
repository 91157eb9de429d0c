"""Planted bugs of the order of work, each of which its checker has to find. Never in the
program.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import msgspec

from dockthread.maintenance.commands import LeaderReport, MaintenanceRequest
from dockthread.maintenance.participant import (
    ClusterView,
    MaintenanceParticipant,
    ParticipantActions,
)
from dockthread.maintenance.scheduler import MaintenanceScheduler


class OutAtTheFirstWord(MaintenanceScheduler):
    def _awaited(self, r: MaintenanceRequest) -> set[str]:
        return set(r.held) if r.state == "draining" else super()._awaited(r)


class TickTwice(MaintenanceScheduler):
    """A tick counts whatever its number."""

    def _tick(self, t: LeaderReport) -> None:
        super()._tick(msgspec.structs.replace(t, number=self.ticks + 1))


class WarmIsBack(MaintenanceScheduler):
    def _settle(self, index: int) -> None:
        for r in self.requests.values():
            r.warm = 0.0
        super()._settle(index)


class SilentIsDead(MaintenanceScheduler):
    def _awaited(self, r: MaintenanceRequest) -> set[str]:
        return {m for m in super()._awaited(r) if not self.silent.get(m)}


class OneMoreOut(MaintenanceScheduler):
    def most(self, zone: str, kind: str = "node") -> int:
        return super().most(zone, kind) + 1


class LeaderIsNotAsked(MaintenanceParticipant):
    """The leader's ticks tell of all that passed since it started."""

    def _lead(
        self, now: float, around: ClusterView, pace: float, unlooked: bool, acts: ParticipantActions
    ) -> None:
        super()._lead(now, around, pace, unlooked, acts)
        if acts.tick is not None:
            acts.tick = msgspec.structs.replace(
                acts.tick, tick=msgspec.structs.replace(acts.tick.tick, elapsed=now)
            )


class StartHoldsNothing(MaintenanceParticipant):
    def begins(
        self, state: bytes, commands: Iterable[tuple[int, bytes]], agreed: int, last: int, term: int
    ) -> None:
        """Waits until it is told how far the log is agreed."""


class HeldWhileBusy(MaintenanceParticipant):
    def turn(self, now: float, around: ClusterView) -> ParticipantActions:
        return super().turn(now, replace(around, idle=self.holds | set(self.order.held())))


class FreesWhatLapses(MaintenanceParticipant):
    """Takes up again what is out for longer than was said."""

    def turn(self, now: float, around: ClusterView) -> ParticipantActions:
        acts = super().turn(now, around)
        self.holds -= {r.target for r in self.order.requests.values() if r.state == "overdue"}
        return acts


class BackInTheSameLife(MaintenanceParticipant):
    def _myself(
        self,
        now: float,
        state: str,
        epoch: int,
        life: str,
        around: ClusterView,
        acts: ParticipantActions,
    ) -> None:
        super()._myself(now, state, epoch, life, around, acts)
        if acts.stop:
            self._say(now, acts, "back", self.me, epoch)


SCHEDULERS: dict[str, type[MaintenanceScheduler]] = {
    "out-at-the-first-word": OutAtTheFirstWord,
    "tick-twice": TickTwice,
    "warm-is-back": WarmIsBack,
    "silent-is-dead": SilentIsDead,
    "one-more-out": OneMoreOut,
}
PARTICIPANTS: dict[str, type[MaintenanceParticipant]] = {
    "ticks-of-a-life": LeaderIsNotAsked,
    "start-holds-nothing": StartHoldsNothing,
    "held-while-busy": HeldWhileBusy,
    "frees-what-is-overdue": FreesWhatLapses,
    "back-in-the-same-life": BackInTheSameLife,
}
NAMES = (*SCHEDULERS, *PARTICIPANTS)
