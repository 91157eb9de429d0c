"""What cold workers may be given, from what warm ones bore. Decides nothing.

Theory of operation. Beside warm workers a cold one is drawn by its warmth, and so its load over
what it can do is at most as many times a warm one's as candidates may be cold. In a pool without a
warm worker nothing holds this: all that comes goes there, and at once what was held while there was
none. What a worker can do is told nowhere; the answers that one bore in a second are no more than
it could do then (`Ramp`). Each ingress counts its own: the sum over the fleet of what each allows
is what the settings allow of what the fleet saw borne, whatever its size and how uneven the
traffic. docs/design/fleet.md has the derivation.
"""

from __future__ import annotations

import math

from dockthread.policy.model import PolicySettings, SafetyLimits
from dockthread.policy.route_constraints import Routed
from dockthread.policy.state import Worker

BORNE_OVER = 4.0  # fall times over which what workers bore is averaged


class Ramp:
    """The tries that a pool of cold workers alone is given by one gateway: a store that fills at
    `multiple - 1` times what the gateway saw borne by as much warmth, and holds what is left of the
    multiple over a fall time. So no fall time sees more than `multiple` times that.
    """

    def __init__(self, safety: SafetyLimits, gateways: int, now: float) -> None:
        self._gateways, self._window = gateways, safety.overload_time
        self._times = cold_times(safety)
        # answers, and seconds of warmth in which they came; both decayed
        self._answers = self._exposure = 0.0
        self._shares, self._at = 0.0, now
        self.left = 1.0

    def answered(self, now: float, shares: float, usual: float) -> None:
        """A worker answered; the other parameters as in `pass_time`."""
        self.pass_time(now, shares, usual)
        self._answers += 1

    def pass_time(self, now: float, shares: float, usual: float) -> None:
        """`shares`: of all ready workers, by warmth; `usual`: s that an answer takes."""
        gap, self._at = now - self._at, now
        kept = math.exp(-gap / (BORNE_OVER * self._window))
        self._answers *= kept
        self._exposure = kept * self._exposure + gap * self._shares
        borne = self._shares * self.borne(usual)
        self.left += gap * self._times * borne
        self.left = min(self.left, max(1.0, self._window * borne))
        self._shares = shares

    def borne(self, usual: float) -> float:
        """Answers to this gateway a second by a worker of full share: seen, and its part of what
        any worker can do that works on one request at a time.
        """
        seen = self._answers / self._exposure if self._exposure else 0.0
        return max(seen, 1 / (self._gateways * usual))


def cold_times(safety: SafetyLimits) -> int:
    """As many times what it can do a cold worker stands, less one that is kept for chance."""
    return max(1, int(safety.overload_multiple) - 1)


class Warming(Routed):
    """What the parts that decide ask of warmth."""

    def __init__(self, settings: PolicySettings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        # answer time and its deviation
        self.usual = [(c.latency_objective / 5, c.latency_objective / 10) for c in settings.classes]
        self.ramp = Ramp(settings.safety, settings.ingress_count, now)

    def _usually(self) -> float:
        """The usual answer time, of a class as of any other."""
        return sum(usual for usual, _ in self.usual) / len(self.usual)

    def _warmth(self, w: Worker) -> float:
        s = self.s.safety
        age = max(0.0, self.now - w.entry.started_at) if w.entry.started_at else math.inf
        return min(1.0, s.cold_capacity + (1 - s.cold_capacity) * age / max(s.warm_up_time, 1e-6))

    def _borne(self) -> None:
        """A worker answered."""
        self.done += 1
        self.ramp.answered(self.now, self.pool.total_weight, self._usually())

    def _ramp_left(self) -> float:
        """Tries left for a pool of cold workers alone."""
        self.ramp.pass_time(self.now, self.pool.total_weight, self._usually())
        return self.ramp.left
