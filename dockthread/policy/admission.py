"""Admission: whether a customer's decayed unit rate, the counter and the ceiling let a request
in.
"""

from __future__ import annotations

from dockthread.policy.actions import AddToCounter
from dockthread.policy.attempts import PRESSED, Attempts
from dockthread.policy.events import CounterReplied, RequestArrived
from dockthread.policy.model import NEVER_RAN, Outcome, Plan, PolicySettings, RequestClass
from dockthread.policy.rate_sketch import RateSketch
from dockthread.policy.state import Call, Customer

RESERVE, RESERVE_LOW = 0.15, 0.35  # of a store, for the dearest class; more for the cheapest
TOLD_RESERVE, TOLD_LOW = 0.05, 0.2  # the same where messages tell what the others let in
CAP_USE = 0.5  # of a cap on attempts out that is used on average: chance alone fills the rest
EPOCH, LIFE = 40.0, 60.0  # s that a customer's number on the counter counts, and lives
# of a burst: left, so that nobody is asked; not lifted yet; lifted twice
CLEAR, LAG, BACK = 0.5, 0.5, 0.1
TRIES, MUTE = 3, 0.3  # failed calls that mute the counter; s for which
METER_FRESH = 2.5  # periods of the meter that its word counts
CHEAP, DEAR = 0.6, 2.0  # of the bound on the wait: for the cheapest, for the dearest
VALUE_STEP = 0.01  # weight of one more request's value in the usual one


