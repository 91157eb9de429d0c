"""Judges turns of work from what machines, members and staff did. Shares no code with what it
judges.

Rules, by name: `zone`: machines of one zone that staff have pulled or that are cold are never more
than the file allows; `used`: who said that it holds a machine sends nothing there while it is
pulled; `idle`: nor has it anything out there when the plug is pulled; `dead`: whoever's word was
not waited for was out of reach for long; `once`: what staff asked for once is one request; `early`:
no turn lapses before its time; `ingresses`: one at a time is away in its own turn; `alike`: at the
end all hold what the order says, the same order; `progress`: at the end nothing that was asked for
still waits.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from dockthread.lab.raft.checker import RuleViolation


class MaintenanceChecker:
    """`zone_of`: by machine; `most`: away at once; `warm`, `dead`, `lapse` in ms."""

    def __init__(
        self, zone_of: Mapping[str, str], most: int, warm: float, dead: float, lapse: float
    ) -> None:
        self._zone_of, self._most, self._warm, self._dead, self._lapse = (
            zone_of,
            most,
            warm,
            dead,
            lapse,
        )
        self.broken: list[RuleViolation] = []
        self.pulled: dict[str, Collection[str]] = {}  # by machine: who said that it holds it
        self._cold: dict[str, float] = {}  # by machine: until when
        self._asked: dict[str, int] = {}  # by staff's word: the request's place
        self._granted: dict[tuple[str, int], float] = {}
        self._away: set[str] = set()

    def _break(self, rule: str, at: float, detail: str) -> None:
        self.broken.append(RuleViolation(rule, at, detail))

    def pull(
        self, at: float, machine: str, held: Collection[str], members: Collection[str],
        busy: Mapping[str, int], out_of_reach: Mapping[str, float],
    ) -> None:  # fmt: skip
        """Staff pull the plug. `busy`: requests of each member there; `out_of_reach`: for how many
        ms of late each member was down, held still or hard to hear.
        """
        self.pulled[machine] = held
        zone = self._zone_of[machine]
        away = [m for m in self.pulled if self._zone_of[m] == zone]
        away += [
            m
            for m, until in self._cold.items()
            if self._zone_of[m] == zone and until > at and m not in away
        ]
        if len(away) > self._most:
            self._break(
                "zone", at, f"{', '.join(sorted(away))} of {zone} are away, and {self._most} may be"
            )
        for member in members:
            if member in held and busy.get(member):
                self._break(
                    "idle", at, f"{member} has {busy[member]} out at {machine}, which is pulled"
                )
            if member not in held and out_of_reach.get(member, 0.0) < self._dead:
                self._break("dead", at, f"{machine} is out without {member}, which was there")

    def back(self, at: float, machine: str) -> None:
        self.pulled.pop(machine, None)
        self._cold[machine] = at + self._warm

    def used(self, at: float, member: str, machine: str) -> None:
        if member in self.pulled.get(machine, ()):
            self._break("used", at, f"{member} sends to {machine}, which it said it holds")

    def request(self, at: float, word: str, since: int) -> None:
        if self._asked.setdefault(word, since) != since:
            self._break("once", at, f"{word} is a request at {self._asked[word]} and at {since}")

    def granted(self, at: float, machine: str, epoch: int) -> None:
        self._granted.setdefault((machine, epoch), at)

    def lapsed(self, at: float, machine: str, epoch: int) -> None:
        took = at - self._granted.get((machine, epoch), at)
        if took < self._lapse:
            self._break(
                "early", at, f"{machine}'s turn lapses after {took:.0f} ms of {self._lapse:.0f}"
            )

    def leaves(self, at: float, ingress: str) -> None:
        self._away.add(ingress)
        if len(self._away) > 1:
            self._break("ingresses", at, f"{', '.join(sorted(self._away))} are away in their turns")

    def returns(self, ingress: str) -> None:
        self._away.discard(ingress)

    def ended(
        self, at: float, orders: Mapping[str, bytes], holds: Mapping[str, Collection[str]], due: Collection[str],
        waits: Collection[str],
    ) -> None:  # fmt: skip
        """`orders`, `holds`: of each member; `due`: what the order holds; `waits`: what staff still
        wait for.
        """
        if len(set(orders.values())) > 1:
            self._break("alike", at, f"the orders of {', '.join(orders)} differ")
        for member, held in holds.items():
            if set(held) != set(due):
                self._break(
                    "alike", at, f"{member} holds {sorted(held)}, and {sorted(due)} are out"
                )
        if waits:
            self._break("progress", at, f"{', '.join(sorted(waits))} came to no end")
