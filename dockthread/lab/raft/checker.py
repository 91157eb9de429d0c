"""Judges what members of an agreement did, from a record of plain facts. Shares no code with what
it judges.

Rules, by name: `one-leader` in a term; `one-vote` of a voter in a term; `alike`: what stands at an
index is the same whoever applies it, in whichever life; `in-order`: each life applies without gaps;
`durable`: when an entry is first applied, a majority of the voters has it on disk (checked while
voters do not change); `fresh-read`: a read is not older than what was applied anywhere when it was
asked; `once`: what a proposer saw applied stands in the log once; `terms-rise` on a disk;
`progress`: after all faults end, something new is applied by all within the stated time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that did not hold: at which ms, and what happened."""

    rule: str
    at: float
    detail: str


class Checker:
    def __init__(self, voters: tuple[str, ...]) -> None:
        self._voters = voters
        self.fixed = True  # the voters do not change in this run
        # what is proposed is proposed once, and not known by its id where it comes again
        self.once = True
        self.broken: list[Broken] = []
        self._leaders: dict[int, str] = {}
        self._votes: dict[tuple[str, int], str] = {}
        self.log: dict[int, tuple[int, bytes]] = {}  # what was applied, by index
        self._places: dict[bytes, int] = {}
        self._reached: dict[tuple[str, int], int] = {}  # by member and life
        self._reads: dict[int, int] = {}
        self._terms: dict[str, int] = {}
        self.highest = 0

    def _break(self, rule: str, at: float, detail: str) -> None:
        self.broken.append(Broken(rule, at, detail))

    def led(self, at: float, member: str, term: int) -> None:
        if self._leaders.setdefault(term, member) != member:
            self._break("one-leader", at, f"{member} and {self._leaders[term]} lead in term {term}")

    def voted(self, at: float, voter: str, term: int, candidate: str) -> None:
        if self._votes.setdefault((voter, term), candidate) != candidate:
            before = self._votes[voter, term]
            self._break(
                "one-vote", at, f"{voter} votes for {candidate} and {before} in term {term}"
            )

    def kept(self, at: float, member: str, term: int) -> None:
        if term < self._terms.get(member, 0):
            self._break("terms-rise", at, f"{member} keeps term {term} after {self._terms[member]}")
        self._terms[member] = max(term, self._terms.get(member, 0))

    def restored(
        self, at: float, member: str, life: int, index: int, seen: tuple[bytes, ...]
    ) -> None:
        """A member starts from a state: the commands that the state says it holds."""
        told = tuple(self.log[i][1] for i in sorted(self.log) if i <= index and self.log[i][1])
        if seen != told:
            self._break("alike", at, f"{member} restores another state after {index}")
        self._reached[member, life] = index

    def reached(self, member: str, life: int, index: int) -> None:
        """A member starts from a state whose content somebody else judges."""
        self._reached[member, life] = index

    def applied(
        self,
        at: float,
        member: str,
        life: int,
        index: int,
        entry: tuple[int, bytes],
        disks: Mapping[str, Mapping[int, int]],
    ) -> None:
        """`disks`: by member, the term of what stands at each index."""
        reached = self._reached.get((member, life), 0)
        if index != reached + 1:
            self._break("in-order", at, f"{member} applies {index} after {reached}")
        self._reached[member, life] = index
        if index not in self.log:
            self.log[index] = entry
            self.highest = max(self.highest, index)
            if entry[1]:
                if self.once and entry[1] in self._places:
                    self._break(
                        "once", at, f"{entry[1]!r} stands at {self._places[entry[1]]} and {index}"
                    )
                self._places[entry[1]] = index
            have = sum(disks.get(v, {}).get(index) == entry[0] for v in self._voters)
            if self.fixed and 2 * have <= len(self._voters):
                self._break(
                    "durable",
                    at,
                    f"{member} applies {index}, which {have} of {len(self._voters)} have kept",
                )
        elif self.log[index] != entry:
            self._break(
                "alike",
                at,
                f"{member} applies {entry} at {index}, where {self.log[index]} was applied",
            )

    def asked(self, token: int) -> None:
        self._reads[token] = self.highest

    def answered(self, at: float, member: str, token: int, index: int) -> None:
        if index < self._reads[token]:
            self._break(
                "fresh-read",
                at,
                f"{member} reads at {index}, and {self._reads[token]} was applied before",
            )

    def ended(self, at: float, last: bytes, members: Mapping[str, int]) -> None:
        """`members`: of those that are up, the index up to which each applied. `last`: proposed
        after all faults.
        """
        place = self._places.get(last)
        if place is None:
            self._break(
                "progress", at, f"{last!r}, proposed when all was well, was applied by nobody"
            )
        elif behind := [m for m, index in members.items() if index < place]:
            self._break("progress", at, f"{', '.join(behind)} did not come to {place}")
