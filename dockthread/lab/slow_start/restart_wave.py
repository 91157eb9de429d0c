"""A wave of restarts before one discovery, simulated: when each ingress is ready, and what its
pauses cost.

Of the program only the pauses are taken (`module/backoff.py`), and the watch's times. The rest of
`net/watch.py` and `net/ingress.py` is told again here: a process is ready once it listens and holds
a list; where lists are pushed an old one from its configuration counts after half a drain's grace,
and where they are asked for at once; a call that failed is followed by a pause, one that was never
answered stays open through the pause that would follow it.

Discovery works on one call after another, each for `service` ms, also on those whose caller has
left. A call that finds `room` others waiting is turned away at once; one that has waited for
`patience` ms fails, or, where discovery is `silent`, is left without a word. Where lists are pushed
each ingress asks an agent of its own, that answers at once, and says nothing while discovery is
down.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

from dockthread.net.discovery_watch import LEAST_PAUSE, OVERBOOKED, PATIENCE, SILENCE, SOON, WINDOW
from dockthread.policy.backoff import Backoff

ROUND_TRIP = 2.0  # ms
END = 60_000.0


@dataclass(frozen=True, slots=True)
class Wave:
    """`fleet`: ingresses in all; `restarted`: those that start at 0, all at once; `known`: whether
    their configuration holds a list; `down`: ms for which discovery is. All times in ms.
    """

    fleet: int = 200
    restarted: int = 200
    pushed: bool = False
    known: bool = True
    down: float = 0.0
    service: float = 130.0
    patience: float = 2_000.0
    room: int = 24
    silent: bool = False
    drain_grace: float = 1_000.0


@dataclass(slots=True)
class Ingress:
    backoff: Backoff
    ready: float = inf
    listed: float = inf  # when it had the present list
    calls: int = 0
    started: float = 0.0  # its first call
    paused: float = 0.0
    call: int = 0  # the one that is out, by number; 0 for none


@dataclass(frozen=True, slots=True)
class Passed:
    ingresses: list[Ingress] = field(default_factory=list)
    calls: int = 0

    def ready_within(self, ms: float) -> float:
        return sum(one.ready <= ms for one in self.ingresses) / len(self.ingresses)

    def listed_within(self, ms: float) -> float:
        return sum(one.listed <= ms for one in self.ingresses) / len(self.ingresses)


class Restarts:
    def __init__(self, seed: int, wave: Wave, backoff: Callable[..., Backoff] = Backoff) -> None:
        self.wave, self.now = wave, 0.0
        rng = random.Random(seed)
        self._hurry = wave.drain_grace / 2
        self._patience = SILENCE if wave.pushed else PATIENCE
        soon = min(self._hurry, SOON)
        longest = min(WINDOW, max(self._hurry, LEAST_PAUSE)) if wave.pushed else inf
        self.ingresses = [
            Ingress(backoff(random.Random(rng.getrandbits(64)), wave.fleet, soon, longest))
            for _ in range(wave.restarted)
        ]
        self._queue: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._order = self._calls = 0
        self._free = wave.down  # when discovery is done with all calls that it took

    def _at(self, when: float, then: Callable[..., None], *about: object) -> None:
        self._order += 1
        heappush(self._queue, (when, self._order, then, about))

    def play(self) -> Passed:
        for ingress in self.ingresses:
            self._start(ingress)
        while self._queue:
            self.now, _, then, about = heappop(self._queue)
            if self.now > END:
                break
            then(*about)
        return Passed(self.ingresses, self._calls)

    def _start(self, ingress: Ingress) -> None:
        wave = self.wave
        if wave.known:
            ingress.ready = self._hurry if wave.pushed else 0.0
        if wave.known and not wave.pushed:
            ingress.started = ingress.backoff.initial_delay()
        self._at(ingress.started, self._call, ingress)

    def _call(self, ingress: Ingress) -> None:
        self._calls += 1
        ingress.calls, ingress.call = ingress.calls + 1, self._calls
        self._at(self.now + self._patience, self._unanswered, ingress, ingress.call)
        if self.wave.pushed:
            self._at(
                max(self.now, self.wave.down) + ROUND_TRIP, self._answered, ingress, ingress.call
            )
        else:
            self._take(ingress)

    def _take(self, ingress: Ingress) -> None:
        """The one discovery of all takes a call, or turns it away."""
        wave, waits = self.wave, max(0.0, self._free - self.now)
        if self.now < wave.down:
            # nobody is there to turn it away: it waits for the return, before which no time counts
            waits = 0.0
        if waits > wave.room * wave.service:
            self._at(self.now + ROUND_TRIP, self._failed, ingress, ingress.call)
            return
        begin = max(self.now, self._free)
        self._free = begin + wave.service
        if self._free - max(self.now, wave.down) <= wave.patience:
            self._at(self._free + ROUND_TRIP, self._answered, ingress, ingress.call)
        elif not wave.silent:
            self._at(max(self.now, wave.down) + wave.patience, self._failed, ingress, ingress.call)

    def _answered(self, ingress: Ingress, call: int) -> None:
        if call == ingress.call:
            ingress.call = 0
            ingress.backoff.reset()
            ingress.listed = self.now
            ingress.ready = min(ingress.ready, self.now)

    def _failed(self, ingress: Ingress, call: int) -> None:
        if call == ingress.call:
            ingress.call = 0
            self._pause(ingress)

    def _unanswered(self, ingress: Ingress, call: int) -> None:
        if call == ingress.call:
            self._pause(ingress, WINDOW - self._patience)

    def _pause(self, ingress: Ingress, most: float = WINDOW) -> None:
        overbooked = self.now - ingress.started > OVERBOOKED  # it takes connections, up or down
        pause = ingress.backoff.retry_delay(inf if overbooked else most)
        ingress.paused += pause
        self._at(self.now + pause, self._again, ingress, ingress.call)

    def _again(self, ingress: Ingress, open_call: int) -> None:
        """The pause is over. A call that stayed open through it may have been answered
        meanwhile.
        """
        if ingress.call == open_call and ingress.listed == inf:
            self._call(ingress)


def waves(seeds: range, wave: Wave) -> list[Passed]:
    return [Restarts(seed, wave).play() for seed in seeds]