class Admission(Attempts):
    """Lets requests in or refuses them."""

    def __init__(self, settings: PolicySettings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        windows = [
            p.burst / p.rate if p.rate > 0 else self.tight * bool(p.max_in_flight)
            for p in settings.plans
        ]
        self.sketches = [RateSketch(window, self.rng) if window else None for window in windows]
        self.dearest = max(k.priority_weight for k in settings.classes)
        # of a unit, usually
        self.value = sum(k.priority_weight for k in settings.classes) / len(settings.classes)

    def _arrived(self, ask: RequestArrived) -> None:
        call = Call(ask, self.s.classes[ask.request_class], self.now + ask.remaining_time)
        c, sketch = self._customer(ask.customer, ask.plan), self.sketches[ask.plan]
        c.first, c.spread = (
            ask.first_ingress % self.s.ingress_count,
            min(max(1, ask.spread), self.s.ingress_count),
        )
        c.arrived += (units := self.s.plans[ask.plan].charged_units(ask.units))
        if sketch is not None:
            c.rate = sketch.add(ask.customer, units, self.now)
            if self._doubtful(ask, c, sketch):
                self.calls[ask.request] = call
                c.waiting.append(ask.request)
                self.end_by(ask.request, call, self._close)  # the counter's answer may not come
                if c.calling is None:
                    self._call(ask.customer, c)
                return
        self._decide(ask, call, c)

    def _decide(self, ask: RequestArrived, call: Call, c: Customer) -> None:
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
        if self._asks(c) and (sketch := self.sketches[ask.plan]) is not None:
            c.own, c.own_at = sketch.decayed_rate(c.own, ask.units, self.now - c.own_at), self.now
            c.unsaid += ask.units
            if c.calling is None and self.now >= self.mute:
                self._call(ask.customer, c)

    def _asks(self, c: Customer) -> bool:
        """Whether the counter is to tell what the others let in: of a quota, where their messages
        do not.
        """
        return self.s.may_use_counter and c.store.rate > 0 and not self._hears(c)

    def _doubtful(self, ask: RequestArrived, c: Customer, sketch: RateSketch) -> bool:
        """Whether what the others let in decides: not within an even split, nor while the store
        holds much, nor where it is too empty for this request whatever they did.
        """
        plan = self.s.plans[ask.plan]
        if self.now < self.mute or not self._asks(c):
            return False
        age, left = self.now - c.heard, c.store.level - ask.units
        if left < 0 or age <= self.s.clock_tick:
            return False
        crowd = c.spread * ask.units > 2 * plan.burst  # where each lets in one unasked, all is gone
        if not crowd and c.rate <= max(plan.rate / c.spread, ask.units / sketch.window):
            return left < CLEAR * plan.burst
        return crowd or age > sketch.window or left - c.rest * age < CLEAR * plan.burst

    def _call(self, key: int, c: Customer) -> None:
        clock = self.now + self.s.clock_offset
        c.calling = (self.now - clock % EPOCH, c.unsaid, c.due)
        name = key << 24 | int(clock / EPOCH) & 0xFFFFFF
        self.actions.append(AddToCounter(name, round(c.unsaid + c.lift, 3), LIFE))
        c.unsaid = c.due = c.lift = 0.0

    def _counted(self, e: CounterReplied) -> None:
        """The number is the customer's one store: units used since the epoch's start, and those
        that ran over while it was full. What it lacks of these is added with the next units told,
        or by itself: a lift.
        """
        c = self.customers.get(e.name >> 24)
        if c is None or c.calling is None:
            return
        (begun, units, lift), c.calling = c.calling, None
        c, plan, sketch = (
            self._customer(e.name >> 24, c.plan),
            self.s.plans[c.plan],
            self.sketches[c.plan],
        )
        assert sketch is not None
        if e.outcome is Outcome.OK:
            room = plan.rate * (self.now - begun) - (e.total - units - lift)
            left, due = c.store.counter_balance(room, units)
            c.rest = sketch.decayed_rate(
                c.rest, c.store.apply_counter(left - c.unsaid), self.now - c.heard
            )
            c.due, c.lift, c.heard, self.failures = due * (not lift), due - lift, self.now, 0
            # else it is others' use, and not their lift of the same
            c.lift *= abs(c.lift) > abs(lift) / 2
        else:
            c.unsaid += units * (e.outcome in NEVER_RAN)
            spoilt = e.outcome in (Outcome.ERROR, Outcome.RESET)  # and so a sign of life: ask again
            self.failures += 1 - 0.75 * spoilt
            # slow or gone: ask it again later, and share as if alone meanwhile
            if self.failures >= TRIES:
                self.mute = self.now + MUTE
            elif spoilt and c.waiting:
                self._call(e.name >> 24, c)
                return
        waiting, c.waiting = c.waiting, []
        for call in [self.calls[r] for r in waiting if r in self.calls]:
            self._decide(call.ask, call, c)
        unlifted = abs(c.lift) > (BACK if lift else LAG) * plan.burst and (
            lift or units or c.lift < 0
        )
        if e.outcome is Outcome.OK and c.calling is None and (c.unsaid or unlifted):
            self._call(e.name >> 24, c)
        c.due = c.lift = 0.0  # they hold for this moment

    def _admit(self, ask: RequestArrived, rules: RequestClass, c: Customer) -> bool:
        plan, sketch = self.s.plans[ask.plan], self.sketches[ask.plan]
        units = plan.charged_units(ask.units)
        if sketch and self.rng.random() >= self._chance(
            units, rules.priority_weight, c, plan, sketch
        ):
            return self.no("quota")
        if self._capped(c):
            return self.no("cap")
        # Answers take long: it would be late, or in the way of dearer ones. Against jams of any
        # cause.
        self.value += VALUE_STEP * (
            (value := rules.priority_weight * plan.priority_multiplier) - self.value
        )
        part = min(DEAR, max(CHEAP, value / self.value))
        if self._wait() > PRESSED * min(DEAR * rules.latency_objective, part * self.tight):
            return self.no("pressed")
        if plan.ceiling_rate:  # rule 5: an exact store of an even part, empty after a start
            c.ceiling += plan.ceiling_rate / c.spread * (self.now - c.ceiling_at)
            c.ceiling, c.ceiling_at = min(plan.ceiling_burst / c.spread, c.ceiling), self.now
            if c.ceiling < ask.units:
                return self.no("ceiling")
            c.ceiling -= ask.units
        c.store.take(ask.units)
        c.spent += ask.units
        return True

    def _chance(
        self, units: float, worth: float, c: Customer, plan: Plan, sketch: RateSketch
    ) -> float:
        """The chance to pass. Phi: the quota by this gateway's part of the arrivals where the
        others tell of theirs; else by its part of what is let in, by the counter or else by the
        meter; never less than an even split, which is all where nobody tells. Where the others' use
        is known the store decides too.
        """
        rate, told, gap = self._rate(plan), self._hears(c), self.now - c.told_at
        if told or (not self.s.may_use_counter and self._hears_any()):
            if not plan.rate and told:
                return 1.0  # only a cap on attempts out, and those are told
            asked = sketch.decayed_rate(c.asked, 0.0, gap)
            phi = max(rate * c.rate / (c.rate + asked), rate / c.spread)
            gone = c.spending * min(gap, self.turn)
            return self._lean(units, worth, c, min(1.0, phi / c.rate), gone, told)
        # one attempt at each is beyond the cap
        crowd = 0 < plan.max_in_flight < c.spread and not plan.rate
        phi = max(rate / c.spread, 0.0 if crowd else units / sketch.window)
        if not self.s.may_use_counter or not plan.rate:
            return min(1.0, phi / c.rate)
        gap = self.now - c.heard
        known = gap <= sketch.window
        own = sketch.decayed_rate(c.own, 0.0, self.now - c.own_at)
        rest = c.rest if known else max(0.0, c.used * plan.rate - own)
        if own and (known or self.now - c.used_at < METER_FRESH * self.s.usage_report_period):
            phi = max(phi, plan.rate * own / (own + rest))
        chance = min(1.0, phi / c.rate)
        if known:
            return self._lean(units, worth, c, chance, c.rest * gap, False)
        return chance if c.store.level >= units else 0.0

    def _lean(
        self, units: float, worth: float, c: Customer, chance: float, gone: float, told: bool
    ) -> float:
        """Above phi: the design's chance at a reserve in the customer's store, rising to 1 over it
        (what the store holds is inside the quota), to 0 under it. Cheaper classes leave more to the
        others. `gone`: what the others will have taken since they were heard of.
        """
        if not self.s.plans[c.plan].rate:
            return chance
        low = 1 - worth / self.dearest
        reserve = TOLD_RESERVE + TOLD_LOW * low if told else RESERVE + RESERVE_LOW * low
        left = (c.store.level - gone - units) / self.s.plans[c.plan].burst / reserve
        return chance * max(0.0, left) if left < 1 else chance + (1 - chance) * min(1.0, left - 1)

    def _customer(self, key: int, number: int) -> Customer:
        plan = self.s.plans[number]
        if (c := self.customers.get(key)) is None:
            c = self.customers[key] = Customer(number, plan, self.now, self.born)
        c.store.refill(self.now)
        return c

    def _rate(self, plan: Plan) -> float:
        """The quota, or what a cap on attempts out lets pass in the usual answer time (Little's
        law).
        """
        return plan.rate or CAP_USE * plan.max_in_flight / self._usually()

    def _capped(self, c: Customer) -> bool:
        """Attempts out here and, by what was told not long ago, elsewhere."""
        most, recent = self.s.plans[c.plan].max_in_flight, self.now - self.tight
        return 0 < most <= c.out + sum(n for when, n in c.outs.values() if when > recent)
