"""Choice of the worker for an attempt: by chance, load and pace, with the guards for cold and full
ones.
"""

from __future__ import annotations

from dockthread.policy.backend_pool import NO_BACKENDS
from dockthread.policy.model import Effect
from dockthread.policy.slow_start import Warming, cold_times
from dockthread.policy.state import NEVER, Call, Worker

# candidates a gateway; draws of the own zone; root of a bad one's share
CHOICES, HOME, TRIALS = 4, 2.0, 0.1
HANDSHAKE = 8.0  # requests' times that the price of a new connection is worth
ABOUT = 0.05  # part by which believed costs may differ and be alike: within it, chance decides


class Choice(Warming):
    """Chooses the worker of an attempt."""

    def _choose(self, call: Call) -> Worker | None:
        """Drawn by their shares, so that gateways neither herd nor, in sum, push a cold worker over
        (rule 4): of a first attempt's drawn only as many may be cold as times what it can do a cold
        worker stands, less one that is kept for chance, whatever the others have no room for. Cold
        ones alone: by `Ramp`.
        """
        if not self.pool.has_warm_backend and self._ramp_left() < 1:
            return None
        ran, used = call.ran(), {a.worker for a in call.attempts}
        pool = self._subset(call, self.pool)
        if ran is not None and (effect := self._effect(call)) is not Effect.SAFE:  # rule 2
            repeats = effect is Effect.KEYED and self.now < self._repeat_ends(ran, call)
            pool = (
                self._near(call, pool, self.workers[ran.worker].entry) if repeats else NO_BACKENDS
            )
        elif pool:
            count = max(2, CHOICES * len(pool) // self.s.ingress_count)
            drawn = pool.draw(self.rng, count)
            cold = 0 if call.attempts else cold_times(self.s.safety)
            free = [w for i, w in enumerate(drawn) if self._fits(w, call, i < cold)]
            if free := [w for w in free if w.entry.backend not in used]:
                return min(free, key=self._cost)
        # Full, or draining unannounced: its emptiness would draw all. When all are, only first
        # attempts go.
        roomy = self._roomy(call, pool)
        ready = roomy if roomy or call.attempts else list(pool.sample(self.rng))
        ready = [w for w in ready if w.entry.backend not in used] or ([] if ran else ready)
        return self.rng.choices(ready, [self._share(w) for w in ready])[0] if ready else None

    def _cost(self, w: Worker) -> float:
        """Time that one more there would take, by what is believed; among like ones chance
        decides.
        """
        dearer = 1.0 if w.linked(self.now - self.kept) else 1 + HANDSHAKE * self.s.costs.handshake
        return (
            (w.load(self.now) + 1)
            * w.pace
            / self._sound(w)
            * dearer
            * self.rng.uniform(1, 1 + ABOUT)
        )

    def _fits(self, w: Worker, call: Call, cold: bool) -> bool:
        if not w.ready or self.now < w.full_until.get(call.ask.plan, NEVER):
            return False
        return cold or self._warmth(w) >= 1.0

    def _share(self, w: Worker) -> float:
        return self._sound(w) * self._warmth(w)

    def _sound(self, w: Worker) -> float:
        near = HOME if w.entry.zone == self.s.zone and self.s.costs.cross_zone else 1.0
        return near * max(w.entry.weight, 1e-6) * max(1 - w.failed, TRIALS) ** 2
