"""The workers that attempts are drawn from, and their summed shares. Decides nothing.

Theory of operation. A worker keeps a place in the order of the list for as long as it is known, and
weighs nothing while nothing may be sent there, so that a change of the list touches one place. A
share moves by itself only while its worker warms up or has failures that fade: those few are kept
apart and weighed anew at each round of housekeeping (were they most of a long list, some of them in
turn); the others stay as they are. The running sums, by which `random.choices` draws with a binary
search, are summed up again by a round that moved anything, and between rounds by one change in
`SLOTS_PER_CHANGE` places: at once in a list of up to that many, where it costs little, and in a
longer one so seldom that a change costs the same in it. Until then a longer list is drawn from by
slightly old shares; readiness is always read off the worker.
"""

from __future__ import annotations

import random
from array import array
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import accumulate
from typing import TYPE_CHECKING, Protocol

from dockthread.policy.latency_estimates import Rounds
from dockthread.policy.model import BackendState, DeduplicationScope, Endpoint

if TYPE_CHECKING:
    from dockthread.policy.backend import Backend

SLOTS_PER_CHANGE = 1024  # places for each of which one change has all sums made anew, about 20 us
FADED = 1e-18  # a failed part below this changes no sum with 1 in double precision: it is none
FADED_OF_MANY = 1e-3  # the same in a long list, where one rests after ten halvings and not after 60
MOST_WEIGHED = 1024  # workers weighed anew in one round: some 3 ms
# workers that are looked through for a few; of more, so many drawn evenly are, a quarter of it
SCANNED = 1024
# candidates of a long list: the best of so many is as good as one in 64, and more cost 4 us each
MOST_DRAWN = 64
TRIES = 4  # draws from all for one of a part of them
# of the places: left by workers that are forgotten, from which they are closed up
VACANT_PART = 1 / 8


class Drawable(Protocol):
    """Workers to draw from by their shares."""

    def __len__(self) -> int:
        """How many are ready."""
        ...

    def __iter__(self) -> Iterator[Backend]: ...

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """By their shares, as many or fewer."""
        ...

    def some(self, rng: random.Random) -> Iterable[Backend]:
        """Evenly, some of many, and all of few."""
        ...


class Subset:
    """Some workers, all ready, weighed once."""

    __slots__ = ("_sums", "_workers")

    def __init__(self, workers: list[Backend], share: Callable[[Backend], float]) -> None:
        self._workers, self._sums = workers, list(accumulate(map(share, workers)))

    def __len__(self) -> int:
        return len(self._workers)

    def __iter__(self) -> Iterator[Backend]:
        return iter(self._workers)

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """By their shares."""
        return rng.choices(self._workers, cum_weights=self._sums, k=count)

    def some(self, rng: random.Random) -> Iterable[Backend]:
        """All of them."""
        return self._workers


class Sifted:
    """The part of a long list whose entries fit, drawn from all of it. Its length is that of the
    whole list, for of as many drawn from the whole those that fit are as many as its part would
    be.
    """

    __slots__ = ("_fits", "_pool")

    def __init__(self, pool: Drawable, fits: Callable[[Endpoint], bool]) -> None:
        self._pool, self._fits = pool, fits

    def __len__(self) -> int:
        return len(self._pool)

    def __iter__(self) -> Iterator[Backend]:
        return (worker for worker in self._pool if self._fits(worker.entry))

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """Those that fit among some drawn from all; none where a few rounds of drawing find
        none.
        """
        for _ in range(TRIES):
            if drawn := [
                worker for worker in self._pool.draw(rng, count) if self._fits(worker.entry)
            ]:
                return drawn
        return []

    def some(self, rng: random.Random) -> Iterable[Backend]:
        """Those that fit among some of all."""
        return [worker for worker in self._pool.some(rng) if self._fits(worker.entry)]


def _summed(shares: array[float]) -> array[float]:
    """The running sums. By way of lists, which takes two thirds of the time of an array by
    itself.
    """
    return array("d", list(accumulate(shares.tolist())))


NOBODY = Subset([], lambda worker: 0.0)


