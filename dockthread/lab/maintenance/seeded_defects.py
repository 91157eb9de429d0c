"""Planted bugs of the order of work, each of which its checker has to find. Never in the
program.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import msgspec

from dockthread.maintenance.commands import Request, Tick
from dockthread.maintenance.participant import Acts, Around, Part
from dockthread.maintenance.scheduler import Order


class OutAtTheFirstWord(Order):
    def _awaited(self, r: Request) -> set[str]:
        return set(r.held) if r.state == "draining" else super()._awaited(r)


class TickTwice(Order):
    """A tick counts whatever its number."""

    def _tick(self, t: Tick) -> None:
        super()._tick(msgspec.structs.replace(t, number=self.ticks + 1))


class WarmIsBack(Order):
    def _settle(self, index: int) -> None:
        for r in self.requests.values():
            r.warm = 0.0
        super()._settle(index)


class SilentIsDead(Order):
    def _awaited(self, r: Request) -> set[str]:
        return {m for m in super()._awaited(r) if not self.silent.get(m)}


class OneMoreOut(Order):
    def most(self, zone: str, kind: str = "node") -> int:
        return super().most(zone, kind) + 1


class LeaderIsNotAsked(Part):
    """The leader's ticks tell of all that passed since it started."""

    def _lead(self, now: float, around: Around, pace: float, unlooked: bool, acts: Acts) -> None:
        super()._lead(now, around, pace, unlooked, acts)
        if acts.tick is not None:
            acts.tick = msgspec.structs.replace(
                acts.tick, tick=msgspec.structs.replace(acts.tick.tick, elapsed=now)
            )


class StartHoldsNothing(Part):
    def begins(
        self, state: bytes, commands: Iterable[tuple[int, bytes]], agreed: int, last: int, term: int
    ) -> None:
        """Waits until it is told how far the log is agreed."""


class HeldWhileBusy(Part):
    def turn(self, now: float, around: Around) -> Acts:
        return super().turn(now, replace(around, idle=self.holds | set(self.order.held())))


class FreesWhatLapses(Part):
    """Takes up again what is out for longer than was said."""

    def turn(self, now: float, around: Around) -> Acts:
        acts = super().turn(now, around)
        self.holds -= {r.target for r in self.order.requests.values() if r.state == "overdue"}
        return acts


class BackInTheSameLife(Part):
    def _myself(
        self, now: float, state: str, epoch: int, life: str, around: Around, acts: Acts
    ) -> None:
        super()._myself(now, state, epoch, life, around, acts)
        if acts.stop:
            self._say(now, acts, "back", self.me, epoch)


ORDERS: dict[str, type[Order]] = {
    "out-at-the-first-word": OutAtTheFirstWord,
    "tick-twice": TickTwice,
    "warm-is-back": WarmIsBack,
    "silent-is-dead": SilentIsDead,
    "one-more-out": OneMoreOut,
}
PARTS: dict[str, type[Part]] = {
    "ticks-of-a-life": LeaderIsNotAsked,
    "start-holds-nothing": StartHoldsNothing,
    "held-while-busy": HeldWhileBusy,
    "frees-what-is-overdue": FreesWhatLapses,
    "back-in-the-same-life": BackInTheSameLife,
}
NAMES = (*ORDERS, *PARTS)
