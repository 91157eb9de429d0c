"""Scenes of cold backends drawn by seed, over processes, and faults planted in the deciding
core.
"""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from math import inf

from dockthread.lab.slow_start.checker import Fall
from dockthread.lab.slow_start.simulation import AFTER, ALIKE, TWO_KINDS, ColdWorld, Kind, Scene
from dockthread.policy import PolicyEngine
from dockthread.policy.backend import Backend
from dockthread.policy.slow_start import RecoveryRamp, SlowStart

SLOW = (Kind(2, 0.85),)
BACKENDS = {3: 12, 30: 30, 200: 100}  # by the number of ingresses
COLD = (0.1, 0.3, 0.6, 0.9, 1.0)  # parts of the backends


def drawn(seed: int, ingresses: int, cold: float | None = None) -> Scene:
    rng = random.Random(seed * 1_000 + ingresses)
    restarted = rng.random() < 0.6
    part = rng.choice(COLD)
    return Scene(
        ingresses,
        BACKENDS.get(ingresses, max(12, ingresses // 2)),
        cold=part if cold is None else cold,
        load=rng.uniform(0.3, 0.9),
        burst=rng.choice((1.0, 1.5)),
        restarted=restarted,
        gone_for=rng.choice((0.0, 5.0)),
        aim=rng.choice((1.5, 2.5, 5.0)),
        late=rng.choice((0.0, 0.1, 0.3)),
        late_by=rng.uniform(1.0, 6.0),
        uneven=rng.uniform(0.3, 1.5),
        seen=rng.random() < 0.7,
        kinds=rng.choice((ALIKE, TWO_KINDS, SLOW)),
    )


@dataclass(frozen=True, slots=True)
class Played:
    """`fullest`: the most that came in a window, over N; `used`: what the cold backends served,
    over what they could; `could`: the requests in time at the most, by what all backends could and
    what came.
    """

    seed: int
    scene: Scene
    cold: int
    falls: tuple[Fall, ...]
    fullest: float
    used: float
    in_time: float
    could: float

    @property
    def breaks(self) -> list[Fall]:
        return [fall for fall in self.falls if fall.breaks_the_rule]


def play(seed: int, scene: Scene, plant: str = "") -> Played:
    world = ColdWorld(seed, scene, gateway=PLANTS[plant])
    checker = world.play()
    warming = (checker.least_capacity(0.0) + checker.least_capacity(AFTER)) / 2 * AFTER
    cold = sum(b.kind.capacity for b in world.cold) * warming
    warm = (world.capacity - sum(b.kind.capacity for b in world.cold)) * AFTER
    came = max(1, world.count.came)
    return Played(
        seed,
        scene,
        len(world.cold),
        tuple(checker.falls),
        max(b.fullest for b in checker.backends.values()),
        sum(b.served for b in world.cold) / cold,
        world.count.in_time / came,
        min(1.0, (cold + warm) / came),
    )


def _drawn_and_played(seed: int, ingresses: int, cold: float | None, plant: str) -> Played:
    return play(seed, drawn(seed, ingresses, cold), plant)


def many(seeds: range, ingresses: int, cold: float | None, plant: str, jobs: int) -> list[Played]:
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        count = len(seeds)
        return list(
            pool.map(_drawn_and_played, seeds, [ingresses] * count, [cold] * count, [plant] * count)
        )


class IgnoredWarmUp(SlowStart):
    """Weighs a backend that warms up like a warm one."""

    def weight(self, backend: Backend) -> float:
        return 1.0


class UnlimitedRamp(SlowStart):
    """Sends all requests to a pool without a warm backend, and at once those that were held."""

    def attempts_available(self, total_weight: float) -> float:
        return inf


class RampOfOneIngress(SlowStart):
    """Has each ingress take what the whole fleet may send."""

    def _new_ramp(self) -> RecoveryRamp:
        return RecoveryRamp(self._context.settings.safety, 1, self._context.now)


class WarmthIgnored(PolicyEngine):
    """Seeded defect: backends that warm up count as warm."""

    slow_start_class = IgnoredWarmUp


class Unbounded(PolicyEngine):
    """Seeded defect: a pool without a warm backend gets every request."""

    slow_start_class = UnlimitedRamp


class EachAsIfAlone(PolicyEngine):
    """Seeded defect: each ingress takes the whole fleet's part."""

    slow_start_class = RampOfOneIngress


PLANTS: dict[str, Callable[..., PolicyEngine]] = {
    "": PolicyEngine,
    "warmth-ignored": WarmthIgnored,
    "unbounded": Unbounded,
    "each-as-if-alone": EachAsIfAlone,
}
