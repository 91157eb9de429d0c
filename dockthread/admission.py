"""Admission: whether a customer's decayed unit rate, the counter and the ceiling let a request in."""

from __future__ import annotations

from dockthread import api
from dockthread.api import Outcome
from dockthread.attempts import NEVER_RAN, PRESSED, Attempts
from dockthread.sketch import MIX, PRIME, Sketch
from dockthread.state import NEVER, Call, Customer

RESERVE, RESERVE_LOW = 0.15, 0.35  # of a store, for the dearest class; more for the cheapest
CAP_USE = 0.5  # of a cap on attempts out that is used on average: chance alone fills the rest
WORD_WINDOWS = 3  # life of a keeper's word
EPOCH, LIFE = 40.0, 60.0  # s that a customer's number on the counter counts, and lives
CLEAR, TOLD = 0.5, 0.1  # of a burst: left, so that nobody need be asked; let in, so that the counter is told
TRIES, MUTE, METER_FRESH = 3, 0.3, 2.5  # calls failed that mute the counter; s for which; s of a meter's word
VALUE_STEP = 0.01  # weight of one more request's value in the usual one
SILENT_FOR = 5.0  # s without a word from any peer, after which each shares as if alone


class Admission(Attempts):
    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        windows = [p.burst / p.rate if p.rate > 0 else self.tight * bool(p.most_out) for p in settings.plans]
        self.sketches = [Sketch(window, self.rng) if window else None for window in windows]
        self.dearest = max(k.worth for k in settings.classes)
        self.value = sum(k.worth for k in settings.classes) / len(settings.classes)  # of a unit, usually

    def _arrived(self, ask: api.RequestArrived) -> None:
        call = Call(ask, self.s.classes[ask.request_class], self.now + ask.time_left)
        c, sketch = self._customer(ask.customer, ask.plan), self.sketches[ask.plan]
        c.first, c.spread = ask.first_gateway % self.s.gateways, min(max(1, ask.spread), self.s.gateways)
        c.keeper, c.arrived = self._keeper(ask.customer, c), c.arrived + ask.units
        if sketch is not None:
            c.rate = sketch.add(ask.customer, ask.units, self.now)
            if self._doubtful(ask, c, sketch):
                self.calls[ask.request] = call
                c.waiting.append(ask.request)
                self.end_by(ask.request, call, self._close)  # the counter's answer may not come
                if c.calling is None:
                    self._call(ask.customer, c)
                return
        self._decide(ask, call, c)

    def _decide(self, ask: api.RequestArrived, call: Call, c: Customer) -> None:
        if not self._enters(ask, call):
            return
        admitted = self._admit(ask, call.rules, c)
        self._report(ask.customer, c)
        if not admitted:
            self.calls.pop(ask.request, None)
            self._leave(call)
            self._refuse(ask.request, call.rules, self.why)
            return
        self.calls[ask.request] = call
        self.end_by(ask.request, call, self._close)
        self._try(ask.request, call)
        plan = self.s.plans[ask.plan]
        if self.s.may_count and c.spread > 1 and (sketch := self.sketches[ask.plan]) is not None:
            c.own, c.own_at = sketch.decayed(c.own, ask.units, self.now - c.own_at), self.now
            c.unsaid += ask.units
            if c.unsaid >= TOLD * plan.burst and c.calling is None and self.now >= self.mute:
                self._call(ask.customer, c)

    def _doubtful(self, ask: api.RequestArrived, c: Customer, sketch: Sketch) -> bool:
        """Whether what the others let in decides: not within an even split, nor while the store holds much,
        nor where it is too empty for this request whatever they did."""
        plan = self.s.plans[ask.plan]
        if not self.s.may_count or not plan.rate or c.spread < 2 or self.now < self.mute:
            return False
        age, left = self.now - c.heard, c.level - ask.units
        if left < 0 or age <= self.s.tick:
            return False
        crowd = c.spread * ask.units > 2 * plan.burst  # where each lets in one unasked, all is gone
        if c.rate <= max(plan.rate / c.spread, 0.0 if crowd else ask.units / sketch.window):
            return left < CLEAR * plan.burst
        return crowd or age > sketch.window or left - c.rest * age < CLEAR * plan.burst

    def _call(self, key: int, c: Customer) -> None:
        epoch = int((self.now + self.s.ahead) / EPOCH) & 0xFFFFFF
        c.calling, amount, c.unsaid = (epoch, c.unsaid), c.unsaid, 0.0
        self.actions.append(api.Count(key << 24 | epoch, amount, LIFE))

    def _counted(self, e: api.Counted) -> None:
        """The total tells what the others let in since the last one; the store known here is less by it."""
        c = self.customers.get(e.name >> 24)
        if c is None or c.calling is None:
            return
        (epoch, amount), c.calling = c.calling, None
        c, plan, sketch = self._customer(e.name >> 24, c.plan), self.s.plans[c.plan], self.sketches[c.plan]
        assert sketch is not None
        if e.outcome is Outcome.OK:
            gap, others = self.now - c.heard, max(0.0, e.total - amount - c.counted * (epoch == c.epoch))
            if epoch != c.epoch and gap > sketch.window:  # nothing to compare with but the epoch's start
                c.level = min(c.level, plan.burst + plan.rate * ((self.now + self.s.ahead) % EPOCH) - e.total)
                others = 0.0
            c.level, c.over = max(0.0, c.level - max(0.0, others - c.over)), 0.0  # first what ran over
            c.rest = sketch.decayed(c.rest, others, gap)
            c.epoch, c.counted, c.heard, self.failures = epoch, e.total, self.now, 0
        else:
            if e.outcome in NEVER_RAN:
                c.unsaid += amount
            elif epoch == c.epoch:
                c.counted += amount
            spoilt = e.outcome in (Outcome.ERROR, Outcome.RESET)  # and so a sign of life: ask again
            self.failures += 1 - 0.75 * spoilt
            if self.failures >= TRIES:  # slow or gone: ask it again later, and share as if alone meanwhile
                self.mute = self.now + MUTE
            elif spoilt and c.waiting:
                self._call(e.name >> 24, c)
                return
        waiting, c.waiting = c.waiting, []
        for call in [self.calls[r] for r in waiting if r in self.calls]:
            self._decide(call.ask, call, c)

    def _admit(self, ask: api.RequestArrived, rules: api.RequestClass, c: Customer) -> bool:
        plan, sketch = self.s.plans[ask.plan], self.sketches[ask.plan]
        if sketch is not None:
            own, rate = c.rate, self._rate(plan)
            if self.s.may_count and plan.rate and c.spread > 1:
                if self.rng.random() >= self._shared(ask.units, rules.worth, c, plan, sketch):
                    return self.no("quota")
            else:
                # Phi: the quota by this gateway's part of the arrivals. Of whom the keeper says nothing is
                # within its quota. While nobody is heard: an even split, or one request a window.
                phi = rate * own / (max(own, c.total) if self._known(c) else own)
                if alone := c.spread > 1 and (not self.s.may_tell or self.now - self.heard > SILENT_FOR):
                    phi = max(rate / c.spread, ask.units / sketch.window)
                if own > phi and (plan.rate or c.keeper != self.me):  # the keeper counts attempts out itself
                    chance = phi / own if alone else self._steer(ask.units, rules.worth, c, phi / own)
                    if self.rng.random() >= chance:
                        return self.no("quota")
        if self._capped(c):
            return self.no("cap")
        # Answers take long: it would be late, or in the way of dearer ones. Against jams of any cause.
        self.value += VALUE_STEP * ((value := rules.worth * plan.price) - self.value)
        if self._wait() > PRESSED * min(rules.aim, self.tight * min(2.0, max(0.5, value / self.value))):
            return self.no("pressed")
        if plan.ceiling_rate:  # rule 5: an exact store of an even part, empty after a start
            c.ceiling += plan.ceiling_rate / c.spread * (self.now - c.ceiling_at)
            c.ceiling, c.ceiling_at = min(plan.ceiling_burst / c.spread, c.ceiling), self.now
            if c.ceiling < ask.units:
                return self.no("ceiling")
            c.ceiling -= ask.units
        c.level, c.spent = c.level - ask.units, c.spent + ask.units
        if self.s.may_count:
            c.level = max(0.0, c.level)  # what goes beyond the quota takes nothing
        return True

    def _shared(self, units: float, worth: float, c: Customer, plan: api.Plan, sketch: Sketch) -> float:
        """The chance to pass. Phi: the quota by this gateway's part of what is let in, by the counter or else
        by the meter, and never less than an even split. Where the counter spoke the store decides too."""
        gap = self.now - c.heard
        known = gap <= sketch.window
        own = sketch.decayed(c.own, 0.0, self.now - c.own_at)
        rest = c.rest if known else max(0.0, c.used * plan.rate - own)
        phi = max(plan.rate / c.spread, units / sketch.window)
        if own and (known or self.now - c.used_at < METER_FRESH):
            phi = max(phi, plan.rate * own / (own + rest))
        chance = min(1.0, phi / c.rate)
        if known:
            return self._steer(units, worth, c, chance, c.rest * gap)
        return chance if c.level >= units else 0.0

    def _steer(self, units: float, worth: float, c: Customer, chance: float, gone: float = 0.0) -> float:
        """Above phi: the design's chance at a reserve in the customer's store, rising to 1 over it (what the
        store holds is inside the quota), to 0 under it. Cheaper classes leave more to the others. `gone`:
        what the others will have taken since they were heard of."""
        if not self.s.plans[c.plan].rate:
            return chance
        reserve = RESERVE + RESERVE_LOW * (1 - worth / self.dearest)
        left = (c.level - gone - units) / self.s.plans[c.plan].burst / reserve
        return chance * max(0.0, left) if left < 1 else chance + (1 - chance) * min(1.0, left - 1)

    def _customer(self, key: int, number: int) -> Customer:
        plan = self.s.plans[number]
        if (c := self.customers.get(key)) is None:
            c = self.customers[key] = Customer(number, plan.burst, self.now, self.born)
        fill = plan.rate - min(plan.rate, c.total) if self._known(c) else plan.rate  # the others use it
        level, c.seen = c.level + fill * (self.now - c.seen), self.now
        c.level, c.over = min(plan.burst, level), c.over + max(0.0, level - plan.burst)
        return c

    def _rate(self, plan: api.Plan) -> float:
        """The quota, or what a cap on attempts out lets pass in the usual answer time (Little's law)."""
        return plan.rate or CAP_USE * plan.most_out * len(self.usual) / sum(usual for usual, _ in self.usual)

    def _known(self, c: Customer) -> bool:
        sketch = self.sketches[c.plan]
        return sketch is not None and c.keeper != self.me and self.now < c.word + WORD_WINDOWS * sketch.window

    def _capped(self, c: Customer) -> bool:
        """Attempts out here and elsewhere, by the keeper's word or by what it was told, not long ago."""
        most, recent = self.s.plans[c.plan].most_out, self.now - self.tight
        told = c.outs.values() if c.keeper == self.me else [(c.word, c.others)]
        return 0 < most <= c.out + sum(n for when, n in told if when > recent)

    def _keeper(self, key: int, c: Customer) -> int:
        """By the id, one of the customer's own gateways, or the next that is not silent."""
        start, many = key * MIX % PRIME, c.spread if self.s.may_tell else 0
        ring = ((c.first + (start + i) % c.spread) % self.s.gateways for i in range(many))
        return next((p for p in ring if p == self.me or self.now >= self.silent.get(p, NEVER)), self.me)