class Pool:
    """All workers listed. `share`: the chance of one to be drawn; `warmth`: 1 for one that is
    warm.
    """

    def __init__(
        self, share: Callable[[Backend], float], warmth: Callable[[Backend], float]
    ) -> None:
        self._share, self._warmth = share, warmth
        self._slots: list[Backend] = []
        self._shares = array("d")
        self._sums = array("d")
        # by zone and cell, all that are known
        self._cells: dict[tuple[int, int], dict[int, Backend]] = {}
        self._parts: Counter[tuple[int, int]] = Counter()  # ready ones by zone and kind
        self._ready = self._vacant = 0
        self._weighed = 0  # since the sums were made
        self._due = False  # a round of housekeeping went by since
        self.rounds = Rounds()
        self.failing: dict[int, Backend] = {}  # with failures that fade
        self.cold: dict[int, Backend] = {}  # ready ones that warm up
        self._turn = 0  # the next of these to be weighed, where they are too many for a round
        self.sound = 1.0  # mean part of the ready ones' outcomes that were no failures
        self.warm = False  # whether a ready one is warm
        # workers looked at one by one, ever: the work that changes and housekeeping make
        self.visits = 0

    def __len__(self) -> int:
        return self._ready

    def __iter__(self) -> Iterator[Backend]:
        return (worker for worker in self._slots if worker.ready)

    @property
    def total(self) -> float:
        """The shares of all that are ready, as they were summed up last."""
        return self._sums[-1] if self._sums else 0.0

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """By their shares as they were summed up last; of a long list `MOST_DRAWN` at the most."""
        if not self._sums or not self._sums[-1]:
            return []
        if self._ready > SCANNED:
            count = min(count, MOST_DRAWN)
        return rng.choices(self._slots, cum_weights=self._sums, k=count)

    def some(self, rng: random.Random) -> Iterable[Backend]:
        """All of a short list; of a long one some, drawn evenly."""
        if self._ready <= SCANNED:
            return iter(self)
        return (worker for worker in rng.choices(self._slots, k=SCANNED // 4) if worker.ready)

    def near(self, home: Endpoint, group: DeduplicationScope) -> Drawable:
        """The workers of a group, beside one."""
        if group is DeduplicationScope.ALL:
            return self
        if group is DeduplicationScope.CELL:
            cell = self._cells.get((home.zone, home.cell), {})
            return Subset(
                sorted((w for w in cell.values() if w.ready), key=lambda w: w.place), self._share
            )
        zone = home.zone
        return Sifted(self, lambda entry: entry.zone == zone)

    def sifted(self, fits: Callable[[Endpoint], bool]) -> Drawable | None:
        """Those whose zone and kind fit; None where no such worker is ready."""
        if self._ready <= SCANNED:
            fitting = [worker for worker in self if fits(worker.entry)]
            return Subset(fitting, self._share) if fitting else None
        parts = (
            Endpoint(0, BackendState.READY, *part) for part, count in self._parts.items() if count
        )
        return Sifted(self, fits) if any(map(fits, parts)) else None

    def add(self, worker: Backend) -> None:
        """One that was not known before. It weighs nothing yet."""
        worker.place = len(self._slots)
        self._slots.append(worker)
        self._shares.append(0.0)
        self._sums.append(self._sums[-1] if self._sums else 0.0)
        self._cells.setdefault((worker.entry.zone, worker.entry.cell), {})[worker.entry.backend] = (
            worker
        )

    def forget(self, worker: Backend) -> None:
        """One that is not ready, and will not be again."""
        self.failing.pop(worker.entry.backend, None)
        self._leave_cell(worker)
        self._vacant += 1
        worker.place = -1

    def relist(self, worker: Backend, entry: Endpoint, ready: bool) -> None:
        """What is listed of it now, and whether it may be drawn."""
        old = worker.entry
        self._parts[old.zone, old.kind] -= worker.ready
        self._parts[entry.zone, entry.kind] += ready
        self._ready += ready - worker.ready
        if (old.zone, old.cell) != (entry.zone, entry.cell):
            self._leave_cell(worker)
            self._cells.setdefault((entry.zone, entry.cell), {})[entry.backend] = worker
        worker.entry, worker.ready = entry, ready
        self._weigh(worker)

    def _leave_cell(self, worker: Backend) -> None:
        key = worker.entry.zone, worker.entry.cell
        del self._cells[key][worker.entry.backend]
        if not self._cells[key]:
            del self._cells[key]

    def fade(self, failures: float, paces: float) -> None:
        """A round of housekeeping: these parts are left of what is known of failures, and of answer
        times.
        """
        self._due = True
        self.rounds.end(paces)
        least = FADED if len(self._slots) <= SCANNED else FADED_OF_MANY
        for worker in self.failing.values():
            worker.fade(failures, least)

    def refresh(self) -> None:
        """Weigh anew and sum up, if it is time."""
        if (
            not self._due
            and (self._weighed + 1) * SLOTS_PER_CHANGE <= len(self._slots) - self._vacant
        ):
            return
        self._due = False
        if self._vacant > len(self._slots) * VACANT_PART:
            self._close_up()
        for worker in self._moving():
            self._weigh(worker)
        if self._weighed:
            self._weighed, self._sums = 0, _summed(self._shares)
        failed = sum(worker.failed for worker in self.failing.values() if worker.ready)
        self.sound = (self._ready - failed) / max(1, self._ready)
        self.warm = self._ready > len(self.cold)

    def _moving(self) -> list[Backend]:
        """Those whose shares move by themselves; where these are too many, the next of them."""
        moving = list(self.failing.values())
        moving += [worker for number, worker in self.cold.items() if number not in self.failing]
        if len(moving) <= MOST_WEIGHED:
            return moving
        at = self._turn % len(moving)
        self._turn = at + MOST_WEIGHED
        return (moving + moving[:MOST_WEIGHED])[at : at + MOST_WEIGHED]

    def _weigh(self, worker: Backend) -> None:
        """One with nothing that moves by itself is visited no more."""
        self.visits += 1
        number = worker.entry.backend
        share = self._share(worker) if worker.ready else 0.0
        if worker.ready and self._warmth(worker) < 1.0:
            self.cold[number] = worker
        else:
            self.cold.pop(number, None)
        if not worker.failed:
            self.failing.pop(number, None)
        if share != self._shares[worker.place]:
            self._shares[worker.place] = share
            self._weighed += 1

    def _close_up(self) -> None:
        self._slots = [worker for worker in self._slots if worker.place >= 0]
        self._shares = array("d", [self._shares[worker.place] for worker in self._slots])
        for place, worker in enumerate(self._slots):
            worker.place = place
        self._vacant, self._sums = 0, _summed(self._shares)
